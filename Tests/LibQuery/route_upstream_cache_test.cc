// Guards against answers that waited for upstreams to be built: each change of
// a server made the next request look through all servers for each service.

#include "LibQuery/route_upstream_cache.h"

#include <doctest/doctest.h>
#include <time.h>

#include <algorithm>
#include <limits>
#include <memory>
#include <string>
#include <vector>

namespace query {
namespace {

constexpr size_t kServices = 100;
constexpr size_t kFewOtherServers = 100;
constexpr size_t kManyOtherServers = 20 * kFewOtherServers;
constexpr int kRepetitions = 20;
// For what grows with the depth of a search tree; 20 if all servers are
// visited.
constexpr double kMaxGrowth = 3;

upstream::ServerClaim MakeClaim(const std::string& instance,
                                const std::string& service,
                                uint64_t revision) {
  upstream::RegisteredServer server;
  server.instance = instance;
  server.service = service;
  server.address = "10.0.0.1:80";
  server.availability_zone = "east";
  server.incarnation = revision;
  return {instance, {revision}, server};
}

// Processor time of this thread, so that other processes don't count.
double ThreadSeconds() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) * 1e-9;
}

// Returns the least time that it takes to build an upstream after one of its
// servers has changed.
double SecondsToBuild(size_t other_servers) {
  upstream::ServerRegistry registry;
  std::vector<std::string> services;
  for (size_t i = 0; i < kServices; ++i) {
    services.push_back("service" + std::to_string(i));
    registry.Apply(MakeClaim("i" + std::to_string(i), services.back(), 1));
  }
  for (size_t i = 0; i < other_servers; ++i)
    registry.Apply(MakeClaim("other" + std::to_string(i),
                             "other" + std::to_string(i % kServices), 1));
  RouteUpstreamCache cache(registry);
  config::Configuration configuration;
  configuration.routes = std::make_shared<const config::RouteTable>();
  const auto shared =
      std::make_shared<const config::Configuration>(configuration);
  double least = std::numeric_limits<double>::max();
  for (int i = 0; i < kRepetitions; ++i) {
    registry.Apply(MakeClaim("i0", services[0], 2 + i));
    const double begin = ThreadSeconds();
    const UpstreamPtr upstream = cache.UpstreamFor(shared, services);
    least = std::min(least, ThreadSeconds() - begin);
    REQUIRE(upstream->services.size() == kServices);
    REQUIRE(upstream->services[0].servers.size() == 1);
  }
  return least;
}

TEST_CASE(
    "to build an upstream takes no longer with servers of other services") {
  CHECK(SecondsToBuild(kManyOtherServers) <=
        kMaxGrowth * SecondsToBuild(kFewOtherServers));
}

}  // namespace
}  // namespace query
