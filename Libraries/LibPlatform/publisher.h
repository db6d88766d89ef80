// Publishes a configuration by compare-and-swap and finds out where it is in
// force.

#ifndef LIBPLATFORM_PUBLISHER_H_
#define LIBPLATFORM_PUBLISHER_H_

#include <functional>
#include <string>
#include <vector>

#include "LibBase/error.h"
#include "LibConfig/configuration.h"
#include "LibPlatform/key_value_store.h"

namespace platform {

// The store's calls as functions, so that tests can lose answers.
struct StoreCalls {
  std::function<base::Result<std::optional<StoredValue>>(
      const std::string& key)>
      get;
  std::function<base::Result<uint64_t>(const std::string& key,
                                       uint64_t expected,
                                       const std::string& value)>
      compare_and_swap;
};

// Writes the content, then the manifest that names it. A lost answer is
// resolved by reading back the publication's identifier. Fails with kConflict
// when another publication came between.
base::Result<config::Manifest> Publish(
    const config::CollectedConfiguration& collected,
    const std::string& publication_id,
    const StoreCalls& store);

}  // namespace platform

#endif  // LIBPLATFORM_PUBLISHER_H_
