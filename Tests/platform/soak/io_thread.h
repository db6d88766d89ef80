// An io_context with a thread.

#ifndef SOAK_IO_THREAD_H_
#define SOAK_IO_THREAD_H_

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <thread>

namespace soak {

// Runs an io_context on a thread of its own.
class IoThread {
 public:
  IoThread() : thread_([this] { io_.run(); }) {}
  ~IoThread() { Stop(); }
  boost::asio::io_context& io() { return io_; }
  void Stop() {
    io_.stop();
    if (thread_.joinable())
      thread_.join();
  }

 private:
  boost::asio::io_context io_{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_{io_.get_executor()};
  std::jthread thread_;
};

}  // namespace soak

#endif  // SOAK_IO_THREAD_H_
