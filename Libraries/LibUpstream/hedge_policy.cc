// Hedge timing and the budget of extra load.

#include "LibUpstream/hedge_policy.h"

#include <algorithm>

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

void ExtraLoadBudget::OnPrimary(const std::string& account, double share) {
  spent_.With(account, [&](auto& accounts) {
    double& spent = accounts[account];
    spent = std::max(0.0, spent - share);
  });
}

bool ExtraLoadBudget::TrySpend(const std::string& account) {
  return spent_.With(account, [&](auto& accounts) {
    double& spent = accounts[account];
    if (spent + 1 > burst_)
      return false;
    spent += 1;
    return true;
  });
}

}  // namespace upstream
