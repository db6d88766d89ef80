// Publishes a configuration to the key-value service by compare-and-swap.

#ifndef LIBPLATFORM_PUBLISHER_H_
#define LIBPLATFORM_PUBLISHER_H_

#include <functional>
#include <string>
#include <vector>

#include "LibBase/error.h"
#include "LibConfig/configuration.h"
#include "LibPlatform/key_value_store.h"

namespace platform {

// The calls to the key-value service as functions, so that tests can simulate
// lost responses.
struct StoreCalls {
  std::function<base::Result<std::optional<StoredValue>>(
      const std::string& key)>
      get;
  std::function<base::Result<uint64_t>(const std::string& key,
                                       uint64_t expected,
                                       const std::string& value)>
      compare_and_swap;
};

// Writes the content, then the manifest that refers to it. If the response to
// the manifest's write is lost, reads the manifest back and compares the
// publication's identifier. Fails with kConflict if another publication was
// made in the meantime. The new revision is higher than `revision_in_force`,
// the highest on any node, which is above the stored one if the store has lost
// a publication.
base::Result<config::Manifest> Publish(
    const config::CollectedConfiguration& collected,
    const std::string& publication_id,
    const StoreCalls& store,
    uint64_t revision_in_force = 0);

}  // namespace platform

#endif  // LIBPLATFORM_PUBLISHER_H_
