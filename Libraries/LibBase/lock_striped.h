// State that is split by key into stripes with a lock each, so that threads
// that use different keys rarely wait for each other.

#ifndef LIBBASE_LOCK_STRIPED_H_
#define LIBBASE_LOCK_STRIPED_H_

#include <array>
#include <cstddef>
#include <functional>
#include <mutex>
#include <utility>

namespace base {

inline constexpr size_t kDefaultStripeCount = 16;

template <typename State, size_t kStripeCount = kDefaultStripeCount>
class LockStriped {
 public:
  // Runs `action` on the state of the stripe that `key` hashes to, while
  // holding that stripe's lock. Several keys share a stripe.
  template <typename Key, typename Action>
  auto With(const Key& key, Action&& action) {
    Stripe& stripe = stripes_[std::hash<Key>{}(key) % kStripeCount];
    const std::lock_guard lock(stripe.mutex);
    return std::forward<Action>(action)(stripe.state);
  }

  // Runs `action` on the state of each stripe in turn. Locks only one stripe at
  // a time, so the action doesn't see a consistent snapshot of all stripes.
  template <typename Action>
  void ForEachStripe(Action&& action) {
    for (Stripe& stripe : stripes_) {
      const std::lock_guard lock(stripe.mutex);
      action(stripe.state);
    }
  }

 private:
  struct Stripe {
    std::mutex mutex;
    State state;  // Guarded by `mutex`.
  };
  std::array<Stripe, kStripeCount> stripes_;
};

}  // namespace base

#endif  // LIBBASE_LOCK_STRIPED_H_
