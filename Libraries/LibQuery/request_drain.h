// Ends the requests of a stopping node in time.
//
// A node that is told to stop goes on answering requests for a while, since
// callers may still hold its address. What it takes then must be answered
// before the process is killed: a request that may be run only once has no
// known outcome if its connection is cut. A request that is refused as not run,
// in contrast, can be sent to another node at once.

#ifndef LIBQUERY_REQUEST_DRAIN_H_
#define LIBQUERY_REQUEST_DRAIN_H_

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>

#include "LibBase/scheduler.h"
#include "LibQuery/recent_durations.h"

namespace query {

// Requests that were affected by the end of a drain.
struct DrainCounts {
  uint64_t refused = 0;    // They were not expected to end in time.
  uint64_t cancelled = 0;  // They were still running at the end.

  bool operator==(const DrainCounts&) const = default;
};

// Decides which requests a stopping node takes, and cancels those that are left
// at the end. All functions may be called on any thread.
class RequestDrain {
 public:
  enum class RequestId : uint64_t {};
  using CancelFunction = std::function<void()>;

  // `scheduler` outlives the drain.
  explicit RequestDrain(base::Scheduler& scheduler) : scheduler_(scheduler) {}

  // From now on takes only requests that are expected to end before `end`, and
  // cancels at `end` those that still run. Only the first call has an effect.
  void Begin(base::Instant end);

  // Returns an id if the request is taken, otherwise nothing. `cancel` makes a
  // request that was taken end soon; it is called without a lock, and not after
  // OnEnded has returned, unless it had begun before.
  std::optional<RequestId> TryTake(const std::string& route,
                                   base::Instant deadline,
                                   CancelFunction cancel);
  void OnEnded(RequestId id);

  DrainCounts counts();

 private:
  struct RunningRequest {
    std::string route;
    base::Instant started;
    CancelFunction cancel;
  };

  // Returns how long a request of the route may take, as far as is known.
  // Requires `mutex_` to be held.
  base::Duration ExpectedDuration(const std::string& route, base::Instant now);
  // Requires `mutex_` to be held.
  void ForgetUnusedRoutes(base::Instant now);
  void CancelRunning();

  base::Scheduler& scheduler_;
  std::mutex mutex_;
  // All guarded by `mutex_`.
  std::optional<base::Instant> end_;  // Set once the drain has begun.
  uint64_t next_id_ = 1;
  std::map<RequestId, RunningRequest> running_;
  std::map<std::string, RecentDurations> durations_;  // By route.
  base::Instant next_cleanup_{};                      // Of `durations_`.
  DrainCounts counts_;
};

}  // namespace query

#endif  // LIBQUERY_REQUEST_DRAIN_H_
