// A node lists the entries first, and then either watches them or lists them
// again at intervals.

#include "LibPlatform/prefix_follower.h"

#include <algorithm>
#include <iterator>
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

base::Error EarlierEraError() {
  return base::Error(base::ErrorKind::kUnavailable,
                     "the store answered from an earlier era",
                     "wait until it answers from the latest one");
}

std::vector<StoreEvent> ToEvents(std::vector<StoreEntry> entries) {
  std::vector<StoreEvent> events;
  std::ranges::transform(
      entries, std::back_inserter(events), [](StoreEntry& entry) {
        return StoreEvent{std::move(entry.key), entry.revision,
                          std::move(entry.value)};
      });
  return events;
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

base::StoreRevision PrefixFollower::LastRevision() {
  const std::lock_guard lock(mutex_);
  return watch_revision_;
}

uint64_t PrefixFollower::outdated_entry_count() {
  const std::lock_guard lock(mutex_);
  return outdated_entry_count_;
}

void PrefixFollower::ListAtStart(const std::string& after_key) {
  store_.List(prefix_, after_key, rules_.first_listing,
              [self = shared_from_this()](base::Result<StorePage> page) {
                if (!page)
                  return;  // The first read of the latest state is due soon.
                const bool has_more = page->has_more && !page->entries.empty();
                const std::string last_key =
                    has_more ? page->entries.back().key : "";
                self->ApplyAll(kListName, ToEvents(std::move(page->entries)),
                               self->rules_.first_listing);
                if (has_more)
                  self->ListAtStart(last_key);
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
  const auto list_again = [self = shared_from_this()] { self->List(""); };
  if (!page) {
    OnFailure(call, page.error(), list_again);
    return;
  }
  const AnswerEra era = CheckEra(page->store_revision);
  if (era == AnswerEra::kEarlier) {
    OnFailure(call, EarlierEraError(), list_again);
    return;
  }
  SetHealth(StoreHealth::kAvailable, "", page->store_revision);
  // NOTE: The earlier pages are of the earlier era.
  if (era == AnswerEra::kLater && !after_key.empty()) {
    List("");
    return;
  }
  {
    const std::lock_guard lock(mutex_);
    if (after_key.empty()) {
      listed_keys_.clear();
      // NOTE: The pages together are not a snapshot. A watch from the first
      // page's revision reports what changes between them.
      listing_revision_ = page->store_revision;
    }
    for (const StoreEntry& entry : page->entries)
      listed_keys_.insert(entry.key);
  }
  const bool has_more = page->has_more && !page->entries.empty();
  const std::string last_key = has_more ? page->entries.back().key : "";
  ApplyAll(kListName, ToEvents(std::move(page->entries)), ReadMode::kLatest);
  if (has_more) {
    List(last_key);
    return;
  }
  FinishListing();
}

// Treats known entries that are no longer listed as removed, also those that
// only peers knew of: they may all have missed the removal.
void PrefixFollower::FinishListing() {
  std::map<std::string, base::StoreRevision> known = peer_knowledge_();
  std::vector<StoreEvent> removed;
  {
    const std::lock_guard lock(mutex_);
    for (const auto& [key, revision] : known_revisions_)
      known.insert_or_assign(key, revision);
    for (const auto& [key, revision] : known) {
      if (!listed_keys_.contains(key) &&
          !base::IsLater(revision, listing_revision_))
        removed.push_back({key, listing_revision_, std::nullopt});
    }
    watch_revision_.number = listing_revision_.number;
    last_read_ = scheduler_.Now();
  }
  ApplyAll(kListName, std::move(removed), ReadMode::kLatest);
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
  base::StoreRevision revision;
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
  const AnswerEra era = CheckEra(changes->store_revision);
  if (era == AnswerEra::kEarlier) {
    OnFailure(call, EarlierEraError(),
              [self = shared_from_this()] { self->List(""); });
    return;
  }
  SetHealth(StoreHealth::kAvailable, "", changes->store_revision);
  // NOTE: In a later era, the watch continued from a point of another history,
  // and may have left out changes.
  if (changes->is_history_lost || era == AnswerEra::kLater) {
    List("");
    return;
  }
  const bool has_changes = !changes->events.empty();
  ApplyAll(kWatchName, std::move(changes->events), ReadMode::kLatest);
  {
    const std::lock_guard lock(mutex_);
    watch_revision_.number =
        std::max(watch_revision_.number, changes->store_revision.number);
    last_read_ = scheduler_.Now();
  }
  if (has_changes)
    scheduler_.After(rules_.change_batch_delay,
                     [self = shared_from_this()] { self->ScheduleNextRead(); });
  else
    ScheduleNextRead();
}

void PrefixFollower::ApplyAll(std::string_view call_name,
                              std::vector<StoreEvent> events,
                              ReadMode mode) {
  OutdatedEntries outdated;
  for (StoreEvent& event : events)
    Apply(std::move(event), mode, outdated);
  // A read that may be stale is expected to be older than what is known.
  if (outdated.count > 0 && mode == ReadMode::kLatest)
    LogOutdated(call_name, outdated);
}

// Records the event and calls the listener, unless an equal or later revision
// of the entry is known.
void PrefixFollower::Apply(StoreEvent event,
                           ReadMode mode,
                           OutdatedEntries& outdated) {
  {
    const std::lock_guard lock(mutex_);
    const auto known = known_revisions_.find(event.key);
    if (known != known_revisions_.end() &&
        !base::IsLater(event.revision, known->second)) {
      if (base::IsLater(known->second, event.revision) &&
          ++outdated.count == 1) {
        outdated.key = event.key;
        outdated.revision = event.revision;
        outdated.known_revision = known->second;
      }
      return;
    }
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
  SetHealth(StoreHealth::kUnavailable, error.message(), {});
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

void PrefixFollower::LogOutdated(std::string_view call_name,
                                 const OutdatedEntries& outdated) {
  {
    const std::lock_guard lock(mutex_);
    outdated_entry_count_ += outdated.count;
  }
  base::Log(base::Event::kStoreEntriesOutdated,
            {{"prefix", prefix_},
             {"call", std::string(call_name)},
             {"entries", std::to_string(outdated.count)},
             {"key", outdated.key},
             {"revision", base::ToString(outdated.revision)},
             {"knownRevision", base::ToString(outdated.known_revision)}});
}

PrefixFollower::AnswerEra PrefixFollower::CheckEra(
    const base::StoreRevision& revision) {
  base::StoreRevision last;
  {
    const std::lock_guard lock(mutex_);
    last = watch_revision_;
    if (base::IsOfLaterEra(last, revision))
      return AnswerEra::kEarlier;
    if (revision.era)
      watch_revision_.era = revision.era;
  }
  if (!base::IsOfLaterEra(revision, last))
    return AnswerEra::kKnown;
  base::Log(base::Event::kStoreEraChanged,
            {{"prefix", prefix_},
             {"revision", base::ToString(revision)},
             {"lastRevision", base::ToString(last)}});
  return AnswerEra::kLater;
}

void PrefixFollower::SetHealth(StoreHealth health,
                               const std::string& reason,
                               const base::StoreRevision& revision) {
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
    base::Log(base::Event::kStoreRecovered,
              {{"prefix", prefix_}, {"revision", base::ToString(revision)}});
  health_listener_(health);
}

}  // namespace platform
