// One entry host's process: wires controllers, filters and servers together.

#ifndef CELERYCROFT_NODE_H_
#define CELERYCROFT_NODE_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>

#include "LibBase/asio_scheduler.h"
#include "LibBase/metrics.h"
#include "LibBase/random.h"
#include "LibConfig/settings.h"
#include "LibHttp/server.h"
#include "LibLimits/admission_controller.h"
#include "LibLimits/grant_owner.h"
#include "LibLimits/limit_controller.h"
#include "LibMembership/membership_controller.h"
#include "LibPeer/network.h"
#include "LibPlatform/configuration_controller.h"
#include "LibPlatform/http_key_value_store.h"
#include "LibPlatform/manifest_watcher.h"
#include "LibPlatform/usage_reporter.h"
#include "LibQuery/booking_controller.h"
#include "LibQuery/booking_runner.h"
#include "LibQuery/filter.h"
#include "LibQuery/http_booking_transport.h"
#include "LibQuery/leaf_executor.h"
#include "LibQuery/root_coordinator.h"
#include "LibRouting/cluster_view.h"
#include "LibUpstream/connection_pool.h"
#include "LibUpstream/hedge_policy.h"
#include "LibUpstream/http_transport.h"
#include "LibUpstream/report_poller.h"
#include "LibUpstream/server_table.h"
#include "LibUpstream/snapshot_catalogue.h"
#include "LibUsage/usage_ledger.h"
#include "node_links.h"

namespace celerycroft {

class Node final : public peer::Handler {
 public:
  static base::Result<std::unique_ptr<Node>> Create(
      config::Settings settings,
      boost::asio::io_context& io);
  ~Node() override;

  // Announces that the node leaves and calls `done` once nothing runs here.
  void Drain(std::function<void()> done);

  // peer::Handler:
  void ExecuteLeaf(query::LeafRequest request,
                   std::function<void(query::LeafAnswer)> callback) override;
  membership::GossipMessage Gossip(
      const membership::GossipMessage& message) override;
  void Probe(const std::string& address,
             base::Duration timeout,
             membership::PeerLink::ProbeCallback callback) override;
  std::optional<std::string> ContentOf(const std::string& digest) override;
  void RunBooking(query::BookingRun run,
                  query::BookingCallback callback) override;
  void ForwardBooking(const std::string& ticket,
                      query::Booking booking,
                      base::Duration time_left,
                      query::BookingCallback callback) override;
  limits::Grant GrantCredit(const limits::GrantRequest& request) override;
  void HoldUsage(const std::string& records) override;

  // For the operators' interface.
  std::string StatusText();
  std::string StateText();
  std::string MetricsText();

 private:
  Node(config::Settings settings, boost::asio::io_context& io);

  base::Result<void> Start();
  void StartControllers();
  query::FilterChain MakeFilters();
  void RefreshView();
  void ReadHostList();
  void WatchForPauses(base::Instant expected);
  config::ConfigurationPtr AnsweringConfiguration();
  std::vector<upstream::ServerTarget> HeldServers();
  int ConnectionsFor(const std::string& upstream);
  void OnFact(const membership::Fact& fact);
  void OnReport(const upstream::ServerReport& report);
  void OnLeaving(const std::string& address);
  void StopTakingWork(const std::string& address);
  void PushUsage(const usage::UsageRecords& records);
  void HandleCaller(http::Request request, const http::Responder& respond);
  http::Response AddressAnswer();
  void HandleOperator(const http::Request& request,
                      const http::Responder& respond);
  void FinishDrain(std::function<void()> done);

  const config::Settings settings_;
  const std::string process_id_;  // Unique among all processes of all nodes.
  const query::LeafRules leaf_rules_;
  boost::asio::io_context& io_;
  base::AsioScheduler scheduler_;
  base::SeededRandom random_;
  base::Metrics metrics_;
  platform::HttpKeyValueStore store_;
  routing::ClusterViewController views_;
  NodeLinks links_;
  PeerContentSource peer_contents_;
  StoreContentSource store_contents_;
  std::shared_ptr<platform::ConfigurationController> configuration_;
  std::shared_ptr<platform::ManifestWatcher> watcher_;
  membership::FactTable facts_;
  std::shared_ptr<membership::MembershipController> membership_;

  upstream::ServerTable servers_;
  upstream::SnapshotCatalogue snapshots_;
  std::shared_ptr<upstream::ConnectionPool> pool_;
  upstream::HttpTransport transport_;
  std::shared_ptr<upstream::ReportPoller> poller_;
  upstream::QuantileHedgePolicy hedges_;
  upstream::ExtraLoadBudget budget_;

  limits::GrantOwner grants_;
  limits::LimitController limits_;
  limits::AdmissionController admission_;
  usage::UsageLedger ledger_;
  std::shared_ptr<platform::UsageReporter> usage_reporter_;

  query::LeafExecutor leaf_;
  query::RootCoordinator coordinator_;
  query::HttpBookingTransport booking_transport_;
  query::BookingRunner booking_runner_;
  query::BookingController bookings_;
  query::FilterChain filters_;

  std::atomic<uint64_t> next_request_{1};
  std::atomic<size_t> running_leaves_{0};
  std::atomic<bool> draining_{false};
  const base::Instant started_at_;

  std::unique_ptr<http::Server> caller_server_;
  std::unique_ptr<http::Server> operator_server_;
  // Last, so that its thread ends before what its handler uses.
  std::unique_ptr<peer::Network> network_;
};

}  // namespace celerycroft

#endif  // CELERYCROFT_NODE_H_
