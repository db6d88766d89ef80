// The fact by which nodes tell each other, through gossip, which configuration
// is the newest.

#ifndef LIBNODE_MANIFEST_FACT_H_
#define LIBNODE_MANIFEST_FACT_H_

#include <string_view>

#include "LibConfig/configuration.h"
#include "LibMembership/fact.h"

namespace node {

// The key of the fact.
inline constexpr std::string_view kManifestFactKey = "manifest";

// Returns a fact that is versioned by the manifest's revision.
membership::Fact ToFact(const config::Manifest& manifest);

}  // namespace node

#endif  // LIBNODE_MANIFEST_FACT_H_
