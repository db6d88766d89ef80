// Budgets of extra load.

#include "LibUpstream/extra_load_budget.h"

#include <doctest/doctest.h>

#include "Fakes/virtual_scheduler.h"

namespace upstream {
namespace {

using std::chrono::seconds;

constexpr double kShare = 0.2;
constexpr base::Duration kStep = std::chrono::milliseconds(100);
constexpr size_t kStepsPerWindow = 100;
const WindowBudgetRules kRules{seconds(10), 40};

int SpendAll(ExtraLoadBudget& budget) {
  int spent = 0;
  while (budget.TrySpend("service"))
    ++spent;
  return spent;
}

TEST_CASE("a new process has no slack in its first window") {
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

TEST_CASE("what was spent returns only after a whole window") {
  fakes::VirtualScheduler scheduler;
  WindowExtraLoadBudget budget(kRules, scheduler, [] { return 1; });
  scheduler.RunFor(seconds(11));
  CHECK(SpendAll(budget) == 40);
  scheduler.RunFor(seconds(9));
  CHECK(SpendAll(budget) == 0);
  scheduler.RunFor(seconds(2));
  CHECK(SpendAll(budget) == 40);
}

TEST_CASE("no window of any phase exceeds the limit") {
  fakes::VirtualScheduler scheduler;
  WindowExtraLoadBudget budget(kRules, scheduler, [] { return 1; });
  scheduler.RunFor(seconds(11));
  std::vector<int> primary;
  std::vector<int> extra;
  for (int step = 0; step < 1000; ++step) {
    const int load = step % 300 < 150 ? 20 : 1;
    for (int i = 0; i < load; ++i)
      budget.OnPrimary("service", kShare);
    primary.push_back(load);
    extra.push_back(SpendAll(budget));
    scheduler.RunFor(kStep);
  }
  for (size_t end = kStepsPerWindow; end <= extra.size(); ++end) {
    int primaries = 0;
    int extras = 0;
    for (size_t i = end - kStepsPerWindow; i < end; ++i) {
      primaries += primary[i];
      extras += extra[i];
    }
    REQUIRE(extras <= kShare * primaries + kRules.slack);
  }
}

}  // namespace
}  // namespace upstream
