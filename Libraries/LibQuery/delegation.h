// Delegation of parts of a forwarded request: services without a server in this
// node's availability zone are called by a node in a zone that has servers of
// them. That node sends one merged answer across the zones.

#ifndef LIBQUERY_DELEGATION_H_
#define LIBQUERY_DELEGATION_H_

#include <functional>
#include <string>
#include <vector>

#include "LibConfig/upstream.h"
#include "LibQuery/leaf_client.h"
#include "LibQuery/leaf_message.h"

namespace query {

// The objects that a node needs to delegate work.
struct DelegationDependencies {
  LeafClient& leaf_client;
  // Returns the id of another node in the zone that takes work, or an empty
  // string if there is none.
  std::function<std::string(const std::string& availability_zone)>
      find_node_in_zone;
};

// Part of a request that another node executes.
struct DelegatedWork {
  std::string node_id;
  // Indices into the work that was split, in ascending order.
  std::vector<size_t> work_indices;

  bool operator==(const DelegatedWork&) const = default;
};

// Returns the work to delegate: services without a server in `own_zone`.
// Repeatedly picks the zone that has servers of the most remaining services,
// until these are too few to be worth delegating.
std::vector<DelegatedWork> PlanDelegation(
    const config::Upstream& upstream,
    const std::vector<ServiceShards>& work,
    const std::string& own_zone,
    const std::function<std::string(const std::string&)>& find_node_in_zone);

// Returns the request to send to the node: `request` with only the services of
// `work`, to be answered after `objective` unless more services are missing
// then than may be missing in the whole request.
LeafRequest MakeDelegatedRequest(const LeafRequest& request,
                                 const DelegatedWork& work,
                                 base::Duration objective);

// Whether `answer` belongs to `request`, and each of its parts has a reply and
// is for a different requested service.
bool IsValidDelegatedAnswer(const LeafAnswer& answer,
                            const LeafRequest& request);

// Puts the `top_records` greatest records of all parts into the first part and
// empties the others. The signatures stay.
void CompactParts(LeafAnswer& answer, size_t top_records);

}  // namespace query

#endif  // LIBQUERY_DELEGATION_H_
