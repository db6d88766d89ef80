// The messages of the gossip protocol and the facts that they carry.

#ifndef LIBMEMBERSHIP_FACT_H_
#define LIBMEMBERSHIP_FACT_H_

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace membership {

// Versions are compared by epoch first. What the two numbers count depends on
// the kind of fact.
struct FactVersion {
  uint64_t epoch = 0;
  uint64_t counter = 0;

  auto operator<=>(const FactVersion&) const = default;
};

// A versioned value under a key. Every node keeps the value with the highest
// version, so facts may arrive late, more than once and in any order.
struct Fact {
  std::string key;
  FactVersion version;
  std::string value;

  auto operator<=>(const Fact&) const = default;
};

// Each fact belongs to one bucket, which the hash of its key determines. Two
// nodes compare one hash per bucket to find out which of their facts differ.
inline constexpr size_t kFactBucketCount = 32;
// Has kFactBucketCount elements or none.
using BucketHashes = std::vector<uint64_t>;

struct GossipMessage {
  std::string sender_address;  // The sender's peer address.
  std::vector<Fact> facts;
  // Hashes of the sender's buckets, sent while it has no rumours to spread, to
  // find the facts that rumours missed. The receiver replies with its facts
  // from the buckets that differ, and with the numbers of these buckets.
  BucketHashes bucket_hashes;
  // In a reply: the buckets whose facts the receiver of the hashes asks for. In
  // a message that answers such a reply: the buckets that `facts` are from.
  std::vector<uint32_t> wanted_buckets;
  // In a reply: the indices of the message's facts that were known already.
  std::vector<uint32_t> known_facts = {};
  // How many usable members the sender knows, itself included.
  size_t member_count = 0;

  bool operator==(const GossipMessage&) const = default;
};

}  // namespace membership

#endif  // LIBMEMBERSHIP_FACT_H_
