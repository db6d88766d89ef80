// Connects the parts of a node through interfaces.

#include "LibNode/node_core.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "LibBase/log.h"
#include "LibNode/manifest_fact.h"
#include "LibPlatform/host_list.h"
#include "LibQuery/admission_filters.h"
#include "LibQuery/caller_codec.h"
#include "LibQuery/execution_filters.h"

namespace node {

using base::Event;
using nlohmann::json;

namespace {

// Prefixes of the keys of facts.
constexpr std::string_view kServerFactPrefix = "server/";
constexpr std::string_view kLeavingFactPrefix = "leaving/";
// Tasks that nodes do for their availability zone.
constexpr std::string_view kWatchTask = "watch";
constexpr std::string_view kUsageTask = "usage";
constexpr size_t kWatchersPerZone = 1;
constexpr size_t kCallerAddressesPerResponse = 3;
constexpr double kHedgeQuantile = 0.99;
constexpr double kExtraSubRequestBurst = 10;
constexpr base::Duration kHostListPeriod = std::chrono::seconds(5);
constexpr base::Duration kUsageCopyTimeout = std::chrono::milliseconds(500);
constexpr base::Duration kHousekeepingPeriod = std::chrono::milliseconds(200);
// Longer than the time until the next two usage reports, for which the headroom
// must suffice.
constexpr double kUsageHeadroomSeconds = 3;

membership::Member MakeSelf(const config::Settings& settings,
                            const ProcessIdentity& identity) {
  membership::Member self;
  self.node_id = settings.node_id;
  self.availability_zone = settings.availability_zone;
  self.caller_address = settings.caller_address;
  self.peer_address = settings.peer_address;
  self.operator_address = settings.operator_address;
  self.incarnation = identity.incarnation;
  return self;
}

query::LeafRules MakeLeafRules(const Policies& policies) {
  query::LeafRules rules;
  rules.replica_choice = policies.replica_choice;
  return rules;
}

membership::Fact ToFact(const upstream::ServerReport& report) {
  return {std::string(kServerFactPrefix) + report.address,
          {report.incarnation, report.sequence},
          upstream::SerializeReport(report)};
}

std::unique_ptr<upstream::HedgePolicy> MakeHedgePolicy(
    const Policies& policies) {
  if (policies.hedging)
    return std::make_unique<upstream::QuantileHedgePolicy>(kHedgeQuantile);
  return std::make_unique<upstream::NoHedgePolicy>();
}

}  // namespace

NodeCore::NodeCore(config::Settings settings,
                   ProcessIdentity identity,
                   Policies policies,
                   NodeDependencies dependencies)
    : settings_(std::move(settings)),
      identity_(std::move(identity)),
      leaf_rules_(MakeLeafRules(policies)),
      holder_rules_{settings_.holders_per_service, settings_.planned_nodes},
      dependencies_(std::move(dependencies)),
      views_(settings_.node_id, holder_rules_),
      peer_dispatcher_(dependencies_.scheduler,
                       views_,
                       dependencies_.peer_client),
      peer_content_source_(views_,
                           dependencies_.peer_client,
                           settings_.node_id,
                           dependencies_.random),
      store_content_source_(dependencies_.store),
      configuration_(platform::ConfigurationController::Create(
          {&peer_content_source_, &store_content_source_})),
      manifest_watcher_(platform::ManifestWatcher::Create(
          {},
          dependencies_.scheduler,
          dependencies_.store,
          configuration_,
          [this] {
            return views_.Current()->IsZoneAssignee(std::string(kWatchTask),
                                                    kWatchersPerZone);
          })),
      facts_({std::string(kManifestFactKey), std::string(kLeavingFactPrefix)}),
      membership_(membership::MembershipController::Create(
          MakeSelf(settings_, identity_),
          settings_.peer_seeds,
          {.gossip_period = settings_.gossip_period},
          dependencies_.scheduler,
          dependencies_.random,
          facts_,
          peer_dispatcher_)),
      freshness_gate_(dependencies_.scheduler,
                      [this](std::function<void()> done) {
                        membership_->Synchronize(std::move(done));
                      }),
      snapshots_(dependencies_.scheduler),
      report_poller_(upstream::ReportPoller::Create(
          dependencies_.scheduler,
          dependencies_.reports,
          servers_,
          [this] { return HeldServers(); },
          [this](const auto& report) { OnReport(report); })),
      hedge_policy_(MakeHedgePolicy(policies)),
      extra_load_budget_(kExtraSubRequestBurst),
      credit_granter_(
          [this](const std::string& account) { return TermsOf(account); },
          [this] { return views_.Current()->GrantableFraction(); }),
      rate_limiter_(
          {settings_.planned_nodes},
          [this](const std::string& account) { return TermsOf(account); },
          dependencies_.scheduler,
          peer_dispatcher_),
      admission_controller_({}),
      ledger_(
          identity_.process_id,
          [this](const std::string& party, const std::string& upstream) {
            const auto terms = TermsOf(query::AccountName(party, upstream));
            return static_cast<uint64_t>(
                terms ? terms->rate * kUsageHeadroomSeconds + terms->burst : 0);
          }),
      usage_reporter_(platform::UsageReporter::Create(
          {settings_.availability_zone},
          dependencies_.scheduler,
          dependencies_.store,
          ledger_,
          [this](const usage::UsageRecords& records) {
            SendUsageCopies(records);
          },
          [this] {
            return views_.Current()->IsZoneAssignee(std::string(kUsageTask), 1);
          })),
      leaf_executor_(
          {dependencies_.scheduler, dependencies_.random,
           dependencies_.transport, servers_, *hedge_policy_,
           extra_load_budget_,
           [this](const std::string& address) { OnServerLeaving(address); },
           [this](const config::Upstream& upstream) {
             return routing::ConnectionsPerNode(upstream.connections,
                                                holder_rules_);
           }},
          leaf_rules_),
      root_coordinator_(
          {settings_.node_id, dependencies_.scheduler, dependencies_.random,
           peer_dispatcher_, snapshots_, [this] { return Holders(); }},
          {}),
      booking_runner_(
          {dependencies_.scheduler, dependencies_.random,
           dependencies_.booking_transport, servers_,
           [this](const std::string& address) { OnServerLeaving(address); }}),
      booking_controller_(
          {settings_.node_id, identity_.process_id, identity_.secret,
           dependencies_.scheduler, peer_dispatcher_, peer_dispatcher_,
           snapshots_, [this] { return Holders(); },
           [this](const query::Booking& booking,
                  query::BookingDependencies::AdmitCallback callback) {
             query::AdmitBooking(*configuration_->Current(), rate_limiter_,
                                 booking, std::move(callback));
           },
           [this](const query::Booking& booking) {
             ledger_.Add(usage::CurrentDay(), booking.party, booking.upstream,
                         1, 0);
           }},
          {}),
      filter_chain_(MakeFilters()) {}

NodeCore::~NodeCore() = default;

std::shared_ptr<const routing::HolderMap> NodeCore::Holders() {
  const auto view = views_.Current();
  return {view, &view->holders()};
}

std::optional<limits::AccountTerms> NodeCore::TermsOf(
    const std::string& account) {
  return query::TermsOfAccount(*configuration_->Current(), account);
}

query::FilterChain NodeCore::MakeFilters() {
  std::vector<std::unique_ptr<query::Filter>> filters;
  filters.push_back(std::make_unique<query::TicketFilter>(booking_controller_));
  filters.push_back(std::make_unique<query::ReadinessFilter>(
      [this] { return AnsweringConfiguration(); }));
  filters.push_back(std::make_unique<query::AuthenticationFilter>());
  filters.push_back(std::make_unique<query::DeadlineFilter>());
  filters.push_back(std::make_unique<query::AgreementFilter>());
  filters.push_back(std::make_unique<query::OverloadFilter>(
      dependencies_.scheduler, admission_controller_));
  filters.push_back(
      std::make_unique<query::CreditFilter>(rate_limiter_, snapshots_));
  filters.push_back(
      std::make_unique<query::UsageFilter>(ledger_, rate_limiter_));
  filters.push_back(std::make_unique<query::ExecutionFilter>(
      root_coordinator_, booking_controller_));
  return query::FilterChain(std::move(filters));
}

void NodeCore::Start() {
  peer_dispatcher_.SetLocalNode(
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
    facts_.AddIfNewer(ToFact(manifest));
    for (const auto& fact : facts_.WithPrefix(kServerFactPrefix))
      OnFact(fact);
    report_poller_->PollAll();
  });
  membership_->SetChangeListener([this] { RefreshView(); });
  RefreshView();
  membership_->Start();
  manifest_watcher_->Start();
  report_poller_->Start();
  usage_reporter_->Start();
  ReadHostList();
  RunHousekeeping();
}

// Returns null until this process has read the key-value service once and its
// configuration has reached the stored revision: only the service knows under
// which revision the node's previous process answered.
config::ConfigurationPtr NodeCore::AnsweringConfiguration() {
  const auto current = configuration_->Current();
  if (has_caught_up_)
    return current;
  const auto stored = manifest_watcher_->stored_revision();
  if (current->revision == 0 || !stored || current->revision < *stored)
    return nullptr;
  has_caught_up_ = true;
  return current;
}

void NodeCore::RefreshView() {
  views_.Update(membership_->Members(), configuration_->Current());
  const auto view = views_.Current();
  credit_granter_.KeepOnly(
      [&](const std::string& account) { return view->IsOwner(account); });
  std::set<std::string> held_addresses;
  for (const upstream::ServerTarget& target : HeldServers())
    held_addresses.insert(target.address);
  dependencies_.on_held_servers_changed(held_addresses);
}

void NodeCore::ReadHostList() {
  dependencies_.fetch_hosts([this](auto hosts) {
    if (!hosts)
      return;
    std::vector<std::string> seeds;
    std::ranges::transform(*hosts, std::back_inserter(seeds),
                           &platform::Host::peer_address);
    membership_->AddSeeds(seeds);
  });
  dependencies_.scheduler.After(kHostListPeriod, [this] { ReadHostList(); });
}

void NodeCore::RunHousekeeping() {
  freshness_gate_.Tick();
  configuration_->RetryMissingContent();
  dependencies_.scheduler.After(kHousekeepingPeriod,
                                [this] { RunHousekeeping(); });
}

int NodeCore::MaxConnectionsPerServer(const std::string& upstream_name) {
  const auto configuration = configuration_->Current();
  const config::Upstream* upstream = configuration->FindUpstream(upstream_name);
  return upstream
             ? routing::ConnectionsPerNode(upstream->connections, holder_rules_)
             : 0;
}

std::vector<upstream::ServerTarget> NodeCore::HeldServers() {
  std::vector<upstream::ServerTarget> targets;
  const auto view = views_.Current();
  for (const config::Upstream& upstream : view->configuration()->upstreams) {
    const int connections = MaxConnectionsPerServer(upstream.name);
    for (size_t service = 0; service < upstream.services.size(); ++service) {
      if (!view->holders().IsHolder(settings_.node_id, upstream.name, service))
        continue;
      for (const config::Server& server : upstream.services[service].servers)
        targets.push_back({server.address, connections});
    }
  }
  return targets;
}

void NodeCore::OnFact(const membership::Fact& fact) {
  if (fact.key == kManifestFactKey) {
    if (const auto manifest = config::ParseManifest(fact.value))
      configuration_->OnManifest(*manifest);
  } else if (fact.key.starts_with(kServerFactPrefix)) {
    if (const auto report = upstream::ParseReport(fact.value)) {
      snapshots_.OnReport(*report);
      if (servers_.OnReport(*report))
        StopUsingServer(report->address);
    }
  } else if (fact.key.starts_with(kLeavingFactPrefix)) {
    const std::string address = fact.key.substr(kLeavingFactPrefix.size());
    if (servers_.MarkLeaving(address, fact.version.epoch))
      StopUsingServer(address);
  }
}

void NodeCore::OnReport(const upstream::ServerReport& report) {
  facts_.AddIfNewer(ToFact(report));
}

void NodeCore::OnServerLeaving(const std::string& address) {
  uint64_t incarnation = 0;
  for (const upstream::ServerReport& report : snapshots_.Reports()) {
    if (report.address == address)
      incarnation = report.incarnation;
  }
  facts_.AddIfNewer(
      {std::string(kLeavingFactPrefix) + address, {incarnation, 0}, ""});
}

void NodeCore::StopUsingServer(const std::string& address) {
  base::Log(Event::kServerLeaving, {{"server", address}});
  dependencies_.transport.DropWaitingCalls(address);
}

void NodeCore::SendUsageCopies(const usage::UsageRecords& records) {
  const auto view = views_.Current();
  const std::string text = usage::SerializeRecords(records);
  for (const membership::Member* recipient :
       {view->ZoneAssignee(std::string(kUsageTask)),
        view->RemoteZoneAssignee(identity_.process_id)}) {
    if (recipient && recipient->node_id != settings_.node_id)
      dependencies_.peer_client.HoldUsage(
          recipient->peer_address, text, kUsageCopyTimeout, [](const auto&) {});
  }
}

void NodeCore::ExecuteLeaf(query::LeafRequest request,
                           std::function<void(query::LeafAnswer)> callback) {
  ++running_request_count_;
  const base::Instant deadline =
      dependencies_.scheduler.Now() + request.time_left;
  freshness_gate_.RunWhenFresh([this, request = std::move(request), deadline,
                                callback = std::move(callback)]() mutable {
    request.time_left = deadline - dependencies_.scheduler.Now();
    const auto configuration = configuration_->Current();
    const query::UpstreamPtr upstream(
        configuration, configuration->FindUpstream(request.upstream));
    leaf_executor_.Execute(upstream, std::move(request),
                           [this, callback = std::move(callback)](auto answer) {
                             callback(std::move(answer));
                             --running_request_count_;
                           });
  });
}

membership::GossipMessage NodeCore::Gossip(
    const membership::GossipMessage& message) {
  return membership_->OnGossip(message);
}

void NodeCore::Probe(const std::string& target,
                     base::Duration timeout,
                     membership::GossipTransport::ProbeCallback callback) {
  peer_dispatcher_.Probe(target, timeout, std::move(callback));
}

std::optional<std::string> NodeCore::ContentOf(const std::string& digest) {
  return configuration_->ContentOf(digest);
}

void NodeCore::RunBooking(query::BookingRun run,
                          query::BookingCallback callback) {
  ++running_request_count_;
  const base::Instant deadline = dependencies_.scheduler.Now() + run.time_left;
  freshness_gate_.RunWhenFresh([this, run = std::move(run), deadline,
                                callback = std::move(callback)]() mutable {
    run.time_left = deadline - dependencies_.scheduler.Now();
    booking_runner_.Run(configuration_->Current(), std::move(run),
                        [this, callback = std::move(callback)](auto outcome) {
                          callback(std::move(outcome));
                          --running_request_count_;
                        });
  });
}

void NodeCore::ForwardBooking(const std::string& ticket,
                              query::Booking booking,
                              base::Duration time_left,
                              query::BookingCallback callback) {
  // NOTE: The host that replaced the ticket's issuer may have taken over its
  // address. Forwarding the booking from here could make it circulate.
  const auto parsed_ticket = query::ParseTicket(ticket);
  if (!parsed_ticket || parsed_ticket->node_id != settings_.node_id) {
    callback(query::BookingOutcome::Unknown(base::Error(
        base::ErrorKind::kUnavailable,
        "the node that issued the ticket no longer exists",
        "look the booking up at the service before you book again")));
    return;
  }
  ++running_request_count_;
  booking_controller_.Book(
      ticket, std::move(booking), dependencies_.scheduler.Now() + time_left,
      [this, callback = std::move(callback)](auto outcome) {
        callback(std::move(outcome));
        --running_request_count_;
      });
}

limits::Grant NodeCore::GrantCredit(const limits::GrantRequest& request) {
  return credit_granter_.GrantCredit(request, dependencies_.scheduler.Now());
}

void NodeCore::HoldUsage(const std::string& records) {
  if (const auto parsed = usage::ParseRecords(records))
    ledger_.MergeRemoteRecords(*parsed);
}

http::Response NodeCore::MakeAddressesResponse() {
  const auto view = views_.Current();
  json addresses = json::array();
  for (const std::string& address : view->SampleCallerAddresses(
           kCallerAddressesPerResponse, dependencies_.random))
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

void NodeCore::HandleCaller(http::Request request,
                            const http::Responder& respond) {
  if (request.method == "GET" &&
      http::Path(request.target) == "/v1/addresses") {
    respond(MakeAddressesResponse());
    return;
  }
  auto parsed = query::ParseCallerRequest(request);
  if (!parsed) {
    respond(query::ToErrorResponse(parsed.error()));
    return;
  }
  ++running_request_count_;
  auto context = std::make_shared<query::RequestContext>();
  context->request_id = identity_.process_id + "-" +
                        std::to_string(next_request_number_.fetch_add(1));
  context->request = *std::move(parsed);
  context->arrival = dependencies_.scheduler.Now();
  // NOTE: The context owns `respond`, so `respond` must not own the context.
  context->respond = [this, respond, raw_context = context.get()](
                         const query::CallerAnswer& answer) {
    const base::Duration elapsed =
        dependencies_.scheduler.Now() - raw_context->arrival;
    const std::string labels =
        "outcome=\"" + std::string(query::OutcomeName(answer.outcome)) + "\"";
    metrics_.Observe("celerycroft_request_seconds", labels, elapsed);
    respond(query::ToResponse(*raw_context, answer));
    --running_request_count_;
  };
  filter_chain_.Run(std::move(context));
}

uint64_t NodeCore::answering_revision() {
  const auto configuration = AnsweringConfiguration();
  return configuration ? configuration->revision : 0;
}

void NodeCore::AnnounceLeaving() {
  if (leaving_.exchange(true))
    return;
  base::Log(Event::kNodeDraining);
  membership_->AnnounceLeaving();
  RefreshView();
}

void NodeCore::Finish(std::function<void()> done) {
  usage_reporter_->Finish([done = std::move(done)] {
    base::Log(Event::kNodeStopped);
    done();
  });
}

std::string NodeCore::StatusText() {
  const auto manifest = configuration_->CurrentManifest();
  const bool ready = AnsweringConfiguration() != nullptr;
  return json{{"nodeId", settings_.node_id},
              {"processId", identity_.process_id},
              {"availabilityZone", settings_.availability_zone},
              {"state", leaving_ ? "draining"
                        : ready  ? "ready"
                                 : "starting"},
              {"revision", manifest ? manifest->revision : 0},
              {"publicationId", manifest ? manifest->publication_id : ""}}
      .dump();
}

std::string NodeCore::StateText() {
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
  for (const upstream::ServerView& server :
       servers_.Dump(dependencies_.scheduler.Now()))
    servers.push_back({{"address", server.identity},
                       {"outstanding", server.outstanding},
                       {"latencyMs", base::ToMilliseconds(server.latency)},
                       {"leaving", server.is_leaving},
                       {"unreachable", server.is_unreachable}});
  json snapshots = json::object();
  json concurrency = json::object();
  for (const config::Upstream& upstream : view->configuration()->upstreams) {
    if (const auto snapshot = snapshots_.Newest(upstream.name))
      snapshots[upstream.name] = {{"version", snapshot->version},
                                  {"shardCount", snapshot->shard_count()}};
    concurrency[upstream.name] =
        admission_controller_.ConcurrencyLimit(upstream.name);
  }
  return json{{"status", json::parse(StatusText())},
              {"members", members},
              {"servers", servers},
              {"snapshots", snapshots},
              {"concurrencyLimits", concurrency},
              {"facts", facts_.size()},
              {"running", running_request_count_.load()},
              {"rememberedBookings", booking_controller_.remembered_count()}}
      .dump();
}

}  // namespace node
