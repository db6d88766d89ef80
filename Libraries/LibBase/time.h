// Monotonic time with microsecond resolution. Code that depends on the time
// takes instants as arguments or from a Scheduler, so that tests can run it in
// virtual time.

#ifndef LIBBASE_TIME_H_
#define LIBBASE_TIME_H_

#include <chrono>
#include <cstdint>

namespace base {

using Duration = std::chrono::microseconds;

// A clock for std::chrono that never goes back.
struct MonotonicClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<MonotonicClock>;
  static time_point now();
};

using Instant = MonotonicClock::time_point;

// Returns the time since the Unix epoch. It is for log lines and incarnation
// numbers only, since this clock may jump.
int64_t UnixMilliseconds();

constexpr double ToMilliseconds(Duration duration) {
  return static_cast<double>(duration.count()) / 1000.0;
}

constexpr double ToSeconds(Duration duration) {
  return static_cast<double>(duration.count()) / 1e6;
}

}  // namespace base

#endif  // LIBBASE_TIME_H_
