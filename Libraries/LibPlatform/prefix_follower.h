// Follows all entries under a key prefix of the store: lists them, then watches
// for changes, resumes after outages, and lists them again if the store has
// lost its history. Only some nodes watch; the others learn of changes from
// them and hardly ever list the entries, so that the store's load does not grow
// with the number of nodes.

#ifndef LIBPLATFORM_PREFIX_FOLLOWER_H_
#define LIBPLATFORM_PREFIX_FOLLOWER_H_

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "LibBase/random.h"
#include "LibBase/scheduler.h"
#include "LibPlatform/entry_store.h"

namespace platform {

struct PrefixFollowerRules {
  // How long one watch waits for a change: a random time from this range, so
  // that the watches of different nodes end at different times. A connection
  // that has gone silent is noticed kStoreCallTimeout after this time.
  base::Duration min_watch_wait = std::chrono::milliseconds(1000);
  base::Duration max_watch_wait = std::chrono::milliseconds(1500);
  // The delay after changes, so that one call fetches a series of them.
  base::Duration change_batch_delay = std::chrono::milliseconds(300);
  // How the entries are listed when the node starts, so that it knows them at
  // once.
  ReadMode first_listing = ReadMode::kMayBeStale;
  // The delay of the first read of the latest state, in which a node that has
  // just started learns from its peers whether it is to watch.
  base::Duration start_delay = std::chrono::milliseconds(500);
  // After this time, a node lists the entries even if it does not watch, unless
  // it has learned of entries from its peers.
  base::Duration max_uninformed_time = std::chrono::milliseconds(1500);
  // How often a node that does not watch lists the entries, before jitter, and
  // how often it checks whether it is to watch or a listing is due.
  base::Duration list_period = std::chrono::minutes(5);
  base::Duration role_check_period = std::chrono::milliseconds(250);
  // The delay between calls to a store that does not answer, before jitter. It
  // doubles with each call.
  base::Duration first_retry_delay = std::chrono::milliseconds(100);
  base::Duration max_retry_delay = std::chrono::milliseconds(1000);

  bool operator==(const PrefixFollowerRules&) const = default;
};

// Whether the store answers; unknown until the first call ends.
enum class StoreHealth { kUnknown, kAvailable, kUnavailable };

class PrefixFollower : public std::enable_shared_from_this<PrefixFollower> {
 public:
  // Called once for each change, in rising order of an entry's revisions, with
  // the mode of the read that returned it.
  using Listener = std::function<void(const StoreEvent&, ReadMode)>;
  // Called when the store stops answering and when it starts to answer.
  using HealthListener = std::function<void(StoreHealth)>;

  // Returns the entries that this node has learned of from its peers: the
  // revision of each, by key.
  using PeerKnowledge =
      std::function<std::map<std::string, base::StoreRevision>()>;

  // References must outlive the follower. `is_watcher` returns whether this
  // node watches, and is called again after each listing, watch and wait.
  static std::shared_ptr<PrefixFollower> Create(
      std::string prefix,
      PrefixFollowerRules rules,
      base::Scheduler& scheduler,
      base::Random& random,
      EntryStore& store,
      std::function<bool()> is_watcher,
      PeerKnowledge peer_knowledge,
      Listener listener,
      HealthListener health_listener);

  void Start();

  // Returns how long ago this node last read the latest state from the store;
  // unset before the first time.
  std::optional<base::Duration> Age();
  // Returns the store's revision at that time.
  base::StoreRevision LastRevision();
  // Returns how many entries were ignored as older than what is known.
  uint64_t outdated_entry_count();

 private:
  // A call to the store.
  struct ReadCall {
    std::string_view name;
    base::Instant start;
    base::Duration wait;  // How long the store may wait before it answers.
  };

  // Entries of one read that were ignored.
  struct OutdatedEntries {
    uint64_t count = 0;
    // Of the first one.
    std::string key;
    base::StoreRevision revision;
    base::StoreRevision known_revision;
  };

  PrefixFollower(std::string prefix,
                 PrefixFollowerRules rules,
                 base::Scheduler& scheduler,
                 base::Random& random,
                 EntryStore& store,
                 std::function<bool()> is_watcher,
                 PeerKnowledge peer_knowledge,
                 Listener listener,
                 HealthListener health_listener);

  // Returns whether this node is to list the entries now.
  bool IsListingDue(bool is_watcher);
  // Lists the entries when the node starts. Does not look for removed ones.
  void ListAtStart(const std::string& after_key);
  void List(const std::string& after_key);
  void OnPage(const ReadCall& call,
              const std::string& after_key,
              base::Result<StorePage> page);
  void FinishListing();
  void ScheduleNextRead();
  void Watch(base::Duration wait);
  base::Duration RandomWatchWait();
  void OnChanges(const ReadCall& call, base::Result<StoreChanges> changes);
  void ApplyAll(std::string_view call_name,
                std::vector<StoreEvent> events,
                ReadMode mode);
  void Apply(StoreEvent event, ReadMode mode, OutdatedEntries& outdated);
  void LogOutdated(std::string_view call_name, const OutdatedEntries& outdated);
  // Compares the era of an answer with the one that is known, and takes a later
  // one over. An answer that names no era is of the known one.
  enum class AnswerEra : uint8_t { kKnown, kLater, kEarlier };
  AnswerEra CheckEra(const base::StoreRevision& revision);
  void OnFailure(const ReadCall& call,
                 const base::Error& error,
                 std::function<void()> retry);
  void LogFailure(const ReadCall& call, const base::Error& error);
  void SetHealth(StoreHealth health,
                 const std::string& reason,
                 const base::StoreRevision& revision);

  const std::string prefix_;
  const PrefixFollowerRules rules_;
  // `rules_.list_period` with jitter.
  const base::Duration list_period_;
  base::Scheduler& scheduler_;
  base::Random& random_;
  EntryStore& store_;
  const std::function<bool()> is_watcher_;
  const PeerKnowledge peer_knowledge_;
  const Listener listener_;
  const HealthListener health_listener_;

  std::mutex mutex_;
  // All guarded by `mutex_`.
  StoreHealth health_ = StoreHealth::kUnknown;
  std::map<std::string, base::StoreRevision> known_revisions_;  // By key.
  // The keys on the pages that the current listing has returned.
  std::set<std::string> listed_keys_;
  // The store's revision at the first page of the current listing.
  base::StoreRevision listing_revision_;
  // Where the next watch continues. Its era is the latest that is known; the
  // number is of that era once it has been listed.
  base::StoreRevision watch_revision_;
  uint64_t outdated_entry_count_ = 0;
  base::Duration next_retry_delay_{};
  base::Instant started_;
  std::optional<base::Instant> last_read_;  // Unset before the first listing.
};

}  // namespace platform

#endif  // LIBPLATFORM_PREFIX_FOLLOWER_H_
