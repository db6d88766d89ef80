// Every watch has a deadline. Whatever its result, the next watch, read or wait
// follows it.

#include "LibPlatform/manifest_watcher.h"

#include <utility>

#include "LibBase/log.h"

namespace platform {

std::shared_ptr<ManifestWatcher> ManifestWatcher::Create(
    ManifestWatcherRules rules,
    base::Scheduler& scheduler,
    KeyValueStore& store,
    std::shared_ptr<ConfigurationController> controller,
    std::function<bool()> is_watcher) {
  return std::shared_ptr<ManifestWatcher>(new ManifestWatcher(
      rules, scheduler, store, std::move(controller), std::move(is_watcher)));
}

ManifestWatcher::ManifestWatcher(
    ManifestWatcherRules rules,
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
  ReadManifest();
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

void ManifestWatcher::ReadManifest() {
  store_.Get(std::string(kManifestKey), [self = shared_from_this()](auto read) {
    self->OnRead(std::move(read));
  });
}

void ManifestWatcher::SetStoreState(StoreState state) {
  StoreState previous;
  {
    const std::lock_guard lock(mutex_);
    previous = std::exchange(store_state_, state);
  }
  if (state == StoreState::kUnavailable && previous != state)
    base::Log(base::Event::kStoreUnavailable);
  if (state == StoreState::kAvailable && previous == StoreState::kUnavailable)
    base::Log(base::Event::kStoreRecovered);
}

void ManifestWatcher::OnRead(base::Result<std::optional<StoredValue>> read) {
  if (!read) {
    SetStoreState(StoreState::kUnavailable);
    scheduler_.After(rules_.retry_delay,
                     [self = shared_from_this()] { self->ScheduleNextRead(); });
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
    // NOTE: The version may fall: the service may have come back from an older
    // copy.
    seen_key_version_ = *read ? (*read)->version : kAbsent;
    if (manifest)
      stored_revision_ = manifest->revision;
    else if (!stored_revision_)
      stored_revision_ = 0;
  }
  SetStoreState(StoreState::kAvailable);
  if (manifest)
    controller_->OnManifest(*manifest);
  ScheduleNextRead();
}

void ManifestWatcher::ScheduleNextRead() {
  uint64_t seen_key_version = 0;
  {
    const std::lock_guard lock(mutex_);
    if (stopped_)
      return;
    seen_key_version = seen_key_version_;
  }
  if (!is_watcher_()) {
    WaitForNextPoll();
    return;
  }
  store_.Watch(std::string(kManifestKey), seen_key_version, rules_.watch_wait,
               [self = shared_from_this()](auto read) {
                 self->OnRead(std::move(read));
               });
}

void ManifestWatcher::WaitForNextPoll() {
  scheduler_.After(rules_.role_check_period, [self = shared_from_this()] {
    bool is_due = false;
    {
      const std::lock_guard lock(self->mutex_);
      is_due = self->scheduler_.Now() - self->last_read_ >=
                   self->rules_.poll_period ||
               self->store_state_ == StoreState::kUnavailable;
    }
    if (is_due)
      self->ReadManifest();
    else
      self->ScheduleNextRead();
  });
}

}  // namespace platform
