// Time and deferred work as an interface. The real one runs on Asio threads;
// tests and benchmarks use one in virtual time.

#ifndef LIBBASE_SCHEDULER_H_
#define LIBBASE_SCHEDULER_H_

#include <cstdint>
#include <functional>

#include "LibBase/time.h"

namespace base {

enum class TimerId : uint64_t { kNone = 0 };

class Scheduler {
 public:
  virtual ~Scheduler() = default;

  virtual Instant Now() const = 0;

  // Runs `task` once after `delay`, on any thread of the scheduler.
  virtual TimerId After(Duration delay, std::function<void()> task) = 0;

  // Runs `task` soon, never from within Post.
  virtual void Post(std::function<void()> task) = 0;

  // A cancelled task may still run if it had already started.
  virtual void Cancel(TimerId timer) = 0;
};

}  // namespace base

#endif  // LIBBASE_SCHEDULER_H_
