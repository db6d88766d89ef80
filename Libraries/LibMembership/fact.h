// The unit of gossip: a versioned value under a key. Merging keeps the higher
// version, so facts may arrive late, twice and in any order.

#ifndef LIBMEMBERSHIP_FACT_H_
#define LIBMEMBERSHIP_FACT_H_

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace membership {

struct FactVersion {
  uint64_t epoch = 0;
  uint64_t counter = 0;

  auto operator<=>(const FactVersion&) const = default;
};

struct Fact {
  std::string key;
  FactVersion version;
  std::string value;

  auto operator<=>(const Fact&) const = default;
};

// Hashes over the facts whose keys fall into each bucket.
inline constexpr size_t kFactBuckets = 32;
using BucketHashes = std::vector<uint64_t>;  // Empty or kFactBuckets long.

struct GossipMessage {
  std::string sender_address;  // Where the sender's peers reach it.
  std::vector<Fact> facts;
  // Sent while there are no rumours, to find what they missed; the receiver
  // answers with its facts of the buckets that differ and names them.
  BucketHashes bucket_hashes;
  std::vector<uint32_t> wanted_buckets;

  bool operator==(const GossipMessage&) const = default;
};

}  // namespace membership

#endif  // LIBMEMBERSHIP_FACT_H_
