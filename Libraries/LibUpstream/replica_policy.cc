// Replica policies.

#include "LibUpstream/replica_policy.h"

#include <algorithm>
#include <limits>

namespace upstream {

namespace {

constexpr uint64_t kExplorePeriod = 1000;
// Stands in while no latency is known.
constexpr double kUnknownLatencyUs = 1000;
// Of a failed call: another one has to follow, and may be beyond the budget of
// extra load.
constexpr double kFailureCostUs = 200'000;
// Multiple of its mean latency after which a silent server counts as paused.
constexpr double kPauseLatencies = 2;

}  // namespace

size_t RandomReplicaPolicy::Choose(std::span<const ServerView> candidates,
                                   base::Random& random) const {
  return random.Below(candidates.size());
}

double LeastExpectedWaitPolicy::ExpectedWait(const ServerView& view) const {
  const auto known = static_cast<double>(view.latency.count());
  const double latency = known == 0 ? kUnknownLatencyUs : known;
  const double queue = static_cast<double>(view.outstanding) / slots_;
  const auto silence = static_cast<double>(view.silence.count());
  // A server that let its calls wait this long has stopped for a while. It is
  // as likely as not to stay silent for as long again.
  const double pause = silence > kPauseLatencies * latency ? silence : 0;
  const double way =
      view.is_remote ? static_cast<double>(remote_cost_.count()) : 0;
  return latency * (1 + queue) + pause + way +
         view.failure_share * kFailureCostUs;
}

size_t LeastExpectedWaitPolicy::Choose(std::span<const ServerView> candidates,
                                       base::Random& random) const {
  const size_t offset = random.Below(candidates.size());
  if (random.Below(kExplorePeriod) == 0)
    return offset;
  // Starting at a random place keeps equal replicas equally used.
  size_t best = offset;
  double best_wait = std::numeric_limits<double>::max();
  for (size_t step = 0; step < candidates.size(); ++step) {
    const size_t index = (offset + step) % candidates.size();
    const double wait = ExpectedWait(candidates[index]);
    if (wait < best_wait) {
      best = index;
      best_wait = wait;
    }
  }
  return best;
}

}  // namespace upstream
