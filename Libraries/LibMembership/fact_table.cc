// Rumour mongering with feedback and a bounded number of sends, and
// anti-entropy by hashes (Demers et al., "Epidemic algorithms for replicated
// database maintenance", 1987, sections 1.3 and 1.4). The hashes form a tree of
// two levels (Merkle, "A digital signature based on a conventional encryption
// function", 1987), whose leaves are compared by the versions of their facts,
// so that only facts that differ are sent.

#include "LibMembership/fact_table.h"

#include <algorithm>
#include <bit>
#include <iterator>
#include <unordered_map>
#include <unordered_set>
#include <utility>

#include "LibBase/random.h"
#include "LibMembership/member_codec.h"

namespace membership {

namespace {

// Added to the logarithm of the member count. Members that a fact does not
// reach with this number of sends get it by a comparison.
constexpr uint32_t kExtraSendsPerFact = 1;
// A peer that knew a fact already counts as this many further sends. Most peers
// know a fact once two of them did.
constexpr uint32_t kSendsPerKnownFact = 3;

// An era of 0 leaves the hash as it is on nodes of earlier versions.
constexpr uint64_t kEraHashFactor = 0x9e3779b97f4a7c15;

uint32_t MaxSends(size_t member_count) {
  return kExtraSendsPerFact +
         static_cast<uint32_t>(std::bit_width(member_count));
}

// Hashes the key and the version, not the value.
uint64_t HashOf(const Fact& fact) {
  const FactVersion& version = fact.version;
  return base::StableHash(fact.key, base::Mix(version.epoch) ^ version.counter ^
                                        kEraHashFactor * version.era);
}

size_t SizeInBytes(const Fact& fact) {
  return fact.key.size() + fact.value.size() + sizeof(FactVersion);
}

}  // namespace

FactTable::FactTable(std::vector<std::string> urgent_prefixes)
    : urgent_prefixes_(std::move(urgent_prefixes)) {}

void FactTable::AddListener(Listener listener) {
  listeners_.push_back(std::move(listener));
}

bool FactTable::IsUrgent(std::string_view key) const {
  return key.starts_with(kMemberFactPrefix) ||
         std::ranges::any_of(urgent_prefixes_, [&](const std::string& prefix) {
           return key.starts_with(prefix);
         });
}

uint32_t FactTable::PartOf(std::string_view key, uint64_t key_hash) const {
  static_assert(kUrgentBucket == 0);
  const uint64_t bucket =
      IsUrgent(key) ? kUrgentBucket : 1 + key_hash % (kFactBucketCount - 1);
  const uint64_t part_of_bucket =
      key_hash / (kFactBucketCount - 1) % kPartsPerBucket;
  return static_cast<uint32_t>(bucket + part_of_bucket * kFactBucketCount);
}

bool FactTable::AddIfNewer(const Fact& fact, Spread spread) {
  const uint64_t key_hash = base::StableHash(fact.key);
  const uint32_t part = PartOf(fact.key, key_hash);
  {
    const std::lock_guard lock(mutex_);
    const auto found = facts_.find(fact.key);
    if (found != facts_.end() &&
        !IsNewer(fact.version, found->second.fact.version))
      return false;
    uint64_t& part_hash = part_hashes_[part];
    if (found != facts_.end())
      part_hash ^= HashOf(found->second.fact);
    part_hash ^= HashOf(fact);
    facts_.insert_or_assign(fact.key, Entry{fact, key_hash, part});
    if (spread == Spread::kAsRumour)
      rumours_[fact.key] = {0, next_rumour_number_++};
  }
  for (const Listener& listener : listeners_)
    listener(fact);
  return true;
}

std::vector<const FactTable::Entry*> FactTable::FillPage(
    std::vector<Candidate> candidates,
    size_t max_bytes) {
  std::ranges::sort(candidates, {}, &Candidate::order);
  const auto others = std::stable_partition(
      candidates.begin(), candidates.end(),
      [](const Candidate& candidate) { return candidate.entry->is_urgent(); });
  std::vector<const Entry*> page;
  size_t bytes = 0;
  // Adds the candidates from `next` on up to `limit`, and returns the first one
  // that did not fit.
  const auto add = [&](auto next, auto end, size_t limit) {
    for (; next != end; ++next) {
      const size_t size = SizeInBytes(next->entry->fact);
      if (bytes + size > limit && !page.empty())
        break;
      bytes += size;
      page.push_back(next->entry);
    }
    return next;
  };
  const auto left = add(candidates.begin(), others,
                        others == candidates.end() ? max_bytes : max_bytes / 2);
  add(others, candidates.end(), max_bytes);
  add(left, others, max_bytes);
  return page;
}

std::vector<Fact> FactTable::FillShuffledPage(
    const std::vector<const Entry*>& entries,
    size_t max_bytes,
    uint64_t seed) {
  std::vector<Candidate> candidates;
  for (const Entry* entry : entries)
    candidates.push_back({entry, {base::Mix(entry->key_hash ^ seed), 0}});
  std::vector<Fact> page;
  std::ranges::transform(FillPage(std::move(candidates), max_bytes),
                         std::back_inserter(page),
                         [](const Entry* entry) { return entry->fact; });
  return page;
}

std::vector<Fact> FactTable::TakeRumours(size_t max_bytes,
                                         size_t member_count) {
  const uint32_t max_sends = MaxSends(member_count);
  const std::lock_guard lock(mutex_);
  std::vector<Candidate> candidates;
  for (const auto& [key, rumour] : rumours_)
    candidates.push_back(
        {&facts_.find(key)->second, {rumour.send_count, rumour.number}});
  std::vector<Fact> taken;
  for (const Entry* entry : FillPage(std::move(candidates), max_bytes)) {
    taken.push_back(entry->fact);
    const auto rumour = rumours_.find(entry->fact.key);
    if (++rumour->second.send_count >= max_sends)
      rumours_.erase(rumour);
  }
  return taken;
}

void FactTable::OnKnownByPeer(const Fact& fact, size_t member_count) {
  const std::lock_guard lock(mutex_);
  const auto rumour = rumours_.find(fact.key);
  if (rumour == rumours_.end() ||
      facts_.find(fact.key)->second.fact.version != fact.version)
    return;
  rumour->second.send_count += kSendsPerKnownFact;
  if (rumour->second.send_count >= MaxSends(member_count))
    rumours_.erase(rumour);
}

bool FactTable::has_rumours() {
  const std::lock_guard lock(mutex_);
  return !rumours_.empty();
}

BucketHashes FactTable::CurrentBucketHashes() {
  BucketHashes hashes(kFactBucketCount, 0);
  const std::lock_guard lock(mutex_);
  for (size_t part = 0; part < kFactPartCount; ++part)
    hashes[part % kFactBucketCount] ^= part_hashes_[part];
  return hashes;
}

BucketHashes FactTable::UrgentBucketHash() {
  return {CurrentBucketHashes()[kUrgentBucket]};
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

std::vector<uint64_t> FactTable::PartHashes(
    const std::vector<uint32_t>& buckets) {
  std::vector<uint64_t> hashes;
  const std::lock_guard lock(mutex_);
  for (const uint32_t bucket : buckets) {
    for (size_t i = 0; i < kPartsPerBucket; ++i)
      hashes.push_back(
          part_hashes_[bucket % kFactBucketCount + i * kFactBucketCount]);
  }
  return hashes;
}

std::vector<uint32_t> FactTable::DifferingParts(
    const std::vector<uint32_t>& buckets,
    const std::vector<uint64_t>& theirs) {
  const std::vector<uint64_t> ours = PartHashes(buckets);
  if (theirs.size() != ours.size())
    return {};
  std::vector<uint32_t> parts;
  for (size_t i = 0; i < ours.size(); ++i) {
    if (ours[i] != theirs[i])
      parts.push_back(
          buckets[i / kPartsPerBucket] % kFactBucketCount +
          static_cast<uint32_t>(i % kPartsPerBucket * kFactBucketCount));
  }
  return parts;
}

PartSummaries FactTable::Summarize(const std::vector<uint32_t>& parts,
                                   size_t max_facts,
                                   uint64_t start) {
  PartSummaries result;
  if (parts.empty())
    return result;
  std::unordered_map<uint32_t, std::vector<FactSummary>> by_part;
  for (const uint32_t part : parts)
    by_part[part];
  {
    const std::lock_guard lock(mutex_);
    for (const auto& [key, entry] : facts_) {
      const auto found = by_part.find(entry.part);
      if (found != by_part.end())
        found->second.push_back({entry.key_hash, entry.fact.version});
    }
  }
  for (size_t i = 0; i < parts.size(); ++i) {
    const uint32_t part = parts[(start + i) % parts.size()];
    const std::vector<FactSummary>& facts = by_part[part];
    if (!result.parts.empty() && result.facts.size() + facts.size() > max_facts)
      break;
    result.parts.push_back(part);
    std::ranges::copy(facts, std::back_inserter(result.facts));
  }
  return result;
}

FactDifference FactTable::Compare(const PartSummaries& theirs,
                                  size_t max_bytes,
                                  uint64_t seed) {
  const std::unordered_set<uint32_t> parts(theirs.parts.begin(),
                                           theirs.parts.end());
  std::unordered_map<uint64_t, FactVersion> outdated;
  for (const FactSummary& fact : theirs.facts)
    outdated[fact.key_hash] = fact.version;
  FactDifference difference;
  const std::lock_guard lock(mutex_);
  std::vector<const Entry*> newer;
  for (const auto& [key, entry] : facts_) {
    if (!parts.contains(entry.part))
      continue;
    const auto found = outdated.find(entry.key_hash);
    if (found == outdated.end() || IsNewer(entry.fact.version, found->second))
      newer.push_back(&entry);
    if (found != outdated.end() && !IsNewer(found->second, entry.fact.version))
      outdated.erase(found);
  }
  for (const auto& [key_hash, version] : outdated)
    difference.outdated.push_back(key_hash);
  difference.newer = FillShuffledPage(newer, max_bytes, seed);
  return difference;
}

std::vector<Fact> FactTable::WithKeyHashes(
    const std::vector<uint64_t>& key_hashes,
    size_t max_bytes,
    uint64_t seed) {
  const std::unordered_set<uint64_t> wanted(key_hashes.begin(),
                                            key_hashes.end());
  const std::lock_guard lock(mutex_);
  std::vector<const Entry*> found;
  for (const auto& [key, entry] : facts_) {
    if (wanted.contains(entry.key_hash))
      found.push_back(&entry);
  }
  return FillShuffledPage(found, max_bytes, seed);
}

std::vector<Fact> FactTable::WithPrefix(std::string_view prefix) {
  const std::lock_guard lock(mutex_);
  std::vector<Fact> facts;
  for (auto it = facts_.lower_bound(prefix);
       it != facts_.end() && it->first.starts_with(prefix); ++it)
    facts.push_back(it->second.fact);
  return facts;
}

void FactTable::Remove(const std::string& key) {
  const std::lock_guard lock(mutex_);
  const auto found = facts_.find(key);
  if (found == facts_.end())
    return;
  part_hashes_[found->second.part] ^= HashOf(found->second.fact);
  facts_.erase(found);
  rumours_.erase(key);
}

size_t FactTable::size() {
  const std::lock_guard lock(mutex_);
  return facts_.size();
}

}  // namespace membership
