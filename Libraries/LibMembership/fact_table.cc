// Rumour mongering with feedback and a bounded number of sends, and bucket
// hashes for anti-entropy (Demers et al., "Epidemic algorithms for replicated
// database maintenance", 1987, sections 1.3 and 1.4).

#include "LibMembership/fact_table.h"

#include <algorithm>
#include <bit>
#include <utility>

#include "LibBase/random.h"

namespace membership {

namespace {

// Added to the logarithm of the member count. Members that a fact does not
// reach with this number of sends get it by the comparison of bucket hashes.
constexpr uint32_t kExtraSendsPerFact = 1;
// A peer that knew a fact already counts as this many further sends. Most peers
// know a fact once two of them did.
constexpr uint32_t kSendsPerKnownFact = 3;

uint32_t MaxSends(size_t member_count) {
  return kExtraSendsPerFact +
         static_cast<uint32_t>(std::bit_width(member_count));
}

uint32_t BucketOf(std::string_view key) {
  return static_cast<uint32_t>(base::StableHash(key) % kFactBucketCount);
}

// Hashes the key and the version, not the value.
uint64_t HashOf(const Fact& fact) {
  return base::StableHash(fact.key,
                          base::Mix(fact.version.epoch) ^ fact.version.counter);
}

size_t SizeInBytes(const Fact& fact) {
  return fact.key.size() + fact.value.size() + sizeof(FactVersion);
}

}  // namespace

void FactTable::AddListener(Listener listener) {
  listeners_.push_back(std::move(listener));
}

bool FactTable::AddIfNewer(const Fact& fact, Spread spread) {
  {
    const std::lock_guard lock(mutex_);
    const auto found = facts_.find(fact.key);
    if (found != facts_.end() && found->second.version >= fact.version)
      return false;
    if (found != facts_.end())
      hashes_[BucketOf(fact.key)] ^= HashOf(found->second);
    hashes_[BucketOf(fact.key)] ^= HashOf(fact);
    facts_.insert_or_assign(fact.key, fact);
    if (spread == Spread::kAsRumour)
      send_counts_[fact.key] = 0;
  }
  for (const Listener& listener : listeners_)
    listener(fact);
  return true;
}

std::vector<Fact> FactTable::TakeRumours(size_t max_bytes,
                                         size_t member_count) {
  const uint32_t max_sends = MaxSends(member_count);
  const std::lock_guard lock(mutex_);
  std::vector<std::pair<uint32_t, std::string>> candidates;
  for (const auto& [key, send_count] : send_counts_)
    candidates.emplace_back(send_count, key);
  std::ranges::sort(candidates);
  std::vector<Fact> rumours;
  size_t bytes = 0;
  for (const auto& [send_count, key] : candidates) {
    const Fact& fact = facts_.find(key)->second;
    if (bytes + SizeInBytes(fact) > max_bytes && !rumours.empty())
      break;
    bytes += SizeInBytes(fact);
    rumours.push_back(fact);
    if (send_count + 1 >= max_sends)
      send_counts_.erase(key);
    else
      send_counts_[key] = send_count + 1;
  }
  return rumours;
}

void FactTable::OnKnownByPeer(const Fact& fact, size_t member_count) {
  const std::lock_guard lock(mutex_);
  const auto send_count = send_counts_.find(fact.key);
  if (send_count == send_counts_.end() ||
      facts_.find(fact.key)->second.version != fact.version)
    return;
  send_count->second += kSendsPerKnownFact;
  if (send_count->second >= MaxSends(member_count))
    send_counts_.erase(send_count);
}

bool FactTable::has_rumours() {
  const std::lock_guard lock(mutex_);
  return !send_counts_.empty();
}

BucketHashes FactTable::CurrentBucketHashes() {
  const std::lock_guard lock(mutex_);
  return hashes_;
}

std::vector<uint32_t> FactTable::DifferingBuckets(const BucketHashes& theirs) {
  std::vector<uint32_t> buckets;
  const BucketHashes ours = CurrentBucketHashes();
  for (uint32_t bucket = 0; bucket < std::min(ours.size(), theirs.size());
       ++bucket) {
    if (ours[bucket] != theirs[bucket])
      buckets.push_back(bucket);
  }
  return buckets;
}

std::vector<Fact> FactTable::FactsInBuckets(
    const std::vector<uint32_t>& buckets,
    size_t max_bytes,
    const std::vector<Fact>& excluded) {
  std::map<std::string_view, FactVersion> excluded_versions;
  for (const Fact& fact : excluded)
    excluded_versions[fact.key] = fact.version;
  const std::lock_guard lock(mutex_);
  std::vector<Fact> facts;
  size_t bytes = 0;
  for (const auto& [key, fact] : facts_) {
    if (std::ranges::find(buckets, BucketOf(key)) == buckets.end())
      continue;
    const auto found = excluded_versions.find(key);
    if (found != excluded_versions.end() && found->second == fact.version)
      continue;
    bytes += SizeInBytes(fact);
    if (bytes > max_bytes)
      break;
    facts.push_back(fact);
  }
  return facts;
}

std::vector<Fact> FactTable::WithPrefix(std::string_view prefix) {
  const std::lock_guard lock(mutex_);
  std::vector<Fact> facts;
  for (auto it = facts_.lower_bound(prefix);
       it != facts_.end() && it->first.starts_with(prefix); ++it)
    facts.push_back(it->second);
  return facts;
}

void FactTable::Remove(const std::string& key) {
  const std::lock_guard lock(mutex_);
  const auto found = facts_.find(key);
  if (found == facts_.end())
    return;
  hashes_[BucketOf(key)] ^= HashOf(found->second);
  facts_.erase(found);
  send_counts_.erase(key);
}

size_t FactTable::size() {
  const std::lock_guard lock(mutex_);
  return facts_.size();
}

}  // namespace membership
