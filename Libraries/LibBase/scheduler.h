// An interface to a clock and to deferred tasks. AsioScheduler runs tasks on
// Asio threads; tests and benchmarks use a scheduler with virtual time.

#ifndef LIBBASE_SCHEDULER_H_
#define LIBBASE_SCHEDULER_H_

#include <cstdint>
#include <functional>

#include "LibBase/time.h"

namespace base {

// Identifies a task for Cancel; kNone identifies no task.
enum class TimerId : uint64_t { kNone = 0 };

// Tells the time and runs tasks later.
class Scheduler {
 public:
  virtual ~Scheduler() = default;

  virtual Instant Now() const = 0;

  // Runs `task` once after `delay`, on any thread of the scheduler. Returns the
  // id with which the task can be cancelled.
  virtual TimerId After(Duration delay, std::function<void()> task) = 0;

  // Runs `task` as soon as possible, but never from within the call of Post.
  virtual void Post(std::function<void()> task) = 0;

  // Cancels a task of After. A task that has already started is not
  // interrupted. A task whose delay has already passed may still start.
  virtual void Cancel(TimerId timer) = 0;
};

}  // namespace base

#endif  // LIBBASE_SCHEDULER_H_
