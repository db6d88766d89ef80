// Compares the time that requests take with the time that is left.

#include "LibQuery/request_drain.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace query {

namespace {

// Of the longest recent duration; leaves room for longer ones.
constexpr int kDurationMargin = 2;
constexpr base::Duration kCleanupPeriod = std::chrono::minutes(1);

}  // namespace

void RequestDrain::Begin(base::Instant end) {
  {
    const std::lock_guard lock(mutex_);
    if (end_)
      return;
    end_ = end;
  }
  scheduler_.After(end - scheduler_.Now(), [this] { CancelRunning(); });
}

std::optional<RequestDrain::RequestId> RequestDrain::TryTake(
    const std::string& route,
    base::Instant deadline,
    CancelFunction cancel) {
  const base::Instant now = scheduler_.Now();
  const std::lock_guard lock(mutex_);
  if (end_ && std::min(deadline, now + ExpectedDuration(route, now)) > *end_) {
    ++counts_.refused;
    return std::nullopt;
  }
  const RequestId id{next_id_++};
  running_.emplace(id, RunningRequest{route, now, std::move(cancel)});
  return id;
}

void RequestDrain::OnEnded(RequestId id) {
  const base::Instant now = scheduler_.Now();
  const std::lock_guard lock(mutex_);
  const auto found = running_.find(id);
  if (found == running_.end())
    return;
  durations_[found->second.route].Add(now - found->second.started, now);
  running_.erase(found);
  ForgetUnusedRoutes(now);
}

base::Duration RequestDrain::ExpectedDuration(const std::string& route,
                                              base::Instant now) {
  const auto longest = durations_[route].Longest(now);
  return longest ? *longest * kDurationMargin : base::Duration::max() / 2;
}

void RequestDrain::ForgetUnusedRoutes(base::Instant now) {
  if (now < next_cleanup_)
    return;
  next_cleanup_ = now + kCleanupPeriod;
  std::erase_if(durations_,
                [now](const auto& entry) { return entry.second.IsEmpty(now); });
}

void RequestDrain::CancelRunning() {
  std::vector<CancelFunction> cancels;
  {
    const std::lock_guard lock(mutex_);
    for (const auto& [id, request] : running_)
      cancels.push_back(request.cancel);
    counts_.cancelled += cancels.size();
  }
  std::ranges::for_each(cancels, [](const auto& cancel) { cancel(); });
}

DrainCounts RequestDrain::counts() {
  const std::lock_guard lock(mutex_);
  return counts_;
}

}  // namespace query
