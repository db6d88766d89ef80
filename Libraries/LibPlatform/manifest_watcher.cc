// Every watch has a deadline, and a read follows it whatever it gave.

#include "LibPlatform/manifest_watcher.h"

#include <utility>

#include "LibBase/log.h"

namespace platform {

std::shared_ptr<ManifestWatcher> ManifestWatcher::Create(
    WatcherRules rules,
    base::Scheduler& scheduler,
    KeyValueStore& store,
    std::shared_ptr<ConfigurationController> controller,
    std::function<bool()> is_watcher) {
  return std::shared_ptr<ManifestWatcher>(new ManifestWatcher(
      rules, scheduler, store, std::move(controller), std::move(is_watcher)));
}

ManifestWatcher::ManifestWatcher(
    WatcherRules rules,
    base::Scheduler& scheduler,
    KeyValueStore& store,
    std::shared_ptr<ConfigurationController> controller,
    std::function<bool()> is_watcher)
    : rules_(rules),
      scheduler_(scheduler),
      store_(store),
      controller_(std::move(controller)),
      is_watcher_(std::move(is_watcher)) {}

void ManifestWatcher::Start() {
  ReadOnce();
}

void ManifestWatcher::Stop() {
  const std::lock_guard lock(mutex_);
  stopped_ = true;
}

ManifestWatcher::StoreState ManifestWatcher::store_state() {
  const std::lock_guard lock(mutex_);
  return store_state_;
}

std::optional<uint64_t> ManifestWatcher::stored_revision() {
  const std::lock_guard lock(mutex_);
  return stored_revision_;
}

void ManifestWatcher::ReadOnce() {
  store_.Get(std::string(kManifestKey), [self = shared_from_this()](auto read) {
    self->OnRead(std::move(read));
  });
}

void ManifestWatcher::SetStoreState(StoreState state) {
  StoreState before;
  {
    const std::lock_guard lock(mutex_);
    before = std::exchange(store_state_, state);
  }
  if (state == StoreState::kUnavailable && before != state)
    base::Log(base::Event::kStoreUnavailable);
  if (state == StoreState::kAvailable && before == StoreState::kUnavailable)
    base::Log(base::Event::kStoreRecovered);
}

void ManifestWatcher::OnRead(base::Result<std::optional<StoredValue>> read) {
  if (!read) {
    SetStoreState(StoreState::kUnavailable);
    scheduler_.After(rules_.retry_pause,
                     [self = shared_from_this()] { self->Continue(); });
    return;
  }
  std::optional<config::Manifest> manifest;
  if (*read) {
    if (auto parsed = config::ParseManifest((*read)->value))
      manifest = *std::move(parsed);
  }
  {
    const std::lock_guard lock(mutex_);
    last_read_ = scheduler_.Now();
    if (*read)
      seen_version_ = std::max(seen_version_, (*read)->version);
    if (manifest)
      stored_revision_ = manifest->revision;
    else if (!stored_revision_)
      stored_revision_ = 0;
  }
  SetStoreState(StoreState::kAvailable);
  if (manifest)
    controller_->OnManifest(*manifest);
  Continue();
}

void ManifestWatcher::Continue() {
  uint64_t seen_version = 0;
  {
    const std::lock_guard lock(mutex_);
    if (stopped_)
      return;
    seen_version = seen_version_;
  }
  if (!is_watcher_()) {
    WaitAsReader();
    return;
  }
  store_.Watch(std::string(kManifestKey), seen_version, rules_.watch_wait,
               [self = shared_from_this()](auto read) {
                 self->OnRead(std::move(read));
               });
}

void ManifestWatcher::WaitAsReader() {
  scheduler_.After(rules_.role_period, [self = shared_from_this()] {
    bool due = false;
    {
      const std::lock_guard lock(self->mutex_);
      due = self->scheduler_.Now() - self->last_read_ >=
                self->rules_.poll_period ||
            self->store_state_ == StoreState::kUnavailable;
    }
    if (due)
      self->ReadOnce();
    else
      self->Continue();
  });
}

}  // namespace platform
