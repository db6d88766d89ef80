// Interpolates the quantile between those for idle and for busy servers.

#include "LibUpstream/load_aware_hedge_policy.h"

#include <algorithm>
#include <cmath>

namespace upstream {

namespace {

// The quantiles of the latency after which calls are hedged while the servers
// are idle or busy, and the occupancies that count as such.
constexpr double kIdleQuantile = 0.8;
constexpr double kBusyQuantile = 0.95;
constexpr double kIdleOccupancy = 0.25;
constexpr double kBusyOccupancy = 0.6;
// Weight of a new load report in the decayed mean.
constexpr double kOccupancySampleWeight = 0.02;

double QuantileAt(double occupancy) {
  const double busy_share = std::clamp(
      (occupancy - kIdleOccupancy) / (kBusyOccupancy - kIdleOccupancy), 0.0,
      1.0);
  return std::lerp(kIdleQuantile, kBusyQuantile, busy_share);
}

}  // namespace

std::optional<base::Duration> LoadAwareHedgePolicy::Delay(
    const std::string& upstream) {
  const base::Duration quantile = entries_.With(upstream, [&](auto& entries) {
    const Entry& entry = entries[upstream];
    return entry.digest.Quantile(QuantileAt(entry.mean_occupancy));
  });
  if (quantile == base::Duration::zero())
    return std::nullopt;
  return quantile;
}

void LoadAwareHedgePolicy::OnAnswer(const std::string& upstream,
                                    base::Duration latency) {
  entries_.With(upstream,
                [&](auto& entries) { entries[upstream].digest.Add(latency); });
}

void LoadAwareHedgePolicy::OnLoadReport(const std::string& upstream,
                                        const ServerLoad& load) {
  const double occupancy = static_cast<double>(load.running + load.waiting) /
                           std::max(load.slots, 1);
  entries_.With(upstream, [&](auto& entries) {
    double& mean = entries[upstream].mean_occupancy;
    mean += (occupancy - mean) * kOccupancySampleWeight;
  });
}

}  // namespace upstream
