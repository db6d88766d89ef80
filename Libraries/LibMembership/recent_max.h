// The greatest of the numbers that were recorded lately.

#ifndef LIBMEMBERSHIP_RECENT_MAX_H_
#define LIBMEMBERSHIP_RECENT_MAX_H_

#include <algorithm>
#include <cstddef>

#include "LibBase/time.h"

namespace membership {

// Keeps a number for one to two periods.
class RecentMax {
 public:
  static constexpr base::Duration kPeriod = std::chrono::seconds(3);

  void Record(size_t number, base::Instant now) {
    Advance(now);
    current_ = std::max(current_, number);
  }

  size_t Max(base::Instant now) {
    Advance(now);
    return std::max(current_, previous_);
  }

 private:
  void Advance(base::Instant now) {
    if (now - period_start_ < kPeriod)
      return;
    previous_ = now - period_start_ < 2 * kPeriod ? current_ : 0;
    current_ = 0;
    period_start_ = now;
  }

  base::Instant period_start_{};
  size_t current_ = 0;
  size_t previous_ = 0;  // Of the period before.
};

}  // namespace membership

#endif  // LIBMEMBERSHIP_RECENT_MAX_H_
