// Tests of forwarding nodes whose store comes back from an older copy of its
// contents.

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>
#include <set>
#include <string>

#include "Fakes/forward_tier.h"

namespace node {
namespace {

using fakes::FakeEntryStoreState;
using fakes::ForwardTier;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kNodeCount = 4;
constexpr int kServiceCount = 4;
constexpr int kManyNodes = 40;
constexpr int kManyServers = 600;
constexpr base::Duration kOutage = seconds(1);
// Bounds of the platform's rules. Changes must have taken effect this long
// after the store is back.
constexpr base::Duration kStableTime = seconds(4);
constexpr base::Duration kRewriteDelay = milliseconds(150);
// How long servers take to write their entries again.
constexpr base::Duration kServerRewriteDelay = milliseconds(1200);
constexpr int kRequestCount = 24;
constexpr base::Duration kRequestTime = milliseconds(20);
// Changes that are lost and not written again.
constexpr int kLostChanges = 30;

std::unique_ptr<ForwardTier> MakeTier() {
  return ForwardTier::CreateSettled(kNodeCount, kServiceCount);
}

uint64_t RevisionInForce(ForwardTier& tier, int node) {
  return nlohmann::json::parse(tier.core(node).StateText())["revision"];
}

void CheckRevisionInForce(ForwardTier& tier, uint64_t revision) {
  for (int node = 0; node < kNodeCount; ++node)
    CHECK(RevisionInForce(tier, node) == revision);
}

void ChangeOtherServer(ForwardTier& tier, int times) {
  for (int i = 0; i < times; ++i)
    tier.PutServer("zs3", "s3");
}

// Returns how many bytes of rumours the nodes have sent.
double RumourBytes(ForwardTier& tier, int nodes) {
  constexpr std::string_view name =
      "celerycroft_gossip_bytes_total{kind=\"rumours\"} ";
  double bytes = 0;
  for (int node = 0; node < nodes; ++node) {
    const std::string text = tier.core(node).MetricsText();
    const size_t found = text.find(name);
    if (found != std::string::npos)
      bytes += std::stod(text.substr(found + name.size()));
  }
  return bytes;
}

// Waits until the nodes know what was written, and takes the store away.
void LoseStore(ForwardTier& tier) {
  tier.RunFor(milliseconds(800));
  tier.store().outage = true;
  tier.RunFor(kOutage);
}

void RestoreStore(ForwardTier& tier, const FakeEntryStoreState& copy) {
  tier.store().RestoreFrom(copy);
  tier.store().outage = false;
}

// Sends requests that the servers of service s0 answer, and returns those that
// were called.
std::set<std::string> CalledServers(ForwardTier& tier) {
  tier.log().clear();
  for (int i = 0; i < kRequestCount; ++i)
    tier.SendAndWait(i % kNodeCount, "/one/x", kRequestTime);
  std::set<std::string> called;
  for (const auto& [server, request] : tier.log())
    called.insert(server);
  return called;
}

TEST_CASE("a restored store hides no configuration with a lower revision") {
  const auto tier = MakeTier();
  const FakeEntryStoreState copy = tier->store();
  ChangeOtherServer(*tier, kLostChanges);
  tier->PutConfiguration(4, kServiceCount);
  LoseStore(*tier);
  CheckRevisionInForce(*tier, 4);
  RestoreStore(*tier, copy);
  tier->RunFor(kRewriteDelay);
  CheckRevisionInForce(*tier, 4);
  tier->PutConfiguration(4, kServiceCount);
  tier->PutConfiguration(5, kServiceCount);
  tier->RunFor(kStableTime);
  CheckRevisionInForce(*tier, 5);
}

// A watch from the last revision is answered, since the store has it again, but
// it tells nothing of what was written before.
TEST_CASE(
    "a restored store hides no change at a revision that hosts have seen") {
  const auto tier = MakeTier();
  const FakeEntryStoreState copy = tier->store();
  ChangeOtherServer(*tier, kLostChanges);
  tier->RunFor(seconds(2));
  tier->store().outage = true;
  tier->RunFor(kOutage);
  RestoreStore(*tier, copy);
  tier->PutConfiguration(5, kServiceCount);
  ChangeOtherServer(*tier, kLostChanges - 1);
  REQUIRE(tier->store().revision == copy.revision + kLostChanges);
  tier->RunFor(kStableTime);
  CheckRevisionInForce(*tier, 5);
}

TEST_CASE("an answer of an earlier era has no effect") {
  const auto tier = MakeTier();
  const FakeEntryStoreState copy = tier->store();
  ChangeOtherServer(*tier, kLostChanges);
  LoseStore(*tier);
  // A replica of the store that does not hear of the restore.
  FakeEntryStoreState replica = tier->store();
  replica.outage = false;
  RestoreStore(*tier, copy);
  tier->RunFor(kStableTime);
  const FakeEntryStoreState restored = tier->store();
  tier->store() = replica;
  tier->RunFor(kStableTime);
  tier->store() = restored;
  tier->PutConfiguration(5, kServiceCount);
  ChangeOtherServer(*tier, kLostChanges);
  REQUIRE(tier->store().revision >= replica.revision);
  tier->RunFor(kStableTime);
  CheckRevisionInForce(*tier, 5);
}

TEST_CASE("a server that leaves after a restore gets no work") {
  const auto tier = MakeTier();
  const FakeEntryStoreState copy = tier->store();
  for (int i = 0; i < kLostChanges; ++i)
    tier->PutServer("xs0", "s0");
  LoseStore(*tier);
  RestoreStore(*tier, copy);
  tier->RunFor(kServerRewriteDelay);
  tier->PutServer("xs0", "s0");
  CHECK(CalledServers(*tier).contains("xs0"));
  tier->PutServer("xs0", "s0", upstream::ServerPhase::kLeaving);
  tier->RunFor(kStableTime);
  CHECK(CalledServers(*tier) == std::set<std::string>{"ys0", "zs0"});
}

TEST_CASE(
    "a server that had left isn't used because a restored store lists it") {
  for (const bool is_restarted : {false, true}) {
    CAPTURE(is_restarted);
    const auto tier = MakeTier();
    const FakeEntryStoreState copy = tier->store();
    tier->PutServer("xs0", "s0", upstream::ServerPhase::kLeaving);
    tier->RemoveServer("ys0");
    LoseStore(*tier);
    RestoreStore(*tier, copy);
    // This node reads the copy before it knows its peers.
    if (is_restarted)
      tier->Restart(1);
    tier->RunFor(seconds(2));
    for (int second = 0; second < 4; ++second) {
      CHECK(CalledServers(*tier) == std::set<std::string>{"zs0"});
      tier->RunFor(seconds(1));
    }
  }
}

TEST_CASE(
    "a removed server is used again if a restored store goes on listing it") {
  const auto tier = MakeTier();
  const FakeEntryStoreState copy = tier->store();
  tier->RemoveServer("ys0");
  LoseStore(*tier);
  RestoreStore(*tier, copy);
  tier->RunFor(seconds(8));
  CHECK_FALSE(CalledServers(*tier).contains("ys0"));
  tier->RunFor(seconds(6));
  CHECK(CalledServers(*tier).contains("ys0"));
}

TEST_CASE("a server that a restored store doesn't know yet is kept for 2 s") {
  const auto tier = MakeTier();
  const FakeEntryStoreState copy = tier->store();
  tier->PutServer("new1", "s0");
  tier->PutServer("new2", "s0");
  LoseStore(*tier);
  CHECK(CalledServers(*tier).contains("new1"));
  RestoreStore(*tier, copy);
  tier->RunFor(kServerRewriteDelay);
  CHECK(CalledServers(*tier).contains("new1"));
  tier->PutServer("new1", "s0");
  tier->RunFor(kStableTime);
  const auto called = CalledServers(*tier);
  CHECK(called.contains("new1"));
  CHECK_FALSE(called.contains("new2"));
}

TEST_CASE("a server is kept for 2 s though no call to the store failed") {
  const auto tier = MakeTier();
  const FakeEntryStoreState copy = tier->store();
  tier->PutServer("new1", "s0");
  tier->RunFor(seconds(5));
  RestoreStore(*tier, copy);
  tier->RunFor(seconds(1));
  CHECK(CalledServers(*tier).contains("new1"));
  tier->RunFor(kStableTime);
  CHECK_FALSE(CalledServers(*tier).contains("new1"));
}

// The load pattern: the registry of a large deployment, of which a drill loses
// nothing.
TEST_CASE("a restore spreads no rumours of what has not changed") {
  const auto tier = ForwardTier::CreateSettled(kManyNodes, kServiceCount);
  for (int server = 0; server < kManyServers; ++server)
    tier->PutServer("new" + std::to_string(server), "s0");
  tier->RunFor(seconds(30));
  const uint64_t calls_before = tier->store().calls;
  const double rumours_before = RumourBytes(*tier, kManyNodes);
  LoseStore(*tier);
  RestoreStore(*tier, FakeEntryStoreState(tier->store()));
  tier->RunFor(seconds(10));
  const double rumours = RumourBytes(*tier, kManyNodes) - rumours_before;
  CAPTURE(rumours);
  CAPTURE(tier->store().calls - calls_before);
  CHECK(rumours < kManyServers * 1000.0);
}

}  // namespace
}  // namespace node
