// Posts a task to each loop and checks in the next period that it was run.

#include "LibBase/event_loop_monitor.h"

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <stop_token>
#include <utility>

#include "LibBase/log.h"

namespace base {

EventLoopMonitor::EventLoopMonitor(std::vector<MonitoredLoop> loops) {
  for (MonitoredLoop& loop : loops)
    states_.emplace_back(std::move(loop));
}

EventLoopMonitor::~EventLoopMonitor() = default;

void EventLoopMonitor::Start() {
  thread_ = std::jthread([this](const std::stop_token& stop) {
    std::mutex mutex;
    std::condition_variable_any wake;
    std::unique_lock lock(mutex);
    while (!stop.stop_requested()) {
      Check();
      wake.wait_for(lock, stop, kPeriod, [] { return false; });
    }
  });
}

void EventLoopMonitor::Check() {
  std::ranges::for_each(states_, [this](State& state) { CheckLoop(state); });
}

void EventLoopMonitor::CheckLoop(State& state) {
  if (!*state.has_answered) {
    if (++state.unanswered_periods == kStalledPeriods) {
      ++stalled_loop_count_;
      Log(Event::kEventLoopStalled, {{"loop", state.loop.name}});
    }
    return;
  }
  if (state.unanswered_periods >= kStalledPeriods) {
    --stalled_loop_count_;
    Log(Event::kEventLoopResumed,
        {{"loop", state.loop.name},
         {"periods", std::to_string(state.unanswered_periods)}});
  }
  state.unanswered_periods = 0;
  *state.has_answered = false;
  state.loop.post([answered = state.has_answered] { *answered = true; });
}

}  // namespace base
