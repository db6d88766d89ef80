// State split over shards by key, each shard under its own lock.

#ifndef LIBBASE_SHARDED_H_
#define LIBBASE_SHARDED_H_

#include <array>
#include <cstddef>
#include <functional>
#include <mutex>
#include <utility>

namespace base {

inline constexpr size_t kDefaultShardCount = 16;

template <typename State, size_t kShards = kDefaultShardCount>
class Sharded {
 public:
  // Runs `action` on the shard of `key` while holding that shard's lock.
  template <typename Key, typename Action>
  auto With(const Key& key, Action&& action) {
    Shard& shard = shards_[std::hash<Key>{}(key) % kShards];
    const std::lock_guard lock(shard.mutex);
    return std::forward<Action>(action)(shard.state);
  }

  // Visits all shards one after the other; not a consistent cut.
  template <typename Action>
  void ForEachShard(Action&& action) {
    for (Shard& shard : shards_) {
      const std::lock_guard lock(shard.mutex);
      action(shard.state);
    }
  }

 private:
  struct Shard {
    std::mutex mutex;
    State state;  // Guarded by `mutex`.
  };
  std::array<Shard, kShards> shards_;
};

}  // namespace base

#endif  // LIBBASE_SHARDED_H_
