// A token bucket.

#include "LibQuery/log_line_limiter.h"

#include <algorithm>
#include <utility>

namespace query {

namespace {

// At 1 KB a line this is 20 KB a second at most.
constexpr double kLinesPerSecond = 20;
constexpr double kLineBurst = 100;

}  // namespace

LogLineLimiter::LogLineLimiter(base::Scheduler& scheduler)
    : scheduler_(scheduler), lines_(kLineBurst), refilled_(scheduler.Now()) {}

std::optional<uint64_t> LogLineLimiter::TryAcquire() {
  const base::Instant now = scheduler_.Now();
  const std::lock_guard lock(mutex_);
  lines_ = std::min(
      kLineBurst, lines_ + base::ToSeconds(now - refilled_) * kLinesPerSecond);
  refilled_ = now;
  if (lines_ < 1) {
    ++left_out_;
    return std::nullopt;
  }
  lines_ -= 1;
  return std::exchange(left_out_, 0);
}

}  // namespace query
