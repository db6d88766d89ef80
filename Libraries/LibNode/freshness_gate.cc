// Delays work after a pause of the process.

#include "LibNode/freshness_gate.h"

#include <string>
#include <utility>

#include "LibBase/log.h"

namespace node {

namespace {

constexpr base::Duration kPauseThreshold = std::chrono::seconds(1);

}  // namespace

FreshnessGate::FreshnessGate(base::Scheduler& scheduler, Refresh refresh)
    : scheduler_(scheduler),
      refresh_(std::move(refresh)),
      last_tick_(scheduler.Now()) {}

void FreshnessGate::CloseIfPaused(base::Instant now) {
  const base::Duration pause = now - std::exchange(last_tick_, now);
  if (pause <= kPauseThreshold)
    return;
  base::Log(base::Event::kPauseDetected,
            {{"ms", std::to_string(base::ToMilliseconds(pause))}});
  is_fresh_ = false;
}

void FreshnessGate::Tick() {
  {
    const std::lock_guard lock(mutex_);
    CloseIfPaused(scheduler_.Now());
    if (is_fresh_ || is_refreshing_)
      return;
    is_refreshing_ = true;
  }
  StartRefresh();
}

void FreshnessGate::RunWhenFresh(std::function<void()> work) {
  bool start_refresh = false;
  {
    const std::lock_guard lock(mutex_);
    CloseIfPaused(scheduler_.Now());
    if (!is_fresh_) {
      waiting_work_.push_back(std::exchange(work, nullptr));
      start_refresh = !std::exchange(is_refreshing_, true);
    }
  }
  if (work)
    work();
  if (start_refresh)
    StartRefresh();
}

void FreshnessGate::StartRefresh() {
  refresh_([this] { OnRefreshed(); });
}

void FreshnessGate::OnRefreshed() {
  std::vector<std::function<void()>> work_to_run;
  bool paused_again = false;
  {
    const std::lock_guard lock(mutex_);
    const base::Instant now = scheduler_.Now();
    paused_again = now - last_tick_ > kPauseThreshold;
    CloseIfPaused(now);
    if (!paused_again) {
      is_fresh_ = true;
      is_refreshing_ = false;
      work_to_run = std::exchange(waiting_work_, {});
    }
  }
  if (paused_again)
    StartRefresh();
  for (const auto& work : work_to_run)
    work();
}

}  // namespace node
