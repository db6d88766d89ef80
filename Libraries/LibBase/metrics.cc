// Counters and Boost.Histogram histograms, found by name and labels and kept
// under several locks.

#include "LibBase/metrics.h"

#include <boost/histogram.hpp>
#include <cmath>
#include <map>
#include <sstream>
#include <utility>

#include "LibBase/lock_striped.h"

namespace base {

namespace {

namespace bh = boost::histogram;

// The range of durations that the finite buckets of a histogram cover.
constexpr double kMinBucketSeconds = 0.0005;
constexpr double kMaxBucketSeconds = 60;
constexpr unsigned kBucketCount = 34;

using Axis = bh::axis::regular<double, bh::axis::transform::log>;
using Histogram = bh::histogram<std::tuple<Axis>>;

// The durations observed under one name and set of labels.
struct HistogramSeries {
  Histogram histogram = bh::make_histogram(
      Axis(kBucketCount, kMinBucketSeconds, kMaxBucketSeconds));
  double sum_seconds = 0;
  uint64_t count = 0;
};

// The name and the labels of a series.
using SeriesKey = std::pair<std::string, std::string>;

// Joins the labels in braces; returns an empty string if there are none.
std::string FormatLabels(const std::string& labels,
                         const std::string& extra_label) {
  if (labels.empty() && extra_label.empty())
    return "";
  const bool has_both = !labels.empty() && !extra_label.empty();
  return "{" + labels + (has_both ? "," : "") + extra_label + "}";
}

void AppendSeries(const SeriesKey& key,
                  const HistogramSeries& series,
                  std::ostringstream& text) {
  const auto& [name, labels] = key;
  double cumulative_count = 0;
  for (auto&& bin : bh::indexed(series.histogram, bh::coverage::all)) {
    cumulative_count += *bin;
    const double upper = bin.bin().upper();
    if (std::isinf(upper))
      continue;
    std::ostringstream upper_label;
    upper_label << "le=\"" << upper << "\"";
    text << name << "_bucket" << FormatLabels(labels, upper_label.str()) << " "
         << cumulative_count << "\n";
  }
  text << name << "_bucket" << FormatLabels(labels, "le=\"+Inf\"") << " "
       << series.count << "\n"
       << name << "_sum" << FormatLabels(labels, "") << " "
       << series.sum_seconds << "\n"
       << name << "_count" << FormatLabels(labels, "") << " " << series.count
       << "\n";
}

}  // namespace

struct Metrics::State {
  LockStriped<std::map<SeriesKey, double>> counters;
  LockStriped<std::map<SeriesKey, HistogramSeries>> histograms;
};

Metrics::Metrics() : state_(std::make_unique<State>()) {}
Metrics::~Metrics() = default;

void Metrics::Increment(std::string_view name,
                        std::string_view labels,
                        double amount) {
  state_->counters.With(labels, [&](auto& counters) {
    counters[{std::string(name), std::string(labels)}] += amount;
  });
}

void Metrics::Observe(std::string_view name,
                      std::string_view labels,
                      Duration duration) {
  state_->histograms.With(labels, [&](auto& histograms) {
    HistogramSeries& series =
        histograms[{std::string(name), std::string(labels)}];
    series.histogram(ToSeconds(duration));
    series.sum_seconds += ToSeconds(duration);
    ++series.count;
  });
}

std::string Metrics::ToPrometheusText() {
  std::map<std::string, std::ostringstream> by_name;
  std::map<std::string, std::string_view> types;
  state_->counters.ForEachStripe([&](auto& counters) {
    for (const auto& [key, value] : counters) {
      by_name[key.first] << key.first << FormatLabels(key.second, "") << " "
                         << value << "\n";
      types[key.first] = "counter";
    }
  });
  state_->histograms.ForEachStripe([&](auto& histograms) {
    for (const auto& [key, series] : histograms) {
      AppendSeries(key, series, by_name[key.first]);
      types[key.first] = "histogram";
    }
  });
  std::ostringstream text;
  for (const auto& [name, lines] : by_name)
    text << "# TYPE " << name << " " << types[name] << "\n" << lines.str();
  return text.str();
}

}  // namespace base
