// A store of entries with watches, in virtual time and with faults.

#ifndef FAKES_FAKE_ENTRY_STORE_H_
#define FAKES_FAKE_ENTRY_STORE_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "LibBase/scheduler.h"
#include "LibPlatform/entry_store.h"

namespace fakes {

struct FakeEntryState {
  std::map<std::string, platform::StoreEntry> entries;
  std::vector<platform::StoreEvent> history;
  uint64_t revision = 10;
  // Changes up to this one were forgotten.
  uint64_t last_dropped_revision = 0;
  std::set<std::string> rejected_nodes;  // Names of nodes that are turned away.
  bool outage = false;
  uint64_t calls = 0;
  size_t page_size = 3;

  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  void DropHistory() { last_dropped_revision = revision; }
};

// One node's way to the store.
class FakeEntryStore final : public platform::EntryStore {
 public:
  FakeEntryStore(FakeEntryState& state,
                 std::string self,
                 base::Scheduler& scheduler)
      : state_(state), self_(std::move(self)), scheduler_(scheduler) {}

  void List(const std::string& prefix,
            const std::string& after_key,
            PageCallback callback) override;
  void Watch(const std::string& prefix,
             uint64_t revision,
             base::Duration wait,
             ChangesCallback callback) override;

 private:
  bool IsDown() const;
  void Poll(const std::string& prefix,
            uint64_t revision,
            base::Instant end,
            ChangesCallback callback);

  FakeEntryState& state_;
  const std::string self_;
  base::Scheduler& scheduler_;
};

}  // namespace fakes

#endif  // FAKES_FAKE_ENTRY_STORE_H_
