// The settings of a node that answers queries, such as its addresses and its
// availability zone. Nodes that forward HTTP requests have ForwardNodeSettings.

#ifndef LIBCONFIG_SETTINGS_H_
#define LIBCONFIG_SETTINGS_H_

#include <string>
#include <string_view>
#include <vector>

#include "LibBase/time.h"
#include "LibConfig/issue.h"

namespace config {

// The addresses are `IP:PORT`.
struct Settings {
  std::string node_id;
  std::string availability_zone;
  std::string caller_address;
  std::string operator_address;
  std::string peer_address;
  std::string store_address;  // The key-value service.
  std::string host_list_address;
  std::vector<std::string> peer_seeds;  // Peer addresses of some other nodes.
  int planned_nodes = 1;        // Size of the planned deployment; at least 1.
  int holders_per_service = 2;  // Nodes that call a service's servers.
  int threads = 2;              // At least 1.
  // How long a caller may use an answer that names addresses. Shorter than
  // `drain_duration`.
  base::Duration address_hold{};
  // How long a stopping node still accepts requests.
  base::Duration drain_duration{};
  base::Duration gossip_period{};

  bool operator==(const Settings&) const = default;
};

struct ParsedSettings {
  Settings settings;
  Issues issues;  // Settings are usable only if this is empty.
};

// `file` is the name that the issues give for the file.
ParsedSettings ParseSettings(std::string_view text, const std::string& file);

}  // namespace config

#endif  // LIBCONFIG_SETTINGS_H_
