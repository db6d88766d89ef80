// Follows the manifest in the key-value service. Only a few nodes of each
// availability zone watch; the others hear from them by gossip and read now
// and then, so that the service's load does not grow with the fleet.

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
inline constexpr std::string_view kContentPrefix = "content/";

struct WatcherRules {
  base::Duration watch_wait = std::chrono::seconds(5);
  base::Duration retry_pause = std::chrono::milliseconds(500);
  // How often a node that does not watch reads, and reconsiders its role.
  base::Duration poll_period = std::chrono::seconds(60);
  base::Duration role_period = std::chrono::seconds(1);

  bool operator==(const WatcherRules&) const = default;
};

class ManifestWatcher : public std::enable_shared_from_this<ManifestWatcher> {
 public:
  enum class StoreState { kUnknown, kAvailable, kUnavailable };

  static std::shared_ptr<ManifestWatcher> Create(
      WatcherRules rules,
      base::Scheduler& scheduler,
      KeyValueStore& store,
      std::shared_ptr<ConfigurationController> controller,
      std::function<bool()> is_watcher);

  void Start();
  void Stop();

  StoreState store_state();
  // The revision that the service held when last read; nothing before.
  std::optional<uint64_t> stored_revision();

 private:
  ManifestWatcher(WatcherRules rules,
                  base::Scheduler& scheduler,
                  KeyValueStore& store,
                  std::shared_ptr<ConfigurationController> controller,
                  std::function<bool()> is_watcher);

  void ReadOnce();
  void Continue();
  void WaitAsReader();
  void OnRead(base::Result<std::optional<StoredValue>> read);
  void SetStoreState(StoreState state);

  const WatcherRules rules_;
  base::Scheduler& scheduler_;
  KeyValueStore& store_;
  const std::shared_ptr<ConfigurationController> controller_;
  const std::function<bool()> is_watcher_;

  std::mutex mutex_;
  // All guarded by `mutex_`.
  StoreState store_state_ = StoreState::kUnknown;
  std::optional<uint64_t> stored_revision_;
  uint64_t seen_version_ = 0;  // Of the key, not the revision.
  base::Instant last_read_;
  bool stopped_ = false;
};

}  // namespace platform

#endif  // LIBPLATFORM_MANIFEST_WATCHER_H_
