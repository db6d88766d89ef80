// A decaying latency histogram that answers quantiles.

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

  // Upper edge of the bin that holds `quantile`; zero with too few samples.
  base::Duration Quantile(double quantile) const;

  // Samples still counted, after decay.
  double weight() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace upstream

#endif  // LIBUPSTREAM_LATENCY_DIGEST_H_
