// The membership protocol: probes one peer in each gossip period, spreads facts
// with the probes, and suspects and later removes members that don't answer.
// The load that this puts on a node does not depend on the number of members.

#ifndef LIBMEMBERSHIP_MEMBERSHIP_CONTROLLER_H_
#define LIBMEMBERSHIP_MEMBERSHIP_CONTROLLER_H_

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "LibBase/random.h"
#include "LibBase/scheduler.h"
#include "LibMembership/fact_table.h"
#include "LibMembership/gossip_transport.h"
#include "LibMembership/member.h"
#include "LibMembership/recent_max.h"

namespace membership {

// Timings and limits of the membership protocol.
struct MembershipRules {
  base::Duration gossip_period = std::chrono::milliseconds(200);
  // Replaces `gossip_period` while there are rumours to spread, if it is
  // shorter.
  base::Duration gossip_period_with_rumours = std::chrono::milliseconds(50);
  base::Duration probe_timeout = std::chrono::milliseconds(200);
  // A suspected member that does not refute the suspicion within this time
  // counts as dead.
  base::Duration suspicion_timeout = std::chrono::milliseconds(1200);
  // How long a dead member is kept, so that rumours which arrive late don't
  // bring it back. A leaving member counts as dead after this time.
  base::Duration tombstone_lifetime = std::chrono::minutes(10);
  // Limits of the facts in one message: rumours, and facts (or their summaries)
  // of a comparison.
  size_t max_rumour_bytes = size_t{8} * 1024;
  size_t max_sync_bytes = size_t{64} * 1024;
  // Number of peers that are asked to probe a peer that does not answer.
  size_t indirect_probe_count = 2;

  bool operator==(const MembershipRules&) const = default;
};

class MembershipController
    : public std::enable_shared_from_this<MembershipController> {
 public:
  // All references must outlive the controller. `seeds` are peer addresses.
  static std::shared_ptr<MembershipController> Create(
      Member self,
      std::vector<std::string> seeds,
      MembershipRules rules,
      base::Scheduler& scheduler,
      base::Random& random,
      FactTable& facts,
      GossipTransport& transport);

  // All listeners of the fact table must have been added before.
  void Start();
  void Stop();

  // Announces to the other members that this node takes no new work.
  void AnnounceLeaving();

  // Compares all facts with those of a peer now. Calls `done` once a peer has
  // sent the facts that this node lacks, up to the limit of a message, or all
  // peers that were tried have failed, and immediately if there is no peer to
  // try.
  void Synchronize(std::function<void()> done);

  // Handles a peer's gossip and returns the reply. Ignores it before Start().
  GossipMessage OnGossip(const GossipMessage& message);

  // Adds peer addresses to probe besides those of the known members.
  void AddSeeds(const std::vector<std::string>& seeds);

  // Returns all members that are known, dead ones and this node included.
  std::vector<Member> Members();
  Member self();

  // Returns the most usable members that a peer said to know in its recent
  // messages. Zero if no peer said so.
  size_t MembersOfPeers();
  // Returns the number of buckets that differed in the last comparison.
  size_t differing_bucket_count() const { return differing_bucket_count_; }

  // Sets a listener that is called after a member is added or its incarnation
  // or state changes, while no lock is held.
  void SetChangeListener(std::function<void()> listener);

 private:
  MembershipController(Member self,
                       std::vector<std::string> seeds,
                       MembershipRules rules,
                       base::Scheduler& scheduler,
                       base::Random& random,
                       FactTable& facts,
                       GossipTransport& transport);

  void SynchronizeWith(std::vector<std::string> addresses,
                       std::function<void()> done);
  void RunRound();
  std::string TakeNextTarget();
  void RefillTargets();
  void Probe(const std::string& address);
  void ProbeIndirectly(const std::string& address);
  void OnProbeFailed(const std::string& address);
  // How a comparison ended. It is complete once this node has the facts that it
  // lacked, up to the limit of a message.
  enum class ComparisonEnd { kComplete, kFailed };
  using ComparisonCallback = std::function<void(ComparisonEnd)>;
  void OnGossipReply(const std::string& address,
                     const GossipMessage& reply,
                     const ComparisonCallback& done);
  // The second and the third step of a comparison: see GossipMessage.
  void CompareParts(const std::string& address,
                    const GossipMessage& reply,
                    const ComparisonCallback& done);
  void PushFacts(const std::string& address,
                 const std::vector<uint64_t>& wanted_facts);
  // Returns the indices of the facts that were known already.
  std::vector<uint32_t> AddFacts(const std::vector<Fact>& facts,
                                 FactTable::Spread spread);
  void OnFact(const Fact& fact);
  void RefuteIfNeeded(const Member& update);
  void Suspect(const std::string& address);
  void ExpireMembers();
  void AnnounceSelf();
  // Returns the number of usable members, this node included. Requires `mutex_`
  // to be held.
  size_t UsableMemberCount() const;
  void OnMembersOfPeer(size_t member_count);
  // Logs when this node begins or ceases to know far fewer members than its
  // peers do.
  void CheckMemberCount();

  const MembershipRules rules_;
  base::Scheduler& scheduler_;
  base::Random& random_;
  FactTable& facts_;
  GossipTransport& transport_;
  std::function<void()> change_listener_;

  struct KnownMember {
    Member member;
    base::Instant updated_at;  // When the newest fact about it was added.
  };
  std::mutex mutex_;
  // The fields below are guarded by `mutex_`.
  Member self_;
  std::vector<std::string> seeds_;
  std::map<std::string, KnownMember> members_;  // By node id, without self.
  // Peer addresses still to be probed before the list is refilled.
  std::vector<std::string> probe_targets_;
  RecentMax members_of_peers_;
  // Set while this node knows far fewer members than its peers do.
  std::optional<base::Instant> members_missing_since_;
  bool is_members_missing_logged_ = false;
  uint64_t rounds_ = 0;  // Gossip periods that have begun.
  bool is_started_ = false;
  bool stopped_ = false;

  std::atomic<size_t> differing_bucket_count_{0};
};

}  // namespace membership

#endif  // LIBMEMBERSHIP_MEMBERSHIP_CONTROLLER_H_
