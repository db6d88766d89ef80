// Tests of forwarding nodes during outages of the store and failures of
// servers.

#include "LibNode/forward_core.h"

#include <doctest/doctest.h>

#include <algorithm>

#include "Fakes/forward_tier.h"
#include "LibBase/log.h"

namespace node {
namespace {

using fakes::ForwardTier;
using query::ForwardOutcome;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kNodeCount = 4;
constexpr int kServiceCount = 4;
// Enough requests to tell the weights of a split apart from chance.
constexpr int kSplitRequestCount = 400;
constexpr int kManyNodes = 24;
constexpr base::Duration kRequestTime = milliseconds(500);

std::unique_ptr<ForwardTier> MakeTier() {
  return ForwardTier::CreateSettled(kNodeCount, kServiceCount);
}

bool WasCalled(const fakes::CallLog& log, const std::string& instance) {
  return std::ranges::any_of(
      log, [&](const auto& call) { return call.first == instance; });
}

TEST_CASE("a query to all services is answered with the merged results") {
  const auto tier = MakeTier();
  const auto answer = tier->SendAndWait(0, "/all/x", kRequestTime);
  REQUIRE(answer);
  CHECK(answer->outcome == ForwardOutcome::kMerged);
  CHECK(answer->merged.missing_services == 0);
  CHECK(answer->merged.signatures.size() == kServiceCount);
  CHECK(answer->merged.records.size() == 16 * kServiceCount);
}

TEST_CASE("a request is reported as not run while no configuration is known") {
  base::DisableLog();
  ForwardTier tier(1);
  const auto answer = tier.SendAndWait(0, "/all/x", kRequestTime);
  REQUIRE(answer);
  CHECK(answer->outcome == ForwardOutcome::kNotRun);
  CHECK_FALSE(tier.core(0).is_ready());
}

TEST_CASE("an unknown path has no route") {
  const auto tier = MakeTier();
  CHECK(tier->SendAndWait(0, "/none/x", kRequestTime)->outcome ==
        ForwardOutcome::kNoRoute);
}

TEST_CASE("nodes that the store refuses learn changes from their peers") {
  const auto tier = MakeTier();
  tier->store().rejected_nodes = {"n0", "n1", "n2"};
  tier->PutConfiguration(5, kServiceCount - 1);
  tier->PutServer("xs0", "s0", upstream::ServerPhase::kLeaving);
  tier->RunFor(seconds(3));
  for (int node = 0; node < kNodeCount; ++node) {
    tier->log().clear();
    const auto answer = tier->SendAndWait(node, "/all/x", kRequestTime);
    CHECK(answer->merged.signatures.size() == kServiceCount - 1);
    for (int i = 0; i < 20; ++i)
      tier->SendAndWait(node, "/one/x", milliseconds(100));
    CHECK_FALSE(WasCalled(tier->log(), "xs0"));
  }
}

TEST_CASE(
    "a node restarted during an outage of the store learns from its peers") {
  const auto tier = MakeTier();
  tier->store().outage = true;
  tier->RunFor(seconds(2));
  tier->Restart(1);
  tier->RunFor(seconds(3));
  CHECK(tier->core(1).is_ready());
  CHECK(tier->SendAndWait(1, "/all/x", kRequestTime)->outcome ==
        ForwardOutcome::kMerged);
}

TEST_CASE("a removed server is noticed although the store forgot its history") {
  const auto tier = MakeTier();
  tier->store().outage = true;
  tier->RunFor(seconds(2));
  tier->RemoveServer("xs0");
  tier->PutServer("ys0", "s0", upstream::ServerPhase::kLeaving);
  tier->store().DropHistory();
  tier->store().outage = false;
  tier->RunFor(seconds(5));
  tier->log().clear();
  for (int i = 0; i < 20; ++i)
    tier->SendAndWait(i % kNodeCount, "/one/x", milliseconds(100));
  CHECK_FALSE(WasCalled(tier->log(), "xs0"));
  CHECK_FALSE(WasCalled(tier->log(), "ys0"));
  CHECK(WasCalled(tier->log(), "zs0"));
}

TEST_CASE("requests are split by the weights of a route") {
  const auto tier = MakeTier();
  tier->log().clear();
  for (int i = 0; i < kSplitRequestCount; ++i)
    tier->SendAndWait(i % kNodeCount, "/split/x", milliseconds(20));
  const auto first_service_calls = std::ranges::count_if(
      tier->log(), [](const auto& call) { return call.first.ends_with("s0"); });
  // The expected share is three quarters. The bounds are more than four
  // standard deviations away from it.
  CHECK(tier->log().size() == kSplitRequestCount);
  CHECK(first_service_calls > kSplitRequestCount * 66 / 100);
  CHECK(first_service_calls < kSplitRequestCount * 84 / 100);
}

TEST_CASE("servers whose entries expired during an outage are kept for 2 s") {
  const auto tier = MakeTier();
  tier->store().outage = true;
  tier->RunFor(seconds(6));
  for (const char* server : {"xs0", "ys0", "zs0"})
    tier->RemoveServer(server);
  tier->store().outage = false;
  int relayed_count = 0;
  for (int i = 0; i < 20; ++i) {
    if (i == 3)
      tier->PutServer("xs0", "s0");
    const auto answer =
        tier->SendAndWait(i % kNodeCount, "/one/x", milliseconds(400));
    relayed_count += answer->outcome == ForwardOutcome::kRelayed ? 1 : 0;
  }
  CHECK(relayed_count == 20);
  tier->log().clear();
  for (int i = 0; i < 20; ++i)
    tier->SendAndWait(i % kNodeCount, "/one/x", milliseconds(100));
  CHECK(WasCalled(tier->log(), "xs0"));
  CHECK_FALSE(WasCalled(tier->log(), "ys0"));
  CHECK_FALSE(WasCalled(tier->log(), "zs0"));
}

TEST_CASE(
    "a request that must run once is not repeated unless it has not run") {
  const auto tier = MakeTier();
  tier->repeatability = config::Repeatability::kOnce;
  tier->PutConfiguration(4, kServiceCount);
  tier->RunFor(seconds(2));
  const auto fail_all = [&](upstream::ShardFailure failure) {
    for (const char* server : {"xs0", "ys0", "zs0"})
      tier->scripts()[server].failure = failure;
    tier->log().clear();
    return tier->SendAndWait(0, "/one/x", kRequestTime);
  };
  const auto connection_lost_answer =
      fail_all(upstream::ShardFailure::kConnectionLost);
  CHECK(connection_lost_answer->outcome == ForwardOutcome::kUnknown);
  CHECK(tier->log().size() == 1);
  const auto overloaded_answer = fail_all(upstream::ShardFailure::kOverloaded);
  CHECK(overloaded_answer->outcome == ForwardOutcome::kNotRun);
  CHECK(overloaded_answer->retry_after > base::Duration::zero());
  CHECK(tier->log().size() == 2);  // The route's attempts.
}

TEST_CASE(
    "a query is answered at its objective with the results received so far") {
  const auto tier = MakeTier();
  for (const char* server : {"xs1", "ys1", "zs1"})
    tier->scripts()[server].never_answers = true;
  const auto answer = tier->SendAndWait(0, "/all/x", milliseconds(80));
  REQUIRE(answer);
  CHECK(answer->outcome == ForwardOutcome::kMerged);
  CHECK(answer->merged.missing_services == 1);
}

TEST_CASE("the objective includes the transit time to the caller") {
  const auto tier = MakeTier();
  for (const char* server : {"xs1", "ys1", "zs1"})
    tier->scripts()[server].never_answers = true;
  CHECK_FALSE(tier->SendAndWait(0, "/all/x", milliseconds(67)));
  CHECK(tier->SendAndWait(0, "/all/x", milliseconds(68), milliseconds(10)));
}

TEST_CASE("calls to a straggling server are hedged") {
  const auto tier = MakeTier();
  for (int i = 0; i < 50; ++i)
    tier->SendAndWait(0, "/all/x", milliseconds(30));
  for (const char* server : {"xs1", "ys1"})
    tier->scripts()[server].never_answers = true;
  int complete_count = 0;
  for (int i = 0; i < 20; ++i)
    complete_count += tier->SendAndWait(0, "/all/x", milliseconds(80))
                          ->merged.missing_services == 0;
  CHECK(complete_count >= 18);
}

TEST_CASE("callers are sent to zones that have servers") {
  // All servers are in zone a and half of the nodes in zone b: too many nodes
  // to leave out.
  CHECK(MakeTier()->core(1).CallerAddresses(64, "a").size() == kNodeCount);
  base::DisableLog();
  ForwardTier tier(5);
  tier.PutConfiguration(3, 1);
  tier.PutServer("xs0", "s0");
  tier.RunFor(seconds(5));
  CHECK(tier.core(1).CallerAddresses(64, "a").size() == 3);
  CHECK(tier.core(1).CallerAddresses(2, "a").size() == 2);
}

TEST_CASE("callers are sent to their own zone if it has enough nodes") {
  base::DisableLog();
  ForwardTier tier(9);  // Zone a has 5 of them, zone b 4.
  tier.PutConfiguration(3, 1);
  tier.PutServer("xs0", "s0");
  tier.RunFor(seconds(5));
  CHECK(tier.core(1).CallerAddresses(64, "a").size() == 5);
  // Zone b has no server, but its nodes are too many to be left out.
  CHECK(tier.core(1).CallerAddresses(64, "b").size() == 4);
  CHECK(tier.core(1).CallerAddresses(64, "").size() == 9);
}

TEST_CASE("connections are open before the first request") {
  const auto tier = MakeTier();
  CHECK(tier->transport(0).started() == 0);
  CHECK(tier->transport(0).prepared().size() == 3 * kServiceCount);
}

// Nodes 1 and 3 are in a zone without servers.
TEST_CASE("calls to servers of another zone are delegated to a node there") {
  const auto tier = MakeTier();
  const auto answer = tier->SendAndWait(1, "/all/x", milliseconds(80));
  REQUIRE(answer);
  CHECK(answer->merged.missing_services == 0);
  CHECK(answer->merged.signatures.size() == kServiceCount);
  CHECK(answer->merged.records.size() == 16 * kServiceCount);
  CHECK(tier->transport(1).started() == 0);
  CHECK(tier->transport(0).started() + tier->transport(2).started() ==
        kServiceCount);
}

TEST_CASE("delegated work of another configuration is not executed") {
  const auto tier = MakeTier();
  query::LeafRequest request;
  request.request_id = "r";
  request.upstream = "all";
  request.version = 2;
  request.work = {{0, {0}}};
  request.time_left = kRequestTime;
  request.forward =
      query::ForwardOptions{std::make_shared<upstream::ForwardedRequest>()};
  std::optional<query::LeafAnswer> answer;
  tier->core(0).ExecuteLeaf(request, [&](auto given) { answer = given; });
  tier->RunFor(kRequestTime);
  REQUIRE(answer);
  CHECK(answer->missing.front().reason == query::MissingReason::kVersionGone);
  CHECK(tier->transport(0).started() == 0);
}

// Two nodes of each of two zones watch two prefixes.
constexpr uint64_t kWatches = 8;

TEST_CASE("the load of the store does not grow with the number of nodes") {
  base::DisableLog();
  for (const int nodes : {kManyNodes, 2 * kManyNodes}) {
    ForwardTier tier(nodes);
    tier.PutConfiguration(3, 1);
    tier.PutServer("xs0", "s0");
    tier.RunFor(seconds(12));
    for (int node = 0; node < nodes; ++node)
      CHECK(tier.core(node).is_ready());
    // Each node lists the configuration once. Each watcher lists once more, and
    // watches once for each change or each second.
    const auto node_count = static_cast<uint64_t>(nodes);
    CHECK(tier.store().calls <= node_count + kWatches * (1 + 12 + 1));
    const uint64_t calls_before = tier.store().calls;
    tier.RunFor(seconds(20));
    CHECK(tier.store().calls - calls_before <= kWatches * (20 + 1));
  }
}

// The load pattern: callers that return at once after all processes were
// killed.
TEST_CASE("nodes that were all restarted answer at once") {
  const auto tier = MakeTier();
  for (int node = 0; node < kNodeCount; ++node)
    tier->Restart(node);
  tier->RunFor(milliseconds(100));
  for (int node = 0; node < kNodeCount; ++node)
    CHECK(tier->core(node).is_ready());
  const auto answer = tier->SendAndWait(0, "/all/x", kRequestTime);
  REQUIRE(answer);
  CHECK(answer->outcome == ForwardOutcome::kMerged);
}

TEST_CASE("restarted nodes don't go back to an older configuration") {
  const auto tier = MakeTier();
  tier->store().stale_entries = tier->store().entries;
  tier->PutConfiguration(4, kServiceCount - 1);
  tier->RunFor(seconds(2));
  for (int node = 0; node < kNodeCount; ++node)
    tier->Restart(node);
  tier->RunFor(milliseconds(50));
  const auto answer = tier->SendAndWait(0, "/all/x", kRequestTime);
  REQUIRE(answer);
  CHECK(answer->merged.signatures.size() == kServiceCount - 1);
}

TEST_CASE("what a stale listing says of a removed server is corrected") {
  const auto tier = MakeTier();
  tier->store().stale_entries = tier->store().entries;
  tier->RemoveServer("xs0");
  tier->RunFor(seconds(3));
  for (int node = 0; node < kNodeCount; ++node)
    tier->Restart(node);
  tier->RunFor(seconds(2));
  tier->log().clear();
  for (int i = 0; i < 20; ++i)
    tier->SendAndWait(i % kNodeCount, "/one/x", milliseconds(50));
  CHECK(WasCalled(tier->log(), "ys0"));
  CHECK_FALSE(WasCalled(tier->log(), "xs0"));
}

// Servers that leave must get no more requests after 3 s, on any machine and
// under load. Half of it is left for that.
constexpr base::Duration kNewsBound = milliseconds(1500);

TEST_CASE("a frozen reader of the store holds up no news of leaving servers") {
  // Nodes 0 and 2 are in one zone. The store refuses the nodes of the other.
  for (const int frozen : {0, 2}) {
    const auto tier = MakeTier();
    tier->store().rejected_nodes = {"n1", "n3"};
    tier->RunFor(seconds(4));
    tier->Freeze(frozen);
    tier->PutServer("xs0", "s0", upstream::ServerPhase::kLeaving);
    tier->RunFor(kNewsBound);
    tier->log().clear();
    for (int i = 0; i < 20; ++i)
      tier->SendAndWait(2 - frozen, "/one/x", milliseconds(50));
    CHECK(WasCalled(tier->log(), "ys0"));
    CHECK_FALSE(WasCalled(tier->log(), "xs0"));
  }
}

TEST_CASE("a removal that all nodes missed is found when a node lists again") {
  const auto tier = MakeTier();
  tier->store().outage = true;
  tier->RunFor(seconds(2));
  // The new processes learn of xs0 from each other only.
  for (int node = 0; node + 1 < kNodeCount; ++node)
    tier->Restart(node);
  tier->RunFor(seconds(2));
  tier->Restart(kNodeCount - 1);
  tier->RunFor(seconds(2));
  tier->RemoveServer("xs0");
  tier->store().DropHistory();
  tier->store().outage = false;
  tier->RunFor(seconds(8));
  tier->log().clear();
  for (int i = 0; i < 20; ++i)
    tier->SendAndWait(i % kNodeCount, "/one/x", milliseconds(50));
  CHECK(WasCalled(tier->log(), "ys0"));
  CHECK_FALSE(WasCalled(tier->log(), "xs0"));
}

// Bounds of the platform's rules: a server that was removed gets no request
// this long after its removal, from nodes that were undisturbed for the stable
// time.
constexpr base::Duration kRemovalBound = seconds(3);
constexpr base::Duration kStableTime = seconds(4);
// The delay between the disturbance and the removal.
constexpr base::Duration kRemovalDelay = milliseconds(100);
static_assert(kRemovalDelay + kRemovalBound < kStableTime);

TEST_CASE("a removal is not held back because a connection went silent") {
  for (base::Duration phase{}; phase < seconds(5); phase += milliseconds(250)) {
    CAPTURE(phase.count());
    const auto tier = MakeTier();
    tier->RunFor(phase);
    tier->store().SilenceOpenConnections();
    tier->RunFor(kRemovalDelay);
    tier->RemoveServer("xs0");
    tier->RunFor(kStableTime - kRemovalDelay);
    tier->log().clear();
    for (int i = 0; i < 20; ++i)
      tier->SendAndWait(i % kNodeCount, "/one/x", milliseconds(20));
    CHECK(WasCalled(tier->log(), "ys0"));
    CHECK_FALSE(WasCalled(tier->log(), "xs0"));
  }
}

}  // namespace
}  // namespace node
