// Measures how long the tasks of a process take, and how late its timers fire.

#ifndef LIBBASE_WORK_METER_H_
#define LIBBASE_WORK_METER_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

#include "LibBase/metrics.h"
#include "LibBase/scheduler.h"

namespace base {

// Safe to use from several threads.
class WorkMeter {
 public:
  // Measures one task until it is destroyed.
  class Span {
   public:
    Span(WorkMeter& meter, std::string_view task);
    ~Span();
    Span(const Span&) = delete;
    Span& operator=(const Span&) = delete;

   private:
    WorkMeter& meter_;
    const std::string_view task_;
    const Instant started_;
  };

  // `scheduler` and `metrics` outlive the meter.
  WorkMeter(const Scheduler& scheduler, Metrics& metrics)
      : scheduler_(scheduler), metrics_(metrics) {}

  // Measures a task, which may be a part of another one, until the result is
  // destroyed. `task` must be a string literal.
  [[nodiscard]] Span Measure(std::string_view task) { return {*this, task}; }

  // Records that a timer fired `delay` later than it was due.
  void OnTimer(Duration delay);

  // What was measured since the last call of TakeSummary.
  struct Summary {
    Duration max_timer_delay{};
    std::string tasks;  // Each task's time in ms and number of times.
  };
  Summary TakeSummary();

 private:
  struct Total {
    Duration time{};
    uint64_t count = 0;
  };

  void OnEnded(std::string_view task, Duration took);

  const Scheduler& scheduler_;
  Metrics& metrics_;
  std::mutex mutex_;
  // Both guarded by `mutex_`.
  std::map<std::string_view, Total> totals_;  // By task.
  Duration max_timer_delay_{};
};

}  // namespace base

#endif  // LIBBASE_WORK_METER_H_
