// Delays work after the process was paused, until it has learned what happened
// in the meantime. Like a lease, this prevents the process from acting on
// outdated knowledge, for instance from calling a server that has begun to
// leave.

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

  // `refresh` fetches what is new and then calls `done`. The gate is closed at
  // first, since a new process knows nothing. `scheduler` outlives the gate.
  FreshnessGate(base::Scheduler& scheduler, Refresh refresh);

  // Records that the process is running. Call it at intervals shorter than
  // kPauseThreshold: a longer interval counts as a pause.
  void Tick();

  // Runs `work` at once if the process's knowledge is fresh, otherwise after a
  // refresh.
  void RunWhenFresh(std::function<void()> work);

 private:
  void CloseIfPaused(base::Instant now);
  void StartRefresh();
  // Runs the waiting work, or refreshes again if the process was paused during
  // the refresh.
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
