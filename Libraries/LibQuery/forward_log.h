// What is told of forwarded requests: counters and latencies of all, a log
// line with every decision of those that ended badly, late or partly, and of a
// sample of the others.

#ifndef LIBQUERY_FORWARD_LOG_H_
#define LIBQUERY_FORWARD_LOG_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "LibBase/metrics.h"
#include "LibBase/scheduler.h"
#include "LibQuery/forward_filters.h"
#include "LibQuery/line_limiter.h"

namespace query {

std::string_view ForwardOutcomeName(ForwardOutcome outcome);

// Stands first in the chain and sees each answer.
class ForwardLogFilter final : public ForwardFilter {
 public:
  // `revision_age` tells for how long the configuration has been in force.
  ForwardLogFilter(base::Scheduler& scheduler,
                   base::Metrics& metrics,
                   LineLimiter& lines,
                   std::function<base::Duration()> revision_age);
  void Handle(ForwardContextPtr context, Next next) override;

 private:
  void Count(const ForwardContext& context, const ForwardAnswer& answer);
  bool ShouldLog(const ForwardContext& context, const ForwardAnswer& answer);
  void Write(const ForwardContext& context,
             const ForwardAnswer& answer,
             uint64_t left_out);

  base::Scheduler& scheduler_;
  base::Metrics& metrics_;
  LineLimiter& lines_;
  const std::function<base::Duration()> revision_age_;
  std::atomic<uint64_t> seen_{0};
};

// Writes what this node did for another one's request, if services are missing.
void LogDelegatedWork(const LeafAnswer& answer, LineLimiter& lines);

// One attempt in words, for the log line of its request.
std::string DescribeAttempt(const AttemptRecord& attempt);

}  // namespace query

#endif  // LIBQUERY_FORWARD_LOG_H_
