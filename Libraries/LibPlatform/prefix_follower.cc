// Listing, watching and resuming.

#include "LibPlatform/prefix_follower.h"

#include <algorithm>
#include <utility>

#include "LibBase/log.h"

namespace platform {

std::shared_ptr<PrefixFollower> PrefixFollower::Create(
    std::string prefix,
    FollowerRules rules,
    base::Scheduler& scheduler,
    base::Random& random,
    EntryStore& store,
    std::function<bool()> is_watcher,
    Listener listener,
    HealthListener health_listener) {
  return std::shared_ptr<PrefixFollower>(new PrefixFollower(
      std::move(prefix), rules, scheduler, random, store, std::move(is_watcher),
      std::move(listener), std::move(health_listener)));
}

PrefixFollower::PrefixFollower(std::string prefix,
                               FollowerRules rules,
                               base::Scheduler& scheduler,
                               base::Random& random,
                               EntryStore& store,
                               std::function<bool()> is_watcher,
                               Listener listener,
                               HealthListener health_listener)
    : prefix_(std::move(prefix)),
      rules_(rules),
      scheduler_(scheduler),
      random_(random),
      store_(store),
      is_watcher_(std::move(is_watcher)),
      listener_(std::move(listener)),
      health_listener_(std::move(health_listener)),
      pause_(rules.first_pause) {}

void PrefixFollower::List(const std::string& after_key) {
  store_.List(prefix_, after_key,
              [self = shared_from_this(), after_key](auto page) {
                self->OnPage(after_key, std::move(page));
              });
}

void PrefixFollower::OnPage(const std::string& after_key,
                            base::Result<StorePage> page) {
  if (!page) {
    OnFailure(page.error(), [this] { List(""); });
    return;
  }
  SetHealth(StoreHealth::kAvailable, "");
  {
    const std::lock_guard lock(mutex_);
    if (after_key.empty()) {
      listed_.clear();
      // NOTE: Pages are no snapshot: what changes meanwhile is seen by a watch
      // from the first page's revision.
      listing_revision_ = page->store_revision;
    }
    for (const StoreEntry& entry : page->entries)
      listed_[entry.key] = entry.revision;
  }
  for (StoreEntry& entry : page->entries)
    Apply({entry.key, entry.revision, std::move(entry.value)});
  if (page->has_more && !page->entries.empty()) {
    List(page->entries.back().key);
    return;
  }
  FinishListing();
}

// Entries that were known and are not listed any more were removed.
void PrefixFollower::FinishListing() {
  std::vector<StoreEvent> removed;
  {
    const std::lock_guard lock(mutex_);
    for (const auto& [key, revision] : known_) {
      if (!listed_.contains(key) && revision <= listing_revision_)
        removed.push_back({key, listing_revision_, std::nullopt});
    }
    revision_ = listing_revision_;
    last_read_ = scheduler_.Now();
  }
  std::ranges::for_each(removed, [this](auto& event) { Apply(event); });
  Continue();
}

void PrefixFollower::Continue() {
  bool is_list_due = false;
  {
    const std::lock_guard lock(mutex_);
    is_list_due = scheduler_.Now() - last_read_ >= rules_.list_period;
  }
  if (is_watcher_())
    Watch();
  else if (is_list_due)
    List("");
  else
    scheduler_.After(rules_.role_period,
                     [self = shared_from_this()] { self->Continue(); });
}

void PrefixFollower::Watch() {
  uint64_t revision = 0;
  {
    const std::lock_guard lock(mutex_);
    revision = revision_;
  }
  store_.Watch(prefix_, revision, rules_.watch_wait,
               [self = shared_from_this()](auto changes) {
                 self->OnChanges(std::move(changes));
               });
}

void PrefixFollower::OnChanges(base::Result<StoreChanges> changes) {
  if (!changes) {
    OnFailure(changes.error(), [this] { Watch(); });
    return;
  }
  SetHealth(StoreHealth::kAvailable, "");
  if (changes->is_history_lost) {
    List("");
    return;
  }
  for (StoreEvent& event : changes->events)
    Apply(std::move(event));
  {
    const std::lock_guard lock(mutex_);
    revision_ = std::max(revision_, changes->store_revision);
    last_read_ = scheduler_.Now();
  }
  if (changes->events.empty())
    Continue();
  else
    scheduler_.After(rules_.gathering,
                     [self = shared_from_this()] { self->Continue(); });
}

void PrefixFollower::Apply(StoreEvent event) {
  {
    const std::lock_guard lock(mutex_);
    const auto known = known_.find(event.key);
    if (known != known_.end() && known->second >= event.revision)
      return;
    if (event.value)
      known_[event.key] = event.revision;
    else if (known != known_.end())
      known_.erase(known);
  }
  listener_(event);
}

void PrefixFollower::OnFailure(const base::Error& error,
                               std::function<void()> retry) {
  base::Duration pause{};
  {
    const std::lock_guard lock(mutex_);
    pause = pause_;
    pause_ = std::min(pause_ * 2, rules_.longest_pause);
  }
  SetHealth(StoreHealth::kUnavailable, error.message());
  const auto jittered = std::chrono::duration_cast<base::Duration>(
      pause * (0.5 + random_.Fraction()));
  scheduler_.After(jittered, [self = shared_from_this(),
                              retry = std::move(retry)] { retry(); });
}

void PrefixFollower::SetHealth(StoreHealth health, const std::string& reason) {
  StoreHealth before = StoreHealth::kUnknown;
  {
    const std::lock_guard lock(mutex_);
    before = std::exchange(health_, health);
    if (health == StoreHealth::kAvailable)
      pause_ = rules_.first_pause;
  }
  if (before == health)
    return;
  if (health == StoreHealth::kUnavailable)
    base::Log(base::Event::kStoreUnavailable,
              {{"prefix", prefix_}, {"reason", reason}});
  else if (before == StoreHealth::kUnavailable)
    base::Log(base::Event::kStoreRecovered, {{"prefix", prefix_}});
  health_listener_(health);
}

}  // namespace platform
