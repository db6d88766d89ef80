// The published configuration: upstreams and agreements under one revision.

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

struct Configuration {
  uint64_t revision = 0;  // 0 means that none is known.
  std::string deployment;
  std::vector<std::string> availability_zones;  // Of hosts and servers.
  std::vector<Upstream> upstreams;
  std::vector<Agreement> agreements;
  std::shared_ptr<const RouteTable> routes;  // Null without routes.

  const Upstream* FindUpstream(std::string_view name) const;
  const Agreement* FindAgreement(std::string_view party) const;
  bool operator==(const Configuration&) const = default;
};

using ConfigurationPtr = std::shared_ptr<const Configuration>;

// The small record that names a configuration's content by its digest.
struct Manifest {
  uint64_t revision = 0;
  std::string publication_id;  // Of the `publish` run that wrote it.
  std::string content_digest;  // SHA-256 of the content.
  std::string summary;         // What changed, for a losing operator.

  bool operator==(const Manifest&) const = default;
};

std::string SerializeManifest(const Manifest& manifest);
base::Result<Manifest> ParseManifest(std::string_view text);

struct CollectedConfiguration {
  std::string content;  // One JSON text holding all files.
  std::map<std::string, std::string> file_digests;
  Issues issues;  // The content may be published only when this is empty.
};

// Reads `directory`/upstreams.json and every agreement.json below it.
CollectedConfiguration CollectDirectory(const std::string& directory);

struct ParsedConfiguration {
  Configuration configuration;
  Issues issues;
};

// Parses what CollectDirectory gave.
ParsedConfiguration ParseContent(std::string_view content, uint64_t revision);

}  // namespace config

#endif  // LIBCONFIG_CONFIGURATION_H_
