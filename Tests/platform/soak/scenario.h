// What a soak plays: a deployment, its traffic, and what happens to its hosts.

#ifndef SOAK_SCENARIO_H_
#define SOAK_SCENARIO_H_

#include <optional>
#include <string>
#include <vector>

#include "client.h"

namespace soak {

struct Service {
  std::string name;
  size_t servers = 0;
  size_t slots = 0;
  base::Duration mean_work{};

  bool operator==(const Service&) const = default;
};

// Hosts, services and traffic, shaped like one of the platform's deployments.
struct Deployment {
  std::string name;
  std::vector<std::string> zones;
  size_t hosts = 0;
  size_t shards = 0;
  Service shard;                         // Its name is a prefix.
  std::vector<Service> single_services;  // One for each kind but the first two.
  std::vector<RequestKind> kinds;
  std::vector<int> objectives_ms;  // One for each kind.
  size_t clients = 0;
  double requests_per_second = 0;

  bool operator==(const Deployment&) const = default;
};

// Returns nothing if no deployment has the name.
std::optional<Deployment> FindDeployment(const std::string& name);
std::vector<std::string> DeploymentNames();

// Returns the text of a configuration, in the platform's format. Besides the
// deployment's routes, each version has a route of its own.
std::string MakeConfiguration(const Deployment& deployment, uint64_t version);
// Returns the path prefix of the route that only this version has.
std::string VersionPathPrefix(uint64_t version);

// How hosts are stopped and started.
enum class StopPlan : uint8_t {
  kNone,
  kInTurn,       // One after the other.
  kPairs,        // Two at a time, up to 2 s apart.
  kOverlapping,  // One each second, before the earlier ones are back.
  kAllKilled,    // All are killed at once, twice.
};
std::optional<StopPlan> FindStopPlan(const std::string& name);
std::vector<std::string> StopPlanNames();

}  // namespace soak

#endif  // SOAK_SCENARIO_H_
