// An in-memory platform::EntryStore in virtual time, with faults that tests
// inject.

#ifndef FAKES_FAKE_ENTRY_STORE_H_
#define FAKES_FAKE_ENTRY_STORE_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "LibBase/scheduler.h"
#include "LibPlatform/entry_store.h"

namespace fakes {

// The contents and faults of the store, which all nodes share.
struct FakeEntryStoreState {
  std::map<std::string, platform::StoreEntry> entries;
  std::vector<platform::StoreEvent> history;
  uint64_t revision = 10;
  std::optional<uint64_t> era = 1;  // Unset for a store that names none.
  // A watch from an earlier revision is told that the history is lost.
  uint64_t last_dropped_revision = 0;
  // Names of the nodes whose calls fail.
  std::set<std::string> rejected_nodes;
  bool outage = false;  // All calls fail.
  // Calls that begin or wait now get no answer, not even later.
  bool silent = false;
  uint64_t calls = 0;  // But for reads that may be stale.
  uint64_t last_call_number = 0;
  // Calls up to this number get no answer.
  uint64_t last_silenced_call = 0;
  // What reads that may be stale return in place of `entries`, if set.
  std::optional<std::map<std::string, platform::StoreEntry>> stale_entries;
  size_t page_size = 3;  // In entries.

  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  // Silences the connections that are open. Each call has one of its own.
  void SilenceOpenConnections() { last_silenced_call = last_call_number; }
  // Drops the history of all changes so far; the entries stay.
  void DropHistory() { last_dropped_revision = revision; }
  // Comes back with the contents that `copy` had, in a new era.
  void RestoreFrom(const FakeEntryStoreState& copy);
};

// The client through which one node calls the store.
class FakeEntryStore final : public platform::EntryStore {
 public:
  FakeEntryStore(FakeEntryStoreState& state,
                 std::string self,
                 base::Scheduler& scheduler)
      : state_(state), self_(std::move(self)), scheduler_(scheduler) {}

  void List(const std::string& prefix,
            const std::string& after_key,
            platform::ReadMode mode,
            PageCallback callback) override;
  void Watch(const std::string& prefix,
             const base::StoreRevision& revision,
             base::Duration wait,
             ChangesCallback callback) override;

 private:
  // A call that waits for its answer.
  struct WaitingWatch {
    std::string prefix;
    uint64_t revision = 0;
    base::Instant deadline;  // Of the answer without changes.
    uint64_t call_number = 0;
    ChangesCallback callback;
  };

  bool IsDown() const;
  bool IsSilenced(uint64_t call_number) const;
  // Answers the watch if there are changes or its deadline has passed, and
  // polls again if not.
  void Poll(WaitingWatch watch);

  FakeEntryStoreState& state_;
  const std::string self_;
  base::Scheduler& scheduler_;
};

}  // namespace fakes

#endif  // FAKES_FAKE_ENTRY_STORE_H_
