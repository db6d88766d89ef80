// Tests that servers which say in their answers that they are leaving get no
// more requests, whatever the store says of them.

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "Fakes/forward_tier.h"

namespace node {
namespace {

using fakes::ForwardTier;
using query::ForwardOutcome;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kNodeCount = 4;
constexpr int kServiceCount = 2;
constexpr int kRequestCount = 60;
constexpr base::Duration kGap = milliseconds(30);
const std::vector<std::string> kServers = {"xs0", "ys0", "zs0"};

// Sends requests for one service to the nodes in turn.
void SendToAll(ForwardTier& tier, int nodes = kNodeCount) {
  for (int i = 0; i < kRequestCount; ++i)
    tier.SendAndWait(i % nodes, "/one/x", kGap);
}

// Returns how many calls the server got since the log was cleared last.
int64_t CallsOf(ForwardTier& tier, const std::string& instance) {
  return std::ranges::count(tier.log(), instance,
                            [](const auto& call) { return call.first; });
}

// Returns a tier in which all nodes have heard from the first server that it is
// leaving.
std::unique_ptr<ForwardTier> MakeTierWithLeavingServer() {
  auto tier = ForwardTier::CreateSettled(kNodeCount, kServiceCount);
  tier->scripts()["xs0"].statement.is_leaving = true;
  SendToAll(*tier);
  tier->log().clear();
  return tier;
}

void CheckIsNotUsed(ForwardTier& tier) {
  tier.log().clear();
  SendToAll(tier);
  CHECK(CallsOf(tier, "xs0") == 0);
  CHECK(CallsOf(tier, "ys0") > 0);
}

// Requests reached a server until it ended, and were lost with it, as only its
// entry in the store counted.
TEST_CASE("a server that says it is leaving gets no more requests") {
  SUBCASE("while the store lists it as ready") {
    const auto tier = MakeTierWithLeavingServer();
    CheckIsNotUsed(*tier);
  }
  SUBCASE("while the store is silent") {
    const auto tier = ForwardTier::CreateSettled(kNodeCount, kServiceCount);
    tier->store().outage = true;
    tier->RunFor(milliseconds(300));
    tier->scripts()["xs0"].statement.is_leaving = true;
    SendToAll(*tier);
    CheckIsNotUsed(*tier);
    tier->store().outage = false;
    tier->RunFor(seconds(3));
    CheckIsNotUsed(*tier);
  }
  SUBCASE("although its entry is written again as ready") {
    const auto tier = MakeTierWithLeavingServer();
    tier->PutServer("xs0", "s0");
    tier->RunFor(seconds(1));
    CheckIsNotUsed(*tier);
  }
  SUBCASE("although its entry is removed and comes back") {
    const auto tier = MakeTierWithLeavingServer();
    tier->RemoveServer("xs0");
    tier->RunFor(seconds(3));
    tier->PutServer("xs0", "s0");
    tier->RunFor(seconds(1));
    CheckIsNotUsed(*tier);
  }
  SUBCASE("although later answers don't say so") {
    const auto tier = MakeTierWithLeavingServer();
    tier->scripts()["xs0"].statement = {};
    CheckIsNotUsed(*tier);
  }
  SUBCASE("although the store comes back in another era") {
    const auto tier = MakeTierWithLeavingServer();
    tier->store().RestoreFrom(fakes::FakeEntryStoreState(tier->store()));
    tier->RunFor(seconds(12));
    CheckIsNotUsed(*tier);
  }
  SUBCASE("although the nodes compare what they know") {
    const auto tier = MakeTierWithLeavingServer();
    tier->RunFor(seconds(20));
    CheckIsNotUsed(*tier);
  }
}

TEST_CASE("a new run of an instance that was leaving gets work at once") {
  const auto tier = MakeTierWithLeavingServer();
  tier->scripts()["xs0"].statement = {};
  tier->StartServerAgain("xs0", "s0");
  tier->RunFor(milliseconds(500));
  tier->log().clear();
  SendToAll(*tier);
  CHECK(CallsOf(*tier, "xs0") > 0);
}

TEST_CASE("a late answer of an earlier run does not retire the new one") {
  const auto tier = ForwardTier::CreateSettled(kNodeCount, kServiceCount);
  const upstream::ServerTarget earlier{"10.1.0.1:1000", 1, "xs0", 1};
  tier->StartServerAgain("xs0", "s0");
  tier->RunFor(milliseconds(500));
  for (int node = 0; node < kNodeCount; ++node)
    tier->core(node).OnStatement(earlier, tier->Now(), {.is_leaving = true});
  SendToAll(*tier);
  CHECK(CallsOf(*tier, "xs0") > 0);
}

// Requests choose among the servers that there were when they began.
TEST_CASE("a request that runs already is not repeated at a server that left") {
  const auto tier = ForwardTier::CreateSettled(kNodeCount, kServiceCount);
  tier->repeatability = config::Repeatability::kOnce;
  tier->PutConfiguration(4, kServiceCount);
  tier->PutServer("ys0", "s0", upstream::ServerPhase::kLeaving);
  tier->RunFor(seconds(1));
  tier->scripts()["zs0"].failure = upstream::ShardFailure::kOverloaded;
  tier->scripts()["zs0"].service_time = milliseconds(300);
  const auto begin_request_at_other_server = [&] {
    do {
      tier->RunFor(seconds(1));
      tier->log().clear();
      tier->SendAndWait(0, "/one/x", milliseconds(50));
    } while (CallsOf(*tier, "zs0") == 0);
  };
  begin_request_at_other_server();
  SUBCASE("by its answers") {
    tier->core(0).OnStatement({"", 1, "xs0", 1}, tier->Now(),
                              {.is_leaving = true});
  }
  SUBCASE("by its entry") {
    tier->PutServer("xs0", "s0", upstream::ServerPhase::kLeaving);
  }
  tier->RunFor(milliseconds(350));
  CHECK(CallsOf(*tier, "xs0") == 0);
  // A new run is called again.
  tier->StartServerAgain("xs0", "s0");
  tier->RunFor(seconds(1));
  begin_request_at_other_server();
  tier->RunFor(milliseconds(350));
  CHECK(CallsOf(*tier, "xs0") == 1);
}

TEST_CASE(
    "callers are told at once when all servers of a service are leaving") {
  const auto tier = ForwardTier::CreateSettled(kNodeCount, kServiceCount);
  for (const std::string& server : kServers)
    tier->scripts()[server].statement.is_leaving = true;
  SendToAll(*tier);
  tier->log().clear();
  for (int node = 0; node < kNodeCount; ++node) {
    const auto answer = tier->SendAndWait(node, "/one/x", milliseconds(1));
    REQUIRE(answer);
    CHECK(answer->outcome == ForwardOutcome::kNotRun);
    CHECK(answer->retry_after > base::Duration::zero());
    CHECK(answer->error->message().find("no_server") != std::string::npos);
  }
  CHECK(tier->log().empty());
}

TEST_CASE("a server that refuses a request and is leaving gets no other") {
  const auto tier = ForwardTier::CreateSettled(kNodeCount, kServiceCount);
  tier->scripts()["xs0"].statement.is_leaving = true;
  tier->scripts()["xs0"].failure = upstream::ShardFailure::kOverloaded;
  SendToAll(*tier);
  CheckIsNotUsed(*tier);
}

TEST_CASE("an invalid statement retires no server") {
  const auto tier = ForwardTier::CreateSettled(kNodeCount, kServiceCount);
  tier->scripts()["xs0"].statement.is_leaving = base::Fail(
      base::ErrorKind::kProtocol, "the statement is invalid", "send 1");
  SendToAll(*tier);
  tier->log().clear();
  SendToAll(*tier);
  CHECK(CallsOf(*tier, "xs0") > 0);
  CHECK(tier->core(0).MetricsText().find(
            "celerycroft_server_statements_rejected_total") !=
        std::string::npos);
}

// The server's next requests would come from nodes that it has not answered.
TEST_CASE("nodes learn from each other that a server is leaving") {
  const auto tier = ForwardTier::CreateSettled(kNodeCount, kServiceCount);
  tier->store().outage = true;
  tier->RunFor(milliseconds(300));
  tier->core(0).OnStatement({"", 1, "xs0", 1}, tier->Now(),
                            {.is_leaving = true});
  tier->RunFor(seconds(1));
  CheckIsNotUsed(*tier);
  // What they learned ends with this run of the server.
  tier->store().outage = false;
  tier->RunFor(seconds(3));
  tier->StartServerAgain("xs0", "s0");
  tier->RunFor(milliseconds(500));
  tier->log().clear();
  SendToAll(*tier);
  CHECK(CallsOf(*tier, "xs0") > 0);
}

TEST_CASE("a node that restarts learns from its peers which servers leave") {
  const auto tier = ForwardTier::CreateSettled(kNodeCount, kServiceCount);
  tier->core(0).OnStatement({"", 1, "xs0", 1}, tier->Now(),
                            {.is_leaving = true});
  tier->RunFor(seconds(1));
  tier->Restart(0);
  tier->RunFor(seconds(2));
  tier->log().clear();
  SendToAll(*tier, 1);
  CHECK(CallsOf(*tier, "xs0") == 0);
  CHECK(CallsOf(*tier, "ys0") > 0);
}

}  // namespace
}  // namespace node
