// SWIM (Das, Gupta, Motivala: "SWIM: Scalable weakly-consistent
// infection-style process group membership protocol", 2002). Comments name the
// sections and steps of the paper that the code implements.

#include "LibMembership/membership_controller.h"

#include <algorithm>
#include <optional>
#include <ranges>
#include <utility>

#include "LibBase/log.h"
#include "LibBase/sampling.h"
#include "LibMembership/member_codec.h"

namespace membership {

namespace {

// Peers that Synchronize() tries.
constexpr size_t kMaxSyncAttempts = 4;
// Number of a node's first rounds in which it compares all facts.
constexpr uint64_t kFullSyncRounds = 3;
// A node that knows less than this share of the members that a peer knows, for
// this long, can't find the others.
constexpr double kMinKnownMemberShare = 0.8;
constexpr base::Duration kMembersMissingDelay = std::chrono::seconds(5);

}  // namespace

std::shared_ptr<MembershipController> MembershipController::Create(
    Member self,
    std::vector<std::string> seeds,
    MembershipRules rules,
    base::Scheduler& scheduler,
    base::Random& random,
    FactTable& facts,
    GossipTransport& transport) {
  return std::shared_ptr<MembershipController>(
      new MembershipController(std::move(self), std::move(seeds), rules,
                               scheduler, random, facts, transport));
}

MembershipController::MembershipController(Member self,
                                           std::vector<std::string> seeds,
                                           MembershipRules rules,
                                           base::Scheduler& scheduler,
                                           base::Random& random,
                                           FactTable& facts,
                                           GossipTransport& transport)
    : rules_(rules),
      scheduler_(scheduler),
      random_(random),
      facts_(facts),
      transport_(transport),
      self_(std::move(self)),
      seeds_(std::move(seeds)) {}

void MembershipController::Start() {
  facts_.AddListener([weak = weak_from_this()](const Fact& fact) {
    if (const auto controller = weak.lock())
      controller->OnFact(fact);
  });
  {
    const std::lock_guard lock(mutex_);
    is_started_ = true;
  }
  AnnounceSelf();
  RunRound();
}

void MembershipController::Stop() {
  const std::lock_guard lock(mutex_);
  stopped_ = true;
}

void MembershipController::SetChangeListener(std::function<void()> listener) {
  change_listener_ = std::move(listener);
}

void MembershipController::AnnounceSelf() {
  Fact fact;
  {
    const std::lock_guard lock(mutex_);
    fact = ToFact(self_);
  }
  facts_.AddIfNewer(fact);
}

void MembershipController::AnnounceLeaving() {
  {
    const std::lock_guard lock(mutex_);
    self_.state = MemberState::kLeaving;
  }
  AnnounceSelf();
}

void MembershipController::AddSeeds(const std::vector<std::string>& seeds) {
  const std::lock_guard lock(mutex_);
  for (const std::string& seed : seeds) {
    if (seed != self_.peer_address &&
        std::ranges::find(seeds_, seed) == seeds_.end())
      seeds_.push_back(seed);
  }
}

Member MembershipController::self() {
  const std::lock_guard lock(mutex_);
  return self_;
}

std::vector<Member> MembershipController::Members() {
  const std::lock_guard lock(mutex_);
  std::vector<Member> members = {self_};
  for (const auto& [id, known] : members_)
    members.push_back(known.member);
  return members;
}

// Section 4.3: targets are taken round-robin from a shuffled list, so that
// every member is probed within a bounded time. Requires `mutex_` to be held.
void MembershipController::RefillTargets() {
  for (const auto& [id, known] : members_) {
    if (known.member.state != MemberState::kDead)
      probe_targets_.push_back(known.member.peer_address);
  }
  for (const std::string& seed : seeds_) {
    const bool is_member =
        std::ranges::any_of(members_, [&](const auto& entry) {
          return entry.second.member.peer_address == seed;
        });
    if (!is_member && seed != self_.peer_address)
      probe_targets_.push_back(seed);
  }
  base::Shuffle(probe_targets_, random_);
}

std::string MembershipController::TakeNextTarget() {
  const std::lock_guard lock(mutex_);
  if (probe_targets_.empty())
    RefillTargets();
  if (probe_targets_.empty())
    return "";
  std::string target = probe_targets_.back();
  probe_targets_.pop_back();
  return target;
}

void MembershipController::RunRound() {
  {
    const std::lock_guard lock(mutex_);
    if (stopped_)
      return;
    ++rounds_;
  }
  ExpireMembers();
  CheckMemberCount();
  const std::string target = TakeNextTarget();
  if (!target.empty())
    Probe(target);
  const base::Duration pause =
      facts_.has_rumours()
          ? std::min(rules_.gossip_period, rules_.gossip_period_with_rumours)
          : rules_.gossip_period;
  scheduler_.After(pause, [weak = weak_from_this()] {
    if (const auto controller = weak.lock())
      controller->RunRound();
  });
}

// Step 1 of section 3.1: probe one member and wait for its acknowledgement.
void MembershipController::Probe(const std::string& address) {
  GossipMessage message;
  size_t member_count = 0;
  bool compares_all_facts = false;
  {
    const std::lock_guard lock(mutex_);
    message.sender_address = self_.peer_address;
    message.member_count = UsableMemberCount();
    member_count = members_.size() + 1;
    // NOTE: A node compares all facts in its first rounds, so that a new node
    // knows them all after one exchange. Later it does so while it has no
    // rumours: a rumour is sent a bounded number of times, so that it may die
    // out before it reaches every node.
    compares_all_facts = rounds_ <= kFullSyncRounds || !facts_.has_rumours();
  }
  message.facts = facts_.TakeRumours(rules_.max_rumour_bytes, member_count);
  message.bucket_hashes = compares_all_facts ? facts_.CurrentBucketHashes()
                                             : facts_.UrgentBucketHash();
  std::vector<Fact> rumours = message.facts;
  transport_.Gossip(
      address, std::move(message), rules_.probe_timeout,
      [weak = weak_from_this(), address, rumours = std::move(rumours),
       member_count, compares_all_facts](auto reply) {
        const auto controller = weak.lock();
        if (!controller)
          return;
        if (!reply) {
          controller->ProbeIndirectly(address);
          return;
        }
        for (const uint32_t index : reply->known_facts) {
          if (index < rumours.size())
            controller->facts_.OnKnownByPeer(rumours[index], member_count);
        }
        if (compares_all_facts)
          controller->differing_bucket_count_ = reply->wanted_buckets.size();
        controller->OnGossipReply(address, *reply, [](auto) {});
      });
}

// Step 2 of section 3.1: ask k members to probe the member that did not answer.
void MembershipController::ProbeIndirectly(const std::string& address) {
  std::vector<std::string> via_addresses;
  {
    const std::lock_guard lock(mutex_);
    for (const auto& [id, known] : members_) {
      if (known.member.is_usable() && known.member.peer_address != address)
        via_addresses.push_back(known.member.peer_address);
    }
    base::KeepSample(via_addresses, rules_.indirect_probe_count, random_);
  }
  if (via_addresses.empty()) {
    OnProbeFailed(address);
    return;
  }
  struct IndirectProbe {
    std::mutex mutex;
    size_t pending = 0;  // Peers that have not answered yet.
    bool reachable = false;
  };
  auto indirect_probe = std::make_shared<IndirectProbe>();
  indirect_probe->pending = via_addresses.size();
  for (const std::string& via_address : via_addresses) {
    transport_.ProbeVia(
        via_address, address, rules_.probe_timeout * 2,
        [weak = weak_from_this(), indirect_probe, address](auto answer) {
          {
            const std::lock_guard lock(indirect_probe->mutex);
            indirect_probe->reachable |=
                answer == GossipTransport::Reachability::kReachable;
            if (--indirect_probe->pending > 0 || indirect_probe->reachable)
              return;
          }
          if (const auto controller = weak.lock())
            controller->OnProbeFailed(address);
        });
  }
}

// Step 3 of section 3.1, with the suspicion of section 4.2.
void MembershipController::OnProbeFailed(const std::string& address) {
  Suspect(address);
}

void MembershipController::Suspect(const std::string& address) {
  std::vector<Fact> updates;
  {
    const std::lock_guard lock(mutex_);
    for (const auto& [id, known] : members_) {
      if (known.member.peer_address != address ||
          known.member.state != MemberState::kAlive)
        continue;
      Member update = known.member;
      update.state = MemberState::kSuspect;
      updates.push_back(ToFact(update));
    }
  }
  for (const Fact& update : updates) {
    base::Log(base::Event::kPeerSuspected, {{"peer", update.key}});
    facts_.AddIfNewer(update);
  }
}

// Declares members dead that have been suspected or leaving for too long, and
// removes members that have been dead for too long.
void MembershipController::ExpireMembers() {
  std::vector<Fact> updates;
  std::vector<std::string> removed_ids;
  {
    const std::lock_guard lock(mutex_);
    const base::Instant now = scheduler_.Now();
    for (const auto& [id, known] : members_) {
      const base::Duration age = now - known.updated_at;
      const MemberState state = known.member.state;
      if (state == MemberState::kDead && age > rules_.tombstone_lifetime)
        removed_ids.push_back(id);
      const bool is_expired =
          (state == MemberState::kSuspect && age > rules_.suspicion_timeout) ||
          (state == MemberState::kLeaving && age > rules_.tombstone_lifetime);
      if (!is_expired)
        continue;
      Member update = known.member;
      update.state = MemberState::kDead;
      updates.push_back(ToFact(update));
    }
    for (const std::string& id : removed_ids)
      members_.erase(id);
  }
  for (const std::string& id : removed_ids)
    facts_.Remove(std::string(kMemberFactPrefix) + id);
  for (const Fact& update : updates) {
    base::Log(base::Event::kPeerDead, {{"peer", update.key}});
    facts_.AddIfNewer(update);
  }
}

void MembershipController::Synchronize(std::function<void()> done) {
  std::vector<std::string> addresses;
  {
    const std::lock_guard lock(mutex_);
    for (const auto& [id, known] : members_) {
      if (known.member.state != MemberState::kDead)
        addresses.push_back(known.member.peer_address);
    }
    for (const std::string& seed : seeds_) {
      if (seed != self_.peer_address &&
          std::ranges::find(addresses, seed) == addresses.end())
        addresses.push_back(seed);
    }
    base::KeepSample(addresses, kMaxSyncAttempts, random_);
  }
  SynchronizeWith(std::move(addresses), std::move(done));
}

void MembershipController::SynchronizeWith(std::vector<std::string> addresses,
                                           std::function<void()> done) {
  if (addresses.empty()) {
    done();
    return;
  }
  const std::string address = addresses.back();
  addresses.pop_back();
  GossipMessage message;
  message.sender_address = self().peer_address;
  message.bucket_hashes = facts_.CurrentBucketHashes();
  transport_.Gossip(
      address, std::move(message), rules_.probe_timeout,
      [weak = weak_from_this(), address, addresses = std::move(addresses),
       done = std::move(done)](auto reply) mutable {
        const auto controller = weak.lock();
        if (!controller)
          return;
        if (!reply) {
          controller->SynchronizeWith(std::move(addresses), std::move(done));
          return;
        }
        controller->OnGossipReply(address, *reply,
                                  [weak, addresses = std::move(addresses),
                                   done = std::move(done)](ComparisonEnd end) {
                                    const auto controller = weak.lock();
                                    if (end == ComparisonEnd::kComplete)
                                      done();
                                    else if (controller)
                                      controller->SynchronizeWith(addresses,
                                                                  done);
                                  });
      });
}

std::vector<uint32_t> MembershipController::AddFacts(
    const std::vector<Fact>& facts,
    FactTable::Spread spread) {
  size_t member_count = 0;
  {
    const std::lock_guard lock(mutex_);
    member_count = members_.size() + 1;
  }
  std::vector<uint32_t> known;
  for (uint32_t index = 0; index < facts.size(); ++index) {
    if (facts_.AddIfNewer(facts[index], spread))
      continue;
    known.push_back(index);
    // The peer that sent the fact knows it.
    facts_.OnKnownByPeer(facts[index], member_count);
  }
  return known;
}

void MembershipController::OnGossipReply(const std::string& address,
                                         const GossipMessage& reply,
                                         const ComparisonCallback& done) {
  if (reply.sender_address.empty()) {
    done(ComparisonEnd::kFailed);
    return;
  }
  OnMembersOfPeer(reply.member_count);
  if (!reply.wanted_buckets.empty()) {
    // NOTE: Nodes of earlier versions send all facts of these buckets.
    AddFacts(reply.facts, reply.part_hashes.empty()
                              ? FactTable::Spread::kNone
                              : FactTable::Spread::kAsRumour);
    CompareParts(address, reply, done);
    return;
  }
  AddFacts(reply.facts, FactTable::Spread::kAsRumour);
  done(ComparisonEnd::kComplete);
}

void MembershipController::CompareParts(const std::string& address,
                                        const GossipMessage& reply,
                                        const ComparisonCallback& done) {
  PartSummaries summaries = facts_.Summarize(
      facts_.DifferingParts(reply.wanted_buckets, reply.part_hashes),
      rules_.max_sync_bytes / sizeof(FactSummary), random_.Next());
  if (summaries.parts.empty()) {
    done(ComparisonEnd::kComplete);
    return;
  }
  GossipMessage message;
  message.sender_address = self().peer_address;
  message.compared_parts = std::move(summaries.parts);
  message.summaries = std::move(summaries.facts);
  transport_.Gossip(address, std::move(message), rules_.probe_timeout,
                    [weak = weak_from_this(), address, done](auto answer) {
                      const auto controller = weak.lock();
                      if (!controller)
                        return;
                      if (!answer) {
                        done(ComparisonEnd::kFailed);
                        return;
                      }
                      controller->AddFacts(answer->facts,
                                           FactTable::Spread::kNone);
                      controller->PushFacts(address, answer->wanted_facts);
                      done(ComparisonEnd::kComplete);
                    });
}

void MembershipController::PushFacts(
    const std::string& address,
    const std::vector<uint64_t>& wanted_facts) {
  if (wanted_facts.empty())
    return;
  GossipMessage push;
  push.sender_address = self().peer_address;
  push.facts =
      facts_.WithKeyHashes(wanted_facts, rules_.max_sync_bytes, random_.Next());
  push.wanted_facts = wanted_facts;
  transport_.Gossip(address, std::move(push), rules_.probe_timeout,
                    [](const auto&) {});
}

GossipMessage MembershipController::OnGossip(const GossipMessage& message) {
  GossipMessage reply;
  size_t member_count = 0;
  {
    const std::lock_guard lock(mutex_);
    // A fact that is added before there are listeners would count as known, and
    // none of them would ever be told of it.
    if (!is_started_)
      return reply;
    reply.sender_address = self_.peer_address;
    reply.member_count = UsableMemberCount();
    member_count = members_.size() + 1;
  }
  OnMembersOfPeer(message.member_count);
  if (!message.compared_parts.empty()) {
    FactDifference difference =
        facts_.Compare({message.compared_parts, message.summaries},
                       rules_.max_sync_bytes, random_.Next());
    reply.facts = std::move(difference.newer);
    reply.wanted_facts = std::move(difference.outdated);
    return reply;
  }
  if (!message.wanted_facts.empty()) {
    AddFacts(message.facts, FactTable::Spread::kNone);
    return reply;
  }
  // NOTE: Only nodes of earlier versions send `wanted_buckets` with facts.
  reply.known_facts = AddFacts(message.facts, message.wanted_buckets.empty()
                                                  ? FactTable::Spread::kAsRumour
                                                  : FactTable::Spread::kNone);
  if (message.bucket_hashes.size() < kFactBucketCount)
    reply.facts = facts_.TakeRumours(rules_.max_rumour_bytes, member_count);
  reply.wanted_buckets = facts_.DifferingBuckets(message.bucket_hashes);
  reply.part_hashes = facts_.PartHashes(reply.wanted_buckets);
  return reply;
}

size_t MembershipController::UsableMemberCount() const {
  return static_cast<size_t>(
             std::ranges::count_if(members_,
                                   [](const auto& entry) {
                                     return entry.second.member.is_usable();
                                   })) +
         (self_.is_usable() ? 1 : 0);
}

void MembershipController::OnMembersOfPeer(size_t member_count) {
  const std::lock_guard lock(mutex_);
  members_of_peers_.Record(member_count, scheduler_.Now());
}

size_t MembershipController::MembersOfPeers() {
  const std::lock_guard lock(mutex_);
  return members_of_peers_.Max(scheduler_.Now());
}

void MembershipController::CheckMemberCount() {
  const base::Instant now = scheduler_.Now();
  size_t members = 0;
  size_t members_of_peers = 0;
  bool is_missing = false;
  {
    const std::lock_guard lock(mutex_);
    members = UsableMemberCount();
    members_of_peers = members_of_peers_.Max(now);
    is_missing = static_cast<double>(members) <
                 kMinKnownMemberShare * static_cast<double>(members_of_peers);
    if (!is_missing)
      members_missing_since_.reset();
    else if (!members_missing_since_)
      members_missing_since_ = now;
    const bool is_too_early =
        is_missing && now - *members_missing_since_ < kMembersMissingDelay;
    if (is_too_early ||
        std::exchange(is_members_missing_logged_, is_missing) == is_missing)
      return;
  }
  base::Log(
      is_missing ? base::Event::kMembersMissing : base::Event::kMembersComplete,
      {{"members", std::to_string(members)},
       {"membersOfPeers", std::to_string(members_of_peers)}});
}

void MembershipController::OnFact(const Fact& fact) {
  const auto member = ToMember(fact);
  if (!member)
    return;
  if (member->node_id == self().node_id) {
    RefuteIfNeeded(*member);
    return;
  }
  std::optional<Member> previous;
  {
    const std::lock_guard lock(mutex_);
    const auto found = members_.find(member->node_id);
    if (found != members_.end())
      previous = found->second.member;
    members_.insert_or_assign(member->node_id,
                              KnownMember{*member, scheduler_.Now()});
  }
  const bool is_new = !previous || previous->incarnation != member->incarnation;
  if (!is_new && previous->state == member->state)
    return;
  if (member->is_usable() && (is_new || !previous->is_usable()))
    base::Log(base::Event::kPeerJoined, {{"peer", member->node_id}});
  if (change_listener_)
    change_listener_();
}

// Section 4.2: a member that learns that others suspect it refutes this with a
// higher incarnation number. Here it increases `refutation_count` instead,
// since the incarnation identifies the process.
void MembershipController::RefuteIfNeeded(const Member& update) {
  {
    const std::lock_guard lock(mutex_);
    const Member current = self_;
    const bool is_own = update.incarnation == current.incarnation &&
                        update.refutation_count == current.refutation_count &&
                        update.state == current.state;
    const bool is_older = update.incarnation < current.incarnation;
    if (is_own || is_older)
      return;
    // NOTE: If the clock is set back before a restart, the new incarnation is
    // lower than the one that the peers know.
    self_.incarnation = std::max(current.incarnation, update.incarnation);
    self_.refutation_count =
        std::max(current.refutation_count, update.refutation_count) + 1;
  }
  AnnounceSelf();
}

}  // namespace membership
