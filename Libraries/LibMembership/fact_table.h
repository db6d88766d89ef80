// The facts that a node knows, and how often it has sent each of those that it
// still spreads.

#ifndef LIBMEMBERSHIP_FACT_TABLE_H_
#define LIBMEMBERSHIP_FACT_TABLE_H_

#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "LibMembership/fact.h"

namespace membership {

class FactTable {
 public:
  // Called for every fact that is added, while the table's lock is not held.
  using Listener = std::function<void(const Fact&)>;

  // Must be called before other threads use the table.
  void AddListener(Listener listener);

  // Whether this node sends a new fact to its peers. Those that a node learned
  // by comparing buckets are old: most nodes know them.
  enum class Spread { kAsRumour, kNone };
  // Adds `fact` unless the table holds the same or a higher version. Returns
  // whether it was added.
  bool AddIfNewer(const Fact& fact, Spread spread = Spread::kAsRumour);

  // Returns facts that are still to be spread, the least sent first, up to
  // `max_bytes` in total, but at least one if there is any. Each fact is
  // returned O(log n) times, where n is `member_count`.
  std::vector<Fact> TakeRumours(size_t max_bytes, size_t member_count);

  // Records that a peer knew `fact` before this node sent it, so that it needs
  // fewer sends.
  void OnKnownByPeer(const Fact& fact, size_t member_count);

  // Returns whether facts are still to be spread.
  bool has_rumours();

  BucketHashes CurrentBucketHashes();
  // Returns the buckets whose hashes in `theirs` differ from this table's.
  std::vector<uint32_t> DifferingBuckets(const BucketHashes& theirs);
  // Returns facts from `buckets`, in the order of their keys, up to `max_bytes`
  // in total. Leaves out `excluded`, in the versions given there.
  std::vector<Fact> FactsInBuckets(const std::vector<uint32_t>& buckets,
                                   size_t max_bytes,
                                   const std::vector<Fact>& excluded = {});

  // Returns the facts whose keys start with `prefix`.
  std::vector<Fact> WithPrefix(std::string_view prefix);
  void Remove(const std::string& key);
  size_t size();

 private:
  std::mutex mutex_;
  // By key. Guarded by `mutex_`.
  std::map<std::string, Fact, std::less<>> facts_;
  // Hashes of `facts_`. Guarded by `mutex_`.
  BucketHashes hashes_ = BucketHashes(kFactBucketCount, 0);
  // How often each fact that is still spread was sent, by key. Guarded by
  // `mutex_`.
  std::map<std::string, uint32_t> send_counts_;
  std::vector<Listener> listeners_;
};

}  // namespace membership

#endif  // LIBMEMBERSHIP_FACT_TABLE_H_
