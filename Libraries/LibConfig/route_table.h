// Routes: which services answer the requests for a host and path, and how.

#ifndef LIBCONFIG_ROUTE_TABLE_H_
#define LIBCONFIG_ROUTE_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "LibBase/time.h"

namespace config {

enum class Repeatability : uint8_t { kIdempotent, kOnce };

struct WeightedService {
  std::string service;
  uint32_t weight = 1;

  bool operator==(const WeightedService&) const = default;
};

// One request to each of several services, whose records are merged.
struct GatherOptions {
  std::vector<std::string> services;  // Not empty, each once.
  size_t top_records = 0;             // Kept of the merged ones.
  double min_answered_share = 1;      // Of the services, for a success.

  bool operator==(const GatherOptions&) const = default;
};

struct Route {
  std::string name;
  std::string host;
  std::string prefix;  // Begins and ends with a slash.
  // Invariant: either `gather` is set or `services` is not empty.
  std::vector<WeightedService> services;
  std::optional<GatherOptions> gather;
  Repeatability repeatability = Repeatability::kOnce;
  base::Duration timeout{};    // The longest that a caller is kept waiting.
  base::Duration objective{};  // An answer within it counts in full.
  int max_attempts = 1;        // Servers that one request may be sent to.
  int priority = 0;            // 0 is the most urgent.

  bool operator==(const Route&) const = default;
};

struct ServiceOptions {
  int max_connections = 1;  // Of each server, from all nodes together.
  std::string health_path;

  bool operator==(const ServiceOptions&) const = default;
};

// What a caller may send, and how slowly.
struct RequestLimits {
  size_t max_header_bytes = size_t{8} * 1024;
  size_t max_body_bytes = size_t{64} * 1024;
  base::Duration request_timeout = std::chrono::seconds(5);
  base::Duration idle_timeout = std::chrono::seconds(60);

  bool operator==(const RequestLimits&) const = default;
};

struct RouteTable {
  std::vector<Route> routes;
  std::map<std::string, ServiceOptions> services;
  RequestLimits limits;

  // The route of the host whose prefix is the longest that begins `path`.
  const Route* Find(std::string_view host, std::string_view path) const;

  // Null if there is none.
  const Route* FindByName(std::string_view name) const;

  bool operator==(const RouteTable&) const = default;
};

}  // namespace config

#endif  // LIBCONFIG_ROUTE_TABLE_H_
