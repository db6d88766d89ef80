// Tests which changes of a member's state reach the change listener.

#include "LibMembership/membership_controller.h"

#include <doctest/doctest.h>

#include "Fakes/virtual_scheduler.h"
#include "LibMembership/member_codec.h"

namespace membership {
namespace {

using std::chrono::milliseconds;

// A transport to peers that either all answer or all don't.
class FakeGossipTransport final : public GossipTransport {
 public:
  explicit FakeGossipTransport(base::Scheduler& scheduler)
      : scheduler_(scheduler) {}

  void Gossip(const std::string&,
              GossipMessage,
              base::Duration timeout,
              GossipCallback callback) override {
    if (peers_answer) {
      callback(GossipMessage{});
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

 private:
  base::Scheduler& scheduler_;
};

Member MakeMember(const std::string& id) {
  Member member;
  member.node_id = id;
  member.peer_address = id + ":8082";
  member.incarnation = 1;
  return member;
}

TEST_CASE("a member is reported as suspected before it is reported as dead") {
  fakes::VirtualScheduler scheduler;
  base::SeededRandom random(1);
  FakeGossipTransport transport(scheduler);
  FactTable facts;
  const MembershipRules rules;
  const auto controller = MembershipController::Create(
      MakeMember("self"), {}, rules, scheduler, random, facts, transport);
  std::vector<MemberState> reported_states;
  controller->SetChangeListener([&] {
    for (const Member& member : controller->Members()) {
      if (member.node_id == "peer")
        reported_states.push_back(member.state);
    }
  });
  controller->Start();
  facts.AddIfNewer(ToFact(MakeMember("peer")));
  REQUIRE(reported_states == std::vector{MemberState::kAlive});

  transport.peers_answer = false;
  scheduler.RunFor(rules.gossip_period + 3 * rules.probe_timeout);
  REQUIRE(reported_states ==
          std::vector{MemberState::kAlive, MemberState::kSuspect});

  scheduler.RunFor(rules.suspicion_timeout + rules.gossip_period);
  CHECK(reported_states == std::vector{MemberState::kAlive,
                                       MemberState::kSuspect,
                                       MemberState::kDead});
}

}  // namespace
}  // namespace membership
