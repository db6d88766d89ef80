// SWIM (Das, Gupta, Motivala: "SWIM: Scalable weakly-consistent
// infection-style process group membership protocol", 2002). The steps of
// sections 3.1 and 4.2 are named beside the code.

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

// Peers tried for one comparison of facts.
constexpr size_t kSyncCandidates = 4;
// Rounds of a new node in which it compares all facts.
constexpr uint64_t kFirstRounds = 3;

}  // namespace

std::shared_ptr<MembershipController> MembershipController::Create(
    Member self,
    std::vector<std::string> seeds,
    MembershipRules rules,
    base::Scheduler& scheduler,
    base::Random& random,
    FactTable& facts,
    GossipTransport& link) {
  return std::shared_ptr<MembershipController>(
      new MembershipController(std::move(self), std::move(seeds), rules,
                               scheduler, random, facts, link));
}

MembershipController::MembershipController(Member self,
                                           std::vector<std::string> seeds,
                                           MembershipRules rules,
                                           base::Scheduler& scheduler,
                                           base::Random& random,
                                           FactTable& facts,
                                           GossipTransport& link)
    : rules_(rules),
      scheduler_(scheduler),
      random_(random),
      facts_(facts),
      link_(link),
      self_(std::move(self)),
      seeds_(std::move(seeds)) {}

void MembershipController::Start() {
  facts_.AddListener([weak = weak_from_this()](const Fact& fact) {
    if (const auto controller = weak.lock())
      controller->OnFact(fact);
  });
  Announce();
  RunPeriod();
}

void MembershipController::Stop() {
  const std::lock_guard lock(mutex_);
  stopped_ = true;
}

void MembershipController::SetChangeListener(std::function<void()> listener) {
  change_listener_ = std::move(listener);
}

void MembershipController::Announce() {
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
  Announce();
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
// every member is probed within a bounded time.
void MembershipController::Refill() {
  for (const auto& [id, known] : members_) {
    if (known.member.state != MemberState::kDead)
      targets_.push_back(known.member.peer_address);
  }
  for (const std::string& seed : seeds_) {
    const bool known = std::ranges::any_of(members_, [&](const auto& entry) {
      return entry.second.member.peer_address == seed;
    });
    if (!known && seed != self_.peer_address)
      targets_.push_back(seed);
  }
  base::Shuffle(targets_, random_);
}

std::string MembershipController::NextTarget() {
  const std::lock_guard lock(mutex_);
  if (targets_.empty())
    Refill();
  if (targets_.empty())
    return "";
  std::string target = targets_.back();
  targets_.pop_back();
  return target;
}

void MembershipController::RunPeriod() {
  {
    const std::lock_guard lock(mutex_);
    if (stopped_)
      return;
    ++round_;
  }
  ExpireSuspicions();
  const std::string target = NextTarget();
  if (!target.empty())
    Probe(target);
  const base::Duration pause =
      facts_.has_rumours()
          ? std::min(rules_.gossip_period, rules_.gossip_period_with_rumours)
          : rules_.gossip_period;
  scheduler_.After(pause, [weak = weak_from_this()] {
    if (const auto controller = weak.lock())
      controller->RunPeriod();
  });
}

// Step 1 of section 3.1: ping one member and wait for its acknowledgement.
void MembershipController::Probe(const std::string& address) {
  GossipMessage message;
  size_t member_count = 0;
  bool sync = false;
  {
    const std::lock_guard lock(mutex_);
    message.sender_address = self_.peer_address;
    member_count = members_.size() + 1;
    // NOTE: The first rounds compare everything, so that a new node is whole
    // after one exchange. Later a quiet node compares: rumours are sent a
    // bounded number of times and may die out before they reach everyone.
    sync = round_ <= kFirstRounds || !facts_.has_rumours();
  }
  message.facts = facts_.TakeRumours(rules_.max_rumour_bytes, member_count);
  if (sync)
    message.bucket_hashes = facts_.Hashes();
  link_.Gossip(address, std::move(message), rules_.probe_timeout,
               [weak = weak_from_this(), address](auto reply) {
                 const auto controller = weak.lock();
                 if (!controller)
                   return;
                 if (reply)
                   controller->OnReply(address, *reply);
                 else
                   controller->ProbeIndirectly(address);
               });
}

// Step 2 of section 3.1: ask k members to ping the silent one.
void MembershipController::ProbeIndirectly(const std::string& address) {
  std::vector<std::string> helpers;
  {
    const std::lock_guard lock(mutex_);
    for (const auto& [id, known] : members_) {
      if (known.member.is_usable() && known.member.peer_address != address)
        helpers.push_back(known.member.peer_address);
    }
    base::KeepSample(helpers, rules_.indirect_probes, random_);
  }
  if (helpers.empty()) {
    OnProbeFailed(address);
    return;
  }
  struct Votes {
    std::mutex mutex;
    size_t open = 0;
    bool reachable = false;
  };
  auto votes = std::make_shared<Votes>();
  votes->open = helpers.size();
  for (const std::string& helper : helpers) {
    link_.ProbeVia(helper, address, rules_.probe_timeout * 2,
                   [weak = weak_from_this(), votes, address](auto answer) {
                     {
                       const std::lock_guard lock(votes->mutex);
                       votes->reachable |=
                           answer == GossipTransport::Reachability::kReachable;
                       if (--votes->open > 0 || votes->reachable)
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
  std::vector<Fact> claims;
  {
    const std::lock_guard lock(mutex_);
    for (const auto& [id, known] : members_) {
      if (known.member.peer_address != address ||
          known.member.state != MemberState::kAlive)
        continue;
      Member claim = known.member;
      claim.state = MemberState::kSuspect;
      claims.push_back(ToFact(claim));
    }
  }
  for (const Fact& claim : claims) {
    base::Log(base::Event::kPeerSuspected, {{"peer", claim.key}});
    facts_.AddIfNewer(claim);
  }
}

void MembershipController::ExpireSuspicions() {
  std::vector<Fact> claims;
  std::vector<std::string> forgotten;
  {
    const std::lock_guard lock(mutex_);
    const base::Instant now = scheduler_.Now();
    for (const auto& [id, known] : members_) {
      const base::Duration age = now - known.since;
      const MemberState state = known.member.state;
      if (state == MemberState::kDead && age > rules_.tombstone)
        forgotten.push_back(id);
      const bool lapsed =
          (state == MemberState::kSuspect && age > rules_.suspicion) ||
          (state == MemberState::kLeaving && age > rules_.tombstone);
      if (!lapsed)
        continue;
      Member claim = known.member;
      claim.state = MemberState::kDead;
      claims.push_back(ToFact(claim));
    }
    for (const std::string& id : forgotten)
      members_.erase(id);
  }
  for (const std::string& id : forgotten)
    facts_.Forget(std::string(kMemberPrefix) + id);
  for (const Fact& claim : claims) {
    base::Log(base::Event::kPeerDead, {{"peer", claim.key}});
    facts_.AddIfNewer(claim);
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
      if (std::ranges::find(addresses, seed) == addresses.end())
        addresses.push_back(seed);
    }
    base::KeepSample(addresses, kSyncCandidates, random_);
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
  message.bucket_hashes = facts_.Hashes();
  link_.Gossip(
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
        controller->OnReply(address, *reply);
        done();
      });
}

void MembershipController::Absorb(const GossipMessage& message) {
  for (const Fact& fact : message.facts)
    facts_.AddIfNewer(fact);
}

void MembershipController::OnReply(const std::string& address,
                                   const GossipMessage& reply) {
  Absorb(reply);
  if (reply.wanted_buckets.empty())
    return;
  GossipMessage push;
  push.sender_address = self().peer_address;
  push.facts = facts_.FactsIn(reply.wanted_buckets, rules_.max_sync_bytes);
  link_.Gossip(address, std::move(push), rules_.probe_timeout,
               [weak = weak_from_this()](auto answer) {
                 const auto controller = weak.lock();
                 if (controller && answer)
                   controller->Absorb(*answer);
               });
}

GossipMessage MembershipController::OnGossip(const GossipMessage& message) {
  GossipMessage reply;
  size_t member_count = 0;
  {
    const std::lock_guard lock(mutex_);
    reply.sender_address = self_.peer_address;
    member_count = members_.size() + 1;
  }
  Absorb(message);
  if (message.bucket_hashes.empty()) {
    reply.facts = facts_.TakeRumours(rules_.max_rumour_bytes, member_count);
    return reply;
  }
  reply.wanted_buckets = facts_.DifferingBuckets(message.bucket_hashes);
  reply.facts = facts_.FactsIn(reply.wanted_buckets, rules_.max_sync_bytes);
  return reply;
}

void MembershipController::OnFact(const Fact& fact) {
  const auto member = ToMember(fact);
  if (!member)
    return;
  if (member->node_id == self().node_id) {
    RefuteIfNeeded(*member);
    return;
  }
  std::optional<Member> before;
  {
    const std::lock_guard lock(mutex_);
    const auto found = members_.find(member->node_id);
    if (found != members_.end())
      before = found->second.member;
    members_.insert_or_assign(member->node_id,
                              Known{*member, scheduler_.Now()});
  }
  const bool is_new = !before || before->incarnation != member->incarnation;
  if (!is_new && before->state == member->state)
    return;
  if (member->is_usable() && (is_new || !before->is_usable()))
    base::Log(base::Event::kPeerJoined, {{"peer", member->node_id}});
  if (change_listener_)
    change_listener_();
}

// Section 4.2: a member that hears a claim against itself refutes it with a
// higher incarnation number; here `refutation`, since the incarnation names
// the process.
void MembershipController::RefuteIfNeeded(const Member& claim) {
  {
    const std::lock_guard lock(mutex_);
    const Member own = self_;
    const bool ours = claim.incarnation == own.incarnation &&
                      claim.refutation == own.refutation &&
                      claim.state == own.state;
    const bool older = claim.incarnation < own.incarnation;
    if (ours || older)
      return;
    // NOTE: A clock that went back over a restart gives a lower incarnation.
    self_.incarnation = std::max(own.incarnation, claim.incarnation);
    self_.refutation = std::max(own.refutation, claim.refutation) + 1;
  }
  Announce();
}

}  // namespace membership
