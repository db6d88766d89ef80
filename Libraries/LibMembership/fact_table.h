// The facts that a node knows, and how often it has sent each of those that it
// still spreads.

#ifndef LIBMEMBERSHIP_FACT_TABLE_H_
#define LIBMEMBERSHIP_FACT_TABLE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "LibMembership/fact.h"

namespace membership {

// The facts of some parts.
struct PartSummaries {
  std::vector<uint32_t> parts;
  std::vector<FactSummary> facts;

  bool operator==(const PartSummaries&) const = default;
};

// How the facts of two tables differ.
struct FactDifference {
  std::vector<Fact> newer;         // Facts that the other table lacks.
  std::vector<uint64_t> outdated;  // Key hashes of those that this one lacks.

  bool operator==(const FactDifference&) const = default;
};

class FactTable {
 public:
  // Facts about members, and those whose keys start with one of
  // `urgent_prefixes`, are sent before others: without them a node can't work
  // with its peers. There must be few of them.
  explicit FactTable(std::vector<std::string> urgent_prefixes = {});

  // Called for every fact that is added, while the table's lock is not held.
  using Listener = std::function<void(const Fact&)>;

  // Must be called before other threads use the table.
  void AddListener(Listener listener);

  // Whether this node sends a new fact to its peers. Those that a node learned
  // by a comparison are old: most nodes know them.
  enum class Spread { kAsRumour, kNone };
  // Adds `fact` unless the table holds the same or a higher version. Returns
  // whether it was added.
  bool AddIfNewer(const Fact& fact, Spread spread = Spread::kAsRumour);

  // Returns facts that are still to be spread, up to `max_bytes` in total, but
  // at least one if there is any: first urgent ones, then the least sent, then
  // the oldest. Urgent facts leave half of the bytes to the others, if there
  // are any. Each fact is returned O(log n) times, where n is `member_count`.
  std::vector<Fact> TakeRumours(size_t max_bytes, size_t member_count);

  // Records that a peer knew `fact` before this node sent it, so that it needs
  // fewer sends.
  void OnKnownByPeer(const Fact& fact, size_t member_count);

  // Returns whether facts are still to be spread.
  bool has_rumours();

  BucketHashes CurrentBucketHashes();
  // Returns only the hash of kUrgentBucket.
  BucketHashes UrgentBucketHash();
  // Returns the buckets whose hashes in `theirs` differ from this table's.
  std::vector<uint32_t> DifferingBuckets(const BucketHashes& theirs);
  // Returns the hashes of all parts of `buckets`.
  std::vector<uint64_t> PartHashes(const std::vector<uint32_t>& buckets);
  // Returns the parts of `buckets` whose hashes in `theirs` differ from this
  // table's. Returns none if `theirs` has not kPartsPerBucket for each bucket.
  std::vector<uint32_t> DifferingParts(const std::vector<uint32_t>& buckets,
                                       const std::vector<uint64_t>& theirs);
  // Returns the summaries of all facts in as many of `parts` as have at most
  // `max_facts` in total, but at least one part. Parts are taken in a circle
  // that begins at a part given by `start`, so that none is always left out.
  PartSummaries Summarize(const std::vector<uint32_t>& parts,
                          size_t max_facts,
                          uint64_t start);
  // Compares the facts of a peer with this table's facts in the same parts. The
  // newer facts are limited like rumours, and taken in an order given by
  // `seed`.
  FactDifference Compare(const PartSummaries& theirs,
                         size_t max_bytes,
                         uint64_t seed);
  // Returns the facts whose keys have one of these hashes, limited like
  // rumours, and taken in an order given by `seed`.
  std::vector<Fact> WithKeyHashes(const std::vector<uint64_t>& key_hashes,
                                  size_t max_bytes,
                                  uint64_t seed);

  // Returns the facts whose keys start with `prefix`.
  std::vector<Fact> WithPrefix(std::string_view prefix);
  void Remove(const std::string& key);
  size_t size();

 private:
  struct Entry {
    Fact fact;
    uint64_t key_hash = 0;
    uint32_t part = 0;

    bool is_urgent() const { return part % kFactBucketCount == kUrgentBucket; }
  };
  struct Rumour {
    uint32_t send_count = 0;
    uint64_t number = 0;  // Rises with each fact that is added.
  };
  // A fact that may be sent. Those with a smaller `order` go first.
  struct Candidate {
    const Entry* entry = nullptr;
    std::pair<uint64_t, uint64_t> order;
  };

  bool IsUrgent(std::string_view key) const;
  // Returns the part of the fact with this key.
  uint32_t PartOf(std::string_view key, uint64_t key_hash) const;
  // Returns the candidates that fit into `max_bytes`, in the order in which
  // they are to be sent.
  static std::vector<const Entry*> FillPage(std::vector<Candidate> candidates,
                                            size_t max_bytes);
  // Does the same with facts whose order is given by `seed`.
  static std::vector<Fact> FillShuffledPage(
      const std::vector<const Entry*>& entries,
      size_t max_bytes,
      uint64_t seed);

  const std::vector<std::string> urgent_prefixes_;
  std::mutex mutex_;
  // By key. Guarded by `mutex_`.
  std::map<std::string, Entry, std::less<>> facts_;
  // The XOR of the hashes of the facts in each part. Guarded by `mutex_`.
  std::vector<uint64_t> part_hashes_ = std::vector<uint64_t>(kFactPartCount, 0);
  // The facts that are still spread, by key. Guarded by `mutex_`.
  std::map<std::string, Rumour, std::less<>> rumours_;
  uint64_t next_rumour_number_ = 0;  // Guarded by `mutex_`.
  std::vector<Listener> listeners_;
};

}  // namespace membership

#endif  // LIBMEMBERSHIP_FACT_TABLE_H_
