// Compares and formats revisions of a store.

#include "LibBase/store_revision.h"

namespace base {

bool IsOfLaterEra(const StoreRevision& revision, const StoreRevision& other) {
  return revision.era && other.era && *revision.era > *other.era;
}

bool IsLater(const StoreRevision& revision, const StoreRevision& other) {
  if (IsOfLaterEra(revision, other))
    return true;
  return !IsOfLaterEra(other, revision) && revision.number > other.number;
}

std::string ToString(const StoreRevision& revision) {
  return (revision.era ? std::to_string(*revision.era) + "." : "") +
         std::to_string(revision.number);
}

}  // namespace base
