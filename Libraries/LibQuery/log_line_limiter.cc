// A token bucket.

#include "LibQuery/log_line_limiter.h"

#include <algorithm>
#include <utility>

namespace query {

namespace {

// At 1 KB a line, the rate is at most 20 KB a second.
constexpr double kLinesPerSecond = 20;
constexpr double kLineBurst = 100;

}  // namespace

LogLineLimiter::LogLineLimiter(base::Scheduler& scheduler)
    : scheduler_(scheduler),
      available_lines_(kLineBurst),
      refilled_(scheduler.Now()) {}

std::optional<uint64_t> LogLineLimiter::TryAcquire() {
  const base::Instant now = scheduler_.Now();
  const std::lock_guard lock(mutex_);
  available_lines_ =
      std::min(kLineBurst, available_lines_ + base::ToSeconds(now - refilled_) *
                                                  kLinesPerSecond);
  refilled_ = now;
  if (available_lines_ < 1) {
    ++lines_left_out_;
    return std::nullopt;
  }
  available_lines_ -= 1;
  return std::exchange(lines_left_out_, 0);
}

}  // namespace query
