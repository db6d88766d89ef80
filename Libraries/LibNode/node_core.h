// Everything a node decides, free of sockets: wires the controllers and the
// filter chain over interfaces, so that tests run the same wiring in virtual
// time.

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

// What tells one process from every other.
struct ProcessIdentity {
  uint64_t incarnation = 0;  // Higher than that of the process before it.
  std::string process_id;    // Unique among all processes of all nodes.
  std::string secret;        // Authenticates tickets.

  bool operator==(const ProcessIdentity&) const = default;
};

// How a node decides. The baseline is kept to measure against.
struct Policies {
  query::ReplicaChoice replica_choice =
      query::ReplicaChoice::kLeastExpectedWait;
  bool hedging = true;

  bool operator==(const Policies&) const = default;
};

inline constexpr Policies kBaselinePolicies{query::ReplicaChoice::kRandom,
                                            false};

// The world outside. All outlive the node.
struct NodeDependencies {
  base::Scheduler& scheduler;
  base::Random& random;
  upstream::Transport& transport;
  upstream::ReportSource& reports;
  query::BookingTransport& booking_transport;
  platform::KeyValueStore& store;
  peer::PeerClient& peer_client;
  std::function<void(platform::HostsCallback)> fetch_hosts;
  // Told which servers this node holds connections to, after each change.
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

  // Answers a caller's request.
  void HandleCaller(http::Request request, const http::Responder& respond);

  // Tells peers and callers that this node leaves; it goes on answering.
  void AnnounceLeaving();
  // Requests of callers and peers that run here.
  size_t running_request_count() const { return running_request_count_; }
  // Reports the last usage and calls `done`.
  void Finish(std::function<void()> done);

  // This node's budget of connections to one server of the upstream.
  int MaxConnectionsPerServer(const std::string& upstream);

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

  // JSON for operators.
  std::string StatusText();
  std::string StateText();
  std::string MetricsText() { return metrics_.ToPrometheusText(); }

  // The revision that answers are given under, or 0 while there is none.
  uint64_t answering_revision();
  usage::UsageLedger& ledger() { return ledger_; }
  routing::ClusterViewController& views() { return views_; }
  upstream::SnapshotCatalogue& snapshots() { return snapshots_; }
  upstream::ServerTable& servers() { return servers_; }

 private:
  query::FilterChain MakeFilters();
  std::shared_ptr<const routing::HolderMap> Holders();
  std::optional<limits::AccountTerms> TermsOf(const std::string& account);
  void RefreshView();
  void ReadHostList();
  void RunHousekeeping();
  config::ConfigurationPtr AnsweringConfiguration();
  std::vector<upstream::ServerTarget> HeldServers();
  void OnFact(const membership::Fact& fact);
  void OnReport(const upstream::ServerReport& report);
  void OnServerLeaving(const std::string& address);
  void StopUsingServer(const std::string& address);
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
  PeerContentSource peer_contents_;
  StoreContentSource store_contents_;
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
  query::RootCoordinator coordinator_;
  query::BookingRunner booking_runner_;
  query::BookingController bookings_;
  query::FilterChain filters_;

  std::atomic<uint64_t> next_request_number_{1};
  std::atomic<size_t> running_request_count_{0};
  std::atomic<bool> leaving_{false};
  // Whether the revision in force has once reached the stored one. From then
  // on it can't fall below what an earlier process answered under.
  std::atomic<bool> has_caught_up_{false};
};

}  // namespace node

#endif  // LIBNODE_NODE_CORE_H_
