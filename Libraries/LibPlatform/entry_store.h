// A store of versioned entries under one revision counter, with reads by
// prefix and watches, as an interface.

#ifndef LIBPLATFORM_ENTRY_STORE_H_
#define LIBPLATFORM_ENTRY_STORE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "LibBase/error.h"
#include "LibBase/time.h"

namespace platform {

struct StoreEntry {
  std::string key;
  std::string value;
  uint64_t revision = 0;  // Of the store, when the entry was last written.

  bool operator==(const StoreEntry&) const = default;
};

struct StorePage {
  std::vector<StoreEntry> entries;
  uint64_t store_revision = 0;
  bool has_more = false;  // Continue after the last key.

  bool operator==(const StorePage&) const = default;
};

struct StoreEvent {
  std::string key;
  uint64_t revision = 0;
  std::optional<std::string> value;  // Nothing if the entry was removed.

  bool operator==(const StoreEvent&) const = default;
};

struct StoreChanges {
  std::vector<StoreEvent> events;
  uint64_t store_revision = 0;  // To continue from.
  // Whether the store forgot what came after the revision asked for, so that
  // the entries have to be listed anew.
  bool is_history_lost = false;

  bool operator==(const StoreChanges&) const = default;
};

class EntryStore {
 public:
  virtual ~EntryStore() = default;

  using PageCallback = std::function<void(base::Result<StorePage>)>;
  // One page of the entries under `prefix`, from the key after `after_key`.
  virtual void List(const std::string& prefix,
                    const std::string& after_key,
                    PageCallback callback) = 0;

  using ChangesCallback = std::function<void(base::Result<StoreChanges>)>;
  // Changes under `prefix` later than `revision`, as soon as there are any, or
  // none after `wait`.
  virtual void Watch(const std::string& prefix,
                     uint64_t revision,
                     base::Duration wait,
                     ChangesCallback callback) = 0;
};

}  // namespace platform

#endif  // LIBPLATFORM_ENTRY_STORE_H_
