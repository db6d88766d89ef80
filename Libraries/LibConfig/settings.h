// The settings of one node: its addresses, availability zone and neighbours.

#ifndef LIBCONFIG_SETTINGS_H_
#define LIBCONFIG_SETTINGS_H_

#include <string>
#include <string_view>
#include <vector>

#include "LibBase/time.h"
#include "LibConfig/issue.h"

namespace config {

struct Settings {
  std::string node_id;
  std::string availability_zone;
  std::string caller_address;
  std::string operator_address;
  std::string peer_address;
  std::string store_address;
  std::string host_list_address;
  std::vector<std::string> peer_seeds;
  int planned_nodes = 1;  // At least 1.
  int holders_per_service = 2;
  int threads = 2;                // At least 1.
  base::Duration address_hold{};  // Shorter than `drain_duration`.
  base::Duration drain_duration{};
  base::Duration gossip_period{};

  bool operator==(const Settings&) const = default;
};

struct ParsedSettings {
  Settings settings;
  Issues issues;  // Settings are usable only when this is empty.
};

ParsedSettings ParseSettings(std::string_view text, const std::string& file);

}  // namespace config

#endif  // LIBCONFIG_SETTINGS_H_
