// Notices event loops that have stopped running tasks, for example because
// their thread waits for a lock that it holds itself.

#ifndef LIBBASE_EVENT_LOOP_MONITOR_H_
#define LIBBASE_EVENT_LOOP_MONITOR_H_

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "LibBase/time.h"

namespace base {

// An event loop that is run by one thread.
struct MonitoredLoop {
  std::string name;
  // Queues a task for the loop. Must not wait for the loop.
  std::function<void(std::function<void()> task)> post;
};

class EventLoopMonitor {
 public:
  // How often the loops are checked.
  static constexpr Duration kPeriod = std::chrono::seconds(1);
  // A loop counts as stalled if it has not run a task for this many periods.
  // Periods are counted, not timed, since a paused process stalls no loop.
  static constexpr int kStalledPeriods = 3;

  explicit EventLoopMonitor(std::vector<MonitoredLoop> loops);
  // Stops the thread. The loops must accept tasks until then.
  ~EventLoopMonitor();

  // Starts a thread that calls Check in each period.
  void Start();

  // Logs the loops that have stalled, or have resumed, since the last call, and
  // posts a task to each loop that has run the last one.
  void Check();

  size_t stalled_loop_count() const { return stalled_loop_count_; }

 private:
  struct State {
    explicit State(MonitoredLoop monitored) : loop(std::move(monitored)) {}

    const MonitoredLoop loop;
    // Whether the loop has run the last task; written on the loop's thread, and
    // shared with the task.
    const std::shared_ptr<std::atomic<bool>> has_answered =
        std::make_shared<std::atomic<bool>>(true);
    int unanswered_periods = 0;
  };

  void CheckLoop(State& state);

  // Used by one thread at a time.
  std::vector<State> states_;
  std::atomic<size_t> stalled_loop_count_{0};
  std::jthread thread_;
};

}  // namespace base

#endif  // LIBBASE_EVENT_LOOP_MONITOR_H_
