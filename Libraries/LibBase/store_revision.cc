// Formats revisions of a store.

#include "LibBase/store_revision.h"

namespace base {

std::string ToString(const StoreRevision& revision) {
  return (revision.era ? std::to_string(*revision.era) + "." : "") +
         std::to_string(revision.number);
}

}  // namespace base
