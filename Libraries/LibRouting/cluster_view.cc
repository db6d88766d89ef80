// Assigns roles by rendezvous hashing over the members of one view.

#include "LibRouting/cluster_view.h"

#include <algorithm>
#include <utility>

#include "LibBase/sampling.h"

namespace routing {

using membership::Member;

namespace {

uint64_t RendezvousScore(const Member& member, const std::string& key) {
  return base::StableHash(member.node_id, base::StableHash(key));
}

}  // namespace

ClusterView::ClusterView(std::string own_node_id,
                         std::vector<Member> members,
                         config::ConfigurationPtr configuration,
                         HolderRules rules)
    : own_node_id_(std::move(own_node_id)),
      members_(std::move(members)),
      configuration_(std::move(configuration)),
      rules_(rules),
      holders_(configuration_->upstreams, members_, rules) {
  if (const Member* own = FindMember(own_node_id_))
    own_zone_ = own->availability_zone;
}

const Member* ClusterView::FindMember(const std::string& node_id) const {
  const auto found = std::ranges::find(members_, node_id, &Member::node_id);
  return found == members_.end() ? nullptr : &*found;
}

std::vector<const Member*> ClusterView::AliveMembers() const {
  std::vector<const Member*> alive;
  for (const Member& member : members_) {
    if (member.state == membership::MemberState::kAlive)
      alive.push_back(&member);
  }
  return alive;
}

size_t ClusterView::UsableMemberCount() const {
  return static_cast<size_t>(
      std::ranges::count_if(members_, &Member::is_usable));
}

std::vector<const Member*> ClusterView::RankAliveMembers(
    const std::string& availability_zone,
    const std::string& key) const {
  std::vector<const Member*> ranked = AliveMembers();
  std::erase_if(ranked, [&](const Member* member) {
    return member->availability_zone != availability_zone;
  });
  std::ranges::sort(ranked, std::greater<>(), [&](const Member* member) {
    return RendezvousScore(*member, key);
  });
  return ranked;
}

const Member* ClusterView::OwnerOf(const std::string& key) const {
  const Member* owner = nullptr;
  for (const Member& member : members_) {
    if (member.is_usable() &&
        (!owner || RendezvousScore(member, key) > RendezvousScore(*owner, key)))
      owner = &member;
  }
  return owner;
}

bool ClusterView::IsOwner(const std::string& key) const {
  const Member* owner = OwnerOf(key);
  return owner && owner->node_id == own_node_id_;
}

std::vector<const Member*> ClusterView::RankOwnZoneMembers(
    const std::string& task) const {
  std::vector<const Member*> ranked;
  for (const Member& member : members_) {
    if (member.is_usable() && member.availability_zone == own_zone_)
      ranked.push_back(&member);
  }
  std::ranges::sort(ranked, std::greater<>(), [&](const Member* member) {
    return RendezvousScore(*member, task);
  });
  return ranked;
}

bool ClusterView::IsZoneAssignee(const std::string& task, size_t count) const {
  return IsZoneAssignee(task, count, [](const Member&) { return true; });
}

bool ClusterView::IsZoneAssignee(const std::string& task,
                                 size_t count,
                                 const MemberPredicate& is_able) const {
  auto ranked = RankOwnZoneMembers(task);
  std::erase_if(ranked,
                [&](const Member* member) { return !is_able(*member); });
  const auto end =
      ranked.begin() + static_cast<ptrdiff_t>(std::min(count, ranked.size()));
  return std::any_of(ranked.begin(), end, [&](const Member* member) {
    return member->node_id == own_node_id_;
  });
}

const Member* ClusterView::ZoneAssignee(const std::string& task) const {
  const auto ranked = RankOwnZoneMembers(task);
  return ranked.empty() ? nullptr : ranked.front();
}

const Member* ClusterView::RemoteZoneAssignee(const std::string& key) const {
  const Member* assignee = nullptr;
  for (const Member& member : members_) {
    if (member.is_usable() && member.availability_zone != own_zone_ &&
        (!assignee ||
         RendezvousScore(member, key) > RendezvousScore(*assignee, key)))
      assignee = &member;
  }
  return assignee;
}

double ClusterView::GrantableFraction() const {
  const auto usable = static_cast<double>(UsableMemberCount());
  const double planned = rules_.planned_nodes;
  return usable * 2 > planned ? 1.0 : usable / planned;
}

std::vector<std::string> ClusterView::SampleCallerAddresses(
    size_t count,
    base::Random& random) const {
  std::vector<std::string> addresses;
  std::ranges::transform(AliveMembers(), std::back_inserter(addresses),
                         &Member::caller_address);
  base::Shuffle(addresses, random);
  addresses.resize(std::min(count, addresses.size()));
  return addresses;
}

ClusterViewController::ClusterViewController(std::string own_node_id,
                                             HolderRules rules)
    : own_node_id_(std::move(own_node_id)), rules_(rules) {
  Update({}, std::make_shared<config::Configuration>());
}

void ClusterViewController::Update(std::vector<Member> members,
                                   config::ConfigurationPtr configuration) {
  auto view = std::make_shared<const ClusterView>(
      own_node_id_, std::move(members), std::move(configuration), rules_);
  const std::lock_guard lock(mutex_);
  current_ = std::move(view);
}

ClusterViewPtr ClusterViewController::Current() {
  const std::lock_guard lock(mutex_);
  return current_;
}

}  // namespace routing
