// Holds work back after a pause of the process.

#include "LibNode/freshness_gate.h"

#include <string>
#include <utility>

#include "LibBase/log.h"

namespace node {

namespace {

constexpr base::Duration kLongestPause = std::chrono::seconds(1);

}  // namespace

FreshnessGate::FreshnessGate(base::Scheduler& scheduler, Refresh refresh)
    : scheduler_(scheduler),
      refresh_(std::move(refresh)),
      last_tick_(scheduler.Now()) {}

void FreshnessGate::CloseIfPaused(base::Instant now) {
  const base::Duration pause = now - std::exchange(last_tick_, now);
  if (pause <= kLongestPause)
    return;
  base::Log(base::Event::kPauseDetected,
            {{"ms", std::to_string(base::ToMilliseconds(pause))}});
  fresh_ = false;
}

void FreshnessGate::Tick() {
  {
    const std::lock_guard lock(mutex_);
    CloseIfPaused(scheduler_.Now());
    if (fresh_ || refreshing_)
      return;
    refreshing_ = true;
  }
  StartRefresh();
}

void FreshnessGate::RunWhenFresh(std::function<void()> work) {
  bool start = false;
  {
    const std::lock_guard lock(mutex_);
    CloseIfPaused(scheduler_.Now());
    if (!fresh_) {
      waiting_.push_back(std::exchange(work, nullptr));
      start = !std::exchange(refreshing_, true);
    }
  }
  if (work)
    work();
  if (start)
    StartRefresh();
}

void FreshnessGate::StartRefresh() {
  refresh_([this] { Open(); });
}

void FreshnessGate::Open() {
  std::vector<std::function<void()>> waiting;
  bool paused_again = false;
  {
    const std::lock_guard lock(mutex_);
    const base::Instant now = scheduler_.Now();
    paused_again = now - last_tick_ > kLongestPause;
    CloseIfPaused(now);
    if (!paused_again) {
      fresh_ = true;
      refreshing_ = false;
      waiting = std::exchange(waiting_, {});
    }
  }
  if (paused_again)
    StartRefresh();
  for (const auto& work : waiting)
    work();
}

}  // namespace node
