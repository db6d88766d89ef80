// Tests which changes of a member's state reach the change listener, and how
// often facts are sent.

#include "LibMembership/membership_controller.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Fakes/virtual_scheduler.h"
#include "LibMembership/gossip_cluster.h"
#include "LibMembership/member_codec.h"

namespace membership {
namespace {

using std::chrono::milliseconds;

// A transport to peers that either all answer or all don't.
class FakeGossipTransport final : public GossipTransport {
 public:
  explicit FakeGossipTransport(base::Scheduler& scheduler)
      : scheduler_(scheduler) {
    reply.sender_address = facts_reply.sender_address = "peer:8082";
  }

  void Gossip(const std::string& peer_address,
              GossipMessage message,
              base::Duration timeout,
              GossipCallback callback) override {
    sent_facts += message.facts.size();
    asked_peers.insert(peer_address);
    if (peers_answer) {
      callback(message.compared_parts.empty() ? reply : facts_reply);
      return;
    }
    scheduler_.After(timeout, [callback] {
      callback(base::Fail(base::ErrorKind::kTimeout, "silent", "wait"));
    });
  }

  void ProbeVia(const std::string&,
                const std::string&,
                base::Duration timeout,
                ProbeCallback callback) override {
    scheduler_.After(timeout,
                     [callback] { callback(Reachability::kUnreachable); });
  }

  bool peers_answer = true;
  GossipMessage reply;        // Of peers that answer.
  GossipMessage facts_reply;  // To the second step of a comparison.
  size_t sent_facts = 0;
  std::set<std::string> asked_peers;

 private:
  base::Scheduler& scheduler_;
};

// A controller of the node "self", whose peers are scripted.
struct ScriptedPeersFixture {
  explicit ScriptedPeersFixture(std::vector<std::string> seeds = {"peer:8082"})
      : controller(MembershipController::Create(MakeMember("self"),
                                                std::move(seeds),
                                                {},
                                                scheduler,
                                                random,
                                                facts,
                                                transport)) {}

  fakes::VirtualScheduler scheduler;
  base::SeededRandom random{1};
  FakeGossipTransport transport{scheduler};
  FactTable facts;
  const std::shared_ptr<MembershipController> controller;
};

TEST_CASE("a member is reported as suspected before it is reported as dead") {
  ScriptedPeersFixture node{std::vector<std::string>()};
  const MembershipRules rules;
  std::vector<MemberState> reported_states;
  node.controller->SetChangeListener([&] {
    for (const Member& member : node.controller->Members()) {
      if (member.node_id == "peer")
        reported_states.push_back(member.state);
    }
  });
  node.controller->Start();
  node.facts.AddIfNewer(ToFact(MakeMember("peer")));
  REQUIRE(reported_states == std::vector{MemberState::kAlive});

  node.transport.peers_answer = false;
  node.scheduler.RunFor(rules.gossip_period + 3 * rules.probe_timeout);
  REQUIRE(reported_states ==
          std::vector{MemberState::kAlive, MemberState::kSuspect});

  node.scheduler.RunFor(rules.suspicion_timeout + rules.gossip_period);
  CHECK(reported_states == std::vector{MemberState::kAlive,
                                       MemberState::kSuspect,
                                       MemberState::kDead});
}

constexpr size_t kNodes = 60;
constexpr size_t kNewFacts = 200;
constexpr size_t kReaders = 10;
constexpr size_t kNewsPerPeriod = 4;
// A push epidemic that stops at the second peer that knew a fact sends it this
// often (Demers et al., section 1.4).
constexpr double kEpidemicSends = 2.8;
// Comparisons add some.
constexpr size_t kMaxSendsPerNode = 4;

// The load pattern: an index change starts hundreds of servers at once, and the
// news of all of them has to reach every node over thin links.
TEST_CASE("many new facts reach every node with few sends each") {
  GossipCluster cluster(kNodes);
  cluster.Start();
  cluster.scheduler.RunFor(std::chrono::seconds(10));
  REQUIRE(cluster.CountNodesWith(kNodes) == kNodes);
  cluster.sent_facts = 0;
  for (size_t i = 0; i < kNewFacts; ++i)
    cluster.facts(0).AddIfNewer(
        {"claim/" + std::to_string(i), {1, 0}, std::string(200, 'x')});
  cluster.scheduler.RunFor(std::chrono::seconds(5));
  CHECK(cluster.CountNodesWith(kNodes + kNewFacts) == kNodes);
  CHECK(cluster.sent_facts <= kMaxSendsPerNode * kNodes * kNewFacts);
}

// The load pattern: two nodes of each zone read the store, and see hundreds of
// servers start one after the other.
TEST_CASE("news that several nodes learn at once is sent few times") {
  GossipCluster cluster(kNodes);
  cluster.Start();
  cluster.scheduler.RunFor(std::chrono::seconds(10));
  cluster.sent_facts = 0;
  for (size_t i = 0; i < kNewFacts; ++i) {
    for (size_t reader = 0; reader < kReaders; ++reader)
      cluster.facts(reader * kNodes / kReaders)
          .AddIfNewer(
              {"claim/" + std::to_string(i), {1, 0}, std::string(200, 'x')});
    if (i % kNewsPerPeriod == 0)
      cluster.scheduler.RunFor(milliseconds(100));
  }
  cluster.scheduler.RunFor(std::chrono::seconds(5));
  CHECK(cluster.CountNodesWith(kNodes + kNewFacts) == kNodes);
  CHECK(static_cast<double>(cluster.sent_facts) <=
        kEpidemicSends * static_cast<double>(kNodes * kNewFacts));
}

TEST_CASE("a node tells how many members its peers know") {
  ScriptedPeersFixture node;
  node.transport.reply.member_count = kNodes;
  node.controller->Start();
  CHECK(node.controller->MembersOfPeers() == kNodes);
  node.transport.reply.member_count = 1;
  node.scheduler.RunFor(2 * RecentMax::kPeriod + std::chrono::seconds(1));
  CHECK(node.controller->MembersOfPeers() == 1);
}

TEST_CASE("a member that gossips before a node has started is not lost") {
  GossipCluster cluster(2, 2);
  cluster.controller(0).Start();
  cluster.scheduler.RunFor(std::chrono::seconds(1));
  cluster.controller(1).Start();
  cluster.scheduler.RunFor(std::chrono::seconds(1));
  CHECK(cluster.CountNodesWithAllMembers() == 2);
}

TEST_CASE("a peer that has not started does not make a node's facts fresh") {
  GossipCluster cluster(3, 3);
  cluster.controller(0).Start();
  cluster.controller(1).Start();
  cluster.scheduler.RunFor(std::chrono::seconds(1));
  cluster.controller(0).Stop();
  cluster.controller(1).Stop();
  for (uint64_t version = 1; version <= 10; ++version) {
    const Fact fact{"claim/1", {version, 0}, ""};
    cluster.facts(1).AddIfNewer(fact, FactTable::Spread::kNone);
    cluster.controller(0).Synchronize([] {});
    CHECK(cluster.facts(0).WithPrefix("claim/") == std::vector{fact});
  }
}

// A page of rumours holds some 30 claims, and a configuration has to be in
// force everywhere while hundreds change.
TEST_CASE("an urgent fact does not wait behind others") {
  FactTable facts({"manifest"});
  for (size_t i = 0; i < kNewFacts; ++i)
    facts.AddIfNewer(
        {"claim/" + std::to_string(i), {1, 0}, std::string(200, 'x')});
  facts.AddIfNewer({"manifest", {2, 0}, "revision 2"});
  const MembershipRules rules;
  for (int sends = 0; sends < 3; ++sends) {
    const auto rumours = facts.TakeRumours(rules.max_rumour_bytes, kNodes);
    CHECK(rumours.front().key == "manifest");
    CHECK(rumours.size() > 1);
  }
}

// Rumours of many members must not hold back those of servers.
TEST_CASE("a fact of a later era replaces one with a higher epoch") {
  FactTable facts;
  facts.AddIfNewer({"claim/a", {9, 0, 1}, "old"});
  FactTable peer;
  peer.AddIfNewer({"claim/a", {5, 0, 2}, "new"});
  CHECK(facts.AddIfNewer({"claim/a", {5, 0, 2}, "new"}));
  CHECK_FALSE(facts.AddIfNewer({"claim/a", {99, 0, 1}, "old"}));
  CHECK(facts.CurrentBucketHashes() == peer.CurrentBucketHashes());
  // The same epoch in another era is another version.
  FactTable other;
  other.AddIfNewer({"claim/a", {5, 0, 1}, "other"});
  CHECK(facts.CurrentBucketHashes() != other.CurrentBucketHashes());
}

// Nodes of earlier versions pass facts on without their eras.
TEST_CASE("epochs decide if an era is unknown") {
  FactTable facts;
  facts.AddIfNewer({"claim/a", {9, 0, 2}, "read"});
  CHECK_FALSE(facts.AddIfNewer({"claim/a", {9, 0}, "passed on"}));
  CHECK(facts.AddIfNewer({"claim/a", {10, 0}, "newer"}));
  CHECK(facts.AddIfNewer({"claim/a", {11, 0, 2}, "read again"}));
}

TEST_CASE("urgent facts leave room for others") {
  FactTable facts;
  for (size_t i = 0; i < kNewFacts; ++i)
    facts.AddIfNewer(ToFact(MakeMember("n" + std::to_string(i))));
  facts.AddIfNewer({"claim/1", {1, 0}, "gone"});
  const auto rumours = facts.TakeRumours(1024, kNodes);
  CHECK(std::ranges::count(rumours, "claim/1", &Fact::key) == 1);
  CHECK(rumours.front().key.starts_with(kMemberFactPrefix));
}

TEST_CASE("a seed does not compare facts with itself") {
  ScriptedPeersFixture node({"peer:8082", "self:8082"});
  for (int i = 0; i < 20; ++i)
    node.controller->Synchronize([] {});
  CHECK(node.transport.asked_peers == std::set<std::string>{"peer:8082"});
}

TEST_CASE("a comparison of facts sends nothing back and spreads nothing") {
  ScriptedPeersFixture node;
  node.transport.facts_reply.facts = {{"claim/1", {1, 0}, "old news"}};
  node.transport.reply.wanted_buckets = {0, 1, 2, 3};
  node.transport.reply.part_hashes =
      std::vector<uint64_t>(4 * kPartsPerBucket, 1);
  node.controller->Synchronize([] {});
  CHECK(node.facts.size() == 1);
  CHECK_FALSE(node.facts.has_rumours());
  CHECK(node.transport.sent_facts == 0);
}

}  // namespace
}  // namespace membership
