// State split over shards by key, each shard under its own lock.

#ifndef LIBBASE_LOCK_STRIPED_H_
#define LIBBASE_LOCK_STRIPED_H_

#include <array>
#include <cstddef>
#include <functional>
#include <mutex>
#include <utility>

namespace base {

inline constexpr size_t kDefaultStripeCount = 16;

template <typename State, size_t kShards = kDefaultStripeCount>
class LockStriped {
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
  void ForEachStripe(Action&& action) {
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

#endif  // LIBBASE_LOCK_STRIPED_H_
