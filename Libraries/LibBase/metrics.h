// Counters and latency histograms in the Prometheus text format.

#ifndef LIBBASE_METRICS_H_
#define LIBBASE_METRICS_H_

#include <memory>
#include <string>
#include <string_view>

#include "LibBase/time.h"

namespace base {

// A set of metrics. Safe to use from several threads.
class Metrics {
 public:
  Metrics();
  ~Metrics();

  // Adds `amount` to a counter. `labels` is empty or a list in the form of the
  // Prometheus text format, such as `upstream="a"`.
  void Increment(std::string_view name,
                 std::string_view labels,
                 double amount = 1);
  // Adds one duration to a histogram. `labels` has the same form as above.
  void Observe(std::string_view name,
               std::string_view labels,
               Duration duration);

  // Returns all metrics in the Prometheus text format.
  std::string ToPrometheusText();

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace base

#endif  // LIBBASE_METRICS_H_
