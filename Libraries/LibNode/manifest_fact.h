// How nodes tell each other which configuration is the newest.

#ifndef LIBNODE_MANIFEST_FACT_H_
#define LIBNODE_MANIFEST_FACT_H_

#include <string_view>

#include "LibConfig/configuration.h"
#include "LibMembership/fact.h"

namespace node {

inline constexpr std::string_view kManifestFact = "manifest";

membership::Fact ToFact(const config::Manifest& manifest);

}  // namespace node

#endif  // LIBNODE_MANIFEST_FACT_H_
