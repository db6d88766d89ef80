// Delegation of parts of a forwarded request. The services of a request form
// blocks of consecutive services, and each zone has a few nodes that call the
// servers of a block there, called its holders. Each sends one merged answer.
// Holders work at the same time, keep connections to few servers, and see a
// large share of the calls to each of them.

#ifndef LIBQUERY_DELEGATION_H_
#define LIBQUERY_DELEGATION_H_

#include <string>
#include <vector>

#include "LibBase/random.h"
#include "LibConfig/upstream.h"
#include "LibQuery/leaf_client.h"
#include "LibQuery/leaf_message.h"

namespace query {

// The nodes to which work may be delegated.
class LeafNodes {
 public:
  virtual ~LeafNodes() = default;

  // The id of this node.
  virtual const std::string& own_node_id() const = 0;
  // Returns the number of nodes in the zone that take work. Counts this node.
  virtual size_t CountInZone(const std::string& availability_zone) = 0;
  // Returns the ids of at most `count` nodes in the zone that take work. They
  // are the same for each call with the same `block_key`, as long as the nodes
  // of the zone are the same.
  virtual std::vector<std::string> HoldersOf(
      const std::string& availability_zone,
      const std::string& block_key,
      size_t count) = 0;
};

// The objects that a node needs to delegate work.
struct DelegationDependencies {
  LeafClient& leaf_client;
  LeafNodes& nodes;
};

// Part of a request that another node executes.
struct DelegatedWork {
  std::string node_id;
  // Indices into the work that was split, in ascending order.
  std::vector<size_t> work_indices;

  bool operator==(const DelegatedWork&) const = default;
};

// Returns how many blocks a request for `service_count` services is split into
// in a zone with `node_count` nodes; at least 1.
size_t BlockCount(size_t service_count, size_t node_count);

// Returns the work to delegate. Services with a server in `own_zone` are split
// among its nodes if these are enough for several blocks. For the others, picks
// repeatedly the zone that has servers of the most remaining services, until
// these are too few to be worth delegating. Blocks that this node holds itself
// are not delegated.
std::vector<DelegatedWork> PlanDelegation(
    const config::Upstream& upstream,
    const std::vector<ServiceShards>& work,
    const std::string& own_zone,
    LeafNodes& nodes,
    base::Random& random);

// Returns the indices of the services whose servers this node calls for itself
// or for others: those of the blocks that it holds in its zone, or all services
// if its zone is not split.
std::vector<size_t> HeldServices(const config::Upstream& upstream,
                                 const std::string& own_zone,
                                 LeafNodes& nodes);

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
