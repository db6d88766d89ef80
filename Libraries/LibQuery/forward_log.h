// What is told of forwarded requests: counters and latencies of all, a log
// line with every decision of those that ended badly, late or partly, and of a
// sample of the others.

#ifndef LIBQUERY_FORWARD_LOG_H_
#define LIBQUERY_FORWARD_LOG_H_

#include <functional>
#include <mutex>
#include <string>
#include <string_view>

#include "LibBase/metrics.h"
#include "LibBase/scheduler.h"
#include "LibQuery/forward_filters.h"

namespace query {

std::string_view ForwardOutcomeName(ForwardOutcome outcome);

// Stands first in the chain and sees each answer.
class ForwardLogFilter final : public ForwardFilter {
 public:
  // `revision_age` tells for how long the configuration has been in force.
  ForwardLogFilter(base::Scheduler& scheduler,
                   base::Metrics& metrics,
                   std::function<base::Duration()> revision_age);
  void Handle(ForwardContextPtr context, Next next) override;

 private:
  void Count(const ForwardContext& context, const ForwardAnswer& answer);
  bool ShouldLog(const ForwardContext& context, const ForwardAnswer& answer);
  bool TakeLine();
  void Write(const ForwardContext& context, const ForwardAnswer& answer);

  base::Scheduler& scheduler_;
  base::Metrics& metrics_;
  const std::function<base::Duration()> revision_age_;
  std::mutex mutex_;
  // All guarded by `mutex_`.
  uint64_t seen_ = 0;
  double lines_ = 0;  // That may be written now; refilled with time.
  base::Instant refilled_;
  uint64_t suppressed_ = 0;  // Lines since the last one written.
};

// One attempt in words, for the log line of its request.
std::string DescribeAttempt(const AttemptRecord& attempt);

}  // namespace query

#endif  // LIBQUERY_FORWARD_LOG_H_
