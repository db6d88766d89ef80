// The settings of a node that forwards HTTP requests according to routes.

#ifndef LIBCONFIG_FORWARD_SETTINGS_H_
#define LIBCONFIG_FORWARD_SETTINGS_H_

#include <string>
#include <string_view>
#include <vector>

#include "LibBase/time.h"
#include "LibConfig/issue.h"

namespace config {

// The addresses are `IP:PORT`.
struct ForwardNodeSettings {
  std::string node_id;
  std::string availability_zone;
  std::string caller_address;
  std::string readiness_address;  // Answers readiness checks.
  std::string directory_address;  // Lists the caller addresses of nodes.
  std::string operator_address;
  std::string peer_address;
  std::string store_address;  // The key-value service.
  std::vector<std::string> peer_seeds;
  // How long a caller may use an answer that names addresses. The answer states
  // this time.
  base::Duration address_hold{};
  // Time between the signal to stop and the kill of the process.
  base::Duration stop_grace{};
  base::Duration gossip_period{};
  base::Duration remote_cost{};  // See query::LeafRules::remote_cost.
  // Hedges and retries as a share of the primary sub-requests.
  double extra_load_share = 0;
  // See upstream::WindowBudgetRules for these two.
  base::Duration extra_load_window{};
  double extra_load_slack = 0;

  bool operator==(const ForwardNodeSettings&) const = default;
};

struct ParsedForwardNodeSettings {
  ForwardNodeSettings settings;
  Issues issues;  // Settings are usable only if this is empty.
};

// `file` is the name that the issues give for the file.
ParsedForwardNodeSettings ParseForwardNodeSettings(std::string_view text,
                                                   const std::string& file);

}  // namespace config

#endif  // LIBCONFIG_FORWARD_SETTINGS_H_
