// Bounds the log lines that requests may cause on one node.

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

  // Lines that were left out since the last one, or nothing if this one has to
  // be left out too.
  std::optional<uint64_t> TryAcquire();

 private:
  base::Scheduler& scheduler_;
  std::mutex mutex_;
  // All guarded by `mutex_`.
  double lines_ = 0;  // That may be written now; refilled with time.
  base::Instant refilled_;
  uint64_t left_out_ = 0;
};

}  // namespace query

#endif  // LIBQUERY_LOG_LINE_LIMITER_H_
