// Holds work back after the process stood still, until it has heard what
// happened meanwhile: a lease-like guard against acting on old knowledge, such
// as that of a server which has begun to leave.

#ifndef LIBNODE_FRESHNESS_GATE_H_
#define LIBNODE_FRESHNESS_GATE_H_

#include <functional>
#include <mutex>
#include <vector>

#include "LibBase/scheduler.h"

namespace node {

class FreshnessGate {
 public:
  using Refresh = std::function<void(std::function<void()> done)>;

  // `refresh` learns what is new and calls back. Starts closed, since a new
  // process knows nothing. `scheduler` outlives the gate.
  FreshnessGate(base::Scheduler& scheduler, Refresh refresh);

  // Notes that the process runs. Call it more often than kPauseThreshold.
  void Tick();

  // Runs `work` at once while knowledge is fresh, else after a refresh.
  void RunWhenFresh(std::function<void()> work);

 private:
  void CloseIfPaused(base::Instant now);
  void StartRefresh();
  void OnRefreshed();

  base::Scheduler& scheduler_;
  const Refresh refresh_;
  std::mutex mutex_;
  // All guarded by `mutex_`.
  base::Instant last_tick_;
  bool is_fresh_ = false;
  bool is_refreshing_ = false;
  std::vector<std::function<void()>> waiting_work_;  // Empty while fresh.
};

}  // namespace node

#endif  // LIBNODE_FRESHNESS_GATE_H_
