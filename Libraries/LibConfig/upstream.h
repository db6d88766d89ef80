// The servers of an upstream, as operators publish them or as they are
// discovered.

#ifndef LIBCONFIG_UPSTREAM_H_
#define LIBCONFIG_UPSTREAM_H_

#include <cstdint>
#include <string>
#include <vector>

#include "LibBase/time.h"

namespace config {

// One server process of a service.
struct Server {
  std::string address;  // `IP:PORT`.
  std::string availability_zone;
  // Distinguishes the server from earlier ones at the same address. Empty if
  // the address alone identifies the server.
  std::string instance = {};
  // Identifies one run of the instance; 0 if unknown.
  uint64_t incarnation = 0;

  // The string that identifies this server.
  const std::string& identity() const {
    return instance.empty() ? address : instance;
  }

  bool operator==(const Server&) const = default;
};

// A set of servers that hold the same shards.
struct Service {
  std::string name;
  // Empty only if the servers are discovered, not published.
  std::vector<Server> servers;

  bool operator==(const Service&) const = default;
};

// A named group of services, which together hold the shards of one index.
struct Upstream {
  std::string name;
  int slots = 1;  // Requests that each server runs at once.
  // Connections that each server accepts from all nodes together.
  int connections = 1;
  // How long it takes a server to accept a connection.
  base::Duration new_connection_cost{};
  std::vector<Service> services;  // Not empty.

  bool operator==(const Upstream&) const = default;
};

}  // namespace config

#endif  // LIBCONFIG_UPSTREAM_H_
