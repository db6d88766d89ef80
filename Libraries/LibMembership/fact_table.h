// All facts that a node knows, and which of them it still spreads.

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
  // Called outside the table's lock for every fact that was news.
  using Listener = std::function<void(const Fact&)>;

  // Call before other threads use the table.
  void AddListener(Listener listener);

  // Keeps `fact` if its version is higher than the known one. Returns whether
  // it was news; news is spread further.
  bool AddIfNewer(const Fact& fact);

  // Facts still to be spread, the least spread first, up to `max_bytes` of
  // keys and values. Each is given out O(log n) times for `member_count` n.
  std::vector<Fact> TakeRumours(size_t max_bytes, size_t member_count);

  bool has_rumours();

  BucketHashes Hashes();
  // Buckets in which `theirs` differs from ours.
  std::vector<uint32_t> DifferingBuckets(const BucketHashes& theirs);
  std::vector<Fact> FactsIn(const std::vector<uint32_t>& buckets,
                            size_t max_bytes);

  std::vector<Fact> WithPrefix(std::string_view prefix);
  void Forget(const std::string& key);
  size_t size();

 private:
  std::mutex mutex_;
  std::map<std::string, Fact, std::less<>> entries_;     // Guarded by `mutex_`.
  BucketHashes hashes_ = BucketHashes(kFactBuckets, 0);  // Of `entries_`.
  std::map<std::string, uint32_t> hot_;  // Keys still spread; as above.
  std::vector<Listener> listeners_;
};

}  // namespace membership

#endif  // LIBMEMBERSHIP_FACT_TABLE_H_
