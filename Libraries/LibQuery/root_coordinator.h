// Runs a whole query: chooses one snapshot, splits its shards over leaf nodes,
// merges their answers and reports the coverage.

#ifndef LIBQUERY_ROOT_COORDINATOR_H_
#define LIBQUERY_ROOT_COORDINATOR_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "LibBase/error.h"
#include "LibBase/random.h"
#include "LibBase/scheduler.h"
#include "LibConfig/configuration.h"
#include "LibQuery/leaf_client.h"
#include "LibQuery/leaf_message.h"
#include "LibRouting/holder_map.h"
#include "LibUpstream/snapshot_catalogue.h"

namespace query {

struct RootRequest {
  std::string request_id;  // Unique over all requests of all nodes.
  std::string party;
  std::string upstream;
  std::string query;
  // Shards to query. If empty, the shard of `key` is queried, or all shards of
  // the snapshot if `key` is empty too.
  std::vector<uint32_t> shards;
  // If not empty, only the shard that holds this key is queried, whatever
  // `shards` contains.
  std::string key;
  base::Instant deadline;
  // Hedges and retries that each primary sub-request allows.
  double extra_load_share = 0;

  bool operator==(const RootRequest&) const = default;
};

struct RootAnswer {
  uint64_t version = 0;
  uint32_t shard_count = 0;
  // Sorted by shard. Invariant: `results` and `missing` together contain each
  // requested shard exactly once, and all of them belong to one snapshot.
  std::vector<upstream::ShardResult> results;
  std::vector<MissingShard> missing;
  SubRequestCounts load;

  // Returns the share of the requested shards that have a result.
  double coverage() const;
  bool operator==(const RootAnswer&) const = default;
};

struct RootRules {
  // Interval, as a share of the leaf's time, at which a leaf that has not
  // answered is checked for liveness. Its work is sent to another holder only
  // if it fails the check: sending the work of a slow leaf again would make its
  // servers do the work twice.
  double liveness_check_share = 0.15;
  base::Duration liveness_timeout = std::chrono::milliseconds(50);
  // How many times a query may start over on a newer snapshot after servers no
  // longer had its own.
  int max_restarts = 2;

  bool operator==(const RootRules&) const = default;
};

// The collaborators of RootCoordinator. All referenced objects outlive it.
struct RootDependencies {
  std::string node_id;
  base::Scheduler& scheduler;
  base::Random& random;
  LeafClient& leaf_client;
  upstream::SnapshotCatalogue& snapshots;
  // Returns the current map of the nodes that hold connections to a service's
  // servers.
  std::function<std::shared_ptr<const routing::HolderMap>()> holders;
};

class RootCoordinator {
 public:
  using Callback = std::function<void(base::Result<RootAnswer>)>;

  RootCoordinator(RootDependencies dependencies, RootRules rules);

  // Calls `callback` once. An error means that no part of the query was run.
  void Execute(RootRequest request, Callback callback);

 private:
  const std::shared_ptr<const RootDependencies> dependencies_;
  const RootRules rules_;
};

// Returns which of `shard_count` shards holds `key`.
uint32_t ShardOfKey(const std::string& key, uint32_t shard_count);

}  // namespace query

#endif  // LIBQUERY_ROOT_COORDINATOR_H_
