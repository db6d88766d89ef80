// Implements the replica policies.

#include "LibUpstream/replica_policy.h"

#include <algorithm>
#include <limits>

namespace upstream {

namespace {

// One in this many choices is random.
constexpr uint64_t kChoicesPerExploration = 1000;
// Used while no latency of the server is known.
constexpr double kAssumedLatencyUs = 1000;
// The cost of a failed call: it has to be repeated, which the extra load budget
// may not allow.
constexpr double kFailureCostUs = 200'000;
// A server counts as paused once it has been silent for more than this many
// times its mean latency.
constexpr double kPauseLatencyMultiple = 2;

}  // namespace

size_t RandomReplicaPolicy::Choose(std::span<const ServerView> candidates,
                                   base::Random& random) const {
  return random.Below(candidates.size());
}

double LeastExpectedWaitPolicy::ExpectedWaitUs(const ServerView& view) const {
  const auto known_latency_us = static_cast<double>(view.latency.count());
  const double latency_us =
      known_latency_us == 0 ? kAssumedLatencyUs : known_latency_us;
  const double queue = static_cast<double>(view.outstanding) / slots_;
  const auto silence_us = static_cast<double>(view.silence.count());
  // A server that has been silent for this long is paused. It is as likely as
  // not to stay silent for the same time again.
  const double pause_us =
      silence_us > kPauseLatencyMultiple * latency_us ? silence_us : 0;
  const double zone_cost_us =
      view.is_remote ? static_cast<double>(remote_cost_.count()) : 0;
  return latency_us * (1 + queue) + pause_us + zone_cost_us +
         view.failure_share * kFailureCostUs;
}

size_t LeastExpectedWaitPolicy::Choose(std::span<const ServerView> candidates,
                                       base::Random& random) const {
  const size_t offset = random.Below(candidates.size());
  if (random.Below(kChoicesPerExploration) == 0)
    return offset;
  // The random start spreads calls evenly over replicas with the same wait.
  size_t best = offset;
  double best_wait_us = std::numeric_limits<double>::max();
  for (size_t step = 0; step < candidates.size(); ++step) {
    const size_t index = (offset + step) % candidates.size();
    const double wait_us = ExpectedWaitUs(candidates[index]);
    if (wait_us < best_wait_us) {
      best = index;
      best_wait_us = wait_us;
    }
  }
  return best;
}

}  // namespace upstream
