// Forwarding nodes against outages of the store and failing servers.

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

constexpr int kNodes = 4;
constexpr int kServices = 4;
// Enough for the weights of a split to show.
constexpr int kRequests = 400;
constexpr base::Duration kWholeTime = milliseconds(500);

// A tier of `kNodes` nodes and `kServices` services of 3 servers, settled.
std::unique_ptr<ForwardTier> MakeTier() {
  base::DisableLog();
  auto tier = std::make_unique<ForwardTier>(kNodes);
  tier->PutConfiguration(3, kServices);
  for (int service = 0; service < kServices; ++service) {
    for (const char* server : {"x", "y", "z"}) {
      const std::string name = "s" + std::to_string(service);
      tier->PutServer(server + name, name);
    }
  }
  tier->RunFor(seconds(12));
  return tier;
}

bool WasCalled(const fakes::CallLog& log, const std::string& instance) {
  return std::ranges::any_of(
      log, [&](const auto& call) { return call.first == instance; });
}

TEST_CASE("a query over all services is merged") {
  const auto tier = MakeTier();
  const auto answer = tier->Ask(0, "/all/x", kWholeTime);
  REQUIRE(answer);
  CHECK(answer->outcome == ForwardOutcome::kMerged);
  CHECK(answer->merged.missing == 0);
  CHECK(answer->merged.signatures.size() == kServices);
  CHECK(answer->merged.records.size() == 16 * kServices);
}

TEST_CASE("before a configuration is known nothing is denied") {
  base::DisableLog();
  ForwardTier tier(1);
  const auto answer = tier.Ask(0, "/all/x", kWholeTime);
  REQUIRE(answer);
  CHECK(answer->outcome == ForwardOutcome::kNotRun);
  CHECK_FALSE(tier.core(0).is_ready());
}

TEST_CASE("an unknown path has no route") {
  const auto tier = MakeTier();
  CHECK(tier->Ask(0, "/none/x", kWholeTime)->outcome ==
        ForwardOutcome::kNoRoute);
}

TEST_CASE("nodes that the store turns away learn from their peers") {
  const auto tier = MakeTier();
  tier->store().rejected_nodes = {"n0", "n1", "n2"};
  tier->PutConfiguration(5, kServices - 1);
  tier->PutServer("xs0", "s0", upstream::ServerPhase::kLeaving);
  tier->RunFor(seconds(3));
  for (int node = 0; node < kNodes; ++node) {
    tier->log().clear();
    const auto answer = tier->Ask(node, "/all/x", kWholeTime);
    CHECK(answer->merged.signatures.size() == kServices - 1);
    for (int i = 0; i < 20; ++i)
      tier->Ask(node, "/one/x", milliseconds(100));
    CHECK_FALSE(WasCalled(tier->log(), "xs0"));
  }
}

TEST_CASE("a node restarted while the store is away learns from its peers") {
  const auto tier = MakeTier();
  tier->store().outage = true;
  tier->RunFor(seconds(2));
  tier->Restart(1);
  tier->RunFor(seconds(3));
  CHECK(tier->core(1).is_ready());
  CHECK(tier->Ask(1, "/all/x", kWholeTime)->outcome == ForwardOutcome::kMerged);
}

TEST_CASE("forgotten history does not hide a removed server") {
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
    tier->Ask(i % kNodes, "/one/x", milliseconds(100));
  CHECK_FALSE(WasCalled(tier->log(), "xs0"));
  CHECK_FALSE(WasCalled(tier->log(), "ys0"));
  CHECK(WasCalled(tier->log(), "zs0"));
}

TEST_CASE("requests are split by the weights of a route") {
  const auto tier = MakeTier();
  tier->log().clear();
  for (int i = 0; i < kRequests; ++i)
    tier->Ask(i % kNodes, "/split/x", milliseconds(20));
  const auto at_first = std::ranges::count_if(
      tier->log(), [](const auto& call) { return call.first.ends_with("s0"); });
  // Three quarters, by more than four standard deviations either way.
  CHECK(tier->log().size() == kRequests);
  CHECK(at_first > kRequests * 66 / 100);
  CHECK(at_first < kRequests * 84 / 100);
}

TEST_CASE("an entry that lapsed during an outage may come back for 2 s") {
  const auto tier = MakeTier();
  tier->store().outage = true;
  tier->RunFor(seconds(6));
  for (const char* server : {"xs0", "ys0", "zs0"})
    tier->RemoveServer(server);
  tier->store().outage = false;
  int served = 0;
  for (int i = 0; i < 20; ++i) {
    if (i == 3)
      tier->PutServer("xs0", "s0");
    const auto answer = tier->Ask(i % kNodes, "/one/x", milliseconds(400));
    served += answer->outcome == ForwardOutcome::kRelayed ? 1 : 0;
  }
  CHECK(served == 20);
  tier->log().clear();
  for (int i = 0; i < 20; ++i)
    tier->Ask(i % kNodes, "/one/x", milliseconds(100));
  CHECK(WasCalled(tier->log(), "xs0"));
  CHECK_FALSE(WasCalled(tier->log(), "ys0"));
  CHECK_FALSE(WasCalled(tier->log(), "zs0"));
}

TEST_CASE(
    "a request that must run once is not repeated unless it has not run") {
  const auto tier = MakeTier();
  tier->repeatability = config::Repeatability::kOnce;
  tier->PutConfiguration(4, kServices);
  tier->RunFor(seconds(2));
  const auto fail_all = [&](upstream::ShardFailure failure) {
    for (const char* server : {"xs0", "ys0", "zs0"})
      tier->scripts()[server].failure = failure;
    tier->log().clear();
    return tier->Ask(0, "/one/x", kWholeTime);
  };
  const auto lost = fail_all(upstream::ShardFailure::kConnectionLost);
  CHECK(lost->outcome == ForwardOutcome::kUnknown);
  CHECK(tier->log().size() == 1);
  const auto refused = fail_all(upstream::ShardFailure::kOverloaded);
  CHECK(refused->outcome == ForwardOutcome::kNotRun);
  CHECK(refused->retry_after > base::Duration::zero());
  CHECK(tier->log().size() == 2);  // The route's attempts.
}

TEST_CASE("a query completes at its objective with what is in") {
  const auto tier = MakeTier();
  for (const char* server : {"xs1", "ys1", "zs1"})
    tier->scripts()[server].never_answers = true;
  const auto answer = tier->Ask(0, "/all/x", milliseconds(80));
  REQUIRE(answer);
  CHECK(answer->outcome == ForwardOutcome::kMerged);
  CHECK(answer->merged.missing == 1);
}

TEST_CASE("the transit to the caller counts in the objective") {
  const auto tier = MakeTier();
  for (const char* server : {"xs1", "ys1", "zs1"})
    tier->scripts()[server].never_answers = true;
  CHECK_FALSE(tier->Ask(0, "/all/x", milliseconds(67)));
  CHECK(tier->Ask(0, "/all/x", milliseconds(68), milliseconds(10)));
}

TEST_CASE("a straggling server is hedged") {
  const auto tier = MakeTier();
  for (int i = 0; i < 50; ++i)
    tier->Ask(0, "/all/x", milliseconds(30));
  for (const char* server : {"xs1", "ys1"})
    tier->scripts()[server].never_answers = true;
  int whole = 0;
  for (int i = 0; i < 20; ++i)
    whole += tier->Ask(0, "/all/x", milliseconds(80))->merged.missing == 0;
  CHECK(whole >= 18);
}

TEST_CASE("callers are sent to zones that have servers") {
  // All servers are in zone a, half of the nodes in b: too many to leave out.
  CHECK(MakeTier()->core(1).CallerAddresses(64).size() == kNodes);
  base::DisableLog();
  ForwardTier tier(5);
  tier.PutConfiguration(3, 1);
  tier.PutServer("xs0", "s0");
  tier.RunFor(seconds(5));
  CHECK(tier.core(1).CallerAddresses(64).size() == 3);
  CHECK(tier.core(1).CallerAddresses(2).size() == 2);
}

// Nodes 1 and 3 are in a zone without servers.
TEST_CASE("servers of another zone are called by a node there") {
  const auto tier = MakeTier();
  const auto answer = tier->Ask(1, "/all/x", milliseconds(80));
  REQUIRE(answer);
  CHECK(answer->merged.missing == 0);
  CHECK(answer->merged.signatures.size() == kServices);
  CHECK(answer->merged.records.size() == 16 * kServices);
  CHECK(tier->transport(1).started() == 0);
  CHECK(tier->transport(0).started() + tier->transport(2).started() ==
        kServices);
}

TEST_CASE("work under another configuration is not done for others") {
  const auto tier = MakeTier();
  query::LeafRequest request;
  request.request_id = "r";
  request.upstream = "all";
  request.version = 2;
  request.work = {{0, {0}}};
  request.time_left = kWholeTime;
  request.forward =
      query::ForwardOptions{std::make_shared<upstream::ForwardedRequest>()};
  std::optional<query::LeafAnswer> answer;
  tier->core(0).ExecuteLeaf(request, [&](auto given) { answer = given; });
  tier->RunFor(kWholeTime);
  REQUIRE(answer);
  CHECK(answer->missing.front().reason == query::MissingReason::kVersionGone);
  CHECK(tier->transport(0).started() == 0);
}

TEST_CASE("one node of each availability zone watches the store") {
  const auto tier = MakeTier();
  const uint64_t before = tier->store().calls;
  tier->RunFor(seconds(20));
  // Two zones, two prefixes, a watch each 4 s; and a listing of each prefix
  // by the others.
  CHECK(tier->store().calls - before <= 2 * 2 * 6 + 2 * 2 * 6);
}

}  // namespace
}  // namespace node
