// The second level of a forwarded request: services that have no server in this
// node's availability zone are called by a node of a zone that has, which sends
// one merged answer over the way between the zones.

#ifndef LIBQUERY_DELEGATION_H_
#define LIBQUERY_DELEGATION_H_

#include <functional>
#include <string>
#include <vector>

#include "LibConfig/upstream.h"
#include "LibQuery/leaf_client.h"
#include "LibQuery/leaf_message.h"

namespace query {

struct DelegationDependencies {
  LeafClient& leaves;
  // A node of the zone that takes work; empty if there is none.
  std::function<std::string(const std::string& availability_zone)>
      find_node_in_zone;
};

// Work that one node does for another.
struct DelegatedWork {
  std::string node_id;
  std::vector<size_t>
      work_indices;  // Indices into the work that was split; rising.

  bool operator==(const DelegatedWork&) const = default;
};

// Picks the zone with the most of the services that are left until too few are.
std::vector<DelegatedWork> PlanDelegation(
    const config::Upstream& upstream,
    const std::vector<ServiceShards>& work,
    const std::string& own_zone,
    const std::function<std::string(const std::string&)>& find_node_in_zone);

// The request for the node: the same request, to be answered at `objective`
// unless more services are missing then than the whole request may do without.
LeafRequest MakeDelegatedRequest(const LeafRequest& request,
                                 const DelegatedWork& work,
                                 base::Duration objective);

// Whether each part is of a service asked for, and none comes twice.
bool IsValidDelegatedAnswer(const LeafAnswer& answer,
                            const LeafRequest& request);

// Leaves only the greatest records of all parts, in the first of them; the
// signatures stay.
void CompactParts(LeafAnswer& answer, size_t top_records);

}  // namespace query

#endif  // LIBQUERY_DELEGATION_H_
