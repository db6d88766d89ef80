// Which nodes hold connections to the servers of which service. The map
// follows from the members and the configuration alone, so nodes with equal
// views agree without exchanging a message.

#ifndef LIBROUTING_HOLDER_MAP_H_
#define LIBROUTING_HOLDER_MAP_H_

#include <cstddef>
#include <map>
#include <span>
#include <string>
#include <vector>

#include "LibConfig/upstream.h"
#include "LibMembership/member.h"

namespace routing {

struct HolderRules {
  int holders_per_service = 2;  // At least 1.
  // The size the fleet is planned for; unlike the live count it does not
  // change when a node dies, so blocks keep their borders.
  int planned_nodes = 1;

  bool operator==(const HolderRules&) const = default;
};

// Consecutive services of an upstream that share their holders. Larger blocks
// mean fewer messages for a query that touches all services.
size_t BlockSize(size_t service_count, const HolderRules& rules);

class HolderMap {
 public:
  HolderMap() = default;
  // Uses members that are usable; `members` may be in any order.
  HolderMap(std::span<const config::Upstream> upstreams,
            std::span<const membership::Member> members,
            const HolderRules& rules);

  // Node ids, best first; empty for an unknown upstream or service.
  const std::vector<std::string>& HoldersOf(const std::string& upstream,
                                            size_t service) const;
  bool IsHolder(const std::string& node_id,
                const std::string& upstream,
                size_t service) const;

 private:
  // By upstream, then service index.
  std::map<std::string, std::vector<std::vector<std::string>>> holders_;
};

// Connections that one node may open to one server. The limit is split among
// the regular holders and as many displaced ones, so that holders under an
// old view and holders under a new one stay within it together.
int ConnectionsPerNode(int connection_limit, const HolderRules& rules);

}  // namespace routing

#endif  // LIBROUTING_HOLDER_MAP_H_
