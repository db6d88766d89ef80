// What a node tells its listeners of its members.

#include "LibMembership/membership_controller.h"

#include <doctest/doctest.h>

#include "Fakes/virtual_scheduler.h"
#include "LibMembership/member_codec.h"

namespace membership {
namespace {

using std::chrono::milliseconds;

// Peers that all answer, or all keep silent.
class FakePeerLink final : public GossipTransport {
 public:
  explicit FakePeerLink(base::Scheduler& scheduler) : scheduler_(scheduler) {}

  void Gossip(const std::string&,
              GossipMessage,
              base::Duration timeout,
              GossipCallback callback) override {
    if (answers) {
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

  bool answers = true;

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

TEST_CASE("a suspicion reaches the listener before the member counts as dead") {
  fakes::VirtualScheduler scheduler;
  base::SeededRandom random(1);
  FakePeerLink link(scheduler);
  FactTable facts;
  const MembershipRules rules;
  const auto controller = MembershipController::Create(
      MakeMember("self"), {}, rules, scheduler, random, facts, link);
  std::vector<MemberState> told;
  controller->SetChangeListener([&] {
    for (const Member& member : controller->Members()) {
      if (member.node_id == "peer")
        told.push_back(member.state);
    }
  });
  controller->Start();
  facts.AddIfNewer(ToFact(MakeMember("peer")));
  REQUIRE(told == std::vector{MemberState::kAlive});

  link.answers = false;
  scheduler.RunFor(rules.gossip_period + 3 * rules.probe_timeout);
  REQUIRE(told == std::vector{MemberState::kAlive, MemberState::kSuspect});

  scheduler.RunFor(rules.suspicion + rules.gossip_period);
  CHECK(told == std::vector{MemberState::kAlive, MemberState::kSuspect,
                            MemberState::kDead});
}

}  // namespace
}  // namespace membership
