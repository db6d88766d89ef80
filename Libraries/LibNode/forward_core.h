// The logic of a node that forwards requests along routes. It opens no sockets:
// it connects the controllers and the filter chain through interfaces.

#ifndef LIBNODE_FORWARD_CORE_H_
#define LIBNODE_FORWARD_CORE_H_

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>

#include "LibBase/metrics.h"
#include "LibBase/random.h"
#include "LibBase/scheduler.h"
#include "LibBase/work_meter.h"
#include "LibMembership/membership_controller.h"
#include "LibNode/cluster_leaf_nodes.h"
#include "LibNode/connection_warmer.h"
#include "LibNode/freshness_gate.h"
#include "LibNode/leaving_server_log.h"
#include "LibNode/metered_gossip.h"
#include "LibNode/peer_adapters.h"
#include "LibNode/statement_rejection_log.h"
#include "LibPeer/handler.h"
#include "LibPeer/peer_client.h"
#include "LibPlatform/configuration_controller.h"
#include "LibPlatform/entry_store.h"
#include "LibPlatform/prefix_follower.h"
#include "LibQuery/forward_filters.h"
#include "LibQuery/log_line_limiter.h"
#include "LibQuery/request_drain.h"
#include "LibRouting/cluster_view.h"
#include "LibUpstream/extra_load_budget.h"
#include "LibUpstream/load_aware_hedge_policy.h"
#include "LibUpstream/server_limiter.h"
#include "LibUpstream/server_registry.h"
#include "LibUpstream/server_statement.h"
#include "LibUpstream/server_table.h"
#include "LibUpstream/transport.h"

namespace node {

struct ForwardSettings {
  membership::Member self;
  std::vector<std::string> peer_seeds;
  base::Duration gossip_period{};
  // Limits of the hedges and retries that all nodes together may send: a share
  // of the primary sub-requests, plus the slack in each window.
  double extra_load_share = 0;
  upstream::WindowBudgetRules extra_load_rules;
  base::Duration remote_cost{};  // See query::LeafRules::remote_cost.
  // Key prefixes in the store: of the configuration, and of the entries of
  // servers.
  std::string configuration_prefix;
  std::string registry_prefix;

  bool operator==(const ForwardSettings&) const = default;
};

// Functions that parse entries of the store. They have no side effects.
struct StoreEntryReaders {
  // Returns the version and the routes of the configuration.
  std::function<base::Result<config::Configuration>(std::string_view text)>
      read_configuration;
  // Returns the claim that an entry of the registry holds, or an error that
  // says why the entry can't be used.
  std::function<base::Result<upstream::ServerClaim>(
      const platform::StoreEvent&)>
      read_claim;
};

// The objects that a ForwardCore uses. They outlive it.
struct ForwardDependencies {
  base::Scheduler& scheduler;
  base::Random& random;
  upstream::Transport& transport;
  platform::EntryStore& store;
  peer::PeerClient& peer_client;
  upstream::StatementSource& statements;
  // Called with each configuration that takes effect.
  std::function<void(const config::ConfigurationPtr&)> on_configuration_change;
};

class ForwardCore final : public peer::Handler,
                          public upstream::StatementListener {
 public:
  ForwardCore(ForwardSettings settings,
              StoreEntryReaders readers,
              ForwardDependencies dependencies);
  ~ForwardCore() override;

  void Start();

  // Passes a caller's request through the filters, once this node's knowledge
  // is fresh.
  void Handle(query::ForwardContextPtr context);

  // Returns whether this node may be given requests: it knows the routes and
  // some server, and is not leaving.
  bool is_ready();
  // Announces to the peers that this node is leaving. The node continues to
  // answer requests, but takes none that it can't be expected to end before
  // `end`, and ends at that time those that are left.
  void BeginDrain(base::Instant end);
  query::DrainCounts drain_counts() { return request_drain_.counts(); }
  // Returns the number of running requests of callers and peers.
  size_t running_request_count() const { return running_request_count_; }

  // Returns the addresses of at most `count` nodes that a caller in the zone
  // may use, in random order. The zone may be unknown.
  std::vector<std::string> CallerAddresses(size_t count,
                                           const std::string& caller_zone);

  // Returns the state of this node as JSON, for operators.
  std::string StateText();
  // Returns the metrics in Prometheus text format.
  std::string MetricsText();

  // upstream::StatementListener:
  void OnStatement(const upstream::ServerTarget& server,
                   base::Instant asked,
                   const upstream::ServerStatement& statement) override;

  // peer::Handler:
  void ExecuteLeaf(query::LeafRequest request,
                   std::function<void(query::LeafAnswer)> callback) override;
  membership::GossipMessage Gossip(
      const membership::GossipMessage& message) override;
  void Probe(const std::string& target,
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
  void OnStoredClaim(const platform::StoreEvent& event,
                     platform::ReadMode mode);
  void OnFact(const membership::Fact& fact);
  void OnClaimFact(const upstream::ServerClaim& claim);
  void ApplyClaim(const upstream::ServerClaim& claim);
  // Takes a server out of use that said in an answer that it is leaving.
  void ApplyAnnouncement(const upstream::LeavingAnnouncement& announcement);
  // Called when the registry has changed whether the server takes work.
  void OnTakesWorkChanged(const std::string& instance);
  // Returns whether a restored store still lists what is known of the server.
  bool IsKnownFromEarlierEra(const upstream::ServerClaim& claim);
  bool IsMissingForAMoment(const upstream::ServerClaim& removal);
  void OnLeavingAnswer(const upstream::ServerTarget& server);
  void RejectStatement(const std::string& instance, const base::Error& error);
  void OnConfiguration(const config::Manifest& manifest);
  void OnStoreHealth(platform::StoreHealth health);
  void AnnounceStoreHealth();
  void OnStoreHealthFact(const membership::Fact& fact);
  // Tells the peers how many calls this node wants to make to the servers that
  // name a limit, where that has changed.
  void AnnounceDemand();
  void AnnounceDemand(const upstream::DemandAnnouncement& announcement);
  void OnDemandFact(const membership::Fact& fact);
  // Returns whether some usable node gets no answers from the store, or got
  // none until less than kRemovalDelay ago.
  bool IsStoreSilentOrRecovering();
  // Returns whether this node is one of those that watch the store for its
  // availability zone. `task` names what is watched. Nodes that get no answers
  // from the store, or are suspected to have failed, are not considered.
  bool IsZoneWatcher(const std::string& task);
  // Return what this node knows of the entries of the store, whether it read
  // them or learned of them from peers: the revision of each, by key.
  std::map<std::string, base::StoreRevision> ConfigurationFromPeers();
  std::map<std::string, base::StoreRevision> ClaimsFromPeers();
  // Executes work that another node has delegated, if it is of the
  // configuration in force and this node has time for it.
  void ExecuteDelegated(query::LeafRequest request,
                        base::Instant deadline,
                        std::function<void(query::LeafAnswer)> respond);
  void RefreshView();
  void RunHousekeeping();
  void LogWorkSummary();
  // Returns how many connections this node may open to one server of the
  // upstream.
  int MaxConnectionsPerServer(const config::Upstream& upstream);
  size_t UsableNodeCount();

  const ForwardSettings settings_;
  const StoreEntryReaders readers_;
  const ForwardDependencies dependencies_;
  base::Metrics metrics_;
  base::WorkMeter work_meter_;
  query::LogLineLimiter log_line_limiter_;
  LeavingServerLog leaving_server_log_;
  StatementRejectionLog statement_rejection_log_;

  routing::ClusterViewController views_;
  PeerDispatcher peer_dispatcher_;
  MeteredGossip metered_gossip_;
  PeerContentSource peer_content_source_;
  std::shared_ptr<platform::ConfigurationController> configuration_;
  membership::FactTable facts_;
  std::shared_ptr<membership::MembershipController> membership_;
  FreshnessGate freshness_gate_;
  std::shared_ptr<platform::PrefixFollower> configuration_follower_;
  std::shared_ptr<platform::PrefixFollower> registry_follower_;

  upstream::ServerRegistry server_registry_;
  upstream::ServerTable servers_;
  upstream::ServerLimiter server_limiter_;
  upstream::LoadAwareHedgePolicy hedge_policy_;
  upstream::WindowExtraLoadBudget extra_load_budget_;
  query::RouteUpstreamCache upstream_cache_;
  ClusterLeafNodes leaf_nodes_;
  ConnectionWarmer connection_warmer_;
  query::LeafExecutor leaf_executor_;
  query::RequestDrain request_drain_;
  query::ForwardFilterChain filter_chain_;

  std::mutex store_mutex_;
  // All guarded by `store_mutex_`.
  // Ids of the nodes that get no answers from the store.
  std::set<std::string> nodes_without_store_;
  // When the store last answered a node again after it had been silent.
  base::Instant last_store_recovery_{};
  // Whether the last call to the store got no answer. False before the first.
  bool is_store_silent_ = false;
  // The highest version of the facts on whether the store answers this node.
  membership::FactVersion own_health_version_;

  // Held while `servers_` is told whether a server takes work, so that it is
  // told last what the registry holds.
  std::mutex takes_work_mutex_;

  std::mutex demand_mutex_;
  // The highest version of the facts on this node's demand for calls. Guarded
  // by `demand_mutex_`.
  membership::FactVersion own_demand_version_;

  // When housekeeping is due, and when the next summary of work is. Used by
  // housekeeping only.
  base::Instant next_housekeeping_;
  base::Instant next_work_summary_;

  // When the current configuration took effect.
  std::atomic<base::Instant> configuration_in_force_since_{};
  std::atomic<size_t> running_request_count_{0};
  std::atomic<bool> leaving_{false};
};

}  // namespace node

#endif  // LIBNODE_FORWARD_CORE_H_
