// A revision of a store that may come back from an older copy of its contents.
// The store then gives out revision numbers again that it gave out before, and
// counts such events by its era.

#ifndef LIBBASE_STORE_REVISION_H_
#define LIBBASE_STORE_REVISION_H_

#include <cstdint>
#include <optional>
#include <string>

namespace base {

struct StoreRevision {
  uint64_t number = 0;
  std::optional<uint64_t> era = std::nullopt;  // Unset if it is unknown.

  bool operator==(const StoreRevision&) const = default;
};

// Returns whether both eras are known and that of `revision` is the later one.
bool IsOfLaterEra(const StoreRevision& revision, const StoreRevision& other);

// Returns whether the store gave out `revision` after `other`. The numbers
// count only within an era, or if an era is unknown.
//
// NOTE: This is not transitive where some of the eras are unknown.
bool IsLater(const StoreRevision& revision, const StoreRevision& other);

// Returns the number, after the era and a dot if the era is known.
std::string ToString(const StoreRevision& revision);

}  // namespace base

#endif  // LIBBASE_STORE_REVISION_H_
