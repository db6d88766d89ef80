// Follows all entries under a prefix of the store: lists them, then watches,
// resumes after outages, and lists again where the store forgot its history.
// Only some nodes watch; the others hear from them and list now and then, so
// that the store's load does not grow with the fleet.

#ifndef LIBPLATFORM_PREFIX_FOLLOWER_H_
#define LIBPLATFORM_PREFIX_FOLLOWER_H_

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "LibBase/random.h"
#include "LibBase/scheduler.h"
#include "LibPlatform/entry_store.h"

namespace platform {

struct FollowerRules {
  // Of one watch. A connection that went silent is noticed after it.
  base::Duration watch_wait = std::chrono::seconds(4);
  // After changes, so that a series of them makes one call.
  base::Duration gathering = std::chrono::milliseconds(100);
  // How often a node that does not watch lists, and reconsiders its role.
  base::Duration list_period = std::chrono::seconds(20);
  base::Duration role_period = std::chrono::milliseconds(250);
  // Between calls to a store that does not answer, with jitter.
  base::Duration first_pause = std::chrono::milliseconds(100);
  base::Duration longest_pause = std::chrono::milliseconds(1000);

  bool operator==(const FollowerRules&) const = default;
};

enum class StoreHealth { kUnknown, kAvailable, kUnavailable };

class PrefixFollower : public std::enable_shared_from_this<PrefixFollower> {
 public:
  // Told of each change once, in rising order of an entry's revisions.
  using Listener = std::function<void(const StoreEvent&)>;
  // Told when the store stops to answer, and when it answers again.
  using HealthListener = std::function<void(StoreHealth)>;

  // All references outlive the follower.
  static std::shared_ptr<PrefixFollower> Create(
      std::string prefix,
      FollowerRules rules,
      base::Scheduler& scheduler,
      base::Random& random,
      EntryStore& store,
      std::function<bool()> is_watcher,
      Listener listener,
      HealthListener health_listener);

  void Start() { List(""); }

 private:
  PrefixFollower(std::string prefix,
                 FollowerRules rules,
                 base::Scheduler& scheduler,
                 base::Random& random,
                 EntryStore& store,
                 std::function<bool()> is_watcher,
                 Listener listener,
                 HealthListener health_listener);

  void List(const std::string& after_key);
  void OnPage(const std::string& after_key, base::Result<StorePage> page);
  void FinishListing();
  void Continue();
  void Watch();
  void OnChanges(base::Result<StoreChanges> changes);
  void Apply(StoreEvent event);
  void OnFailure(const base::Error& error, std::function<void()> retry);
  void SetHealth(StoreHealth health, const std::string& reason);

  const std::string prefix_;
  const FollowerRules rules_;
  base::Scheduler& scheduler_;
  base::Random& random_;
  EntryStore& store_;
  const std::function<bool()> is_watcher_;
  const Listener listener_;
  const HealthListener health_listener_;

  std::mutex mutex_;
  // All guarded by `mutex_`.
  StoreHealth health_ = StoreHealth::kUnknown;
  std::map<std::string, uint64_t> known_;   // Revisions by key.
  std::map<std::string, uint64_t> listed_;  // Of the listing that runs.
  uint64_t listing_revision_ = 0;  // Of the store at the listing's first page.
  uint64_t revision_ = 0;          // To watch from.
  base::Duration pause_{};
  base::Instant last_read_;
};

}  // namespace platform

#endif  // LIBPLATFORM_PREFIX_FOLLOWER_H_
