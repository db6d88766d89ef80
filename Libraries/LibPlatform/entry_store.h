// The interface of a store of entries that share one revision counter. Entries
// are read and watched by key prefix.

#ifndef LIBPLATFORM_ENTRY_STORE_H_
#define LIBPLATFORM_ENTRY_STORE_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "LibBase/error.h"
#include "LibBase/store_revision.h"
#include "LibBase/time.h"

namespace platform {

struct StoreEntry {
  std::string key;
  std::string value;
  base::StoreRevision revision;  // The store's at the entry's last write.

  bool operator==(const StoreEntry&) const = default;
};

struct StorePage {
  std::vector<StoreEntry> entries;
  base::StoreRevision store_revision;
  bool has_more = false;  // Whether entries follow after the last key.

  bool operator==(const StorePage&) const = default;
};

struct StoreEvent {
  std::string key;
  base::StoreRevision revision;      // The store's at the change.
  std::optional<std::string> value;  // nullopt if the entry was removed.

  bool operator==(const StoreEvent&) const = default;
};

struct StoreChanges {
  std::vector<StoreEvent> events;
  // Where the next watch continues. If the history is lost, only the era.
  base::StoreRevision store_revision;
  // Whether the store no longer has all changes after the requested revision,
  // so that the entries must be listed again.
  bool is_history_lost = false;

  bool operator==(const StoreChanges&) const = default;
};

// Whether a read returns the latest state, or may return one that is seconds
// old and costs the store less.
enum class ReadMode : uint8_t { kLatest, kMayBeStale };

// A call fails if its answer is this late: after a watch's wait, or after the
// start of any other call.
inline constexpr base::Duration kStoreCallTimeout = std::chrono::seconds(1);

// Callbacks are called once, and never from within the call that takes them.
class EntryStore {
 public:
  virtual ~EntryStore() = default;

  using PageCallback = std::function<void(base::Result<StorePage>)>;
  // Calls back with one page of the entries under `prefix`. The page starts
  // after the key `after_key`, or with the first key if that is empty.
  virtual void List(const std::string& prefix,
                    const std::string& after_key,
                    ReadMode mode,
                    PageCallback callback) = 0;

  using ChangesCallback = std::function<void(base::Result<StoreChanges>)>;
  // Calls back with the changes under `prefix` after `revision` as soon as
  // there are any, or with none after `wait`. The store compares the number of
  // `revision` only; the answer shows the era in which it did.
  virtual void Watch(const std::string& prefix,
                     const base::StoreRevision& revision,
                     base::Duration wait,
                     ChangesCallback callback) = 0;
};

}  // namespace platform

#endif  // LIBPLATFORM_ENTRY_STORE_H_
