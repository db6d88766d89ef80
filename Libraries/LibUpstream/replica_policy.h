// Chooses the replica of a service that a call is sent to.

#ifndef LIBUPSTREAM_REPLICA_POLICY_H_
#define LIBUPSTREAM_REPLICA_POLICY_H_

#include <cstddef>
#include <memory>
#include <span>

#include "LibBase/random.h"
#include "LibUpstream/server_table.h"

namespace upstream {

class ReplicaPolicy {
 public:
  virtual ~ReplicaPolicy() = default;

  // Returns an index into `candidates`, which must not be empty.
  virtual size_t Choose(std::span<const ServerView> candidates,
                        base::Random& random) const = 0;
};

// A baseline for comparison: chooses any replica with equal probability.
class RandomReplicaPolicy final : public ReplicaPolicy {
 public:
  size_t Choose(std::span<const ServerView> candidates,
                base::Random& random) const override;
};

// Chooses the replica with the shortest expected wait, which is estimated from
// its outstanding calls, decayed latency, silence, share of failed calls and
// availability zone. One in `kChoicesPerExploration` choices is random, so that
// a replica that was slow is tried again.
class LeastExpectedWaitPolicy final : public ReplicaPolicy {
 public:
  LeastExpectedWaitPolicy(int slots, base::Duration remote_cost)
      : slots_(slots), remote_cost_(remote_cost) {}
  size_t Choose(std::span<const ServerView> candidates,
                base::Random& random) const override;

 private:
  double ExpectedWaitUs(const ServerView& view) const;

  const int slots_;  // Requests that each server runs at once; at least 1.
  // Added to the expected wait for a server in another availability zone.
  const base::Duration remote_cost_;
};

}  // namespace upstream

#endif  // LIBUPSTREAM_REPLICA_POLICY_H_
