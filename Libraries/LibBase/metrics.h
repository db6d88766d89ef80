// Counters and latency histograms in the Prometheus text format.

#ifndef LIBBASE_METRICS_H_
#define LIBBASE_METRICS_H_

#include <memory>
#include <string>
#include <string_view>

#include "LibBase/time.h"

namespace base {

class Metrics {
 public:
  Metrics();
  ~Metrics();

  // `labels` is empty or in Prometheus form, such as `upstream="a"`.
  void Increment(std::string_view name,
                 std::string_view labels,
                 double amount = 1);
  void Observe(std::string_view name,
               std::string_view labels,
               Duration duration);

  std::string ToPrometheusText();

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace base

#endif  // LIBBASE_METRICS_H_
