// Uses Boost.Histogram with logarithmic bins.

#include "LibUpstream/latency_digest.h"

#include <boost/histogram.hpp>

namespace upstream {

namespace {

namespace bh = boost::histogram;

constexpr double kLowestLatencyUs = 50;
constexpr double kHighestLatencyUs = 60e6;
constexpr unsigned kBinCount = 140;
// All counts are halved once their sum reaches this.
constexpr double kHalvingWeight = 2000;
// No quantile is returned while the sum of all counts is below this.
constexpr double kMinQuantileWeight = 20;

using Axis = bh::axis::regular<double, bh::axis::transform::log>;
using Histogram = bh::histogram<std::tuple<Axis>, bh::dense_storage<double>>;

}  // namespace

struct LatencyDigest::State {
  Histogram histogram = bh::make_histogram_with(
      bh::dense_storage<double>(),
      Axis(kBinCount, kLowestLatencyUs, kHighestLatencyUs));
  double weight = 0;  // The sum of all bins.
};

LatencyDigest::LatencyDigest() : state_(std::make_unique<State>()) {}
LatencyDigest::~LatencyDigest() = default;
LatencyDigest::LatencyDigest(LatencyDigest&&) noexcept = default;
LatencyDigest& LatencyDigest::operator=(LatencyDigest&&) noexcept = default;

void LatencyDigest::Add(base::Duration latency) {
  state_->histogram(static_cast<double>(latency.count()));
  state_->weight += 1;
  if (state_->weight < kHalvingWeight)
    return;
  state_->histogram *= 0.5;
  state_->weight *= 0.5;
}

base::Duration LatencyDigest::Quantile(double quantile) const {
  if (state_->weight < kMinQuantileWeight)
    return {};
  const double target_weight = quantile * state_->weight;
  double cumulative_weight = 0;
  for (auto&& bin : bh::indexed(state_->histogram, bh::coverage::all)) {
    cumulative_weight += *bin;
    if (cumulative_weight < target_weight)
      continue;
    const double upper = std::min(bin.bin().upper(), kHighestLatencyUs);
    return base::Duration(static_cast<int64_t>(upper));
  }
  return base::Duration(static_cast<int64_t>(kHighestLatencyUs));
}

double LatencyDigest::weight() const {
  return state_->weight;
}

}  // namespace upstream
