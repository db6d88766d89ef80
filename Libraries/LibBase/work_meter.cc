// Histograms of the tasks, and totals for the periodic log line.

#include "LibBase/work_meter.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace base {

WorkMeter::Span::Span(WorkMeter& meter, std::string_view task)
    : meter_(meter), task_(task), started_(meter.scheduler_.Now()) {}

WorkMeter::Span::~Span() {
  meter_.OnEnded(task_, meter_.scheduler_.Now() - started_);
}

void WorkMeter::OnTimer(Duration delay) {
  metrics_.Observe("celerycroft_timer_delay_seconds", "", delay);
  const std::lock_guard lock(mutex_);
  max_timer_delay_ = std::max(max_timer_delay_, delay);
}

WorkMeter::Summary WorkMeter::TakeSummary() {
  std::map<std::string_view, Total> totals;
  Summary summary;
  {
    const std::lock_guard lock(mutex_);
    totals.swap(totals_);
    summary.max_timer_delay = std::exchange(max_timer_delay_, Duration());
  }
  std::ostringstream text;
  for (const auto& [task, total] : totals)
    text << (text.tellp() > 0 ? ", " : "") << task << " "
         << ToMilliseconds(total.time) << " ms (" << total.count << ")";
  summary.tasks = text.str();
  return summary;
}

void WorkMeter::OnEnded(std::string_view task, Duration took) {
  metrics_.Observe("celerycroft_work_seconds",
                   "task=\"" + std::string(task) + "\"", took);
  const std::lock_guard lock(mutex_);
  Total& total = totals_[task];
  total.time += took;
  ++total.count;
}

}  // namespace base
