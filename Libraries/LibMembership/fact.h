// The messages of the gossip protocol and the facts that they carry.

#ifndef LIBMEMBERSHIP_FACT_H_
#define LIBMEMBERSHIP_FACT_H_

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace membership {

// What the epoch and the counter count depends on the kind of fact.
struct FactVersion {
  uint64_t epoch = 0;
  uint64_t counter = 0;
  // Rises when the source of the fact may give out epochs again that it gave
  // out before. 0 if it is unknown: the source has none, or the fact came
  // through a node of an earlier version.
  uint64_t era = 0;

  auto operator<=>(const FactVersion&) const = default;
};

// Returns whether `version` replaces `other`. The later era does, if both are
// known, and otherwise the higher epoch and then the higher counter.
// NOTE: This is not transitive where some of the eras are unknown.
bool IsNewer(const FactVersion& version, const FactVersion& other);

// A versioned value under a key. Every node keeps the value with the highest
// version, so facts may arrive late, more than once and in any order.
struct Fact {
  std::string key;
  FactVersion version;
  std::string value;

  auto operator<=>(const Fact&) const = default;
};

// Each fact belongs to one part of one bucket: part `p` is in bucket
// `p % kFactBucketCount`. The urgent facts are in a bucket of their own. Two
// nodes compare a hash for each bucket, then one for each part of the buckets
// that differ, and then the summaries of the facts in the parts that differ.
inline constexpr size_t kFactBucketCount = 32;
inline constexpr size_t kPartsPerBucket = 32;
inline constexpr size_t kFactPartCount = kFactBucketCount * kPartsPerBucket;
inline constexpr uint32_t kUrgentBucket = 0;
// Has kFactBucketCount elements, only that of kUrgentBucket, or none.
using BucketHashes = std::vector<uint64_t>;

// Names a fact without its key and value.
struct FactSummary {
  uint64_t key_hash = 0;
  FactVersion version;

  auto operator<=>(const FactSummary&) const = default;
};

// A message spreads rumours, or is one of the three steps of a comparison. Each
// step may also find that there is nothing left to do:
//   1. `bucket_hashes`. The reply has `wanted_buckets` and their `part_hashes`.
//      Beside rumours, this is the hash of the urgent facts only: a node that
//      the rumour of one missed must not wait until there are none left.
//   2. `compared_parts` and `summaries`. The reply has the `facts` that its
//      receiver lacks, and `wanted_facts`.
//   3. `facts` and, as an echo, `wanted_facts`.
struct GossipMessage {
  // The sender's peer address. Empty in the reply of a node that has not
  // started yet, which ignored the message.
  std::string sender_address;
  std::vector<Fact> facts;
  BucketHashes bucket_hashes;
  // In a reply: the buckets that differ.
  std::vector<uint32_t> wanted_buckets;
  // In a reply: the indices of the message's facts that were known already.
  std::vector<uint32_t> known_facts = {};
  // How many usable members the sender knows, itself included.
  size_t member_count = 0;
  // The hashes of all parts of `wanted_buckets`, kPartsPerBucket for each.
  std::vector<uint64_t> part_hashes = {};
  // Parts that differ, and the sender's facts in them.
  std::vector<uint32_t> compared_parts = {};
  std::vector<FactSummary> summaries = {};
  // Hashes of the keys of facts that the replier lacks or has in an older
  // version.
  std::vector<uint64_t> wanted_facts = {};

  bool operator==(const GossipMessage&) const = default;
};

}  // namespace membership

#endif  // LIBMEMBERSHIP_FACT_H_
