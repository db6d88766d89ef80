// Who the members are: probes one peer each period, spreads facts with the
// probes, and suspects and removes members that don't answer. The load of a
// node does not depend on how many members there are.

#ifndef LIBMEMBERSHIP_MEMBERSHIP_CONTROLLER_H_
#define LIBMEMBERSHIP_MEMBERSHIP_CONTROLLER_H_

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "LibBase/random.h"
#include "LibBase/scheduler.h"
#include "LibMembership/fact_table.h"
#include "LibMembership/gossip_transport.h"
#include "LibMembership/member.h"

namespace membership {

struct MembershipRules {
  base::Duration gossip_period = std::chrono::milliseconds(200);
  // The period while there are rumours to spread.
  base::Duration gossip_period_with_rumours = std::chrono::milliseconds(50);
  base::Duration probe_timeout = std::chrono::milliseconds(200);
  base::Duration suspicion = std::chrono::milliseconds(1200);
  // How long a dead member is remembered, against rumours that lag.
  base::Duration tombstone = std::chrono::minutes(10);
  size_t max_rumour_bytes = size_t{8} * 1024;
  size_t max_sync_bytes = size_t{64} * 1024;
  // Peers asked to probe a silent one.
  size_t indirect_probes = 2;

  bool operator==(const MembershipRules&) const = default;
};

class MembershipController
    : public std::enable_shared_from_this<MembershipController> {
 public:
  // All references outlive the controller.
  static std::shared_ptr<MembershipController> Create(
      Member self,
      std::vector<std::string> seeds,
      MembershipRules rules,
      base::Scheduler& scheduler,
      base::Random& random,
      FactTable& facts,
      GossipTransport& link);

  void Start();
  void Stop();

  // Announces that this node takes no new work.
  void AnnounceLeaving();

  // Compares all facts with a peer now and calls `done` once it has answered,
  // or once no peer did: then this node is alone.
  void Synchronize(std::function<void()> done);

  // The answer to a peer's gossip.
  GossipMessage OnGossip(const GossipMessage& message);

  // More addresses to try when few members are known.
  void AddSeeds(const std::vector<std::string>& seeds);

  std::vector<Member> Members();
  Member self();

  // Called outside locks after a member came or its state changed.
  void SetChangeListener(std::function<void()> listener);

 private:
  MembershipController(Member self,
                       std::vector<std::string> seeds,
                       MembershipRules rules,
                       base::Scheduler& scheduler,
                       base::Random& random,
                       FactTable& facts,
                       GossipTransport& link);

  void SynchronizeWith(std::vector<std::string> addresses,
                       std::function<void()> done);
  void RunPeriod();
  std::string NextTarget();
  void Refill();
  void Probe(const std::string& address);
  void ProbeIndirectly(const std::string& address);
  void OnProbeFailed(const std::string& address);
  void OnReply(const std::string& address, const GossipMessage& reply);
  void Absorb(const GossipMessage& message);
  void OnFact(const Fact& fact);
  void RefuteIfNeeded(const Member& claim);
  void Suspect(const std::string& address);
  void ExpireSuspicions();
  void Announce();

  const MembershipRules rules_;
  base::Scheduler& scheduler_;
  base::Random& random_;
  FactTable& facts_;
  GossipTransport& link_;
  std::function<void()> change_listener_;

  struct Known {
    Member member;
    base::Instant since;  // Of its present state.
  };
  std::mutex mutex_;
  // All guarded by `mutex_`.
  Member self_;
  std::vector<std::string> seeds_;
  std::map<std::string, Known> members_;  // By node id, without self.
  std::vector<std::string> targets_;      // Addresses left in this pass.
  uint64_t round_ = 0;
  bool stopped_ = false;
};

}  // namespace membership

#endif  // LIBMEMBERSHIP_MEMBERSHIP_CONTROLLER_H_
