// The servers of an upstream as operators publish them.

#ifndef LIBCONFIG_UPSTREAM_H_
#define LIBCONFIG_UPSTREAM_H_

#include <string>
#include <vector>

#include "LibBase/time.h"

namespace config {

struct Server {
  std::string address;  // `IP:PORT`.
  std::string availability_zone;
  // Tells the server from others that had its address before; empty where the
  // address alone is its identity.
  std::string instance = {};

  const std::string& identity() const {
    return instance.empty() ? address : instance;
  }

  bool operator==(const Server&) const = default;
};

// Servers that hold the same shards.
struct Service {
  std::string name;
  std::vector<Server> servers;  // Empty only if discovered.

  bool operator==(const Service&) const = default;
};

struct Upstream {
  std::string name;
  int slots = 1;        // Requests that a server runs at once.
  int connections = 1;  // That a server accepts from all nodes together.
  base::Duration new_connection_cost{};
  std::vector<Service> services;  // Not empty.

  bool operator==(const Upstream&) const = default;
};

}  // namespace config

#endif  // LIBCONFIG_UPSTREAM_H_
