// Wiring of one node.

#include "node.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

#include "LibBase/digest.h"
#include "LibBase/log.h"
#include "LibPlatform/host_list.h"
#include "LibQuery/admission_filters.h"
#include "LibQuery/caller_codec.h"
#include "LibQuery/execution_filters.h"

namespace celerycroft {

using base::Event;
using nlohmann::json;

namespace {

constexpr std::string_view kServerPrefix = "server/";
constexpr std::string_view kLeavingPrefix = "leaving/";
constexpr std::string_view kManifestFact = "manifest";
constexpr std::string_view kWatchTask = "watch";
constexpr std::string_view kUsageTask = "usage";
constexpr size_t kWatchersPerZone = 2;
constexpr size_t kAddressesPerAnswer = 3;
constexpr double kHedgeQuantile = 0.95;
constexpr double kExtraLoadBurst = 10;  // Sub-requests.
constexpr int kProcessIdBytes = 8;
constexpr int kSecretBytes = 32;
constexpr base::Duration kHostListPeriod = std::chrono::seconds(5);
constexpr base::Duration kUsagePushTimeout = std::chrono::milliseconds(500);
constexpr base::Duration kPauseCheckPeriod = std::chrono::milliseconds(200);
constexpr base::Duration kLongestPause = std::chrono::seconds(1);
constexpr base::Duration kDrainCheckPeriod = std::chrono::milliseconds(20);
// How long a node whose key-value service is down listens to peers before it
// answers under what they told it.
constexpr base::Duration kPeerListening = std::chrono::milliseconds(1500);
constexpr double kUsageHeadroomSeconds = 3;

uint64_t UnixMilliseconds() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

membership::Member MakeSelf(const config::Settings& settings) {
  membership::Member self;
  self.node_id = settings.node_id;
  self.availability_zone = settings.availability_zone;
  self.caller_address = settings.caller_address;
  self.peer_address = settings.peer_address;
  self.operator_address = settings.operator_address;
  self.incarnation = UnixMilliseconds();
  return self;
}

query::LeafRules MakeLeafRules(const config::Settings& settings) {
  query::LeafRules rules;
  rules.holders = {settings.holders_per_service, settings.planned_nodes};
  return rules;
}

membership::MembershipRules MakeMembershipRules(
    const config::Settings& settings) {
  membership::MembershipRules rules;
  rules.period = settings.gossip_period;
  return rules;
}

membership::Fact ToFact(const config::Manifest& manifest) {
  return {std::string(kManifestFact),
          {manifest.revision, 0},
          config::SerializeManifest(manifest)};
}

membership::Fact ToFact(const upstream::ServerReport& report) {
  return {std::string(kServerPrefix) + report.address,
          {report.incarnation, report.sequence},
          upstream::SerializeReport(report)};
}

}  // namespace

base::Result<std::unique_ptr<Node>> Node::Create(config::Settings settings,
                                                 boost::asio::io_context& io) {
  auto node = std::unique_ptr<Node>(new Node(std::move(settings), io));
  TRY_VOID(node->Start());
  return node;
}

Node::Node(config::Settings settings, boost::asio::io_context& io)
    : settings_(std::move(settings)),
      process_id_(settings_.node_id + "-" + base::RandomHex(kProcessIdBytes)),
      leaf_rules_(MakeLeafRules(settings_)),
      io_(io),
      scheduler_(io),
      random_(base::EntropySeed()),
      store_(io, settings_.store_address),
      views_(settings_.node_id, leaf_rules_.holders),
      links_(io, views_),
      peer_contents_(views_, settings_.node_id, random_),
      store_contents_(store_),
      configuration_(platform::ConfigurationController::Create(
          {&peer_contents_, &store_contents_})),
      watcher_(platform::ManifestWatcher::Create(
          {},
          scheduler_,
          store_,
          configuration_,
          [this] {
            return views_.Current()->IsZoneDelegate(std::string(kWatchTask),
                                                    kWatchersPerZone);
          })),
      membership_(membership::MembershipController::Create(
          MakeSelf(settings_),
          settings_.peer_seeds,
          MakeMembershipRules(settings_),
          scheduler_,
          random_,
          facts_,
          links_)),
      snapshots_(scheduler_),
      pool_(upstream::ConnectionPool::Create(io)),
      transport_(pool_),
      poller_(upstream::ReportPoller::Create(
          scheduler_,
          transport_,
          servers_,
          [this] { return HeldServers(); },
          [this](const auto& report) { OnReport(report); })),
      hedges_(kHedgeQuantile),
      budget_(kExtraLoadBurst),
      grants_(
          [this](const std::string& account) {
            return query::TermsOfAccount(*configuration_->Current(), account);
          },
          [this] { return views_.Current()->GrantableFraction(); }),
      limits_(
          {settings_.planned_nodes},
          [this](const std::string& account) {
            return query::TermsOfAccount(*configuration_->Current(), account);
          },
          scheduler_,
          links_),
      admission_({}),
      ledger_(
          process_id_,
          [this](const std::string& party, const std::string& upstream) {
            const auto terms =
                query::TermsOfAccount(*configuration_->Current(),
                                      query::AccountName(party, upstream));
            return static_cast<uint64_t>(
                terms ? terms->rate * kUsageHeadroomSeconds + terms->burst : 0);
          }),
      usage_reporter_(platform::UsageReporter::Create(
          {settings_.availability_zone},
          scheduler_,
          store_,
          ledger_,
          [this](const usage::UsageRecords& records) { PushUsage(records); },
          [this] {
            return views_.Current()->IsZoneDelegate(std::string(kUsageTask), 1);
          })),
      leaf_({scheduler_, random_, transport_, servers_, hedges_, budget_,
             [this](const std::string& address) { OnLeaving(address); }},
            leaf_rules_),
      coordinator_({settings_.node_id, scheduler_, random_, links_, snapshots_,
                    [this] {
                      const auto view = views_.Current();
                      return std::shared_ptr<const routing::HolderMap>(
                          view, &view->holders());
                    }},
                   {}),
      booking_transport_(
          pool_,
          [this](const std::string& name) { return ConnectionsFor(name); }),
      booking_runner_(
          {scheduler_, random_, booking_transport_, servers_,
           [this](const std::string& address) { OnLeaving(address); }}),
      bookings_({settings_.node_id, process_id_, base::RandomHex(kSecretBytes),
                 scheduler_, links_, links_, snapshots_,
                 [this] {
                   const auto view = views_.Current();
                   return std::shared_ptr<const routing::HolderMap>(
                       view, &view->holders());
                 },
                 [this](const query::Booking& booking) {
                   ledger_.Add(usage::CurrentDay(), booking.party,
                               booking.upstream, 1, 0);
                 }},
                {}),
      filters_(MakeFilters()),
      started_at_(scheduler_.Now()) {}

Node::~Node() {
  network_.reset();
}

query::FilterChain Node::MakeFilters() {
  std::vector<std::unique_ptr<query::Filter>> filters;
  filters.push_back(std::make_unique<query::ReadinessFilter>(
      [this] { return AnsweringConfiguration(); }));
  filters.push_back(std::make_unique<query::AuthenticationFilter>());
  filters.push_back(std::make_unique<query::DeadlineFilter>());
  filters.push_back(std::make_unique<query::AgreementFilter>());
  filters.push_back(
      std::make_unique<query::OverloadFilter>(scheduler_, admission_));
  filters.push_back(std::make_unique<query::CreditFilter>(limits_, snapshots_));
  filters.push_back(std::make_unique<query::UsageFilter>(ledger_, limits_));
  filters.push_back(
      std::make_unique<query::ExecutionFilter>(coordinator_, bookings_));
  return query::FilterChain(std::move(filters));
}

base::Result<void> Node::Start() {
  links_.SetLocal(
      {settings_.node_id,
       [this](query::LeafRequest request, auto callback) {
         ExecuteLeaf(std::move(request), std::move(callback));
       },
       [this](query::BookingRun run, query::BookingCallback callback) {
         RunBooking(std::move(run), std::move(callback));
       },
       [this](const limits::GrantRequest& request) {
         return GrantCredit(request);
       }});
  facts_.AddListener([this](const membership::Fact& fact) { OnFact(fact); });
  configuration_->AddListener([this](const config::Manifest& manifest) {
    snapshots_.SetConfiguration(configuration_->Current());
    RefreshView();
    facts_.Offer(ToFact(manifest));
    for (const auto& fact : facts_.WithPrefix(kServerPrefix))
      OnFact(fact);
    poller_->PollAll();
  });
  membership_->SetChangeListener([this] { RefreshView(); });
  RefreshView();
  network_ = TRY(peer::Network::Create(settings_.peer_address, *this));
  links_.SetNetwork(network_.get());
  peer_contents_.SetNetwork(network_.get());
  http::ServerLimits limits;
  caller_server_ = TRY(http::Server::Create(
      io_, settings_.caller_address, limits,
      [this](http::Request request, const http::Responder& respond) {
        HandleCaller(std::move(request), respond);
      }));
  operator_server_ = TRY(http::Server::Create(
      io_, settings_.operator_address, limits,
      [this](const http::Request& request, const http::Responder& respond) {
        HandleOperator(request, respond);
      }));
  StartControllers();
  base::Log(Event::kNodeStarted, {{"caller", settings_.caller_address},
                                  {"operator", settings_.operator_address},
                                  {"peer", settings_.peer_address},
                                  {"processId", process_id_}});
  return {};
}

void Node::StartControllers() {
  membership_->Start();
  watcher_->Start();
  poller_->Start();
  usage_reporter_->Start();
  ReadHostList();
  WatchForPauses(scheduler_.Now() + kPauseCheckPeriod);
}

// The configuration to answer under, or null while a node that can't read the
// key-value service may still learn of a higher revision from its peers.
config::ConfigurationPtr Node::AnsweringConfiguration() {
  const auto current = configuration_->Current();
  if (current->revision == 0)
    return nullptr;
  const auto stored = watcher_->stored_revision();
  const bool read_enough = stored && current->revision >= *stored;
  const bool listened =
      scheduler_.Now() - started_at_ >= kPeerListening &&
      watcher_->store_state() == platform::ManifestWatcher::StoreState::kSilent;
  return read_enough || (!stored && listened) ? current : nullptr;
}

void Node::RefreshView() {
  views_.Update(membership_->Members(), configuration_->Current());
  const auto view = views_.Current();
  grants_.KeepOnly(
      [&](const std::string& account) { return view->IsOwner(account); });
  std::vector<std::string> held;
  std::ranges::transform(HeldServers(), std::back_inserter(held),
                         &upstream::ServerTarget::address);
  pool_->KeepOnly([&](const std::string& address) {
    return std::ranges::find(held, address) != held.end();
  });
}

void Node::ReadHostList() {
  platform::FetchHosts(io_, settings_.host_list_address, [this](auto hosts) {
    if (!hosts)
      return;
    std::vector<std::string> seeds;
    std::ranges::transform(*hosts, std::back_inserter(seeds),
                           &platform::Host::peer_address);
    membership_->AddSeeds(seeds);
  });
  scheduler_.After(kHostListPeriod, [this] { ReadHostList(); });
}

void Node::WatchForPauses(base::Instant expected) {
  const base::Instant now = scheduler_.Now();
  if (now - expected > kLongestPause)
    base::Log(Event::kPauseDetected,
              {{"ms", std::to_string(base::ToMilliseconds(now - expected))}});
  scheduler_.After(kPauseCheckPeriod, [this, next = now + kPauseCheckPeriod] {
    WatchForPauses(next);
  });
}

int Node::ConnectionsFor(const std::string& name) {
  const auto configuration = configuration_->Current();
  const config::Upstream* upstream = configuration->FindUpstream(name);
  return upstream ? routing::ConnectionsPerNode(upstream->connections,
                                                leaf_rules_.holders)
                  : 0;
}

std::vector<upstream::ServerTarget> Node::HeldServers() {
  std::vector<upstream::ServerTarget> targets;
  const auto view = views_.Current();
  for (const config::Upstream& upstream : view->configuration()->upstreams) {
    const int connections = ConnectionsFor(upstream.name);
    for (size_t service = 0; service < upstream.services.size(); ++service) {
      if (!view->holders().IsHolder(settings_.node_id, upstream.name, service))
        continue;
      for (const config::Server& server : upstream.services[service].servers)
        targets.push_back({server.address, connections});
    }
  }
  return targets;
}

void Node::OnFact(const membership::Fact& fact) {
  if (fact.key == kManifestFact) {
    if (const auto manifest = config::ParseManifest(fact.value))
      configuration_->OnManifest(*manifest);
  } else if (fact.key.starts_with(kServerPrefix)) {
    if (const auto report = upstream::ParseReport(fact.value)) {
      snapshots_.OnReport(*report);
      if (servers_.OnReport(*report))
        StopTakingWork(report->address);
    }
  } else if (fact.key.starts_with(kLeavingPrefix)) {
    const std::string address = fact.key.substr(kLeavingPrefix.size());
    if (servers_.MarkLeaving(address, fact.version.epoch))
      StopTakingWork(address);
  }
}

void Node::OnReport(const upstream::ServerReport& report) {
  facts_.Offer(ToFact(report));
}

// A server refused work because it leaves: tells all nodes.
void Node::OnLeaving(const std::string& address) {
  uint64_t incarnation = 0;
  for (const upstream::ServerReport& report : snapshots_.Reports()) {
    if (report.address == address)
      incarnation = report.incarnation;
  }
  facts_.Offer({std::string(kLeavingPrefix) + address, {incarnation, 0}, ""});
}

void Node::StopTakingWork(const std::string& address) {
  base::Log(Event::kServerLeaving, {{"server", address}});
  transport_.DropWaiting(address);
}

void Node::PushUsage(const usage::UsageRecords& records) {
  const auto view = views_.Current();
  const std::string text = usage::SerializeRecords(records);
  for (const membership::Member* keeper :
       {view->ZoneDelegate(std::string(kUsageTask)),
        view->RemoteKeeper(process_id_)}) {
    if (keeper && keeper->node_id != settings_.node_id)
      network_->HoldUsage(keeper->peer_address, text, kUsagePushTimeout,
                          [](const auto&) {});
  }
}

void Node::ExecuteLeaf(query::LeafRequest request,
                       std::function<void(query::LeafAnswer)> callback) {
  ++running_leaves_;
  leaf_.Execute(configuration_->Current(), std::move(request),
                [this, callback = std::move(callback)](auto answer) {
                  callback(std::move(answer));
                  --running_leaves_;
                });
}

membership::GossipMessage Node::Gossip(
    const membership::GossipMessage& message) {
  return membership_->OnGossip(message);
}

void Node::Probe(const std::string& address,
                 base::Duration timeout,
                 membership::PeerLink::ProbeCallback callback) {
  using Reachability = membership::PeerLink::Reachability;
  network_->Ping(address, timeout, [callback](auto result) {
    callback(result ? Reachability::kReachable : Reachability::kUnreachable);
  });
}

std::optional<std::string> Node::ContentOf(const std::string& digest) {
  return configuration_->ContentOf(digest);
}

void Node::RunBooking(query::BookingRun run, query::BookingCallback callback) {
  ++running_leaves_;
  booking_runner_.Run(configuration_->Current(), std::move(run),
                      [this, callback = std::move(callback)](auto outcome) {
                        callback(std::move(outcome));
                        --running_leaves_;
                      });
}

void Node::ForwardBooking(const std::string& ticket,
                          query::Booking booking,
                          base::Duration time_left,
                          query::BookingCallback callback) {
  // NOTE: A replaced host may have taken the issuer's address; passing the
  // booking on from here could send it in a circle.
  const auto read = query::ReadTicket(ticket);
  if (!read || read->node_id != settings_.node_id) {
    callback(query::BookingOutcome::Unknown(base::Error(
        base::ErrorKind::kUnavailable, "the ticket's issuer is gone",
        "look the booking up at the service before you book again")));
    return;
  }
  ++running_leaves_;
  bookings_.Book(ticket, std::move(booking), scheduler_.Now() + time_left,
                 [this, callback = std::move(callback)](auto outcome) {
                   callback(std::move(outcome));
                   --running_leaves_;
                 });
}

limits::Grant Node::GrantCredit(const limits::GrantRequest& request) {
  return grants_.Give(request, scheduler_.Now());
}

void Node::HoldUsage(const std::string& records) {
  if (const auto parsed = usage::ParseRecords(records))
    ledger_.Hold(*parsed);
}

http::Response Node::AddressAnswer() {
  const auto view = views_.Current();
  json addresses = json::array();
  for (const std::string& address :
       view->SampleCallerAddresses(kAddressesPerAnswer, random_))
    addresses.push_back(address);
  http::Response response;
  response.body = json{
      {"addresses", addresses},
      {"holdMs",
       std::chrono::duration_cast<std::chrono::milliseconds>(
           settings_.address_hold)
           .count()}}.dump();
  return response;
}

void Node::HandleCaller(http::Request request, const http::Responder& respond) {
  if (request.method == "GET" &&
      http::Path(request.target) == "/v1/addresses") {
    respond(AddressAnswer());
    return;
  }
  auto parsed = query::ParseCallerRequest(request);
  if (!parsed) {
    respond(query::ToErrorResponse(parsed.error()));
    return;
  }
  auto context = std::make_shared<query::RequestContext>();
  context->request_id =
      process_id_ + "-" + std::to_string(next_request_.fetch_add(1));
  context->request = *std::move(parsed);
  context->arrival = scheduler_.Now();
  // NOTE: The context owns `respond`, so `respond` must not own the context.
  context->respond = [this, respond,
                      raw = context.get()](const query::CallerAnswer& answer) {
    const base::Duration took = scheduler_.Now() - raw->arrival;
    const std::string labels =
        "outcome=\"" + std::to_string(static_cast<int>(answer.outcome)) + "\"";
    metrics_.Observe("celerycroft_request_seconds", labels, took);
    respond(query::ToResponse(*raw, answer));
  };
  filters_.Run(std::move(context));
}

void Node::HandleOperator(const http::Request& request,
                          const http::Responder& respond) {
  const std::string_view path = http::Path(request.target);
  http::Response response;
  if (path == "/v1/status") {
    response.body = StatusText();
  } else if (path == "/v1/state") {
    response.body = StateText();
  } else if (path == "/metrics") {
    response.content_type = "text/plain; version=0.0.4";
    response.body = MetricsText();
  } else {
    response = query::ToErrorResponse(base::Error(
        base::ErrorKind::kNotFound, std::string(path) + " is not known",
        "use /v1/status, /v1/state or /metrics"));
  }
  respond(std::move(response));
}

void Node::Drain(std::function<void()> done) {
  if (draining_.exchange(true))
    return;
  base::Log(Event::kNodeDraining);
  membership_->AnnounceLeaving();
  RefreshView();
  caller_server_->BeginDrain();
  scheduler_.After(settings_.drain, [this, done = std::move(done)]() mutable {
    caller_server_->StopAccepting();
    FinishDrain(std::move(done));
  });
}

void Node::FinishDrain(std::function<void()> done) {
  if (caller_server_->running_requests() > 0 || running_leaves_ > 0) {
    scheduler_.After(kDrainCheckPeriod,
                     [this, done = std::move(done)]() mutable {
                       FinishDrain(std::move(done));
                     });
    return;
  }
  caller_server_->CloseIdle();
  usage_reporter_->Finish([done = std::move(done)] {
    base::Log(Event::kNodeStopped);
    done();
  });
}

std::string Node::StatusText() {
  const auto manifest = configuration_->CurrentManifest();
  const bool ready = AnsweringConfiguration() != nullptr;
  return json{{"nodeId", settings_.node_id},
              {"processId", process_id_},
              {"availabilityZone", settings_.availability_zone},
              {"state", draining_ ? "draining"
                        : ready   ? "ready"
                                  : "starting"},
              {"revision", manifest ? manifest->revision : 0},
              {"publicationId", manifest ? manifest->publication_id : ""}}
      .dump();
}

std::string Node::StateText() {
  const auto view = views_.Current();
  json members = json::array();
  for (const membership::Member& member : view->members())
    members.push_back({{"nodeId", member.node_id},
                       {"availabilityZone", member.availability_zone},
                       {"callerAddress", member.caller_address},
                       {"operatorAddress", member.operator_address},
                       {"incarnation", member.incarnation},
                       {"state", static_cast<int>(member.state)}});
  json servers = json::array();
  for (const upstream::ServerView& server : servers_.Dump(scheduler_.Now()))
    servers.push_back({{"address", server.address},
                       {"outstanding", server.outstanding},
                       {"latencyMs", base::ToMilliseconds(server.latency)},
                       {"leaving", server.is_leaving},
                       {"unreachable", server.is_unreachable}});
  json pools = json::array();
  for (const auto& usage : pool_->Dump())
    pools.push_back({{"server", usage.address},
                     {"open", usage.open},
                     {"idle", usage.idle},
                     {"waiting", usage.waiting}});
  json snapshots = json::object();
  json concurrency = json::object();
  for (const config::Upstream& upstream : view->configuration()->upstreams) {
    if (const auto snapshot = snapshots_.Newest(upstream.name))
      snapshots[upstream.name] = {{"version", snapshot->version},
                                  {"shardCount", snapshot->shard_count()}};
    concurrency[upstream.name] = admission_.LimitOf(upstream.name);
  }
  return json{{"status", json::parse(StatusText())},
              {"members", members},
              {"servers", servers},
              {"connections", pools},
              {"snapshots", snapshots},
              {"concurrencyLimits", concurrency},
              {"facts", facts_.size()},
              {"runningRequests", caller_server_->running_requests()},
              {"runningLeaves", running_leaves_.load()},
              {"rememberedBookings", bookings_.remembered()}}
      .dump();
}

std::string Node::MetricsText() {
  return metrics_.ToPrometheusText();
}

}  // namespace celerycroft
