// Implements the listing and watching of entries in the fake store.

#include "Fakes/fake_entry_store.h"

#include <algorithm>
#include <utility>

namespace fakes {

namespace {

constexpr base::Duration kListDelay = std::chrono::milliseconds(4);
constexpr base::Duration kWatchPollInterval = std::chrono::milliseconds(5);

base::Error UnavailableError() {
  return base::Error(base::ErrorKind::kUnavailable, "the store is unavailable",
                     "wait until it answers again");
}

base::Error TimeoutError() {
  return base::Error(base::ErrorKind::kTimeout, "the store has not answered",
                     "wait until it answers again");
}

}  // namespace

void FakeEntryStoreState::Put(const std::string& key,
                              const std::string& value) {
  ++revision;
  entries[key] = {key, value, {revision, era}};
  history.push_back({key, {revision, era}, value});
}

void FakeEntryStoreState::Remove(const std::string& key) {
  ++revision;
  entries.erase(key);
  history.push_back({key, {revision, era}, std::nullopt});
}

void FakeEntryStoreState::RestoreFrom(const FakeEntryStoreState& copy) {
  entries = copy.entries;
  history = copy.history;
  revision = copy.revision;
  if (era)
    ++*era;
  // The copy's entries are read in the new era.
  for (auto& [key, entry] : entries)
    entry.revision.era = era;
  for (platform::StoreEvent& event : history)
    event.revision.era = era;
}

bool FakeEntryStore::IsDown() const {
  return state_.outage || state_.rejected_nodes.contains(self_);
}

bool FakeEntryStore::IsSilenced(uint64_t call_number) const {
  return state_.silent || call_number <= state_.last_silenced_call;
}

void FakeEntryStore::List(const std::string& prefix,
                          const std::string& after_key,
                          platform::ReadMode mode,
                          PageCallback callback) {
  const bool may_be_stale = mode == platform::ReadMode::kMayBeStale;
  state_.calls += may_be_stale ? 0 : 1;
  const uint64_t call_number = ++state_.last_call_number;
  const bool is_unanswered = IsDown() || IsSilenced(call_number);
  scheduler_.After(is_unanswered ? platform::kStoreCallTimeout : kListDelay,
                   [this, prefix, after_key, may_be_stale, is_unanswered,
                    callback = std::move(callback)] {
                     if (is_unanswered || IsDown()) {
                       callback(tl::make_unexpected(UnavailableError()));
                       return;
                     }
                     platform::StorePage page;
                     page.store_revision = {state_.revision, state_.era};
                     const auto& entries = may_be_stale && state_.stale_entries
                                               ? *state_.stale_entries
                                               : state_.entries;
                     for (const auto& [key, entry] : entries) {
                       if (!key.starts_with(prefix) || key <= after_key)
                         continue;
                       page.has_more = page.entries.size() == state_.page_size;
                       if (page.has_more)
                         break;
                       page.entries.push_back(entry);
                     }
                     callback(std::move(page));
                   });
}

void FakeEntryStore::Watch(const std::string& prefix,
                           const base::StoreRevision& revision,
                           base::Duration wait,
                           ChangesCallback callback) {
  ++state_.calls;
  Poll({prefix, revision.number, scheduler_.Now() + wait,
        ++state_.last_call_number, std::move(callback)});
}

void FakeEntryStore::Poll(WaitingWatch watch) {
  scheduler_.After(kWatchPollInterval, [this,
                                        watch = std::move(watch)]() mutable {
    if (IsSilenced(watch.call_number)) {
      scheduler_.After(
          watch.deadline + platform::kStoreCallTimeout - scheduler_.Now(),
          [callback = std::move(watch.callback)] {
            callback(tl::make_unexpected(TimeoutError()));
          });
      return;
    }
    if (IsDown()) {
      watch.callback(tl::make_unexpected(UnavailableError()));
      return;
    }
    platform::StoreChanges changes;
    changes.store_revision = {state_.revision, state_.era};
    changes.is_history_lost = watch.revision < state_.last_dropped_revision ||
                              watch.revision > state_.revision;
    std::ranges::copy_if(state_.history, std::back_inserter(changes.events),
                         [&](const platform::StoreEvent& event) {
                           return event.revision.number > watch.revision &&
                                  event.key.starts_with(watch.prefix);
                         });
    const bool is_due = changes.is_history_lost || !changes.events.empty() ||
                        scheduler_.Now() >= watch.deadline;
    if (is_due)
      watch.callback(std::move(changes));
    else
      Poll(std::move(watch));
  });
}

}  // namespace fakes
