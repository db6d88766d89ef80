// The configuration that operators publish: upstreams and agreements,
// identified by one revision.

#ifndef LIBCONFIG_CONFIGURATION_H_
#define LIBCONFIG_CONFIGURATION_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "LibBase/error.h"
#include "LibConfig/agreement.h"
#include "LibConfig/issue.h"
#include "LibConfig/route_table.h"
#include "LibConfig/upstream.h"

namespace config {

// A parsed configuration.
struct Configuration {
  uint64_t revision = 0;   // 0 if no configuration is known.
  std::string deployment;  // Name of the deployment.
  // The availability zones of hosts and servers.
  std::vector<std::string> availability_zones;
  std::vector<Upstream> upstreams;
  std::vector<Agreement> agreements;
  // Null if the configuration has no routes.
  std::shared_ptr<const RouteTable> routes;

  // These return null if there is no such upstream or agreement.
  const Upstream* FindUpstream(std::string_view name) const;
  const Agreement* FindAgreement(std::string_view party) const;
  bool operator==(const Configuration&) const = default;
};

using ConfigurationPtr = std::shared_ptr<const Configuration>;

// The small stored record that refers to a configuration's content by its
// digest.
struct Manifest {
  uint64_t revision = 0;
  // Identifies the run of `publish` that wrote the manifest.
  std::string publication_id;
  std::string content_digest;  // SHA-256 of the content.
  // Says what the publication changed, for an operator whose own publication is
  // rejected because of it.
  std::string summary;

  bool operator==(const Manifest&) const = default;
};

// These convert between a manifest and its stored JSON text.
std::string SerializeManifest(const Manifest& manifest);
base::Result<Manifest> ParseManifest(std::string_view text);

// The configuration files of a directory, ready to be published.
struct CollectedConfiguration {
  std::string content;  // One JSON text that contains all files.
  // SHA-256 digest of each file's JSON, by file path.
  std::map<std::string, std::string> file_digests;
  Issues issues;  // The content may be published only if this is empty.
};

// Reads and checks `directory`/upstreams.json and every agreement.json in
// `directory` and its subdirectories.
CollectedConfiguration CollectDirectory(const std::string& directory);

struct ParsedConfiguration {
  Configuration configuration;
  Issues issues;  // The configuration is usable only if this is empty.
};

// Parses and checks the content that CollectDirectory returns.
ParsedConfiguration ParseContent(std::string_view content, uint64_t revision);

}  // namespace config

#endif  // LIBCONFIG_CONFIGURATION_H_
