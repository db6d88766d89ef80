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

// Expected wait by outstanding calls and decayed latency, over all replicas
// of the service; one in `kExplorePeriod` choices is random so that a replica
// that was slow is tried again.
class LeastExpectedWaitPolicy final : public ReplicaPolicy {
 public:
  explicit LeastExpectedWaitPolicy(int slots) : slots_(slots) {}
  size_t Choose(std::span<const ServerView> candidates,
                base::Random& random) const override;

 private:
  double ExpectedWait(const ServerView& view) const;

  const int slots_;  // Of each server; at least 1.
};

}  // namespace upstream

#endif  // LIBUPSTREAM_REPLICA_POLICY_H_
