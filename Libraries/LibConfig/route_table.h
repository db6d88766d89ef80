// Routes, which say what services answer the requests for a host and path, and
// how.

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

// Whether a request may be run more than once (kIdempotent), or is sent again
// only if it is certain that no server has run it (kOnce).
enum class Repeatability : uint8_t { kIdempotent, kOnce };

// A service that gets a part of a route's requests, in proportion to its
// weight.
struct WeightedService {
  std::string service;
  uint32_t weight = 1;

  bool operator==(const WeightedService&) const = default;
};

// Options of a route that sends each request to several services and merges the
// records of their answers.
struct GatherOptions {
  std::vector<std::string> services;  // Not empty, without duplicates.
  size_t top_records = 0;             // How many merged records are kept.
  // Share of the services that must answer for the request to succeed.
  double min_answered_share = 1;

  bool operator==(const GatherOptions&) const = default;
};

// How the requests for one host and path prefix are answered.
struct Route {
  std::string name;
  std::string host;
  std::string prefix;  // Begins and ends with a slash.
  // Invariant: either `gather` is set or `services` is not empty. With
  // `services`, each request goes to one of them.
  std::vector<WeightedService> services;
  std::optional<GatherOptions> gather;
  Repeatability repeatability = Repeatability::kOnce;
  base::Duration timeout{};  // Limit of the time that a caller waits.
  // Latency objective. An answer within this time has its full value.
  base::Duration objective{};
  int max_attempts = 1;  // Servers that one request is sent to at most.
  int priority = 0;      // 0 is the most urgent.

  bool operator==(const Route&) const = default;
};

// Options of one service.
struct ServiceOptions {
  // Limit of the connections to each server, from all nodes together.
  int max_connections = 1;
  std::string health_path;  // HTTP path of the servers' health check.

  bool operator==(const ServiceOptions&) const = default;
};

// Limits on the size and the slowness of callers' requests. The timeouts have
// the meaning that they have in http::ServerLimits.
struct RequestLimits {
  size_t max_header_bytes = size_t{8} * 1024;
  size_t max_body_bytes = size_t{64} * 1024;
  base::Duration request_timeout = std::chrono::seconds(5);
  base::Duration idle_timeout = std::chrono::seconds(60);

  bool operator==(const RequestLimits&) const = default;
};

// The routes of a configuration, the options of their services, and the limits
// on callers' requests.
struct RouteTable {
  std::vector<Route> routes;
  std::map<std::string, ServiceOptions> services;  // By service name.
  RequestLimits limits;

  // Returns the route for `host` with the longest prefix of `path`, or null if
  // there is none.
  const Route* Find(std::string_view host, std::string_view path) const;

  // Returns null if there is none.
  const Route* FindByName(std::string_view name) const;

  bool operator==(const RouteTable&) const = default;
};

}  // namespace config

#endif  // LIBCONFIG_ROUTE_TABLE_H_
