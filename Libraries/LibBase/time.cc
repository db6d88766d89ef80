// The process's monotonic clock.

#include "LibBase/time.h"

namespace base {

MonotonicClock::time_point MonotonicClock::now() {
  const auto since_boot = std::chrono::steady_clock::now().time_since_epoch();
  return time_point(std::chrono::duration_cast<Duration>(since_boot));
}

}  // namespace base
