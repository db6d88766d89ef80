// The arguments of a soak.

#ifndef SOAK_SOAK_OPTIONS_H_
#define SOAK_SOAK_OPTIONS_H_

#include <cstdint>
#include <optional>
#include <string>

namespace soak {

struct SoakOptions {
  std::string deployment = "nabiralnica-iskanje";
  std::string plan = "turn";
  std::string drill;  // Of the store, in place of stops of hosts; may be empty.
  std::string program = "build/celerycroft";
  std::string template_file = "deploy/front.json";
  std::string folder;
  uint64_t seed = 1;
  double load = 1;       // Times the deployment's clients and requests.
  double work = 1;       // Times the servers' work.
  double share = 1;      // Of a processor for each host.
  int seconds = 60;      // Of traffic.
  bool disturb = false;  // Send SIGHUP and new configurations as well.

  bool operator==(const SoakOptions&) const = default;
};

// Returns the text that explains the arguments.
std::string UsageText();

// Returns nothing if the arguments are invalid.
std::optional<SoakOptions> ParseOptions(int argc, char** argv);

}  // namespace soak

#endif  // SOAK_SOAK_OPTIONS_H_
