// A node lists the entries first, and then either watches them or lists them
// again at intervals.

#include "LibPlatform/prefix_follower.h"

#include <algorithm>
#include <utility>

#include "LibBase/log.h"

namespace platform {

namespace {

constexpr std::string_view kListName = "list";
constexpr std::string_view kWatchName = "watch";

std::string ToWholeMilliseconds(base::Duration duration) {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

// Returns a random duration between half of `duration` and 1.5 times it.
base::Duration Jitter(base::Duration duration, base::Random& random) {
  return std::chrono::duration_cast<base::Duration>(duration *
                                                    (0.5 + random.Fraction()));
}

}  // namespace

std::shared_ptr<PrefixFollower> PrefixFollower::Create(
    std::string prefix,
    PrefixFollowerRules rules,
    base::Scheduler& scheduler,
    base::Random& random,
    EntryStore& store,
    std::function<bool()> is_watcher,
    PeerKnowledge peer_knowledge,
    Listener listener,
    HealthListener health_listener) {
  return std::shared_ptr<PrefixFollower>(
      new PrefixFollower(std::move(prefix), rules, scheduler, random, store,
                         std::move(is_watcher), std::move(peer_knowledge),
                         std::move(listener), std::move(health_listener)));
}

PrefixFollower::PrefixFollower(std::string prefix,
                               PrefixFollowerRules rules,
                               base::Scheduler& scheduler,
                               base::Random& random,
                               EntryStore& store,
                               std::function<bool()> is_watcher,
                               PeerKnowledge peer_knowledge,
                               Listener listener,
                               HealthListener health_listener)
    : prefix_(std::move(prefix)),
      rules_(rules),
      list_period_(Jitter(rules.list_period, random)),
      scheduler_(scheduler),
      random_(random),
      store_(store),
      is_watcher_(std::move(is_watcher)),
      peer_knowledge_(std::move(peer_knowledge)),
      listener_(std::move(listener)),
      health_listener_(std::move(health_listener)),
      next_retry_delay_(rules.first_retry_delay) {}

void PrefixFollower::Start() {
  {
    const std::lock_guard lock(mutex_);
    started_ = scheduler_.Now();
  }
  ListAtStart("");
  scheduler_.After(rules_.start_delay,
                   [self = shared_from_this()] { self->ScheduleNextRead(); });
}

std::optional<base::Duration> PrefixFollower::Age() {
  const std::lock_guard lock(mutex_);
  if (!last_read_)
    return std::nullopt;
  return scheduler_.Now() - *last_read_;
}

void PrefixFollower::ListAtStart(const std::string& after_key) {
  store_.List(prefix_, after_key, rules_.first_listing,
              [self = shared_from_this()](base::Result<StorePage> page) {
                if (!page)
                  return;  // The first read of the latest state is due soon.
                for (const StoreEntry& entry : page->entries)
                  self->Apply({entry.key, entry.revision, entry.value},
                              self->rules_.first_listing);
                if (page->has_more && !page->entries.empty())
                  self->ListAtStart(page->entries.back().key);
              });
}

void PrefixFollower::List(const std::string& after_key) {
  const ReadCall call{kListName, scheduler_.Now(), {}};
  store_.List(prefix_, after_key, ReadMode::kLatest,
              [self = shared_from_this(), call, after_key](auto page) {
                self->OnPage(call, after_key, std::move(page));
              });
}

void PrefixFollower::OnPage(const ReadCall& call,
                            const std::string& after_key,
                            base::Result<StorePage> page) {
  if (!page) {
    OnFailure(call, page.error(), [this] { List(""); });
    return;
  }
  SetHealth(StoreHealth::kAvailable, "");
  {
    const std::lock_guard lock(mutex_);
    if (after_key.empty()) {
      listed_revisions_.clear();
      // NOTE: The pages together are not a snapshot. A watch from the first
      // page's revision reports what changes between them.
      listing_revision_ = page->store_revision;
    }
    for (const StoreEntry& entry : page->entries)
      listed_revisions_[entry.key] = entry.revision;
  }
  for (StoreEntry& entry : page->entries)
    Apply({entry.key, entry.revision, std::move(entry.value)},
          ReadMode::kLatest);
  if (page->has_more && !page->entries.empty()) {
    List(page->entries.back().key);
    return;
  }
  FinishListing();
}

// Treats known entries that are no longer listed as removed, also those that
// only peers knew of: they may all have missed the removal.
void PrefixFollower::FinishListing() {
  std::map<std::string, uint64_t> known = peer_knowledge_();
  std::vector<StoreEvent> removed;
  {
    const std::lock_guard lock(mutex_);
    for (const auto& [key, revision] : known_revisions_)
      known.insert_or_assign(key, revision);
    for (const auto& [key, revision] : known) {
      if (!listed_revisions_.contains(key) && revision <= listing_revision_)
        removed.push_back({key, listing_revision_, std::nullopt});
    }
    watch_revision_ = listing_revision_;
    last_read_ = scheduler_.Now();
  }
  std::ranges::for_each(
      removed, [this](auto& event) { Apply(event, ReadMode::kLatest); });
  ScheduleNextRead();
}

void PrefixFollower::ScheduleNextRead() {
  const bool is_watcher = is_watcher_();
  if (IsListingDue(is_watcher))
    List("");
  else if (is_watcher)
    Watch(RandomWatchWait());
  else
    scheduler_.After(rules_.role_check_period,
                     [self = shared_from_this()] { self->ScheduleNextRead(); });
}

bool PrefixFollower::IsListingDue(bool is_watcher) {
  std::optional<base::Duration> age;  // Of the last listing or watch.
  base::Duration uptime{};
  {
    const std::lock_guard lock(mutex_);
    const base::Instant now = scheduler_.Now();
    uptime = now - started_;
    if (last_read_)
      age = now - *last_read_;
  }
  if (is_watcher)
    return !age;
  if (!age && uptime >= rules_.max_uninformed_time && peer_knowledge_().empty())
    return true;
  return age.value_or(uptime) >= list_period_;
}

base::Duration PrefixFollower::RandomWatchWait() {
  const base::Duration range = rules_.max_watch_wait - rules_.min_watch_wait;
  return rules_.min_watch_wait +
         std::chrono::duration_cast<base::Duration>(range * random_.Fraction());
}

void PrefixFollower::Watch(base::Duration wait) {
  uint64_t revision = 0;
  {
    const std::lock_guard lock(mutex_);
    revision = watch_revision_;
  }
  const ReadCall call{kWatchName, scheduler_.Now(), wait};
  store_.Watch(prefix_, revision, wait,
               [self = shared_from_this(), call](auto changes) {
                 self->OnChanges(call, std::move(changes));
               });
}

void PrefixFollower::OnChanges(const ReadCall& call,
                               base::Result<StoreChanges> changes) {
  if (!changes) {
    // NOTE: A watch that begins while the store is silent outlasts the outage.
    // One that does not wait ends soon after it.
    const auto watch_without_wait = [self = shared_from_this()] {
      self->Watch(base::Duration::zero());
    };
    // A watch that waited may have lost its connection only. The next call
    // shows whether the store answers.
    const bool is_connection_suspect =
        changes.error().kind() == base::ErrorKind::kTimeout &&
        call.wait > base::Duration::zero();
    if (is_connection_suspect) {
      LogFailure(call, changes.error());
      watch_without_wait();
    } else {
      OnFailure(call, changes.error(), watch_without_wait);
    }
    return;
  }
  SetHealth(StoreHealth::kAvailable, "");
  if (changes->is_history_lost) {
    List("");
    return;
  }
  for (StoreEvent& event : changes->events)
    Apply(std::move(event), ReadMode::kLatest);
  {
    const std::lock_guard lock(mutex_);
    watch_revision_ = std::max(watch_revision_, changes->store_revision);
    last_read_ = scheduler_.Now();
  }
  if (changes->events.empty())
    ScheduleNextRead();
  else
    scheduler_.After(rules_.change_batch_delay,
                     [self = shared_from_this()] { self->ScheduleNextRead(); });
}

// Records the event and calls the listener, unless an equal or later revision
// of the entry is known.
void PrefixFollower::Apply(StoreEvent event, ReadMode mode) {
  {
    const std::lock_guard lock(mutex_);
    const auto known = known_revisions_.find(event.key);
    if (known != known_revisions_.end() && known->second >= event.revision)
      return;
    if (event.value)
      known_revisions_[event.key] = event.revision;
    else if (known != known_revisions_.end())
      known_revisions_.erase(known);
  }
  listener_(event, mode);
}

void PrefixFollower::OnFailure(const ReadCall& call,
                               const base::Error& error,
                               std::function<void()> retry) {
  base::Duration delay{};
  {
    const std::lock_guard lock(mutex_);
    delay = next_retry_delay_;
    next_retry_delay_ = std::min(next_retry_delay_ * 2, rules_.max_retry_delay);
  }
  LogFailure(call, error);
  SetHealth(StoreHealth::kUnavailable, error.message());
  scheduler_.After(
      Jitter(delay, random_),
      [self = shared_from_this(), retry = std::move(retry)] { retry(); });
}

void PrefixFollower::LogFailure(const ReadCall& call,
                                const base::Error& error) {
  const std::optional<base::Duration> age = Age();
  base::Log(base::Event::kStoreReadFailed,
            {{"prefix", prefix_},
             {"call", std::string(call.name)},
             {"tookMs", ToWholeMilliseconds(scheduler_.Now() - call.start)},
             {"ageMs", age ? ToWholeMilliseconds(*age) : ""},
             {"reason", error.message()}});
}

void PrefixFollower::SetHealth(StoreHealth health, const std::string& reason) {
  StoreHealth previous = StoreHealth::kUnknown;
  {
    const std::lock_guard lock(mutex_);
    previous = std::exchange(health_, health);
    if (health == StoreHealth::kAvailable)
      next_retry_delay_ = rules_.first_retry_delay;
  }
  if (previous == health)
    return;
  if (health == StoreHealth::kUnavailable)
    base::Log(base::Event::kStoreUnavailable,
              {{"prefix", prefix_}, {"reason", reason}});
  else if (previous == StoreHealth::kUnavailable)
    base::Log(base::Event::kStoreRecovered, {{"prefix", prefix_}});
  health_listener_(health);
}

}  // namespace platform
