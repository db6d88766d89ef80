// The logic of a node that serves agreements. It opens no sockets: it connects
// the controllers and the filter chain through interfaces, so that tests can
// run the same code in virtual time.

#ifndef LIBNODE_NODE_CORE_H_
#define LIBNODE_NODE_CORE_H_

#include <atomic>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "LibBase/metrics.h"
#include "LibBase/random.h"
#include "LibBase/scheduler.h"
#include "LibConfig/settings.h"
#include "LibHttp/server.h"
#include "LibLimits/admission_controller.h"
#include "LibLimits/credit_granter.h"
#include "LibLimits/rate_limiter.h"
#include "LibMembership/membership_controller.h"
#include "LibNode/freshness_gate.h"
#include "LibNode/peer_adapters.h"
#include "LibPeer/handler.h"
#include "LibPeer/peer_client.h"
#include "LibPlatform/configuration_controller.h"
#include "LibPlatform/host_list.h"
#include "LibPlatform/key_value_store.h"
#include "LibPlatform/manifest_watcher.h"
#include "LibPlatform/usage_reporter.h"
#include "LibQuery/booking_controller.h"
#include "LibQuery/booking_runner.h"
#include "LibQuery/filter.h"
#include "LibQuery/leaf_executor.h"
#include "LibQuery/root_coordinator.h"
#include "LibRouting/cluster_view.h"
#include "LibUpstream/extra_load_budget.h"
#include "LibUpstream/hedge_policy.h"
#include "LibUpstream/report_poller.h"
#include "LibUpstream/server_table.h"
#include "LibUpstream/snapshot_catalogue.h"
#include "LibUpstream/transport.h"
#include "LibUsage/usage_ledger.h"

namespace node {

// Distinguishes one process from all others.
struct ProcessIdentity {
  // Higher than that of the node's previous process.
  uint64_t incarnation = 0;
  std::string process_id;  // Unique among all processes of all nodes.
  std::string secret;      // Authenticates the process's tickets.

  bool operator==(const ProcessIdentity&) const = default;
};

// How a node chooses servers, and whether it hedges.
struct Policies {
  query::ReplicaChoice replica_choice =
      query::ReplicaChoice::kLeastExpectedWait;
  bool hedging = true;

  bool operator==(const Policies&) const = default;
};

// The baseline that benchmarks compare the other policies with.
inline constexpr Policies kBaselinePolicies{query::ReplicaChoice::kRandom,
                                            false};

// The objects that a NodeCore uses. They outlive it.
struct NodeDependencies {
  base::Scheduler& scheduler;
  base::Random& random;
  upstream::Transport& transport;
  upstream::ReportSource& reports;
  query::BookingTransport& booking_transport;
  platform::KeyValueStore& store;
  peer::PeerClient& peer_client;
  std::function<void(platform::HostsCallback)> fetch_hosts;
  // Called with the addresses of all servers to which this node may hold
  // connections, after each change of the view.
  std::function<void(const std::set<std::string>& addresses)>
      on_held_servers_changed;
};

class NodeCore final : public peer::Handler {
 public:
  NodeCore(config::Settings settings,
           ProcessIdentity identity,
           Policies policies,
           NodeDependencies dependencies);
  ~NodeCore() override;

  void Start();

  // Handles a caller's request and calls `respond` with the answer.
  void HandleCaller(http::Request request, const http::Responder& respond);

  // Announces to peers and callers that this node is leaving. The node
  // continues to answer requests.
  void AnnounceLeaving();
  // Returns the number of running requests of callers and peers.
  size_t running_request_count() const { return running_request_count_; }
  // Reports the usage that is not yet reported, then calls `done`.
  void Finish(std::function<void()> done);

  // Returns how many connections this node may open to one server of the
  // upstream, or 0 if the upstream is unknown.
  int MaxConnectionsPerServer(const std::string& upstream_name);

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

  // Returns whether this node is ready and under which revision, as JSON for
  // operators.
  std::string StatusText();
  // Returns the status and what this node knows of members, servers and index
  // versions, as JSON for operators.
  std::string StateText();
  // Returns the metrics in Prometheus text format.
  std::string MetricsText() { return metrics_.ToPrometheusText(); }

  // Returns the revision of the configuration under which this node answers
  // requests, or 0 while it can't answer any.
  uint64_t answering_revision();
  usage::UsageLedger& ledger() { return ledger_; }
  routing::ClusterViewController& views() { return views_; }
  upstream::SnapshotCatalogue& snapshots() { return snapshots_; }
  upstream::ServerTable& servers() { return servers_; }

 private:
  query::FilterChain MakeFilters();
  // Returns the holders of all services under the current view.
  std::shared_ptr<const routing::HolderMap> Holders();
  // Returns the terms of the account in the configuration in force.
  std::optional<limits::AccountTerms> TermsOf(const std::string& account);
  void RefreshView();
  void ReadHostList();
  void RunHousekeeping();
  // Returns the configuration to answer requests under, or null if none may be
  // used yet.
  config::ConfigurationPtr AnsweringConfiguration();
  // Returns the servers of the services that this node is a holder of, each
  // with the number of connections that this node may open to it.
  std::vector<upstream::ServerTarget> HeldServers();
  void OnFact(const membership::Fact& fact);
  void OnReport(const upstream::ServerReport& report);
  // Announces to all nodes that the server refused work because it is leaving.
  void OnServerLeaving(const std::string& address);
  void StopUsingServer(const std::string& address);
  // Sends copies of usage records to the node that writes them for this zone
  // and to a node of another zone.
  void SendUsageCopies(const usage::UsageRecords& records);
  http::Response MakeAddressesResponse();

  const config::Settings settings_;
  const ProcessIdentity identity_;
  const query::LeafRules leaf_rules_;
  const routing::HolderRules holder_rules_;
  const NodeDependencies dependencies_;
  base::Metrics metrics_;

  routing::ClusterViewController views_;
  PeerDispatcher peer_dispatcher_;
  PeerContentSource peer_content_source_;
  StoreContentSource store_content_source_;
  std::shared_ptr<platform::ConfigurationController> configuration_;
  std::shared_ptr<platform::ManifestWatcher> manifest_watcher_;
  membership::FactTable facts_;
  std::shared_ptr<membership::MembershipController> membership_;
  FreshnessGate freshness_gate_;

  upstream::ServerTable servers_;
  upstream::SnapshotCatalogue snapshots_;
  std::shared_ptr<upstream::ReportPoller> report_poller_;
  std::unique_ptr<upstream::HedgePolicy> hedge_policy_;
  upstream::TokenExtraLoadBudget extra_load_budget_;

  limits::CreditGranter credit_granter_;
  limits::RateLimiter rate_limiter_;
  limits::AdmissionController admission_controller_;
  usage::UsageLedger ledger_;
  std::shared_ptr<platform::UsageReporter> usage_reporter_;

  query::LeafExecutor leaf_executor_;
  query::RootCoordinator root_coordinator_;
  query::BookingRunner booking_runner_;
  query::BookingController booking_controller_;
  query::FilterChain filter_chain_;

  std::atomic<uint64_t> next_request_number_{1};
  std::atomic<size_t> running_request_count_{0};
  std::atomic<bool> leaving_{false};
  // Whether the revision in force has reached the stored one at least once.
  // From then on it can't be lower than the one under which an earlier process
  // of the node answered.
  std::atomic<bool> has_caught_up_{false};
};

}  // namespace node

#endif  // LIBNODE_NODE_CORE_H_
