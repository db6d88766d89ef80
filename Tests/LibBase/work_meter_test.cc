// Tests what the work meter reports of tasks and timers.

#include "LibBase/work_meter.h"

#include <doctest/doctest.h>

#include <chrono>
#include <string>

#include "Fakes/virtual_scheduler.h"

namespace base {
namespace {

using std::chrono::milliseconds;

TEST_CASE("a summary holds the tasks and the latest timer since the last one") {
  fakes::VirtualScheduler scheduler;
  Metrics metrics;
  WorkMeter meter(scheduler, metrics);
  for (int i = 0; i < 2; ++i) {
    const auto span = meter.Measure("merge");
    scheduler.RunFor(milliseconds(3));
  }
  meter.OnTimer(milliseconds(7));
  meter.OnTimer(milliseconds(2));
  const WorkMeter::Summary summary = meter.TakeSummary();
  CHECK(summary.tasks == "merge 6 ms (2)");
  CHECK(summary.max_timer_delay == milliseconds(7));
  CHECK(meter.TakeSummary().tasks.empty());
  CHECK(metrics.ToPrometheusText().find(
            "celerycroft_work_seconds_count{task=\"merge\"} 2") !=
        std::string::npos);
}

}  // namespace
}  // namespace base
