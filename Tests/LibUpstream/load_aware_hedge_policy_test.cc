// Tests the hedge delay against calls of which some are slow.

#include "LibUpstream/load_aware_hedge_policy.h"

#include <doctest/doctest.h>

namespace upstream {
namespace {

using std::chrono::milliseconds;

constexpr base::Duration kUsualLatency = milliseconds(8);
constexpr base::Duration kSlowLatency = milliseconds(70);
constexpr int kCallCount = 1000;

// Records calls of which every sixth is slow, as when 15% of the servers are.
void RecordCalls(LoadAwareHedgePolicy& policy, int running, int slots) {
  for (int call = 0; call < kCallCount; ++call) {
    policy.OnAnswer("search", call % 6 == 0 ? kSlowLatency : kUsualLatency);
    policy.OnLoadReport("search", {running, 0, slots});
  }
}

TEST_CASE("calls to idle servers are hedged before the slow ones answer") {
  LoadAwareHedgePolicy policy;
  RecordCalls(policy, 0, 7);
  REQUIRE(policy.Delay("search"));
  CHECK(*policy.Delay("search") < 2 * kUsualLatency);
  CHECK_FALSE(policy.Delay("other"));
}

TEST_CASE("busy servers get few hedges") {
  LoadAwareHedgePolicy policy;
  RecordCalls(policy, 7, 7);
  CHECK(*policy.Delay("search") >= kSlowLatency);
}

TEST_CASE("servers that report no load count as busy") {
  LoadAwareHedgePolicy policy;
  for (int call = 0; call < kCallCount; ++call)
    policy.OnAnswer("search", call % 6 == 0 ? kSlowLatency : kUsualLatency);
  CHECK(*policy.Delay("search") >= kSlowLatency);
}

}  // namespace
}  // namespace upstream
