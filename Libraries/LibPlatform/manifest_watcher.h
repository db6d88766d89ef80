// Follows the manifest in the key-value service. Only a few nodes of each
// availability zone watch it; the others learn of changes from them by gossip
// and poll rarely, so that the service's load does not grow with the number of
// nodes.

#ifndef LIBPLATFORM_MANIFEST_WATCHER_H_
#define LIBPLATFORM_MANIFEST_WATCHER_H_

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string_view>

#include "LibBase/scheduler.h"
#include "LibPlatform/configuration_controller.h"
#include "LibPlatform/key_value_store.h"

namespace platform {

inline constexpr std::string_view kManifestKey = "manifest";
// The start of the keys of configuration content; the digest follows.
inline constexpr std::string_view kContentPrefix = "content/";

struct ManifestWatcherRules {
  // How long one watch waits for a change.
  base::Duration watch_wait = std::chrono::seconds(5);
  // The delay before the next call after a failed one.
  base::Duration retry_delay = std::chrono::milliseconds(500);
  // How often a node that does not watch reads the manifest, and how often it
  // checks whether it is to watch or a read is due.
  base::Duration poll_period = std::chrono::seconds(60);
  base::Duration role_check_period = std::chrono::seconds(1);

  bool operator==(const ManifestWatcherRules&) const = default;
};

class ManifestWatcher : public std::enable_shared_from_this<ManifestWatcher> {
 public:
  // Whether the key-value service answers; unknown until the first call ends.
  enum class StoreState { kUnknown, kAvailable, kUnavailable };

  // References must outlive the watcher. `is_watcher` returns whether this node
  // watches, and is called again after each read and wait.
  static std::shared_ptr<ManifestWatcher> Create(
      ManifestWatcherRules rules,
      base::Scheduler& scheduler,
      KeyValueStore& store,
      std::shared_ptr<ConfigurationController> controller,
      std::function<bool()> is_watcher);

  void Start();
  void Stop();

  StoreState store_state();
  // Returns the revision of the last valid manifest that was read, or 0 if
  // there was none. Returns nullopt before the service first answers.
  std::optional<uint64_t> stored_revision();

 private:
  ManifestWatcher(ManifestWatcherRules rules,
                  base::Scheduler& scheduler,
                  KeyValueStore& store,
                  std::shared_ptr<ConfigurationController> controller,
                  std::function<bool()> is_watcher);

  void ReadManifest();
  void ScheduleNextRead();
  void WaitForNextPoll();
  void OnRead(base::Result<std::optional<StoredValue>> read);
  void SetStoreState(StoreState state);

  const ManifestWatcherRules rules_;
  base::Scheduler& scheduler_;
  KeyValueStore& store_;
  const std::shared_ptr<ConfigurationController> controller_;
  const std::function<bool()> is_watcher_;

  std::mutex mutex_;
  // All guarded by `mutex_`.
  StoreState store_state_ = StoreState::kUnknown;
  std::optional<uint64_t> stored_revision_;
  // The version of the key at the last read, not the revision of the manifest.
  uint64_t seen_key_version_ = 0;
  base::Instant last_read_;
  bool stopped_ = false;
};

}  // namespace platform

#endif  // LIBPLATFORM_MANIFEST_WATCHER_H_
