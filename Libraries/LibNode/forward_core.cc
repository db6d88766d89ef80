// Connects the parts of a forwarding node through interfaces.

#include "LibNode/forward_core.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "LibBase/digest.h"
#include "LibBase/log.h"
#include "LibBase/sampling.h"
#include "LibNode/manifest_fact.h"
#include "LibQuery/drain_filter.h"
#include "LibQuery/forward_log.h"

namespace node {

using base::Event;
using nlohmann::json;

namespace {

// Prefixes of the keys of facts.
constexpr std::string_view kClaimFactPrefix = "claim/";
constexpr std::string_view kStoreHealthFactPrefix = "store/";
// An announcement of a server that is leaving follows.
constexpr std::string_view kLeavingFactPrefix = "leaving/";
// A server's instance, a slash and the id of the node that wants to call it
// follow.
constexpr std::string_view kDemandFactPrefix = "demand/";
// Values of the facts on whether the store answers a node.
constexpr std::string_view kStoreSilentValue = "silent";
constexpr std::string_view kStoreAnswersValue = "answers";
// With two watchers, a zone learns of changes in time although one of them is
// frozen and the store refuses the nodes of all other zones.
constexpr size_t kWatchersPerZone = 2;
// A zone is near enough for callers if it has servers of at least this share of
// the services that the zone with the most services has.
constexpr double kMinNearServiceShare = 0.5;
// Callers are sent only to the nodes of near zones if these are at least this
// share of all alive nodes. Otherwise too few nodes would serve all callers.
constexpr double kMinNearNodeShare = 0.6;
// Callers are sent only to the nodes of their own zone if it has at least this
// many. With fewer, the loss of one node would leave the others with too many
// callers.
constexpr size_t kMinNodesInCallerZone = 4;
// How long removals of servers are delayed, and how long the store counts as
// recovering once it answers again. According to the platform, running servers
// rewrite their entries within about this time after an outage of the store.
constexpr base::Duration kRemovalDelay = std::chrono::seconds(2);
// How long the entry of a server is not believed that a restored store lists
// and that was seen to be removed. The platform removes entries that their
// servers don't renew within a shorter time.
constexpr base::Duration kRestoredClaimDelay = std::chrono::seconds(10);
// Delegated work is timed apart from the requests of callers.
constexpr std::string_view kDelegatedDrainPrefix = "delegated/";
constexpr base::Duration kHousekeepingPeriod = std::chrono::milliseconds(100);
constexpr base::Duration kWorkSummaryPeriod = std::chrono::seconds(5);
// The minimum number of nodes that a server's connections are split among, so
// that the nodes of an old view and those of a new one together stay within the
// server's limit.
constexpr size_t kMinConnectionSharers = 5;
// The maximum number of nodes that a server's connections are split among. In a
// larger cluster, a server is called by its holders and hardly by other nodes.
constexpr size_t kMaxConnectionSharers = 60;

query::LeafRules MakeLeafRules(const ForwardSettings& settings) {
  query::LeafRules rules;
  rules.remote_cost = settings.remote_cost;
  return rules;
}

membership::Fact ToFact(const upstream::ServerClaim& claim) {
  // An era of 0 is unknown to the facts, but the store may begin with it.
  const uint64_t era = claim.revision.era ? *claim.revision.era + 1 : 0;
  return {std::string(kClaimFactPrefix) + claim.instance,
          {claim.revision.number, claim.correction, era},
          upstream::SerializeClaim(claim)};
}

// The key holds all of an announcement. If it held the instance only, that of
// one run would replace that of another.
membership::Fact ToFact(const upstream::LeavingAnnouncement& announcement) {
  return {std::string(kLeavingFactPrefix) +
              upstream::SerializeAnnouncement(announcement),
          {.epoch = 1},
          ""};
}

void LogRejectedFact(const membership::Fact& fact, const base::Error& error) {
  base::Log(Event::kFactRejected,
            {{"key", fact.key}, {"reason", error.ToString()}});
}

platform::ConfigurationController::Parser MakeConfigurationParser(
    const StoreEntryReaders& readers) {
  return [read = readers.read_configuration](std::string_view content,
                                             uint64_t revision) {
    config::ParsedConfiguration parsed;
    auto result = read(content);
    if (!result)
      parsed.issues.push_back({"the stored configuration", "",
                               result.error().message(),
                               result.error().remedy()});
    else
      parsed.configuration = *std::move(result);
    parsed.configuration.revision = revision;
    return parsed;
  };
}

base::Error MakeNotServedError() {
  return base::Error(base::ErrorKind::kNotFound,
                     "this node only forwards requests along routes",
                     "send the call to a node that serves agreements");
}

}  // namespace

ForwardCore::ForwardCore(ForwardSettings settings,
                         StoreEntryReaders readers,
                         ForwardDependencies dependencies)
    : settings_(std::move(settings)),
      readers_(std::move(readers)),
      dependencies_(std::move(dependencies)),
      work_meter_(dependencies_.scheduler, metrics_),
      log_line_limiter_(dependencies_.scheduler),
      leaving_server_log_([](std::string servers) {
        base::Log(Event::kServerLeaving, {{"servers", std::move(servers)}});
      }),
      statement_rejection_log_(
          [](const std::string& instance, const base::Error& error) {
            base::Log(Event::kServerStatementRejected,
                      {{"server", instance}, {"reason", error.ToString()}});
          }),
      views_(settings_.self.node_id, {}),
      peer_dispatcher_(dependencies_.scheduler,
                       views_,
                       dependencies_.peer_client),
      metered_gossip_(peer_dispatcher_, work_meter_, metrics_),
      peer_content_source_(views_,
                           dependencies_.peer_client,
                           settings_.self.node_id,
                           dependencies_.random),
      configuration_(platform::ConfigurationController::Create(
          {&peer_content_source_},
          MakeConfigurationParser(readers_))),
      facts_(
          {std::string(kManifestFactKey), std::string(kStoreHealthFactPrefix)}),
      membership_(membership::MembershipController::Create(
          settings_.self,
          settings_.peer_seeds,
          {.gossip_period = settings_.gossip_period},
          dependencies_.scheduler,
          dependencies_.random,
          facts_,
          metered_gossip_)),
      freshness_gate_(dependencies_.scheduler,
                      [this](std::function<void()> done) {
                        membership_->Synchronize(std::move(done));
                      }),
      configuration_follower_(platform::PrefixFollower::Create(
          settings_.configuration_prefix,
          // An older configuration must not come into force again.
          {.first_listing = platform::ReadMode::kLatest},
          dependencies_.scheduler,
          dependencies_.random,
          dependencies_.store,
          [this] { return IsZoneWatcher("configuration"); },
          [this] { return ConfigurationFromPeers(); },
          [this](const auto& event, platform::ReadMode) {
            OnStoredConfiguration(event);
          },
          [this](platform::StoreHealth health) { OnStoreHealth(health); })),
      registry_follower_(platform::PrefixFollower::Create(
          settings_.registry_prefix,
          {},
          dependencies_.scheduler,
          dependencies_.random,
          dependencies_.store,
          [this] { return IsZoneWatcher("registry"); },
          [this] { return ClaimsFromPeers(); },
          [this](const auto& event, platform::ReadMode mode) {
            OnStoredClaim(event, mode);
          },
          [this](platform::StoreHealth health) { OnStoreHealth(health); })),
      extra_load_budget_(settings_.extra_load_rules,
                         dependencies_.scheduler,
                         [this] { return UsableNodeCount(); }),
      upstream_cache_(server_registry_, &work_meter_),
      leaf_nodes_(settings_.self.node_id, views_),
      connection_warmer_(
          settings_.self.availability_zone,
          leaf_nodes_,
          upstream_cache_,
          [this](const config::Upstream& upstream) {
            return MaxConnectionsPerServer(upstream);
          },
          dependencies_.transport,
          dependencies_.scheduler),
      leaf_executor_(
          {dependencies_.scheduler, dependencies_.random,
           dependencies_.transport, servers_, hedge_policy_, extra_load_budget_,
           // Forwarded requests aren't refused for leaving: see OnStatement.
           [](const std::string&) {},
           [this](const config::Upstream& upstream) {
             return MaxConnectionsPerServer(upstream);
           },
           settings_.self.availability_zone,
           query::DelegationDependencies{peer_dispatcher_, leaf_nodes_},
           &server_limiter_},
          MakeLeafRules(settings_)),
      request_drain_(dependencies_.scheduler),
      filter_chain_(MakeFilters()) {}

ForwardCore::~ForwardCore() = default;

query::ForwardFilterChain ForwardCore::MakeFilters() {
  query::ForwardFilterChain::Filters filters;
  filters.push_back(std::make_unique<query::ForwardLogFilter>(
      dependencies_.scheduler, metrics_, log_line_limiter_, [this] {
        return dependencies_.scheduler.Now() -
               configuration_in_force_since_.load();
      }));
  filters.push_back(std::make_unique<query::ConfigurationFilter>(
      [this] { return configuration_->Current(); }));
  filters.push_back(std::make_unique<query::RouteFilter>());
  filters.push_back(
      std::make_unique<query::ForwardDeadlineFilter>(dependencies_.scheduler));
  filters.push_back(std::make_unique<query::DrainFilter>(request_drain_));
  query::ForwardRules rules;
  rules.extra_load_share = settings_.extra_load_share;
  filters.push_back(std::make_unique<query::ForwardExecutionFilter>(
      rules, dependencies_.scheduler, dependencies_.random, leaf_executor_,
      upstream_cache_));
  return query::ForwardFilterChain(std::move(filters));
}

void ForwardCore::Start() {
  peer_dispatcher_.SetLocalNode(
      {settings_.self.node_id, nullptr, nullptr, nullptr});
  facts_.AddListener([this](const membership::Fact& fact) { OnFact(fact); });
  configuration_->AddListener(
      [this](const config::Manifest& manifest) { OnConfiguration(manifest); });
  dependencies_.statements.SetStatementListener(*this);
  membership_->SetChangeListener([this] { RefreshView(); });
  RefreshView();
  next_housekeeping_ = dependencies_.scheduler.Now();
  next_work_summary_ = next_housekeeping_ + kWorkSummaryPeriod;
  membership_->Start();
  configuration_follower_->Start();
  registry_follower_->Start();
  RunHousekeeping();
}

void ForwardCore::RefreshView() {
  const auto span = work_meter_.Measure("refresh_view");
  views_.Update(membership_->Members(), configuration_->Current());
}

void ForwardCore::RunHousekeeping() {
  const base::Instant now = dependencies_.scheduler.Now();
  const auto span = work_meter_.Measure("housekeeping");
  work_meter_.OnTimer(now - next_housekeeping_);
  next_housekeeping_ = now + kHousekeepingPeriod;
  if (now >= next_work_summary_) {
    next_work_summary_ = now + kWorkSummaryPeriod;
    LogWorkSummary();
  }
  leaving_server_log_.Flush();
  freshness_gate_.Tick();
  configuration_->RetryMissingContent();
  connection_warmer_.Run(configuration_->Current());
  AnnounceDemand();
  dependencies_.scheduler.After(kHousekeepingPeriod,
                                [this] { RunHousekeeping(); });
}

void ForwardCore::LogWorkSummary() {
  const base::WorkMeter::Summary work = work_meter_.TakeSummary();
  base::Log(Event::kWorkSummary,
            {{"maxTimerDelayMs",
              std::to_string(base::ToMilliseconds(work.max_timer_delay))},
             {"tasks", work.tasks},
             {"gossip", metered_gossip_.TakeSummary()},
             {"facts", std::to_string(facts_.size())},
             {"members", std::to_string(UsableNodeCount())},
             {"membersOfPeers", std::to_string(membership_->MembersOfPeers())},
             {"differingBuckets",
              std::to_string(membership_->differing_bucket_count())}});
}

void ForwardCore::OnStoredConfiguration(const platform::StoreEvent& event) {
  if (!event.value)
    return;
  auto configuration = readers_.read_configuration(*event.value);
  if (!configuration) {
    base::Log(
        Event::kConfigurationRejected,
        {{"key", event.key}, {"reason", configuration.error().ToString()}});
    return;
  }
  config::Manifest manifest;
  manifest.revision = configuration->revision;
  manifest.publication_id = event.key + "@" + base::ToString(event.revision);
  manifest.content_digest = base::Sha256Hex(*event.value);
  manifest.summary = "routes";
  configuration_->InstallIfNewer(manifest, *event.value,
                                 *std::move(configuration));
}

void ForwardCore::OnStoredClaim(const platform::StoreEvent& event,
                                platform::ReadMode mode) {
  const auto claim = readers_.read_claim(event);
  if (!claim) {
    base::Log(Event::kClaimRejected,
              {{"key", event.key}, {"reason", claim.error().ToString()}});
    return;
  }
  // Servers rewrite their entries several times while they warm up. Only the
  // first and the last of these claims are of use to the peers.
  if (server_registry_.IsWarmUpProgress(*claim) && !IsStoreSilentOrRecovering())
    return;
  // NOTE: Entries expire during an outage of the store. A server that is still
  // running soon has a newer entry, which replaces this removal.
  // NOTE: All nodes list their entries when they start. Were these spread, each
  // node would be sent each of them by several peers.
  // The same goes for what a restored store still lists: comparisons spread it.
  const bool is_known_to_peers =
      mode == platform::ReadMode::kMayBeStale || IsKnownFromEarlierEra(*claim);
  const auto spread = is_known_to_peers
                          ? membership::FactTable::Spread::kNone
                          : membership::FactTable::Spread::kAsRumour;
  if (claim->server || !IsMissingForAMoment(*claim))
    facts_.AddIfNewer(ToFact(*claim), spread);
  else
    dependencies_.scheduler.After(kRemovalDelay, [this, claim = *claim] {
      facts_.AddIfNewer(ToFact(claim));
    });
}

bool ForwardCore::IsKnownFromEarlierEra(const upstream::ServerClaim& claim) {
  const auto known = server_registry_.RevisionOf(claim.instance);
  return known && base::IsOfLaterEra(claim.revision, *known) &&
         server_registry_.Find(claim.instance) == claim.server;
}

// Whether a removed entry may soon be back: it expired while the store was
// silent, or was lost when the store came back from a copy.
bool ForwardCore::IsMissingForAMoment(const upstream::ServerClaim& removal) {
  const auto known = server_registry_.RevisionOf(removal.instance);
  return IsStoreSilentOrRecovering() ||
         (known && base::IsOfLaterEra(removal.revision, *known));
}

bool ForwardCore::IsStoreSilentOrRecovering() {
  const auto view = views_.Current();
  const std::lock_guard lock(store_mutex_);
  const bool is_silent =
      std::ranges::any_of(nodes_without_store_, [&](const std::string& node) {
        const membership::Member* member = view->FindMember(node);
        return member && member->is_usable();
      });
  return is_silent ||
         dependencies_.scheduler.Now() < last_store_recovery_ + kRemovalDelay;
}

void ForwardCore::OnFact(const membership::Fact& fact) {
  if (fact.key == kManifestFactKey) {
    const auto manifest = config::ParseManifest(fact.value);
    if (manifest)
      configuration_->OnManifest(*manifest);
    else
      LogRejectedFact(fact, manifest.error());
  } else if (fact.key.starts_with(kStoreHealthFactPrefix)) {
    OnStoreHealthFact(fact);
  } else if (fact.key.starts_with(kDemandFactPrefix)) {
    OnDemandFact(fact);
  } else if (fact.key.starts_with(kLeavingFactPrefix)) {
    const auto announcement =
        upstream::ParseAnnouncement(fact.key.substr(kLeavingFactPrefix.size()));
    if (announcement)
      ApplyAnnouncement(*announcement);
    else
      LogRejectedFact(fact, announcement.error());
  } else if (fact.key.starts_with(kClaimFactPrefix)) {
    const auto claim = upstream::ParseClaim(fact.value);
    if (claim)
      OnClaimFact(*claim);
    else
      LogRejectedFact(fact, claim.error());
  }
}

// A store that comes back from a copy lists servers that have left since, until
// they or their expiry are written again. What was seen after the copy was made
// is known to be later.
void ForwardCore::OnClaimFact(const upstream::ServerClaim& claim) {
  const auto carried_over = server_registry_.CarryOver(claim);
  if (!carried_over) {
    ApplyClaim(claim);
    return;
  }
  metrics_.Increment("celerycroft_claims_carried_over_total", "");
  facts_.AddIfNewer(ToFact(*carried_over));
  if (carried_over->server)
    return;
  // The removed server may be running all the same. It has no reason to write
  // its entry again if the store lists it.
  upstream::ServerClaim restored = claim;
  restored.correction = carried_over->correction + 1;
  dependencies_.scheduler.After(kRestoredClaimDelay, [this, restored] {
    facts_.AddIfNewer(ToFact(restored));
  });
}

// Announces the change to the peers, so that another node of the zone watches
// the store instead of this one.
void ForwardCore::OnStoreHealth(platform::StoreHealth health) {
  {
    const std::lock_guard lock(store_mutex_);
    is_store_silent_ = health == platform::StoreHealth::kUnavailable;
  }
  AnnounceStoreHealth();
}

void ForwardCore::AnnounceStoreHealth() {
  membership::Fact fact;
  {
    const std::lock_guard lock(store_mutex_);
    own_health_version_ = {
        std::max(own_health_version_.epoch, settings_.self.incarnation),
        own_health_version_.counter + 1};
    fact = {
        std::string(kStoreHealthFactPrefix) + settings_.self.node_id,
        own_health_version_,
        std::string(is_store_silent_ ? kStoreSilentValue : kStoreAnswersValue)};
  }
  facts_.AddIfNewer(fact);
}

void ForwardCore::OnStoreHealthFact(const membership::Fact& fact) {
  const std::string node = fact.key.substr(kStoreHealthFactPrefix.size());
  bool is_outdated = false;
  {
    const std::lock_guard lock(store_mutex_);
    const bool is_silent = fact.value == kStoreSilentValue;
    if (node == settings_.self.node_id) {
      own_health_version_ = std::max(own_health_version_, fact.version);
      is_outdated = is_silent != is_store_silent_;
    }
    if (is_silent)
      nodes_without_store_.insert(node);
    else if (nodes_without_store_.erase(node) > 0)
      last_store_recovery_ = dependencies_.scheduler.Now();
  }
  // NOTE: The fact is of this node's previous process. Unless it is replaced,
  // this node never reads the store, and so never finds out that it answers.
  if (is_outdated)
    AnnounceStoreHealth();
}

void ForwardCore::AnnounceDemand() {
  const auto view = views_.Current();
  const auto is_usable_node = [&](const std::string& node) {
    const membership::Member* member = view->FindMember(node);
    return member && member->is_usable();
  };
  const auto announcements =
      server_limiter_.Tick(dependencies_.scheduler.Now(), is_usable_node);
  std::ranges::for_each(announcements, [this](const auto& announcement) {
    AnnounceDemand(announcement);
  });
}

void ForwardCore::AnnounceDemand(
    const upstream::DemandAnnouncement& announcement) {
  membership::Fact fact;
  {
    const std::lock_guard lock(demand_mutex_);
    own_demand_version_ = {
        std::max(own_demand_version_.epoch, settings_.self.incarnation),
        own_demand_version_.counter + 1};
    fact.version = own_demand_version_;
  }
  fact.key = std::string(kDemandFactPrefix) + announcement.instance + "/" +
             settings_.self.node_id;
  fact.value = upstream::SerializeDemandLevel(announcement.level);
  facts_.AddIfNewer(fact);
}

void ForwardCore::OnDemandFact(const membership::Fact& fact) {
  const auto level = upstream::ParseDemandLevel(fact.value);
  if (!level) {
    LogRejectedFact(fact, level.error());
    return;
  }
  const std::string name = fact.key.substr(kDemandFactPrefix.size());
  // NOTE: A key without a slash names no node, and so none that is usable.
  const size_t slash = name.rfind('/');
  const std::string instance = name.substr(0, slash);
  const std::string node = name.substr(slash + 1);
  if (node != settings_.self.node_id) {
    server_limiter_.OnPeerDemand(instance, node, *level);
    return;
  }
  {
    const std::lock_guard lock(demand_mutex_);
    own_demand_version_ = std::max(own_demand_version_, fact.version);
  }
  // NOTE: The fact may be of this node's previous process.
  const upstream::DemandLevel announced =
      server_limiter_.AnnouncedLevel(instance);
  if (*level != announced)
    AnnounceDemand({instance, announced});
}

bool ForwardCore::IsZoneWatcher(const std::string& task) {
  std::set<std::string> without_store;
  {
    const std::lock_guard lock(store_mutex_);
    without_store = nodes_without_store_;
  }
  return views_.Current()->IsZoneAssignee(
      task, kWatchersPerZone, [&](const membership::Member& member) {
        return member.state == membership::MemberState::kAlive &&
               !without_store.contains(member.node_id);
      });
}

std::map<std::string, base::StoreRevision>
ForwardCore::ConfigurationFromPeers() {
  if (!configuration_->Current()->routes)
    return {};
  return {{settings_.configuration_prefix, {}}};
}

std::map<std::string, base::StoreRevision> ForwardCore::ClaimsFromPeers() {
  std::map<std::string, base::StoreRevision> revisions;
  for (const upstream::ServerClaim& claim : server_registry_.Dump()) {
    if (claim.server)
      revisions[settings_.registry_prefix + claim.instance] = claim.revision;
  }
  return revisions;
}

void ForwardCore::ApplyClaim(const upstream::ServerClaim& claim) {
  const auto span = work_meter_.Measure("apply_claim");
  const upstream::ClaimEffect effect = server_registry_.Apply(claim);
  if (effect == upstream::ClaimEffect::kLeaving)
    leaving_server_log_.Add(claim.instance, claim.revision);
  if (effect == upstream::ClaimEffect::kLeaving ||
      effect == upstream::ClaimEffect::kServing)
    OnTakesWorkChanged(claim.instance);
}

void ForwardCore::ApplyAnnouncement(
    const upstream::LeavingAnnouncement& announcement) {
  if (server_registry_.ApplyAnnouncement(announcement) !=
      upstream::ClaimEffect::kLeaving)
    return;
  leaving_server_log_.AddAnnounced(announcement.instance);
  OnTakesWorkChanged(announcement.instance);
}

// Requests choose among the servers that there were when they began. Those that
// run already learn from `servers_` which of these take no more work.
void ForwardCore::OnTakesWorkChanged(const std::string& instance) {
  bool takes_work = false;
  {
    const std::lock_guard lock(takes_work_mutex_);
    takes_work = server_registry_.TakesWork(instance);
    servers_.SetTakesWork(instance, takes_work);
  }
  const auto server = server_registry_.Find(instance);
  if (!takes_work && server)
    dependencies_.transport.DropWaitingCalls(server->address);
}

void ForwardCore::OnConfiguration(const config::Manifest& manifest) {
  configuration_in_force_since_ = dependencies_.scheduler.Now();
  RefreshView();
  facts_.AddIfNewer(ToFact(manifest));
  dependencies_.on_configuration_change(configuration_->Current());
}

size_t ForwardCore::UsableNodeCount() {
  return views_.Current()->UsableMemberCount();
}

int ForwardCore::MaxConnectionsPerServer(const config::Upstream& upstream) {
  const size_t sharers = std::clamp(UsableNodeCount(), kMinConnectionSharers,
                                    kMaxConnectionSharers);
  return std::max(1, upstream.connections / static_cast<int>(sharers));
}

void ForwardCore::Handle(query::ForwardContextPtr context) {
  ++running_request_count_;
  context->respond = [this, respond = std::move(context->respond)](
                         query::ForwardAnswer answer) {
    const auto span = work_meter_.Measure("respond");
    respond(std::move(answer));
    --running_request_count_;
  };
  freshness_gate_.RunWhenFresh([this, context = std::move(context)]() mutable {
    const auto span = work_meter_.Measure("begin_request");
    filter_chain_.Run(std::move(context));
  });
}

bool ForwardCore::is_ready() {
  return !leaving_ && configuration_->Current()->routes &&
         server_registry_.generation() > 0;
}

void ForwardCore::BeginDrain(base::Instant end) {
  leaving_ = true;
  request_drain_.Begin(end);
  membership_->AnnounceLeaving();
}

// Nodes in an availability zone that has servers of only a few services would
// fetch nearly all answers from other zones. Callers are not sent to them as
// long as there are enough other nodes.
std::vector<std::string> ForwardCore::CallerAddresses(
    size_t count,
    const std::string& caller_zone) {
  const auto view = views_.Current();
  const auto service_counts = server_registry_.ServiceCountsByZone();
  size_t most_services = 0;
  for (const auto& [zone, service_count] : service_counts)
    most_services = std::max(most_services, service_count);
  std::vector<const membership::Member*> alive = view->AliveMembers();
  const auto is_near = [&](const membership::Member* member) {
    const auto found = service_counts.find(member->availability_zone);
    return found != service_counts.end() &&
           static_cast<double>(found->second) >=
               kMinNearServiceShare * static_cast<double>(most_services);
  };
  const auto far = std::stable_partition(alive.begin(), alive.end(), is_near);
  const auto near = static_cast<size_t>(far - alive.begin());
  if (static_cast<double>(near) >=
      kMinNearNodeShare * static_cast<double>(alive.size()))
    alive.resize(near);
  const auto elsewhere = std::stable_partition(
      alive.begin(), alive.end(),
      [&](const auto* node) { return node->availability_zone == caller_zone; });
  const auto in_zone = static_cast<size_t>(elsewhere - alive.begin());
  if (in_zone >= kMinNodesInCallerZone)
    alive.resize(in_zone);
  base::Shuffle(alive, dependencies_.random);
  alive.resize(std::min(alive.size(), count));
  std::vector<std::string> addresses;
  std::ranges::transform(alive, std::back_inserter(addresses),
                         &membership::Member::caller_address);
  return addresses;
}

std::string ForwardCore::MetricsText() {
  const auto gauge = [](std::string_view name, uint64_t value) {
    return std::string(name) + " " + std::to_string(value) + "\n";
  };
  // Only the nodes that read the store have an age, a revision and an era.
  const auto store_gauges = [&](const std::string& task,
                                platform::PrefixFollower& follower) {
    const std::string label = "{task=\"" + task + "\"}";
    const std::string outdated =
        gauge("celerycroft_store_entries_outdated_total" + label,
              follower.outdated_entry_count());
    const auto age = follower.Age();
    if (!age)
      return outdated;
    const base::StoreRevision revision = follower.LastRevision();
    return outdated +
           gauge("celerycroft_store_read_age_ms" + label,
                 std::chrono::duration_cast<std::chrono::milliseconds>(*age)
                     .count()) +
           gauge("celerycroft_store_revision" + label, revision.number) +
           (revision.era ? gauge("celerycroft_store_era" + label, *revision.era)
                         : "");
  };
  return metrics_.ToPrometheusText() +
         gauge("celerycroft_configuration_revision",
               configuration_->Current()->revision) +
         store_gauges("configuration", *configuration_follower_) +
         store_gauges("registry", *registry_follower_) +
         gauge("celerycroft_limited_servers",
               server_limiter_.limited_server_count()) +
         gauge("celerycroft_running_requests", running_request_count_) +
         gauge("celerycroft_usable_nodes", UsableNodeCount()) +
         gauge("celerycroft_usable_nodes_of_peers",
               membership_->MembersOfPeers()) +
         gauge("celerycroft_facts", facts_.size()) +
         gauge("celerycroft_differing_fact_buckets",
               membership_->differing_bucket_count()) +
         gauge("celerycroft_log_lines_dropped_total", base::DroppedLogLines());
}

std::string ForwardCore::StateText() {
  json members = json::array();
  for (const membership::Member& member : views_.Current()->members())
    members.push_back({{"nodeId", member.node_id},
                       {"availabilityZone", member.availability_zone},
                       {"state", static_cast<int>(member.state)},
                       {"incarnation", member.incarnation}});
  json servers = json::array();
  for (const upstream::ServerClaim& claim : server_registry_.Dump())
    servers.push_back(
        {{"instance", claim.instance},
         {"revision", claim.revision.number},
         {"era", claim.revision.era ? json(*claim.revision.era) : json()},
         {"takesWork", claim.server.has_value()}});
  return json{{"nodeId", settings_.self.node_id},
              {"ready", is_ready()},
              {"revision", configuration_->Current()->revision},
              {"members", members},
              {"servers", servers},
              {"running", running_request_count_.load()}}
      .dump();
}

// Executes a part of a request that another node received. It runs only if both
// nodes have the same configuration, since all parts of an answer must be of
// one configuration.
void ForwardCore::ExecuteLeaf(query::LeafRequest request,
                              std::function<void(query::LeafAnswer)> callback) {
  const base::Instant deadline =
      dependencies_.scheduler.Now() + request.time_left;
  ++running_request_count_;
  freshness_gate_.RunWhenFresh([this, request = std::move(request), deadline,
                                callback = std::move(callback)]() mutable {
    request.time_left = deadline - dependencies_.scheduler.Now();
    const auto respond = [this, callback = std::move(callback)](auto answer) {
      callback(std::move(answer));
      --running_request_count_;
    };
    ExecuteDelegated(std::move(request), deadline, respond);
  });
}

void ForwardCore::ExecuteDelegated(
    query::LeafRequest request,
    base::Instant deadline,
    std::function<void(query::LeafAnswer)> respond) {
  const auto span = work_meter_.Measure("begin_delegated");
  const auto configuration = configuration_->Current();
  const config::Route* route =
      configuration->routes && configuration->revision == request.version
          ? configuration->routes->FindByName(request.upstream)
          : nullptr;
  if (!request.forward || !route || !route->gather) {
    respond(query::MakeAllMissingAnswer(request,
                                        query::MissingReason::kVersionGone));
    return;
  }
  const auto cancellation = std::make_shared<http::Cancellation>();
  const auto id = request_drain_.TryTake(
      std::string(kDelegatedDrainPrefix) + request.upstream, deadline,
      [cancellation] { cancellation->Cancel(); });
  if (!id) {
    respond(query::MakeAllMissingAnswer(request,
                                        query::MissingReason::kOverloaded));
    return;
  }
  const size_t top_records = request.forward->top_records.value_or(0);
  const query::RunningLeafRequestPtr run = leaf_executor_.Execute(
      upstream_cache_.UpstreamFor(configuration, route->gather->services),
      std::move(request),
      [this, id = *id, top_records,
       respond = std::move(respond)](query::LeafAnswer answer) {
        const auto span = work_meter_.Measure("respond_delegated");
        request_drain_.OnEnded(id);
        query::LogDelegatedWork(answer, log_line_limiter_);
        query::CountUnusualStatuses(answer.attempts, metrics_);
        query::CompactParts(answer, top_records);
        respond(std::move(answer));
      });
  cancellation->OnCancelled([run] { run->Cancel(); });
}

void ForwardCore::OnStatement(const upstream::ServerTarget& server,
                              base::Instant asked,
                              const upstream::ServerStatement& statement) {
  if (statement.max_request_rate)
    server_limiter_.OnLimit(server.instance, asked, *statement.max_request_rate,
                            dependencies_.scheduler.Now());
  else
    RejectStatement(server.instance, statement.max_request_rate.error());
  if (!statement.is_leaving)
    RejectStatement(server.instance, statement.is_leaving.error());
  else if (*statement.is_leaving)
    OnLeavingAnswer(server);
}

void ForwardCore::OnLeavingAnswer(const upstream::ServerTarget& server) {
  metrics_.Increment("celerycroft_leaving_server_answers_total", "");
  const upstream::LeavingAnnouncement announcement{server.instance,
                                                   server.incarnation};
  if (!server_registry_.IsAnnounced(announcement))
    facts_.AddIfNewer(ToFact(announcement));
}

void ForwardCore::RejectStatement(const std::string& instance,
                                  const base::Error& error) {
  metrics_.Increment("celerycroft_server_statements_rejected_total", "");
  statement_rejection_log_.Add(instance, error, dependencies_.scheduler.Now());
}

membership::GossipMessage ForwardCore::Gossip(
    const membership::GossipMessage& message) {
  const auto span = work_meter_.Measure("answer_gossip");
  return membership_->OnGossip(message);
}

void ForwardCore::Probe(const std::string& target,
                        base::Duration timeout,
                        membership::GossipTransport::ProbeCallback callback) {
  peer_dispatcher_.Probe(target, timeout, std::move(callback));
}

std::optional<std::string> ForwardCore::ContentOf(const std::string& digest) {
  return configuration_->ContentOf(digest);
}

void ForwardCore::RunBooking(query::BookingRun,
                             query::BookingCallback callback) {
  callback(query::BookingOutcome::NotRun(MakeNotServedError()));
}

void ForwardCore::ForwardBooking(const std::string&,
                                 query::Booking,
                                 base::Duration,
                                 query::BookingCallback callback) {
  callback(query::BookingOutcome::NotRun(MakeNotServedError()));
}

limits::Grant ForwardCore::GrantCredit(const limits::GrantRequest&) {
  return {};
}

void ForwardCore::HoldUsage(const std::string&) {}

}  // namespace node
