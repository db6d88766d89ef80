// Tests of the monitor with loops whose tasks the test runs.

#include "LibBase/event_loop_monitor.h"

#include <doctest/doctest.h>

#include <utility>

#include "LibBase/log.h"

namespace {

// A loop that runs its tasks when told to.
struct ManualLoop {
  std::vector<std::function<void()>> tasks;

  void Run() {
    for (const auto& task : std::exchange(tasks, {}))
      task();
  }
};

TEST_CASE("a loop that runs no task counts as stalled until it does") {
  base::DisableLog();
  ManualLoop running;
  ManualLoop stuck;
  const auto post_to = [](ManualLoop& loop) {
    return [&loop](auto task) { loop.tasks.push_back(std::move(task)); };
  };
  base::EventLoopMonitor monitor(
      {{"running", post_to(running)}, {"stuck", post_to(stuck)}});
  for (int period = 0; period < base::EventLoopMonitor::kStalledPeriods;
       ++period) {
    monitor.Check();
    running.Run();
    CHECK(monitor.stalled_loop_count() == 0);
  }
  monitor.Check();
  CHECK(monitor.stalled_loop_count() == 1);
  CHECK(stuck.tasks.size() == 1);
  stuck.Run();
  monitor.Check();
  CHECK(monitor.stalled_loop_count() == 0);
}

}  // namespace
