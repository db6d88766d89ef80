// Tests that the sliding window budget keeps to its limit.

#include "LibUpstream/extra_load_budget.h"

#include <doctest/doctest.h>

#include "Fakes/virtual_scheduler.h"

namespace upstream {
namespace {

using std::chrono::seconds;

constexpr double kShare = 0.2;
constexpr base::Duration kStepLength = std::chrono::milliseconds(100);
constexpr size_t kStepsPerWindow = 100;
const WindowBudgetRules kRules{seconds(10), 40};

int SpendAll(ExtraLoadBudget& budget) {
  int spent = 0;
  while (budget.TrySpend("service"))
    ++spent;
  return spent;
}

TEST_CASE("slack is not available in the first window after the start") {
  fakes::VirtualScheduler scheduler;
  WindowExtraLoadBudget budget(kRules, scheduler, [] { return 4; });
  CHECK(SpendAll(budget) == 0);
  for (int i = 0; i < 50; ++i)
    budget.OnPrimary("service", kShare);
  CHECK(SpendAll(budget) == 10);
}

TEST_CASE("the slack is split among the nodes") {
  fakes::VirtualScheduler scheduler;
  WindowExtraLoadBudget budget(kRules, scheduler, [] { return 4; });
  scheduler.RunFor(seconds(11));
  CHECK(SpendAll(budget) == 10);
}

TEST_CASE("spent slack becomes available again after a whole window") {
  fakes::VirtualScheduler scheduler;
  WindowExtraLoadBudget budget(kRules, scheduler, [] { return 1; });
  scheduler.RunFor(seconds(11));
  CHECK(SpendAll(budget) == 40);
  scheduler.RunFor(seconds(9));
  CHECK(SpendAll(budget) == 0);
  scheduler.RunFor(seconds(2));
  CHECK(SpendAll(budget) == 40);
}

TEST_CASE("no window exceeds the limit, wherever it starts") {
  fakes::VirtualScheduler scheduler;
  WindowExtraLoadBudget budget(kRules, scheduler, [] { return 1; });
  scheduler.RunFor(seconds(11));
  std::vector<int> primaries_by_step;
  std::vector<int> extras_by_step;
  for (int step = 0; step < 1000; ++step) {
    const int primaries_this_step = step % 300 < 150 ? 20 : 1;
    for (int i = 0; i < primaries_this_step; ++i)
      budget.OnPrimary("service", kShare);
    primaries_by_step.push_back(primaries_this_step);
    extras_by_step.push_back(SpendAll(budget));
    scheduler.RunFor(kStepLength);
  }
  for (size_t end = kStepsPerWindow; end <= extras_by_step.size(); ++end) {
    int primaries = 0;
    int extras = 0;
    for (size_t i = end - kStepsPerWindow; i < end; ++i) {
      primaries += primaries_by_step[i];
      extras += extras_by_step[i];
    }
    REQUIRE(extras <= kShare * primaries + kRules.slack);
  }
}

}  // namespace
}  // namespace upstream
