// Assigns to each service of an upstream the nodes that hold connections to its
// servers, called the holders of the service. The map depends on the members
// and the configuration alone, so nodes with equal views agree without
// exchanging messages.

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
  // The number of nodes that the deployment is planned for. Unlike the number
  // of live nodes it does not change when a node dies, so the boundaries of the
  // blocks stay the same.
  int planned_nodes = 1;

  bool operator==(const HolderRules&) const = default;
};

// Returns the number of services in a block: consecutive services of an
// upstream that share their holders. Larger blocks mean fewer messages for a
// query that reaches all services.
size_t ServicesPerBlock(size_t service_count, const HolderRules& rules);

class HolderMap {
 public:
  HolderMap() = default;
  // Considers only usable members; `members` may be in any order.
  HolderMap(std::span<const config::Upstream> upstreams,
            std::span<const membership::Member> members,
            const HolderRules& rules);

  // Returns the node ids of the holders in order of preference. Empty for an
  // unknown upstream or service.
  const std::vector<std::string>& HoldersOf(const std::string& upstream,
                                            size_t service) const;
  bool IsHolder(const std::string& node_id,
                const std::string& upstream,
                size_t service) const;

 private:
  // Node ids by upstream name and service index.
  std::map<std::string, std::vector<std::vector<std::string>>> holders_;
};

// Returns the number of connections that one node may open to one server. The
// server's limit is split among the holders under the current view and as many
// former holders, so that holders under an old view and holders under a new
// view together stay within it.
int ConnectionsPerNode(int connection_limit, const HolderRules& rules);

}  // namespace routing

#endif  // LIBROUTING_HOLDER_MAP_H_
