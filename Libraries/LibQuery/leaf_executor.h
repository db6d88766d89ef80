// Runs a leaf request on the servers whose connections this node holds:
// chooses replicas, hedges, retries within a budget, merges.

#ifndef LIBQUERY_LEAF_EXECUTOR_H_
#define LIBQUERY_LEAF_EXECUTOR_H_

#include <functional>
#include <memory>

#include "LibBase/random.h"
#include "LibBase/scheduler.h"
#include "LibConfig/configuration.h"
#include "LibQuery/delegation.h"
#include "LibQuery/leaf_message.h"
#include "LibUpstream/extra_load_budget.h"
#include "LibUpstream/hedge_policy.h"
#include "LibUpstream/replica_policy.h"
#include "LibUpstream/server_table.h"
#include "LibUpstream/transport.h"

namespace query {

using LeafCallback = std::function<void(LeafAnswer)>;

// Whether replicas are chosen by what is known of them, or at random as the
// baseline does.
enum class ReplicaChoice { kLeastExpectedWait, kRandom };

struct LeafRules {
  ReplicaChoice replica_choice = ReplicaChoice::kLeastExpectedWait;
  // Hedging waits while more than this share of a request's services is
  // still open: then the upstream is slow, not a few of its servers.
  double slow_upstream_share = 0.35;
  // Calls that one service of one request may cause, the first included.
  int max_attempts = 3;
  // Share of its objective after which a forwarded request is hedged while too
  // few answers were seen to know its latency.
  double fallback_hedge_share = 0.3;
  // Share of the time until a request's objective within which other nodes
  // answer for their part; the rest is for the way back.
  double delegated_objective_share = 0.9;
  // What a call to a server in another availability zone costs, as the time
  // that a caller may wait longer to avoid it.
  base::Duration remote_cost{};

  bool operator==(const LeafRules&) const = default;
};

// What the executor works with. All outlive it.
struct LeafDependencies {
  base::Scheduler& scheduler;
  base::Random& random;
  upstream::Transport& transport;
  upstream::ServerTable& servers;
  upstream::HedgePolicy& hedges;
  upstream::ExtraLoadBudget& budget;
  // Told when a server refuses work because it leaves.
  std::function<void(const std::string& server)> on_leaving;
  // Connections that this node may open to one server of the upstream.
  std::function<int(const config::Upstream&)> max_connections_per_server;
  // Of this node; empty where the way to a server does not matter.
  std::string availability_zone = {};
  // Set where nodes may take work for each other.
  std::optional<DelegationDependencies> delegation = std::nullopt;
};

using UpstreamPtr = std::shared_ptr<const config::Upstream>;

// A leaf request that runs.
class RunningLeafRequest {
 public:
  virtual ~RunningLeafRequest() = default;
  // Ends all calls and completes with what is missing.
  virtual void Cancel() = 0;
};
using RunningLeafRequestPtr = std::shared_ptr<RunningLeafRequest>;

class LeafExecutor {
 public:
  LeafExecutor(LeafDependencies dependencies, LeafRules rules);

  // Calls `callback` once, at the latest when the request's time is over.
  // `upstream` is null if it is unknown.
  RunningLeafRequestPtr Execute(UpstreamPtr upstream,
                                LeafRequest request,
                                LeafCallback callback);

 private:
  const std::shared_ptr<const LeafDependencies> dependencies_;
  const LeafRules rules_;
};

}  // namespace query

#endif  // LIBQUERY_LEAF_EXECUTOR_H_
