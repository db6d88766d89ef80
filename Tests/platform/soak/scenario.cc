// Holds the deployments, which follow the platform's sheets.

#include "scenario.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <ranges>
#include <utility>

namespace soak {

using nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr int kAttempts = 2;
// The first kinds of each deployment are queries to all shards.
constexpr size_t kGatherKinds = 2;
constexpr int kShardConnections = 30;
constexpr int kServiceConnections = 110;

constexpr std::array kStopPlans =
    std::to_array<std::pair<std::string_view, StopPlan>>(
        {{"none", StopPlan::kNone},
         {"turn", StopPlan::kInTurn},
         {"pairs", StopPlan::kPairs},
         {"overlap", StopPlan::kOverlapping},
         {"all-killed", StopPlan::kAllKilled}});

// The last kind must not be repeated; the sheets' kind of that service is
// repeatable on some days and not on others.
Deployment MakeNabiralnica() {
  Deployment deployment;
  deployment.name = "nabiralnica-iskanje";
  deployment.zones = {"zalec", "celje", "mozirje"};
  deployment.hosts = 4;
  deployment.shards = 10;
  deployment.shard = {"pick", 3, 3, milliseconds(15)};
  deployment.single_services = {{"gatepass", 15, 3, milliseconds(120)},
                                {"harvestbooks", 7, 3, milliseconds(120)}};
  deployment.kinds = {
      {"slotsearch", "/slot1/", "GET", milliseconds(800), true, 6},
      {"ripecheck", "/ripe1/", "GET", milliseconds(300), true, 2},
      {"bookfetch", "/book1/", "GET", milliseconds(3000), true, 1},
      {"bookonce", "/once1/", "POST", milliseconds(3000), false, 1}};
  deployment.objectives_ms = {120, 60, 500, 500};
  deployment.clients = 132;
  deployment.requests_per_second = 225;
  return deployment;
}

Deployment MakeSljeme() {
  Deployment deployment;
  deployment.name = "sljeme-najam";
  deployment.zones = {"zagreb-a", "zagreb-b", "karlovac-c"};
  deployment.hosts = 4;
  deployment.shards = 10;
  deployment.shard = {"desk", 3, 2, milliseconds(7)};
  deployment.single_services = {{"ledger", 7, 3, milliseconds(60)},
                                {"intake", 3, 3, milliseconds(60)}};
  deployment.kinds = {
      {"fitting", "/fit1/", "GET", milliseconds(400), true, 6},
      {"quick", "/quick1/", "GET", milliseconds(250), true, 2},
      {"ledgerread", "/ledger1/", "GET", milliseconds(1500), true, 1},
      {"ledgeronce", "/once1/", "POST", milliseconds(1500), false, 1}};
  deployment.objectives_ms = {80, 40, 250, 250};
  deployment.clients = 132;
  deployment.requests_per_second = 225;
  return deployment;
}

Deployment MakeNabiralnicaGrown() {
  Deployment deployment = MakeNabiralnica();
  deployment.name = "nabiralnica-iskanje-grown";
  deployment.zones = {"zalec", "celje", "mozirje", "slovenj-gradec"};
  deployment.hosts = 31;
  deployment.shards = 36;
  deployment.shard.slots = 4;
  deployment.single_services = {{"gatepass", 13, 3, milliseconds(120)},
                                {"harvestbooks", 6, 3, milliseconds(120)}};
  deployment.clients = 117;
  deployment.requests_per_second = 140;
  return deployment;
}

std::vector<Deployment> Deployments() {
  return {MakeNabiralnica(), MakeSljeme(), MakeNabiralnicaGrown()};
}

json MakeRoute(const Deployment& deployment, size_t index) {
  const RequestKind& kind = deployment.kinds[index];
  json route = {
      {"name", kind.route},
      {"host", kRequestHost},
      {"prefix", kind.path_prefix},
      {"route_type", kind.is_idempotent ? "idempotent" : "non_idempotent"},
      {"timeout_ms",
       std::chrono::duration_cast<milliseconds>(kind.time_allowed).count()},
      {"target_latency_ms", deployment.objectives_ms[index]},
      {"priority", index},
      {"attempts", kAttempts}};
  if (index >= kGatherKinds) {
    route["service"] = deployment.single_services[index - kGatherKinds].name;
    return route;
  }
  json gather = json::array();
  for (size_t shard = 0; shard < deployment.shards; ++shard)
    gather.push_back(deployment.shard.name + std::to_string(shard));
  route["gather"] = std::move(gather);
  route["top_k"] = index == 0 ? 20 : 5;
  route["min_success_share"] = index == 0 ? 0.89 : 0.75;
  return route;
}

json MakeService(const std::string& name, int connections) {
  return {{"name", name},
          {"health_path", "/health"},
          {"max_connections", connections},
          {"protocol", "h1"},
          {"tls", false}};
}

}  // namespace

std::optional<Deployment> FindDeployment(const std::string& name) {
  const auto deployments = Deployments();
  const auto found = std::ranges::find(deployments, name, &Deployment::name);
  return found == deployments.end() ? std::nullopt : std::optional(*found);
}

std::vector<std::string> DeploymentNames() {
  std::vector<std::string> names;
  std::ranges::transform(Deployments(), std::back_inserter(names),
                         &Deployment::name);
  return names;
}

std::string VersionPathPrefix(uint64_t version) {
  return "/added" + std::to_string(version) + "/";
}

std::string MakeConfiguration(const Deployment& deployment, uint64_t version) {
  json routes = json::array();
  for (size_t kind = 0; kind < deployment.kinds.size(); ++kind)
    routes.push_back(MakeRoute(deployment, kind));
  json added = MakeRoute(deployment, deployment.kinds.size() - 1);
  added["name"] = "added" + std::to_string(version);
  added["prefix"] = VersionPathPrefix(version);
  routes.push_back(std::move(added));
  json services = json::array();
  for (size_t shard = 0; shard < deployment.shards; ++shard)
    services.push_back(MakeService(
        deployment.shard.name + std::to_string(shard), kShardConnections));
  for (const Service& service : deployment.single_services)
    services.push_back(MakeService(service.name, kServiceConnections));
  return json{{"version", version},
              {"routes", routes},
              {"services", services},
              {"limits",
               {{"max_header_bytes", 16384},
                {"max_body_bytes", 262144},
                {"header_timeout_ms", 3000},
                {"idle_timeout_ms", 15000}}}}
      .dump();
}

std::optional<StopPlan> FindStopPlan(const std::string& name) {
  const auto found = std::ranges::find(
      kStopPlans, name, [](const auto& plan) { return plan.first; });
  return found == kStopPlans.end() ? std::nullopt
                                   : std::optional(found->second);
}

std::vector<std::string> StopPlanNames() {
  std::vector<std::string> names;
  std::ranges::transform(
      kStopPlans, std::back_inserter(names),
      [](const auto& plan) { return std::string(plan.first); });
  return names;
}

}  // namespace soak
