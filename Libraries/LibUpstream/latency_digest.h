// A latency histogram that returns quantiles and gives old samples less weight.

#ifndef LIBUPSTREAM_LATENCY_DIGEST_H_
#define LIBUPSTREAM_LATENCY_DIGEST_H_

#include <memory>

#include "LibBase/time.h"

namespace upstream {

class LatencyDigest {
 public:
  LatencyDigest();
  ~LatencyDigest();
  LatencyDigest(LatencyDigest&&) noexcept;
  LatencyDigest& operator=(LatencyDigest&&) noexcept;

  void Add(base::Duration latency);

  // Returns the upper edge of the bin that holds `quantile`, or zero while
  // there are too few samples.
  base::Duration Quantile(double quantile) const;

  // Returns the sum of the samples' weights after decay.
  double weight() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace upstream

#endif  // LIBUPSTREAM_LATENCY_DIGEST_H_
