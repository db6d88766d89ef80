// State that is split over several locks by key.

#ifndef LIBBASE_LOCK_STRIPED_H_
#define LIBBASE_LOCK_STRIPED_H_

#include <array>
#include <cstddef>
#include <functional>
#include <mutex>
#include <utility>

namespace base {

inline constexpr size_t kDefaultStripeCount = 16;

// Holds `kStripeCount` values of the type State, each with its own lock, so
// that threads that use different keys rarely wait for each other.
template <typename State, size_t kStripeCount = kDefaultStripeCount>
class LockStriped {
 public:
  // Calls `action` with the state that `key` belongs to, while holding the lock
  // of that state. Returns what `action` returns.
  template <typename Key, typename Action>
  auto With(const Key& key, Action&& action) {
    Stripe& stripe = stripes_[std::hash<Key>{}(key) % kStripeCount];
    const std::lock_guard lock(stripe.mutex);
    return std::forward<Action>(action)(stripe.state);
  }

  // Calls `action` with each state, one after the other. Since each is locked
  // only for its own call, `action` sees the states at different times.
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
