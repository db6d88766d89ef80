// Connects the stand-ins, the clients and the hosts, and stops hosts as
// planned.

#include "soak.h"

#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <csignal>
#include <iterator>
#include <thread>
#include <utility>

#include "judge.h"
#include "wire.h"

namespace soak {

namespace wire = platform::wire;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr base::Duration kTickPeriod = milliseconds(2);
constexpr base::Duration kStartTime = seconds(15);
// Between the hosts' start and the traffic.
constexpr base::Duration kSettlingTime = seconds(6);
constexpr base::Duration kLeadTime = seconds(4);
constexpr base::Duration kDownTime = seconds(3);
constexpr base::Duration kDisturbancePeriod = milliseconds(1300);
constexpr base::Duration kOverlapPeriod = seconds(1);
constexpr uint64_t kMaxPairDelayMs = 2000;
constexpr size_t kAllKilledSeries = 2;
// One client in this many is slow, and sends this many times less often.
constexpr size_t kSlowClientPeriod = 4;
constexpr int kSlowClientFactor = 6;
// Ports below the range that the kernel assigns.
constexpr int kFirstHostPort = 20'000;
constexpr int kFirstServerPort = 21'000;

// Returns a loopback network that concurrent soaks don't share.
std::string Network() {
  const int pid = getpid();
  return "127." + std::to_string(64 + pid / 250 % 128) + "." +
         std::to_string(pid % 250) + ".";
}

// Slow clients keep idle connections open for seconds.
bool IsSlowClient(size_t client) {
  return client % kSlowClientPeriod == 0;
}

// Returns the time between two requests of a client that is not slow, such that
// all clients together send the deployment's requests.
double MeanPauseSeconds(const Deployment& deployment) {
  constexpr double slow_share = 1.0 / kSlowClientPeriod;
  constexpr double mean_rate = 1 - slow_share + slow_share / kSlowClientFactor;
  return static_cast<double>(deployment.clients) * mean_rate /
         deployment.requests_per_second;
}

}  // namespace

Soak::Soak(const SoakOptions& options,
           Deployment deployment,
           StopPlan plan,
           std::optional<DrillPlan> drill)
    : options_(options),
      deployment_(std::move(deployment)),
      plan_(plan),
      drill_plan_(std::move(drill)),
      random_(options.seed),
      store_address_(Network() + "1:" + std::to_string(kFirstHostPort)),
      next_server_port_(kFirstServerPort) {
  CreateServers();
  CreateFleet();
}

Soak::~Soak() {
  client_thread_.Stop();
  server_thread_.Stop();
}

bool Soak::Play() {
  fleet_->StartAll();
  if (!fleet_->WaitUntilReady(kStartTime))
    return false;
  TickFor(kSettlingTime);
  StartClients();
  TickFor(kLeadTime);
  const base::Instant end =
      base::MonotonicClock::now() + seconds(options_.seconds);
  if (drill_plan_)
    PlayDrill();
  while (base::MonotonicClock::now() < end)
    PlayRound();
  TickFor(kLeadTime + RuleBounds().grace);
  return true;
}

std::vector<std::string> Soak::UnreadyHosts() {
  fleet_->LiftQuotas();
  std::vector<std::string> names;
  for (const HostOptions& host : fleet_options_.hosts) {
    if (!IsReady(host))
      names.push_back(host.name);
  }
  return names;
}

std::string Soak::NextServerAddress() {
  return Network() + "1:" + std::to_string(next_server_port_++);
}

void Soak::CreateServers() {
  store_ = std::make_unique<StandInStore>(server_thread_.io(), store_address_);
  std::vector<Service> services = deployment_.single_services;
  for (size_t shard = 0; shard < deployment_.shards; ++shard) {
    services.push_back(deployment_.shard);
    services.back().name += std::to_string(shard);
  }
  for (const Service& service : services) {
    for (size_t i = 0; i < service.servers; ++i) {
      ServerOptions server;
      server.instance = "i-" + service.name + "-" + std::to_string(i);
      server.service = service.name;
      server.availability_zone =
          deployment_.zones[i % deployment_.zones.size()];
      server.address = NextServerAddress();
      server.slots = service.slots;
      server.mean_work = std::chrono::duration_cast<base::Duration>(
          service.mean_work * options_.work);
      servers_.push_back(std::make_unique<StandInServer>(
          server_thread_.io(), server, random_, recorder_));
    }
  }
  boost::asio::post(server_thread_.io(), [this] {
    for (const auto& server : servers_)
      store_->Put(wire::kServersPrefix + server->options().instance,
                  server->NextEntry());
    PutConfiguration();
  });
}

void Soak::PutConfiguration() {
  store_->Put(wire::kConfigurationPrefix, MakeNextConfiguration().text);
}

NextConfiguration Soak::MakeNextConfiguration() {
  const uint64_t version = ++version_;
  return {version, MakeConfiguration(deployment_, version)};
}

void Soak::PlayDrill() {
  std::vector<std::string> addresses;
  std::ranges::transform(fleet_options_.hosts, std::back_inserter(addresses),
                         &HostOptions::caller_address);
  prober_ = std::make_unique<Prober>(client_thread_.io(), std::move(addresses),
                                     version_, recorder_);
  std::vector<StandInServer*> servers;
  for (const auto& server : servers_)
    servers.push_back(server.get());
  drill_ = std::make_shared<StoreDrill>(
      server_thread_.io(), *drill_plan_, *store_, std::move(servers),
      [this] { return MakeNextConfiguration(); }, recorder_);
  boost::asio::post(client_thread_.io(), [this] { prober_->Start(); });
  boost::asio::post(server_thread_.io(), [this] { drill_->Start(); });
  TickFor(drill_->duration());
  boost::asio::post(client_thread_.io(), [this] { prober_->Stop(); });
}

void Soak::CreateFleet() {
  FleetOptions options;
  options.program = options_.program;
  options.template_file = options_.template_file;
  options.folder = options_.folder;
  options.store_address = store_address_;
  options.processor_share = options_.share;
  for (size_t i = 0; i < deployment_.hosts; ++i) {
    const std::string& zone = deployment_.zones[i % deployment_.zones.size()];
    options.hosts.push_back({"front-" + zone + "-" + std::to_string(i), zone,
                             Network() + std::to_string(i + 2),
                             kFirstHostPort});
  }
  fleet_options_ = options;
  fleet_ = std::make_unique<Fleet>(options, recorder_);
}

std::vector<std::string> Soak::DirectoriesFor(const std::string& zone) {
  std::vector<HostOptions> hosts = fleet_options_.hosts;
  for (size_t i = hosts.size(); i > 1; --i)
    std::swap(hosts[i - 1], hosts[random_.Below(i)]);
  std::stable_partition(hosts.begin(), hosts.end(), [&](const auto& host) {
    return host.availability_zone == zone;
  });
  std::vector<std::string> directories;
  std::ranges::transform(hosts, std::back_inserter(directories),
                         &HostOptions::directory_address);
  return directories;
}

void Soak::StartClients() {
  const auto count = static_cast<size_t>(
      static_cast<double>(deployment_.clients) * options_.load);
  const auto pause = std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(MeanPauseSeconds(deployment_)));
  constexpr std::array address_uses = {AddressUse::kAsStated,
                                       AddressUse::kThreeTimesAsLong,
                                       AddressUse::kUntilRefused};
  for (size_t i = 0; i < count; ++i) {
    ClientOptions client;
    client.availability_zone = deployment_.zones[i % deployment_.zones.size()];
    client.directories = DirectoriesFor(client.availability_zone);
    client.kinds = deployment_.kinds;
    client.mean_pause = pause * (IsSlowClient(i) ? kSlowClientFactor : 1);
    client.address_use = address_uses[i % address_uses.size()];
    clients_.push_back(std::make_shared<Client>(client_thread_.io(), client,
                                                random_, recorder_));
  }
  boost::asio::post(client_thread_.io(), [this] {
    std::ranges::for_each(clients_, [](const auto& c) { c->Start(); });
  });
}

void Soak::TickFor(base::Duration duration) {
  TickUntil([end = base::MonotonicClock::now() + duration] {
    return base::MonotonicClock::now() >= end;
  });
}

void Soak::TickUntil(const std::function<bool()>& is_done) {
  while (!is_done()) {
    fleet_->Tick();
    Disturb();
    std::this_thread::sleep_for(kTickPeriod);
  }
}

void Soak::Disturb() {
  const base::Instant now = base::MonotonicClock::now();
  if (!options_.disturb || now < next_disturbance_)
    return;
  next_disturbance_ = now + kDisturbancePeriod;
  fleet_->host(random_.Below(fleet_->size())).Signal(SIGHUP);
  boost::asio::post(server_thread_.io(), [this] { PutConfiguration(); });
}

void Soak::PlayRound() {
  const auto is_whole = [this] { return fleet_->IsWhole(); };
  switch (plan_) {
    case StopPlan::kNone:
      TickFor(kLeadTime);
      return;
    case StopPlan::kInTurn:
      fleet_->Stop(next_host_++ % fleet_->size());
      TickUntil(is_whole);
      TickFor(seconds(1));
      return;
    case StopPlan::kPairs:
      fleet_->Stop(next_host_++ % fleet_->size());
      TickFor(milliseconds(random_.Below(kMaxPairDelayMs)));
      fleet_->Stop(next_host_++ % fleet_->size());
      TickUntil(is_whole);
      TickFor(seconds(1));
      return;
    case StopPlan::kOverlapping:
      fleet_->Stop(next_host_++ % fleet_->size());
      TickFor(kOverlapPeriod);
      return;
    case StopPlan::kAllKilled:
      if (outages_ < kAllKilledSeries) {
        ++outages_;
        fleet_->KillAll(kDownTime);
        TickUntil(is_whole);
      }
      TickFor(RuleBounds().recovery + kLeadTime);
      return;
  }
}

}  // namespace soak
