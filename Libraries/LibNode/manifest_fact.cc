// Converts manifests to facts.

#include "LibNode/manifest_fact.h"

#include <string>

namespace node {

membership::Fact ToFact(const config::Manifest& manifest) {
  return {std::string(kManifestFactKey),
          {manifest.revision, 0},
          config::SerializeManifest(manifest)};
}

}  // namespace node
