// Tests to which servers connections are opened in advance.

#include "LibNode/connection_warmer.h"

#include <doctest/doctest.h>

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "Fakes/virtual_scheduler.h"

namespace node {
namespace {

using std::chrono::milliseconds;

constexpr char kZone[] = "a";
constexpr size_t kServiceCount = 90;
constexpr size_t kManyServices = 405;
constexpr base::Duration kRunPeriod = milliseconds(100);

// A node that knows no other at first, and later is one of many of which each
// holds at most one block.
class GrowingLeafNodes final : public query::LeafNodes {
 public:
  const std::string& own_node_id() const override { return own_node_id_; }
  size_t CountInZone(const std::string&) override { return node_count; }
  std::vector<std::string> HoldersOf(const std::string&,
                                     const std::string& block_key,
                                     size_t) override {
    return {block_key == "s0" ? own_node_id_ : "other"};
  }

  size_t node_count = 1;

 private:
  const std::string own_node_id_ = "self";
};

class RecordingTransport final : public upstream::Transport {
 public:
  void Prepare(const upstream::ServerTarget& target) override {
    prepared.push_back(target.instance);
  }
  upstream::CallId Start(const upstream::ServerTarget&,
                         const upstream::ShardCall&,
                         base::Duration,
                         upstream::ShardCallback) override {
    return upstream::CallId::kNone;
  }
  void Cancel(upstream::CallId) override {}
  void DropWaitingCalls(const std::string&) override {}

  std::vector<std::string> prepared;
};

class WarmerFixture {
 public:
  explicit WarmerFixture(size_t service_count = kServiceCount) {
    auto routes = std::make_shared<config::RouteTable>();
    config::Route route;
    route.gather = config::GatherOptions{};
    for (size_t service = 0; service < service_count; ++service) {
      const std::string name = "s" + std::to_string(service);
      route.gather->services.push_back(name);
      upstream::RegisteredServer server;
      server.instance = name + "-1";
      server.service = name;
      server.address = name + ":80";
      server.availability_zone = kZone;
      registry_.Apply({server.instance, {1}, server});
    }
    routes->routes.push_back(std::move(route));
    config::Configuration configuration;
    configuration.routes = std::move(routes);
    configuration_ =
        std::make_shared<const config::Configuration>(std::move(configuration));
  }

  void RunFor(base::Duration duration) {
    for (base::Duration run{}; run < duration; run += kRunPeriod) {
      warmer_.Run(configuration_);
      scheduler_.RunFor(kRunPeriod);
    }
  }

  GrowingLeafNodes nodes;
  RecordingTransport transport;

 private:
  fakes::VirtualScheduler scheduler_;
  upstream::ServerRegistry registry_;
  query::RouteUpstreamCache upstream_cache_{registry_};
  config::ConfigurationPtr configuration_;
  ConnectionWarmer warmer_{
      kZone,           nodes,
      upstream_cache_, [](const config::Upstream&) { return 1; },
      transport,       scheduler_};
};

TEST_CASE("a node that calls all servers connects to them bit by bit") {
  WarmerFixture fixture;
  fixture.RunFor(milliseconds(1500));
  CHECK(fixture.transport.prepared.size() < kServiceCount);
  fixture.RunFor(milliseconds(1500));
  CHECK(fixture.transport.prepared.size() >= kServiceCount);
}

// The load pattern: the only host of its zone calls the servers of all
// services, which are more than it connects to between two searches.
TEST_CASE("each of very many servers is connected to in its turn") {
  WarmerFixture fixture(kManyServices);
  fixture.RunFor(milliseconds(8000));
  const std::set<std::string> servers(fixture.transport.prepared.begin(),
                                      fixture.transport.prepared.end());
  CHECK(servers.size() == kManyServices);
}

// The load pattern: all processes of a large cluster are killed, and each new
// one believes at first that it is alone.
TEST_CASE("a restarted node connects only to the servers that it will call") {
  WarmerFixture fixture;
  fixture.RunFor(milliseconds(700));
  fixture.nodes.node_count = 24;
  fixture.RunFor(milliseconds(2000));
  CHECK(fixture.transport.prepared.size() <= kServiceCount / 5);
}

TEST_CASE("the servers of blocks that other nodes take over are left out") {
  WarmerFixture fixture;
  fixture.RunFor(milliseconds(1300));
  fixture.nodes.node_count = 24;
  fixture.transport.prepared.clear();
  fixture.RunFor(milliseconds(3000));
  // The last search's rest, until the next search.
  CHECK(fixture.transport.prepared.size() < kServiceCount);
}

}  // namespace
}  // namespace node
