// Boost.Histogram behind named series, in shards by name and labels.

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

constexpr double kLowestSeconds = 0.0005;
constexpr double kHighestSeconds = 60;
constexpr unsigned kBins = 34;

using Axis = bh::axis::regular<double, bh::axis::transform::log>;
using Histogram = bh::histogram<std::tuple<Axis>>;

struct Series {
  Histogram histogram =
      bh::make_histogram(Axis(kBins, kLowestSeconds, kHighestSeconds));
  double sum = 0;
  uint64_t count = 0;
};

// Name and labels.
using SeriesKey = std::pair<std::string, std::string>;

std::string Braces(const std::string& labels, const std::string& more) {
  if (labels.empty() && more.empty())
    return "";
  const bool both = !labels.empty() && !more.empty();
  return "{" + labels + (both ? "," : "") + more + "}";
}

void AppendSeries(const SeriesKey& key,
                  const Series& series,
                  std::ostringstream& text) {
  const auto& [name, labels] = key;
  double seen = 0;
  for (auto&& bin : bh::indexed(series.histogram, bh::coverage::all)) {
    seen += *bin;
    const double upper = bin.bin().upper();
    if (std::isinf(upper))
      continue;
    std::ostringstream edge;
    edge << "le=\"" << upper << "\"";
    text << name << "_bucket" << Braces(labels, edge.str()) << " " << seen
         << "\n";
  }
  text << name << "_bucket" << Braces(labels, "le=\"+Inf\"") << " "
       << series.count << "\n"
       << name << "_sum" << Braces(labels, "") << " " << series.sum << "\n"
       << name << "_count" << Braces(labels, "") << " " << series.count << "\n";
}

}  // namespace

struct Metrics::State {
  LockStriped<std::map<SeriesKey, double>> counters;
  LockStriped<std::map<SeriesKey, Series>> histograms;
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
    Series& series = histograms[{std::string(name), std::string(labels)}];
    series.histogram(ToSeconds(duration));
    series.sum += ToSeconds(duration);
    ++series.count;
  });
}

std::string Metrics::ToPrometheusText() {
  std::map<std::string, std::ostringstream> by_name;
  std::map<std::string, std::string_view> types;
  state_->counters.ForEachStripe([&](auto& counters) {
    for (const auto& [key, value] : counters) {
      by_name[key.first] << key.first << Braces(key.second, "") << " " << value
                         << "\n";
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
