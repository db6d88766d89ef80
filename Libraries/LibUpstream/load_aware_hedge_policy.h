// Hedges early while the servers have free slots, and late while they are busy.
//
// The load pattern: servers that pause or turn slow one at a time, while the
// others are nearly idle. If more calls are slow than the share that is hedged,
// the hedge delay grows to the latency of the slow ones, and the hedges come
// too late for the objective. A second call costs nothing on an idle server; on
// a busy one it delays the first calls of others.

#ifndef LIBUPSTREAM_LOAD_AWARE_HEDGE_POLICY_H_
#define LIBUPSTREAM_LOAD_AWARE_HEDGE_POLICY_H_

#include <optional>
#include <string>
#include <unordered_map>

#include "LibBase/lock_striped.h"
#include "LibUpstream/hedge_policy.h"

namespace upstream {

// Hedges a call once it takes longer than a quantile of the upstream's recent
// latency, which depends on the mean load that the servers report. Does not
// hedge while too few latencies are known.
class LoadAwareHedgePolicy final : public HedgePolicy {
 public:
  std::optional<base::Duration> Delay(const std::string& upstream) override;
  void OnAnswer(const std::string& upstream, base::Duration latency) override;
  void OnLoadReport(const std::string& upstream,
                    const ServerLoad& load) override;

 private:
  struct Entry {
    LatencyDigest digest;
    // Decayed mean of the requests at a server, running or waiting, for each of
    // its slots. Starts as if the servers were busy.
    double mean_occupancy = 1;
  };

  base::LockStriped<std::unordered_map<std::string, Entry>> entries_;
};

}  // namespace upstream

#endif  // LIBUPSTREAM_LOAD_AWARE_HEDGE_POLICY_H_
