// Limits the rate of log lines that requests cause on one node.

#ifndef LIBQUERY_LOG_LINE_LIMITER_H_
#define LIBQUERY_LOG_LINE_LIMITER_H_

#include <cstdint>
#include <mutex>
#include <optional>

#include "LibBase/scheduler.h"

namespace query {

class LogLineLimiter {
 public:
  explicit LogLineLimiter(base::Scheduler& scheduler);

  // Returns how many lines were left out since the last permitted one, or
  // nothing if this line must be left out too.
  std::optional<uint64_t> TryAcquire();

 private:
  base::Scheduler& scheduler_;
  std::mutex mutex_;
  // `mutex_` guards all members below.
  double available_lines_ = 0;  // Refilled over time.
  base::Instant refilled_;
  uint64_t lines_left_out_ = 0;
};

}  // namespace query

#endif  // LIBQUERY_LOG_LINE_LIMITER_H_
