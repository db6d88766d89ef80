// Forgets durations by whole windows.

#include "LibQuery/recent_durations.h"

#include <algorithm>
#include <utility>

namespace query {

namespace {

constexpr base::Duration kWindowLength = std::chrono::seconds(30);
constexpr size_t kMinCount = 50;

}  // namespace

void RecentDurations::Add(base::Duration duration, base::Instant now) {
  Advance(now);
  current_.longest = std::max(current_.longest, duration);
  ++current_.count;
}

std::optional<base::Duration> RecentDurations::Longest(base::Instant now) {
  Advance(now);
  if (current_.count + previous_.count < kMinCount)
    return std::nullopt;
  return std::max(current_.longest, previous_.longest);
}

bool RecentDurations::IsEmpty(base::Instant now) const {
  return now - current_begin_ >= 2 * kWindowLength;
}

void RecentDurations::Advance(base::Instant now) {
  const base::Duration age = now - current_begin_;
  if (age < kWindowLength)
    return;
  previous_ = age < 2 * kWindowLength ? current_ : Window{};
  current_ = {};
  current_begin_ = now;
}

}  // namespace query
