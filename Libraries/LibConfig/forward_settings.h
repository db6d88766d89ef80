// The settings of a node that forwards requests along routes.

#ifndef LIBCONFIG_FORWARD_SETTINGS_H_
#define LIBCONFIG_FORWARD_SETTINGS_H_

#include <string>
#include <string_view>
#include <vector>

#include "LibBase/time.h"
#include "LibConfig/issue.h"

namespace config {

struct ForwardNodeSettings {
  std::string node_id;
  std::string availability_zone;
  std::string caller_address;
  std::string readiness_address;
  std::string directory_address;
  std::string operator_address;
  std::string peer_address;
  std::string store_address;
  std::vector<std::string> peer_seeds;
  base::Duration address_hold{};  // That callers are told.
  base::Duration stop_grace{};    // From the signal to stop to the kill.
  base::Duration gossip_period{};
  base::Duration remote_cost{};  // As query::LeafRules::remote_cost.
  double extra_load_share = 0;
  base::Duration extra_load_window{};
  double extra_load_slack = 0;

  bool operator==(const ForwardNodeSettings&) const = default;
};

struct ParsedForwardNodeSettings {
  ForwardNodeSettings settings;
  Issues issues;  // Settings are usable only when this is empty.
};

ParsedForwardNodeSettings ParseForwardNodeSettings(std::string_view text,
                                                   const std::string& file);

}  // namespace config

#endif  // LIBCONFIG_FORWARD_SETTINGS_H_
