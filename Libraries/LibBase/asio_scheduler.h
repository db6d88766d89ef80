// A Scheduler that uses an Asio io_context.

#ifndef LIBBASE_ASIO_SCHEDULER_H_
#define LIBBASE_ASIO_SCHEDULER_H_

#include <memory>

#include "LibBase/scheduler.h"

namespace boost::asio {
class io_context;
}

namespace base {

// Runs tasks on the threads that run the io_context.
class AsioScheduler final : public Scheduler {
 public:
  explicit AsioScheduler(boost::asio::io_context& io);
  ~AsioScheduler() override;

  Instant Now() const override { return MonotonicClock::now(); }
  TimerId After(Duration delay, std::function<void()> task) override;
  void Post(std::function<void()> task) override;
  void Cancel(TimerId timer) override;

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace base

#endif  // LIBBASE_ASIO_SCHEDULER_H_
