// Derives the hedge delay from the latency digest of each upstream.

#include "LibUpstream/hedge_policy.h"

namespace upstream {

std::optional<base::Duration> QuantileHedgePolicy::Delay(
    const std::string& upstream) {
  const base::Duration quantile = digests_.With(upstream, [&](auto& digests) {
    return digests[upstream].Quantile(quantile_);
  });
  if (quantile == base::Duration::zero())
    return std::nullopt;
  return quantile;
}

void QuantileHedgePolicy::OnAnswer(const std::string& upstream,
                                   base::Duration latency) {
  digests_.With(upstream,
                [&](auto& digests) { digests[upstream].Add(latency); });
}

}  // namespace upstream
