// Runs a whole query: pins a snapshot, splits the shards over leaves, merges
// their answers and states the coverage.

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
  // Shards to ask; all of the snapshot's when empty and `key` is empty.
  std::vector<uint32_t> shards;
  // When not empty, the one shard that holds this key.
  std::string key;
  base::Instant deadline;
  double extra_load_share = 0;

  bool operator==(const RootRequest&) const = default;
};

struct RootAnswer {
  uint64_t version = 0;
  uint32_t shard_count = 0;
  // Sorted by shard. Invariant: results and missing together name each shard
  // asked for exactly once, all of one snapshot.
  std::vector<upstream::ShardResult> results;
  std::vector<MissingShard> missing;
  LoadCount load;

  double coverage() const;
  bool operator==(const RootAnswer&) const = default;
};

struct RootRules {
  // Share of the time left after which a leaf that has not answered is asked
  // whether it lives. Only a silent one's work is given to another holder: a
  // slow one would get its servers' work done twice.
  double leaf_patience = 0.15;
  base::Duration liveness_timeout = std::chrono::milliseconds(50);
  // Whole queries run again on a newer snapshot.
  int max_restarts = 2;

  bool operator==(const RootRules&) const = default;
};

// What the coordinator works with. All outlive it.
struct RootDependencies {
  std::string node_id;
  base::Scheduler& scheduler;
  base::Random& random;
  LeafClient& leaves;
  upstream::SnapshotCatalogue& snapshots;
  std::function<std::shared_ptr<const routing::HolderMap>()> holders;
};

class RootCoordinator {
 public:
  using Callback = std::function<void(base::Result<RootAnswer>)>;

  RootCoordinator(RootDependencies dependencies, RootRules rules);

  // Calls `callback` once. An error means that nothing was run.
  void Execute(RootRequest request, Callback callback);

 private:
  const std::shared_ptr<const RootDependencies> dependencies_;
  const RootRules rules_;
};

// The shard of `shard_count` that holds `key`.
uint32_t ShardOfKey(const std::string& key, uint32_t shard_count);

}  // namespace query

#endif  // LIBQUERY_ROOT_COORDINATOR_H_
