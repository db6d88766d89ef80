// Which replica of a service a call goes to.

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

  // Index into `candidates`, which is not empty.
  virtual size_t Choose(std::span<const ServerView> candidates,
                        base::Random& random) const = 0;
};

// The baseline: any replica, whatever is known of it.
class RandomReplicaPolicy final : public ReplicaPolicy {
 public:
  size_t Choose(std::span<const ServerView> candidates,
                base::Random& random) const override;
};

// Expected wait by outstanding calls, decayed latency, silence and the way,
// over all replicas of the service; one in `kExplorePeriod` choices is random
// so that a replica that was slow is tried again.
class LeastExpectedWaitPolicy final : public ReplicaPolicy {
 public:
  LeastExpectedWaitPolicy(int slots, base::Duration remote_cost)
      : slots_(slots), remote_cost_(remote_cost) {}
  size_t Choose(std::span<const ServerView> candidates,
                base::Random& random) const override;

 private:
  double ExpectedWait(const ServerView& view) const;

  const int slots_;                   // Of each server; at least 1.
  const base::Duration remote_cost_;  // Added for another availability zone.
};

}  // namespace upstream

#endif  // LIBUPSTREAM_REPLICA_POLICY_H_
