// Implements the tier in virtual time.

#include "Fakes/fake_tier.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "LibBase/digest.h"
#include "LibPlatform/publisher.h"

namespace fakes {

using nlohmann::json;

namespace {

// How long a caller waits for an answer beyond its deadline.
constexpr base::Duration kCallerTimeoutMargin = std::chrono::milliseconds(200);
// One-way delay between a caller and a node.
constexpr base::Duration kCallerLinkDelay = std::chrono::milliseconds(1);
constexpr base::Duration kDrainTime = std::chrono::seconds(5);
constexpr base::Duration kAddressHold = std::chrono::seconds(3);
constexpr base::Duration kIdleCheckInterval = std::chrono::milliseconds(20);
constexpr base::Duration kStartupTime = std::chrono::seconds(4);

std::string ZoneOf(int index) {
  return "zone-" + std::to_string(index % 3);
}

std::string KeyOf(const std::string& party) {
  return "key of " + party;
}

std::string PeerAddress(int node) {
  return "10.0.0." + std::to_string(node + 1) + ":8082";
}

config::Settings SettingsOf(const TierShape& shape, int node) {
  config::Settings settings;
  settings.node_id = "node-" + std::to_string(node);
  settings.availability_zone = ZoneOf(node);
  settings.caller_address = "10.0.0." + std::to_string(node + 1) + ":8080";
  settings.peer_address = PeerAddress(node);
  for (int other = 0; other < std::min(shape.nodes, 8); ++other) {
    if (other != node)
      settings.peer_seeds.push_back(PeerAddress(other));
  }
  settings.planned_nodes = shape.nodes;
  settings.holders_per_service = shape.holders_per_service;
  settings.address_hold = kAddressHold;
  settings.drain_duration = kDrainTime;
  settings.gossip_period = shape.gossip_period;
  return settings;
}

http::Headers HeadersOf(const std::string& party) {
  return {{"Celerycroft-Party", party},
          {"Authorization", "Bearer " + KeyOf(party)}};
}

}  // namespace

struct FakeTier::NodeProcess {
  NodeProcess(FakeTier& tier, int node, uint64_t incarnation)
      : address(PeerAddress(node)),
        scheduler(tier.clock_),
        random(tier.random_.Next()),
        peer_client(tier.network_, address, scheduler),
        transport(tier.network_,
                  tier.servers_,
                  address,
                  scheduler,
                  tier.shape_.connect_time),
        store(tier.store_, tier.network_, address, scheduler),
        core(std::make_unique<node::NodeCore>(
            SettingsOf(tier.shape_, node),
            node::ProcessIdentity{incarnation,
                                  "process-" + std::to_string(incarnation),
                                  "secret " + std::to_string(incarnation)},
            tier.shape_.policies,
            node::NodeDependencies{scheduler, random, transport, transport,
                                   transport, store, peer_client,
                                   [](const platform::HostsCallback&) {},
                                   [this](const std::set<std::string>& held) {
                                     transport.CloseIdleUnless(held);
                                   }})) {}

  const std::string address;
  ProcessScheduler scheduler;
  base::SeededRandom random;
  FakePeerClient peer_client;
  FakeTransport transport;
  FakeKeyValueStore store;
  std::unique_ptr<node::NodeCore> core;
  bool accepting = true;
  int open_exchanges = 0;
};

FakeTier::FakeTier(TierShape shape, uint64_t seed)
    : shape_(std::move(shape)), random_(seed), network_(clock_) {
  const ServiceTime service_time =
      shape_.service_time ? shape_.service_time : [](base::Random&) {
        return base::Duration(std::chrono::milliseconds(2));
      };
  for (int service = 0; service < shape_.services; ++service) {
    std::vector<std::string> addresses;
    for (int i = 0; i < shape_.servers_per_service; ++i) {
      const std::string address = "10." + std::to_string(service / 250 + 1) +
                                  "." + std::to_string(service % 250) + "." +
                                  std::to_string(i + 1) + ":9000";
      addresses.push_back(address);
      servers_[address] =
          std::make_unique<FakeServer>(clock_, random_, address, shape_.slots,
                                       shape_.connections, service_time);
    }
    services_.push_back(std::move(addresses));
  }
  SetIndex(1, shape_.shards_per_service, false);
  for (int node = 0; node < shape_.nodes; ++node)
    processes_.push_back(MakeProcess(node));
}

FakeTier::~FakeTier() = default;

std::unique_ptr<FakeTier::NodeProcess> FakeTier::MakeProcess(int node) {
  auto process =
      std::make_unique<NodeProcess>(*this, node, next_incarnation_++);
  network_.Listen(process->address, {&process->scheduler, process->core.get()});
  return process;
}

std::string FakeTier::Content(uint64_t publication) const {
  json services = json::array();
  for (size_t i = 0; i < services_.size(); ++i) {
    json list = json::array();
    for (size_t k = 0; k < services_[i].size(); ++k)
      list.push_back({{"address", services_[i][k]},
                      {"availabilityZone", ZoneOf(static_cast<int>(k))}});
    services.push_back({{"name", "s" + std::to_string(i)}, {"servers", list}});
  }
  json files = {{"upstreams.json",
                 {{"deployment", "fake " + std::to_string(publication)},
                  {"availabilityZones", {ZoneOf(0), ZoneOf(1), ZoneOf(2)}},
                  {"upstreams",
                   {{{"name", kUpstream},
                     {"slots", shape_.slots},
                     {"connections", shape_.connections},
                     {"services", services}}}}}}};
  for (const PartyTerms& terms : shape_.parties)
    files[terms.party + "/agreement.json"] = {
        {"party", terms.party},
        {"keyDigests", {base::Sha256Hex(KeyOf(terms.party))}},
        {"asks",
         {{{"upstream", kUpstream},
           {"subRequestsPerSecond", terms.sub_requests_per_second},
           {"burst", terms.burst},
           {"concurrency", terms.concurrency},
           {"extraLoadShare", terms.extra_load_share},
           {"mayBook", true}}}},
        {"expects",
         {{"deadlineMs", shape_.time_allowed.count() / 1000},
          {"leastCoverage", 1.0},
          {"prefer", terms.prefer}}}};
  return files.dump();
}

std::optional<uint64_t> FakeTier::Publish(const std::string& operator_name) {
  config::CollectedConfiguration collected;
  collected.content = Content(next_publication_);
  const platform::StoreCalls calls{
      [this](const std::string& key)
          -> base::Result<std::optional<platform::StoredValue>> {
        if (store_.outage)
          return base::Fail(base::ErrorKind::kTimeout,
                            "the store has an outage", "wait for its end");
        const auto found = store_.values.find(key);
        if (found == store_.values.end())
          return std::nullopt;
        return found->second;
      },
      [this](const std::string& key, uint64_t expected,
             const std::string& value) -> base::Result<uint64_t> {
        if (store_.outage)
          return base::Fail(base::ErrorKind::kTimeout,
                            "the store has an outage", "wait for its end");
        platform::StoredValue& stored = store_.values[key];
        if (stored.version != expected)
          return base::Fail(base::ErrorKind::kConflict,
                            "the key has another version",
                            "read it and try again");
        stored = {value, store_.next_version++};
        if (store_.lost_write_answers > 0) {
          --store_.lost_write_answers;
          return base::Fail(base::ErrorKind::kTimeout,
                            "the answer to the write was lost", "read the key");
        }
        return stored.version;
      }};
  const auto manifest = platform::Publish(
      collected, operator_name + "-" + std::to_string(next_publication_++),
      calls);
  if (!manifest)
    return std::nullopt;
  return manifest->revision;
}

void FakeTier::Start() {
  Publish("first");
  for (const auto& process : processes_)
    process->core->Start();
  clock_.RunFor(kStartupTime);
}

void FakeTier::Kill(int node) {
  NodeProcess& process = *processes_[node];
  process.scheduler.Kill();
  process.transport.CloseAll();
  process.accepting = false;
}

void FakeTier::Restart(int node) {
  Kill(node);
  ended_processes_.push_back(std::exchange(processes_[node], nullptr));
  processes_[node] = MakeProcess(node);
  processes_[node]->core->Start();
}

void FakeTier::Drain(int node) {
  processes_[node]->core->AnnounceLeaving();
  NodeProcess* process = processes_[node].get();
  process->scheduler.After(kDrainTime, [this, node, process] {
    process->accepting = false;
    FinishWhenIdle(node);
  });
}

void FakeTier::FinishWhenIdle(int node) {
  NodeProcess* process = processes_[node].get();
  if (process->open_exchanges > 0 ||
      process->core->running_request_count() > 0) {
    process->scheduler.After(kIdleCheckInterval,
                             [this, node] { FinishWhenIdle(node); });
    return;
  }
  process->core->Finish([this, node, process] {
    if (processes_[node].get() == process)
      Kill(node);
  });
}

void FakeTier::CutNodes(int a, int b) {
  network_.Cut(PeerAddress(a), PeerAddress(b));
  network_.Cut(PeerAddress(b), PeerAddress(a));
}

void FakeTier::CutStore(int node, bool towards_store) {
  if (towards_store)
    network_.Cut(PeerAddress(node), kStoreAddress);
  else
    network_.Cut(kStoreAddress, PeerAddress(node));
}

void FakeTier::CutServer(int node, const std::string& address) {
  network_.Cut(PeerAddress(node), address);
}

void FakeTier::SetIndex(uint64_t version,
                        uint32_t shards_per_service,
                        bool keep_old) {
  const auto count = static_cast<uint32_t>(services_.size());
  const uint32_t shard_count = count * shards_per_service;
  const auto old = shard_counts_.find(version - 1);
  for (uint32_t service = 0; service < count; ++service) {
    const auto held_at = [&](uint64_t number, uint32_t shards) {
      upstream::HeldIndex held{number, shards, {}};
      for (uint32_t shard = service; shard < shards; shard += count)
        held.shards.push_back(shard);
      return held;
    };
    std::vector<upstream::HeldIndex> held = {held_at(version, shard_count)};
    if (keep_old && old != shard_counts_.end())
      held.push_back(held_at(old->first, old->second));
    for (const std::string& address : services_[service])
      servers_[address]->SetHeld(held);
  }
  shard_counts_[version] = shard_count;
}

void FakeTier::SendRequest(int node,
                           http::Request request,
                           AnswerCallback done) {
  struct Exchange {
    AnswerCallback done;
    void End(std::optional<http::Response> response) {
      if (auto taken = std::exchange(done, nullptr))
        taken(std::move(response));
    }
  };
  auto exchange = std::make_shared<Exchange>();
  exchange->done = std::move(done);
  NodeProcess* process = processes_[node].get();
  if (!process->accepting) {
    clock_.After(kCallerLinkDelay, [exchange] { exchange->End(std::nullopt); });
    return;
  }
  clock_.After(shape_.time_allowed + kCallerTimeoutMargin,
               [exchange] { exchange->End(std::nullopt); });
  ++process->open_exchanges;
  process->scheduler.After(kCallerLinkDelay, [this, process, exchange,
                                              request = std::move(request)] {
    process->core->HandleCaller(
        request, [this, process, exchange](http::Response response) {
          --process->open_exchanges;
          clock_.After(kCallerLinkDelay,
                       [exchange, response] { exchange->End(response); });
        });
  });
}

http::Request FakeTier::QueryRequest(const std::string& party,
                                     const std::string& text,
                                     uint64_t least_revision) {
  http::Request request{"POST", "/v1/query", HeadersOf(party),
                        json{{"upstream", kUpstream}, {"query", text}}.dump()};
  request.headers.push_back(
      {"Celerycroft-Least-Revision", std::to_string(least_revision)});
  return request;
}

http::Request FakeTier::TicketRequest(const std::string& party) {
  return {"POST", "/v1/tickets", HeadersOf(party), "{}"};
}

http::Request FakeTier::BookingRequest(const std::string& party,
                                       const std::string& ticket,
                                       const std::string& key) {
  return {"POST", "/v1/bookings", HeadersOf(party),
          json{{"upstream", kUpstream},
               {"key", key},
               {"body", "body of " + key},
               {"ticket", ticket}}
              .dump()};
}

void FakeTier::Freeze(int node) {
  processes_[node]->scheduler.Freeze();
}

void FakeTier::Resume(int node) {
  processes_[node]->scheduler.Resume();
}

node::NodeCore& FakeTier::core(int node) {
  return *processes_[node]->core;
}

FakePeerClient& FakeTier::peer_client(int node) {
  return processes_[node]->peer_client;
}

FakeTransport& FakeTier::transport(int node) {
  return processes_[node]->transport;
}

bool FakeTier::IsAlive(int node) const {
  return !processes_[node]->scheduler.is_killed();
}

bool FakeTier::IsRunning(int node) const {
  return IsAlive(node) && !processes_[node]->scheduler.is_frozen();
}

bool FakeTier::IsAccepting(int node) const {
  return processes_[node]->accepting;
}

std::vector<std::string> FakeTier::addresses() const {
  std::vector<std::string> addresses;
  for (const auto& [address, server] : servers_)
    addresses.push_back(address);
  return addresses;
}

}  // namespace fakes
