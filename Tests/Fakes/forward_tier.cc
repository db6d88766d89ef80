// Implements the tier of forwarding nodes.

#include "Fakes/forward_tier.h"

#include <sstream>
#include <utility>

#include "LibBase/log.h"

namespace fakes {

namespace {

constexpr int kSeedCount = 3;
constexpr uint64_t kSettledRevision = 3;
constexpr base::Duration kSettlingTime = std::chrono::seconds(12);
constexpr char kConfigurationPrefix[] = "configuration";
constexpr char kServersPrefix[] = "servers/";
constexpr base::Duration kRouteTimeout = std::chrono::milliseconds(400);
constexpr base::Duration kObjective = std::chrono::milliseconds(80);

config::Route MakeRoute(const std::string& name, const std::string& prefix) {
  config::Route route;
  route.name = name;
  route.host = "host";
  route.prefix = prefix;
  route.timeout = kRouteTimeout;
  route.objective = kObjective;
  route.max_attempts = 2;
  return route;
}

base::Result<upstream::ServerClaim> ParseClaimEvent(
    const platform::StoreEvent& event) {
  if (event.value)
    return upstream::ParseClaim(*event.value).map([&](auto claim) {
      claim.revision = event.revision;
      return claim;
    });
  return upstream::ServerClaim{
      event.key.substr(std::string(kServersPrefix).size()), event.revision,
      std::nullopt};
}

}  // namespace

upstream::CallId ForwardTransport::Start(const upstream::ServerTarget& target,
                                         const upstream::ShardCall& call,
                                         base::Duration timeout,
                                         upstream::ShardCallback callback) {
  const ServerScript script = scripts_[target.instance];
  const upstream::CallId id{next_id_++};
  log_.emplace_back(target.instance, call.request_id);
  if (script.never_answers || script.service_time > timeout) {
    scheduler_.After(timeout, [callback] {
      callback(tl::make_unexpected(upstream::ShardFailure::kTimeout));
    });
    return id;
  }
  scheduler_.After(script.service_time, [this, asked = scheduler_.Now(), script,
                                         call, target, callback] {
    if (listener_)
      listener_->OnStatement(target, asked, script.statement);
    if (script.failure) {
      callback(tl::make_unexpected(*script.failure));
      return;
    }
    auto forwarded = std::make_shared<upstream::ForwardedReply>();
    forwarded->signature = target.instance + "." + call.request_id;
    forwarded->message.body = std::string(16, target.instance.front());
    upstream::ShardReply reply;
    reply.request_id = call.request_id;
    reply.attempt = call.attempt;
    reply.version = call.version;
    reply.shard_count = call.shard_count;
    reply.forwarded = std::move(forwarded);
    callback(std::move(reply));
  });
  return id;
}

void ForwardTransport::Cancel(upstream::CallId) {
  ++cancelled_;
}

struct ForwardTier::NodeProcess {
  NodeProcess(ForwardTier& tier, int node)
      : scheduler(tier.clock_),
        random(static_cast<uint64_t>(node) + 1),
        peer_client(tier.network_, PeerAddress(node), scheduler),
        store(tier.store_, NodeName(node), scheduler),
        transport(tier.scripts_, tier.log_, scheduler) {}

  ProcessScheduler scheduler;
  base::SeededRandom random;
  FakePeerClient peer_client;
  FakeEntryStore store;
  ForwardTransport transport;
  std::unique_ptr<node::ForwardCore> core;
};

ForwardTier::ForwardTier(int nodes) : network_(clock_) {
  for (int node = 0; node < nodes; ++node)
    processes_.push_back(MakeProcess(node));
}

ForwardTier::~ForwardTier() = default;

std::unique_ptr<ForwardTier> ForwardTier::CreateSettled(int nodes,
                                                        int services) {
  base::DisableLog();
  auto tier = std::make_unique<ForwardTier>(nodes);
  tier->PutConfiguration(kSettledRevision, services);
  for (int service = 0; service < services; ++service) {
    const std::string name = "s" + std::to_string(service);
    for (const char* server : {"x", "y", "z"})
      tier->PutServer(server + name, name);
  }
  tier->RunFor(kSettlingTime);
  return tier;
}

std::string ForwardTier::PeerAddress(int node) {
  return "10.0.0." + std::to_string(node + 1) + ":1";
}

std::unique_ptr<ForwardTier::NodeProcess> ForwardTier::MakeProcess(int node) {
  auto process = std::make_unique<NodeProcess>(*this, node);
  node::ForwardSettings settings;
  settings.self.node_id = NodeName(node);
  settings.self.availability_zone = node % 2 == 0 ? "a" : "b";
  settings.self.caller_address = "10.0.0." + std::to_string(node + 1) + ":80";
  settings.self.peer_address = PeerAddress(node);
  settings.self.incarnation = next_incarnation_++;
  for (int seed = 0; seed < kSeedCount; ++seed)
    settings.peer_seeds.push_back(PeerAddress(seed));
  settings.gossip_period = std::chrono::milliseconds(200);
  settings.extra_load_share = 0.2;
  settings.extra_load_rules = {std::chrono::seconds(10), 56};
  settings.configuration_prefix = kConfigurationPrefix;
  settings.registry_prefix = kServersPrefix;
  process->core = std::make_unique<node::ForwardCore>(
      settings,
      node::StoreEntryReaders{
          [this](std::string_view text) { return ParseConfiguration(text); },
          ParseClaimEvent},
      node::ForwardDependencies{process->scheduler, process->random,
                                process->transport, process->store,
                                process->peer_client, process->transport,
                                [](const auto&) {}});
  network_.Listen(PeerAddress(node),
                  {&process->scheduler, process->core.get()});
  process->core->Start();
  return process;
}

// Parses a text that holds the revision and the number of services.
base::Result<config::Configuration> ForwardTier::ParseConfiguration(
    std::string_view text) const {
  std::istringstream stream{std::string(text)};
  config::Configuration configuration;
  int services = 0;
  stream >> configuration.revision >> services;
  if (!stream)
    return base::Fail(base::ErrorKind::kInvalidInput,
                      "the text is not a configuration",
                      "write a revision and a number of services");
  auto table = std::make_shared<config::RouteTable>();
  config::Route all = MakeRoute("all", "/all/");
  all.repeatability = config::Repeatability::kIdempotent;
  all.gather = config::GatherOptions{{}, 5, 0.75};
  for (int service = 0; service < services; ++service) {
    const std::string name = "s" + std::to_string(service);
    all.gather->services.push_back(name);
    table->services[name] = {26, "/health"};
  }
  config::Route one = MakeRoute("one", "/one/");
  one.services = {{"s0", 1}};
  one.repeatability = repeatability;
  config::Route split = MakeRoute("split", "/split/");
  split.services = {{"s0", 3}, {"s1", 1}};
  table->routes = {all, one, split};
  configuration.routes = std::move(table);
  return configuration;
}

void ForwardTier::PutConfiguration(uint64_t revision, int services) {
  store_.Put(kConfigurationPrefix,
             std::to_string(revision) + " " + std::to_string(services));
}

void ForwardTier::PutServer(const std::string& instance,
                            const std::string& service,
                            upstream::ServerPhase phase) {
  upstream::RegisteredServer server;
  server.instance = instance;
  server.service = service;
  server.address = "10.1.0.1:" + std::to_string(1000 + scripts_.size());
  server.availability_zone = "a";
  server.slots = 2;
  server.phase = phase;
  server.incarnation = incarnations_.try_emplace(instance, 1).first->second;
  server.sequence = ++sequences_[instance];
  scripts_.try_emplace(instance);
  store_.Put(kServersPrefix + instance,
             upstream::SerializeClaim({instance, {}, server}));
}

void ForwardTier::RemoveServer(const std::string& instance) {
  store_.Remove(kServersPrefix + instance);
}

void ForwardTier::StartServerAgain(const std::string& instance,
                                   const std::string& service) {
  ++incarnations_[instance];
  sequences_[instance] = 0;
  PutServer(instance, service);
}

std::optional<query::ForwardAnswer> ForwardTier::SendAndWait(
    int node,
    const std::string& target,
    base::Duration time,
    base::Duration transit) {
  auto request = std::make_shared<upstream::ForwardedRequest>();
  request->id = "r" + std::to_string(next_request_id_++);
  request->host = "host";
  request->message.method = "GET";
  request->message.target = target;
  auto context = std::make_shared<query::ForwardContext>();
  context->request = request;
  context->arrival = clock_.Now();
  context->time_allowed = kRouteTimeout;
  context->transit = transit;
  auto answer = std::make_shared<std::optional<query::ForwardAnswer>>();
  context->respond = [answer](query::ForwardAnswer given) {
    *answer = std::move(given);
  };
  core(node).Handle(std::move(context));
  RunFor(time);
  return *answer;
}

void ForwardTier::Restart(int node) {
  auto& process = processes_[static_cast<size_t>(node)];
  process->scheduler.Kill();
  ended_processes_.push_back(std::move(process));
  process = MakeProcess(node);
}

void ForwardTier::Freeze(int node) {
  processes_[static_cast<size_t>(node)]->scheduler.Freeze();
}

void ForwardTier::Resume(int node) {
  processes_[static_cast<size_t>(node)]->scheduler.Resume();
}

node::ForwardCore& ForwardTier::core(int node) {
  return *processes_[static_cast<size_t>(node)]->core;
}

ForwardTransport& ForwardTier::transport(int node) {
  return processes_[static_cast<size_t>(node)]->transport;
}

}  // namespace fakes
