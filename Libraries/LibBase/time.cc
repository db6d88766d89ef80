// Reads the clocks of the operating system.

#include "LibBase/time.h"

#include <ctime>

namespace base {

MonotonicClock::time_point MonotonicClock::now() {
  // NOTE: Unlike std::chrono::steady_clock, this clock goes on while the host
  // is suspended, so that leases and address holds don't outlive a suspension.
  timespec since_boot{};
  clock_gettime(CLOCK_BOOTTIME, &since_boot);
  return time_point(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(since_boot.tv_sec) +
      std::chrono::nanoseconds(since_boot.tv_nsec)));
}

int64_t UnixMilliseconds() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

}  // namespace base
