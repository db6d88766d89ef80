// Boost.Histogram over logarithmic bins; all counts halve when it is full.

#include "LibUpstream/latency_digest.h"

#include <boost/histogram.hpp>

namespace upstream {

namespace {

namespace bh = boost::histogram;

constexpr double kLowestUs = 50;
constexpr double kHighestUs = 60e6;
constexpr unsigned kBins = 140;
constexpr double kDecayWeight = 2000;
constexpr double kLeastWeight = 20;

using Axis = bh::axis::regular<double, bh::axis::transform::log>;
using Histogram = bh::histogram<std::tuple<Axis>, bh::dense_storage<double>>;

}  // namespace

struct LatencyDigest::State {
  Histogram histogram =
      bh::make_histogram_with(bh::dense_storage<double>(),
                              Axis(kBins, kLowestUs, kHighestUs));
  double weight = 0;  // Sum of all bins.
};

LatencyDigest::LatencyDigest() : state_(std::make_unique<State>()) {}
LatencyDigest::~LatencyDigest() = default;
LatencyDigest::LatencyDigest(LatencyDigest&&) noexcept = default;
LatencyDigest& LatencyDigest::operator=(LatencyDigest&&) noexcept = default;

void LatencyDigest::Add(base::Duration latency) {
  state_->histogram(static_cast<double>(latency.count()));
  state_->weight += 1;
  if (state_->weight < kDecayWeight)
    return;
  state_->histogram *= 0.5;
  state_->weight *= 0.5;
}

base::Duration LatencyDigest::Quantile(double quantile) const {
  if (state_->weight < kLeastWeight)
    return {};
  const double wanted = quantile * state_->weight;
  double seen = 0;
  for (auto&& bin : bh::indexed(state_->histogram, bh::coverage::all)) {
    seen += *bin;
    if (seen < wanted)
      continue;
    const double upper = std::min(bin.bin().upper(), kHighestUs);
    return base::Duration(static_cast<int64_t>(upper));
  }
  return base::Duration(static_cast<int64_t>(kHighestUs));
}

double LatencyDigest::weight() const {
  return state_->weight;
}

}  // namespace upstream
