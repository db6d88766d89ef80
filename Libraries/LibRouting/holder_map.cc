// Assigns blocks of services to nodes by rendezvous hashing.

#include "LibRouting/holder_map.h"

#include <algorithm>
#include <bit>
#include <set>
#include <utility>

#include "LibBase/random.h"

namespace routing {

namespace {

using membership::Member;

// Returns the usable members by falling rendezvous score (Thaler and
// Ravishankar, "Using name-based mappings to increase hit rates", 1998, section
// 4).
std::vector<const Member*> RankMembers(std::span<const Member> members,
                                       const std::string& block_key) {
  std::vector<std::pair<uint64_t, const Member*>> scored;
  for (const Member& member : members) {
    if (member.is_usable())
      scored.emplace_back(
          base::StableHash(member.node_id, base::StableHash(block_key)),
          &member);
  }
  std::sort(scored.begin(), scored.end(), std::greater<>());
  std::vector<const Member*> ranked;
  for (const auto& [score, member] : scored)
    ranked.push_back(member);
  return ranked;
}

// Chooses the best member of each availability zone first, so that a service
// keeps a holder when one zone is lost, provided that there are two zones.
std::vector<std::string> ChooseHolders(const std::vector<const Member*>& ranked,
                                       size_t count) {
  std::vector<std::string> chosen;
  std::set<std::string> zones;
  for (const Member* member : ranked) {
    if (chosen.size() < count && zones.insert(member->availability_zone).second)
      chosen.push_back(member->node_id);
  }
  for (const Member* member : ranked) {
    if (chosen.size() < count &&
        std::ranges::find(chosen, member->node_id) == chosen.end())
      chosen.push_back(member->node_id);
  }
  return chosen;
}

}  // namespace

size_t ServicesPerBlock(size_t service_count, const HolderRules& rules) {
  const size_t services_per_node =
      service_count * static_cast<size_t>(rules.holders_per_service) /
      static_cast<size_t>(rules.planned_nodes);
  return std::bit_floor(std::max<size_t>(services_per_node, 1));
}

HolderMap::HolderMap(std::span<const config::Upstream> upstreams,
                     std::span<const Member> members,
                     const HolderRules& rules) {
  const auto count = static_cast<size_t>(rules.holders_per_service);
  for (const config::Upstream& upstream : upstreams) {
    const size_t services_per_block =
        ServicesPerBlock(upstream.services.size(), rules);
    auto& by_service = holders_[upstream.name];
    for (size_t service = 0; service < upstream.services.size(); ++service) {
      if (service % services_per_block != 0) {
        by_service.push_back(by_service.back());
        continue;
      }
      const std::string key =
          upstream.name + "/" + std::to_string(service / services_per_block);
      by_service.push_back(ChooseHolders(RankMembers(members, key), count));
    }
  }
}

const std::vector<std::string>& HolderMap::HoldersOf(
    const std::string& upstream,
    size_t service) const {
  static const std::vector<std::string> kNoHolders;
  const auto found = holders_.find(upstream);
  if (found == holders_.end() || service >= found->second.size())
    return kNoHolders;
  return found->second[service];
}

bool HolderMap::IsHolder(const std::string& node_id,
                         const std::string& upstream,
                         size_t service) const {
  const auto& holders = HoldersOf(upstream, service);
  return std::ranges::find(holders, node_id) != holders.end();
}

int ConnectionsPerNode(int connection_limit, const HolderRules& rules) {
  return std::max(1, connection_limit / (2 * rules.holders_per_service));
}

}  // namespace routing
