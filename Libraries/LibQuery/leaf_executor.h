// Executes leaf requests on the servers to which this node holds connections:
// chooses replicas, sends hedges and retries within a budget, and collects the
// results.

#ifndef LIBQUERY_LEAF_EXECUTOR_H_
#define LIBQUERY_LEAF_EXECUTOR_H_

#include <functional>
#include <memory>

#include "LibBase/random.h"
#include "LibBase/scheduler.h"
#include "LibConfig/configuration.h"
#include "LibQuery/delegation.h"
#include "LibQuery/leaf_message.h"
#include "LibUpstream/call_limiter.h"
#include "LibUpstream/extra_load_budget.h"
#include "LibUpstream/hedge_policy.h"
#include "LibUpstream/replica_policy.h"
#include "LibUpstream/server_table.h"
#include "LibUpstream/transport.h"

namespace query {

using LeafCallback = std::function<void(LeafAnswer)>;

// How the server for an attempt is chosen: by the wait that is expected from
// what is known of each server, or at random, as a baseline for comparison.
enum class ReplicaChoice { kLeastExpectedWait, kRandom };

// Limits and policies for the execution of leaf requests.
struct LeafRules {
  ReplicaChoice replica_choice = ReplicaChoice::kLeastExpectedWait;
  // No hedges are sent while more than this share of the services that this
  // node calls is still open: then the upstream as a whole is slow, not a few
  // of its servers.
  double slow_upstream_share = 0.35;
  // Calls that may be sent for one service of one request, including the first.
  int max_attempts = 3;
  // Share of its objective after which a forwarded request is hedged while too
  // few answers were seen to know the upstream's latency.
  double fallback_hedge_share = 0.3;
  // Time of a request's objective that is kept, when work is delegated to
  // another node, for the way there and back and for its answer to be merged.
  // At most half of the objective.
  base::Duration delegation_reserve = std::chrono::milliseconds(8);
  // Cost of a call to a server in another availability zone, expressed as the
  // additional time that a caller may wait to avoid such a call.
  base::Duration remote_cost{};

  bool operator==(const LeafRules&) const = default;
};

// The objects that a LeafExecutor uses. They outlive it.
struct LeafDependencies {
  base::Scheduler& scheduler;
  base::Random& random;
  upstream::Transport& transport;
  upstream::ServerTable& servers;
  upstream::HedgePolicy& hedge_policy;
  upstream::ExtraLoadBudget& budget;
  // Called when a server refuses work because it is leaving.
  std::function<void(const std::string& server)> on_leaving;
  // Returns how many connections this node may open to one server of the
  // upstream.
  std::function<int(const config::Upstream&)> max_connections_per_server;
  // This node's zone; empty if the choice of servers ignores zones.
  std::string availability_zone = {};
  // Set if this node may delegate work to other nodes.
  std::optional<DelegationDependencies> delegation = std::nullopt;
  // Limits of single servers; null if there are none.
  upstream::CallLimiter* call_limiter = nullptr;
};

using UpstreamPtr = std::shared_ptr<const config::Upstream>;

// A running leaf request, which can be cancelled.
class RunningLeafRequest {
 public:
  virtual ~RunningLeafRequest() = default;
  // Cancels all open calls and completes the request. The shards without a
  // result are reported as missing.
  virtual void Cancel() = 0;
};
using RunningLeafRequestPtr = std::shared_ptr<RunningLeafRequest>;

class LeafExecutor {
 public:
  LeafExecutor(LeafDependencies dependencies, LeafRules rules);

  // Calls `callback` once, at the latest when the request's `time_left` has
  // passed. `upstream` is null if the request's upstream is unknown.
  RunningLeafRequestPtr Execute(UpstreamPtr upstream,
                                LeafRequest request,
                                LeafCallback callback);

 private:
  const std::shared_ptr<const LeafDependencies> dependencies_;
  const LeafRules rules_;
};

}  // namespace query

#endif  // LIBQUERY_LEAF_EXECUTOR_H_
