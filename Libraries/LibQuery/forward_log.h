// Metrics and log lines of forwarded requests. All requests are counted and
// timed. A request that failed, was late or lacks services gets a log line that
// describes its attempts, and so does a sample of the others. LogLineLimiter
// limits the rate of these lines.

#ifndef LIBQUERY_FORWARD_LOG_H_
#define LIBQUERY_FORWARD_LOG_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "LibBase/metrics.h"
#include "LibBase/scheduler.h"
#include "LibQuery/forward_filters.h"
#include "LibQuery/log_line_limiter.h"

namespace query {

// Returns the name of the outcome in log lines and metrics.
std::string_view ForwardOutcomeName(ForwardOutcome outcome);

// Records the metrics of each answer and logs those that need a line. Must be
// the first filter of the chain, so that it sees every answer.
class ForwardLogFilter final : public ForwardFilter {
 public:
  // `revision_age` returns how long the configuration has been in force.
  ForwardLogFilter(base::Scheduler& scheduler,
                   base::Metrics& metrics,
                   LogLineLimiter& line_limiter,
                   std::function<base::Duration()> revision_age);
  void Handle(ForwardContextPtr context, Next next) override;

 private:
  void RecordMetrics(const ForwardContext& context,
                     const ForwardAnswer& answer);
  bool ShouldLog(const ForwardContext& context, const ForwardAnswer& answer);
  void WriteLogLine(const ForwardContext& context,
                    const ForwardAnswer& answer,
                    uint64_t lines_left_out);

  base::Scheduler& scheduler_;
  base::Metrics& metrics_;
  LogLineLimiter& line_limiter_;
  const std::function<base::Duration()> revision_age_;
  std::atomic<uint64_t> request_count_{0};
};

// Logs the work that this node did for another node's request, if services are
// missing from the answer.
void LogDelegatedWork(const LeafAnswer& answer, LogLineLimiter& line_limiter);

// Counts the replies of servers with another status than 200, by status and by
// what they counted as.
void CountUnusualStatuses(const std::vector<AttemptRecord>& attempts,
                          base::Metrics& metrics);

// Describes an attempt in words, for the log line of its request.
std::string DescribeAttempt(const AttemptRecord& attempt);

}  // namespace query

#endif  // LIBQUERY_FORWARD_LOG_H_
