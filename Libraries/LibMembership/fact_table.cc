// Rumour mongering with bounded repetition, and bucket hashes for
// anti-entropy (Demers et al., "Epidemic algorithms for replicated database
// maintenance", 1987, sections 1.3 and 1.4).

#include "LibMembership/fact_table.h"

#include <algorithm>
#include <bit>
#include <utility>

#include "LibBase/random.h"

namespace membership {

namespace {

// Sends of a fact beyond the logarithm of the member count. Residues are left
// to the comparison of bucket hashes.
constexpr uint32_t kExtraSends = 1;

uint32_t BucketOf(std::string_view key) {
  return static_cast<uint32_t>(base::StableHash(key) % kFactBuckets);
}

uint64_t HashOf(const Fact& fact) {
  return base::StableHash(fact.key,
                          base::Mix(fact.version.epoch) ^ fact.version.counter);
}

size_t SizeOf(const Fact& fact) {
  return fact.key.size() + fact.value.size() + sizeof(FactVersion);
}

}  // namespace

void FactTable::AddListener(Listener listener) {
  listeners_.push_back(std::move(listener));
}

bool FactTable::AddIfNewer(const Fact& fact) {
  {
    const std::lock_guard lock(mutex_);
    const auto found = entries_.find(fact.key);
    if (found != entries_.end() && found->second.version >= fact.version)
      return false;
    if (found != entries_.end())
      hashes_[BucketOf(fact.key)] ^= HashOf(found->second);
    hashes_[BucketOf(fact.key)] ^= HashOf(fact);
    entries_.insert_or_assign(fact.key, fact);
    hot_[fact.key] = 0;
  }
  for (const Listener& listener : listeners_)
    listener(fact);
  return true;
}

std::vector<Fact> FactTable::TakeRumours(size_t max_bytes,
                                         size_t member_count) {
  const uint32_t limit =
      kExtraSends + static_cast<uint32_t>(std::bit_width(member_count));
  const std::lock_guard lock(mutex_);
  std::vector<std::pair<uint32_t, std::string>> order;
  for (const auto& [key, times] : hot_)
    order.emplace_back(times, key);
  std::ranges::sort(order);
  std::vector<Fact> rumours;
  size_t bytes = 0;
  for (const auto& [times, key] : order) {
    const Fact& fact = entries_.find(key)->second;
    if (bytes + SizeOf(fact) > max_bytes && !rumours.empty())
      break;
    bytes += SizeOf(fact);
    rumours.push_back(fact);
    if (times + 1 >= limit)
      hot_.erase(key);
    else
      hot_[key] = times + 1;
  }
  return rumours;
}

bool FactTable::has_rumours() {
  const std::lock_guard lock(mutex_);
  return !hot_.empty();
}

BucketHashes FactTable::Hashes() {
  const std::lock_guard lock(mutex_);
  return hashes_;
}

std::vector<uint32_t> FactTable::DifferingBuckets(const BucketHashes& theirs) {
  std::vector<uint32_t> buckets;
  const BucketHashes ours = Hashes();
  for (uint32_t bucket = 0; bucket < std::min(ours.size(), theirs.size());
       ++bucket) {
    if (ours[bucket] != theirs[bucket])
      buckets.push_back(bucket);
  }
  return buckets;
}

std::vector<Fact> FactTable::FactsIn(const std::vector<uint32_t>& buckets,
                                     size_t max_bytes) {
  const std::lock_guard lock(mutex_);
  std::vector<Fact> facts;
  size_t bytes = 0;
  for (const auto& [key, fact] : entries_) {
    if (std::ranges::find(buckets, BucketOf(key)) == buckets.end())
      continue;
    bytes += SizeOf(fact);
    if (bytes > max_bytes)
      break;
    facts.push_back(fact);
  }
  return facts;
}

std::vector<Fact> FactTable::WithPrefix(std::string_view prefix) {
  const std::lock_guard lock(mutex_);
  std::vector<Fact> facts;
  for (auto it = entries_.lower_bound(prefix);
       it != entries_.end() && it->first.starts_with(prefix); ++it)
    facts.push_back(it->second);
  return facts;
}

void FactTable::Forget(const std::string& key) {
  const std::lock_guard lock(mutex_);
  const auto found = entries_.find(key);
  if (found == entries_.end())
    return;
  hashes_[BucketOf(key)] ^= HashOf(found->second);
  entries_.erase(found);
  hot_.erase(key);
}

size_t FactTable::size() {
  const std::lock_guard lock(mutex_);
  return entries_.size();
}

}  // namespace membership
