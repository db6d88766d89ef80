// Membership controllers that reach each other at once, in virtual time.

#ifndef LIBMEMBERSHIP_GOSSIP_CLUSTER_H_
#define LIBMEMBERSHIP_GOSSIP_CLUSTER_H_

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "Fakes/virtual_scheduler.h"
#include "LibBase/log.h"
#include "LibBase/random.h"
#include "LibMembership/membership_controller.h"

namespace membership {

inline Member MakeMember(const std::string& id) {
  Member member;
  member.node_id = id;
  member.peer_address = id + ":8082";
  member.incarnation = 1;
  return member;
}

class GossipCluster {
 public:
  // The first `seed_count` nodes are the seeds of all.
  explicit GossipCluster(size_t node_count, size_t seed_count = 1) {
    base::DisableLog();
    std::vector<std::string> seeds;
    for (size_t i = 0; i < seed_count; ++i)
      seeds.push_back(MakeMember("n" + std::to_string(i)).peer_address);
    for (size_t i = 0; i < node_count; ++i)
      nodes_.push_back(std::make_unique<Node>(*this, i, seeds));
  }

  void Start() {
    for (auto& node : nodes_)
      node->controller->Start();
  }

  // Starts the nodes, and stops them once they know each other, so that they
  // only answer from then on. Forgets what they have sent.
  void StartAndSettle() {
    Start();
    scheduler.RunFor(std::chrono::seconds(1));
    for (auto& node : nodes_)
      node->controller->Stop();
    sent_facts = 0;
    sent_fact_bytes = 0;
    sent_comparison_bytes = 0;
  }

  FactTable& facts(size_t node) { return nodes_[node]->facts; }
  MembershipController& controller(size_t node) {
    return *nodes_[node]->controller;
  }
  size_t node_count() const { return nodes_.size(); }
  // Returns how many nodes know at least `count` facts.
  size_t CountNodesWith(size_t count) {
    return static_cast<size_t>(std::ranges::count_if(
        nodes_, [&](auto& node) { return node->facts.size() >= count; }));
  }
  // Returns how many nodes know all members.
  size_t CountNodesWithAllMembers() {
    return static_cast<size_t>(std::ranges::count_if(nodes_, [&](auto& node) {
      return node->controller->Members().size() == nodes_.size();
    }));
  }

  fakes::VirtualScheduler scheduler;
  // Of all messages and replies.
  uint64_t sent_facts = 0;
  uint64_t sent_fact_bytes = 0;
  uint64_t sent_comparison_bytes = 0;  // Hashes and summaries.

 private:
  struct Node final : public GossipTransport {
    Node(GossipCluster& owner,
         size_t index,
         const std::vector<std::string>& seeds)
        : cluster(owner),
          random(index + 1),
          controller(MembershipController::Create(
              MakeMember("n" + std::to_string(index)),
              seeds,
              {},
              owner.scheduler,
              random,
              facts,
              *this)) {}

    void Gossip(const std::string& peer_address,
                GossipMessage message,
                base::Duration,
                GossipCallback callback) override {
      const auto peer =
          std::ranges::find_if(cluster.nodes_, [&](const auto& node) {
            return node->controller->self().peer_address == peer_address;
          });
      cluster.Count(message);
      const GossipMessage reply = (*peer)->controller->OnGossip(message);
      cluster.Count(reply);
      callback(reply);
    }
    void ProbeVia(const std::string&,
                  const std::string&,
                  base::Duration,
                  ProbeCallback) override {}

    GossipCluster& cluster;
    base::SeededRandom random;
    FactTable facts;
    std::shared_ptr<MembershipController> controller;
  };

  void Count(const GossipMessage& message) {
    sent_facts += message.facts.size();
    for (const Fact& fact : message.facts)
      sent_fact_bytes += fact.key.size() + fact.value.size();
    sent_comparison_bytes += sizeof(uint64_t) * (message.bucket_hashes.size() +
                                                 message.part_hashes.size() +
                                                 message.wanted_facts.size()) +
                             sizeof(uint16_t) * message.compared_parts.size() +
                             sizeof(FactSummary) * message.summaries.size();
  }

  std::vector<std::unique_ptr<Node>> nodes_;
};

}  // namespace membership

#endif  // LIBMEMBERSHIP_GOSSIP_CLUSTER_H_
