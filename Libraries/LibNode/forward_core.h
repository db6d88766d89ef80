// Everything a node decides that forwards requests along routes, free of
// sockets: wires the controllers and the filter chain over interfaces.

#ifndef LIBNODE_FORWARD_CORE_H_
#define LIBNODE_FORWARD_CORE_H_

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>

#include "LibBase/metrics.h"
#include "LibBase/random.h"
#include "LibBase/scheduler.h"
#include "LibMembership/membership_controller.h"
#include "LibNode/freshness_gate.h"
#include "LibNode/peer_adapters.h"
#include "LibPeer/handler.h"
#include "LibPeer/peer_client.h"
#include "LibPlatform/configuration_controller.h"
#include "LibPlatform/entry_store.h"
#include "LibPlatform/prefix_follower.h"
#include "LibQuery/forward_filters.h"
#include "LibQuery/log_line_limiter.h"
#include "LibRouting/cluster_view.h"
#include "LibUpstream/extra_load_budget.h"
#include "LibUpstream/hedge_policy.h"
#include "LibUpstream/server_registry.h"
#include "LibUpstream/server_table.h"
#include "LibUpstream/transport.h"

namespace node {

struct ForwardSettings {
  membership::Member self;
  std::vector<std::string> peer_seeds;
  base::Duration gossip_period{};
  // Extra sub-requests that all nodes together may cause.
  double extra_load_share = 0;
  upstream::WindowBudgetRules extra_load_rules;
  base::Duration remote_cost{};  // As query::LeafRules::remote_cost.
  // Prefixes of the store: of the configuration's key, and of servers' claims.
  std::string configuration_prefix;
  std::string registry_prefix;

  bool operator==(const ForwardSettings&) const = default;
};

// Reads what the store holds. Both are pure.
struct StoreEntryReaders {
  // The configuration's version and routes.
  std::function<base::Result<config::Configuration>(std::string_view text)>
      read_configuration;
  // A claim of the registry; an error names why it can't be used.
  std::function<base::Result<upstream::ServerClaim>(
      const platform::StoreEvent&)>
      read_claim;
};

// The world outside. All outlive the node.
struct ForwardDependencies {
  base::Scheduler& scheduler;
  base::Random& random;
  upstream::Transport& transport;
  platform::EntryStore& store;
  peer::PeerClient& peer_client;
  // Told of each configuration that takes effect.
  std::function<void(const config::ConfigurationPtr&)> on_configuration_change;
};

class ForwardCore final : public peer::Handler {
 public:
  ForwardCore(ForwardSettings settings,
              StoreEntryReaders readers,
              ForwardDependencies dependencies);
  ~ForwardCore() override;

  void Start();

  // Sends a request through the filters.
  void Handle(query::ForwardContextPtr context);

  // Whether callers may be sent here.
  bool is_ready();
  // Tells peers that this node leaves; it goes on answering.
  void AnnounceLeaving();
  size_t running_request_count() const { return running_request_count_; }

  // Addresses of nodes that callers may use, in a random order.
  std::vector<std::string> CallerAddresses(size_t count);

  // JSON for operators.
  std::string StateText();
  // In Prometheus text form.
  std::string MetricsText();

  // peer::Handler:
  void ExecuteLeaf(query::LeafRequest request,
                   std::function<void(query::LeafAnswer)> callback) override;
  membership::GossipMessage Gossip(
      const membership::GossipMessage& message) override;
  void Probe(const std::string& address,
             base::Duration timeout,
             membership::GossipTransport::ProbeCallback callback) override;
  std::optional<std::string> ContentOf(const std::string& digest) override;
  void RunBooking(query::BookingRun run,
                  query::BookingCallback callback) override;
  void ForwardBooking(const std::string& ticket,
                      query::Booking booking,
                      base::Duration time_left,
                      query::BookingCallback callback) override;
  limits::Grant GrantCredit(const limits::GrantRequest& request) override;
  void HoldUsage(const std::string& records) override;

 private:
  query::ForwardFilterChain MakeFilters();
  void OnStoredConfiguration(const platform::StoreEvent& event);
  void OnStoredClaim(const platform::StoreEvent& event);
  void OnFact(const membership::Fact& fact);
  void ApplyClaim(const upstream::ServerClaim& claim);
  void OnConfiguration(const config::Manifest& manifest);
  void OnStoreHealth(platform::StoreHealth health);
  void OnPeerStoreHealth(const membership::Fact& fact);
  bool IsStoreSilentOrRecovering();
  // Whether this node follows the store for its availability zone.
  bool IsZoneWatcher(const std::string& task);
  void RefreshView();
  void RunHousekeeping();
  // A node that takes work for others; empty if the zone has none.
  std::string RandomNodeInZone(const std::string& availability_zone);
  int MaxConnectionsPerServer(const config::Upstream& upstream);
  size_t UsableNodeCount();

  const ForwardSettings settings_;
  const StoreEntryReaders readers_;
  const ForwardDependencies dependencies_;
  base::Metrics metrics_;
  query::LogLineLimiter log_line_limiter_;

  routing::ClusterViewController views_;
  PeerDispatcher peer_dispatcher_;
  PeerContentSource peer_contents_;
  std::shared_ptr<platform::ConfigurationController> configuration_;
  membership::FactTable facts_;
  std::shared_ptr<membership::MembershipController> membership_;
  FreshnessGate freshness_gate_;
  std::shared_ptr<platform::PrefixFollower> configuration_follower_;
  std::shared_ptr<platform::PrefixFollower> registry_follower_;

  upstream::ServerRegistry server_registry_;
  upstream::ServerTable servers_;
  upstream::QuantileHedgePolicy hedge_policy_;
  upstream::WindowExtraLoadBudget extra_load_budget_;
  query::RouteUpstreamCache route_upstreams_;
  query::LeafExecutor leaf_executor_;
  query::ForwardFilterChain filters_;

  std::mutex store_mutex_;
  // Nodes that the store does not answer; guarded by `store_mutex_`.
  std::set<std::string> nodes_without_store_;
  base::Instant last_store_recovery_{};    // As above.
  uint64_t own_store_health_changes_ = 0;  // Of this node; as above.

  std::atomic<base::Instant> configuration_in_force_since_{};
  std::atomic<size_t> running_request_count_{0};
  std::atomic<bool> leaving_{false};
};

}  // namespace node

#endif  // LIBNODE_FORWARD_CORE_H_
