// Decides when a second attempt of an idempotent call starts.

#ifndef LIBUPSTREAM_HEDGE_POLICY_H_
#define LIBUPSTREAM_HEDGE_POLICY_H_

#include <optional>
#include <string>
#include <unordered_map>

#include "LibBase/lock_striped.h"
#include "LibBase/time.h"
#include "LibUpstream/forwarded_request.h"
#include "LibUpstream/latency_digest.h"

namespace upstream {

class HedgePolicy {
 public:
  virtual ~HedgePolicy() = default;

  // Returns how long to wait for the first attempt before hedging, or nullopt
  // for no hedge.
  virtual std::optional<base::Duration> Delay(const std::string& upstream) = 0;
  // Records the latency of an answered attempt.
  virtual void OnAnswer(const std::string& upstream,
                        base::Duration latency) = 0;
  // Records the load that a server of the upstream has reported.
  virtual void OnLoadReport(const std::string& upstream,
                            const ServerLoad& load) = 0;
};

// A baseline for comparison: never hedges.
class NoHedgePolicy final : public HedgePolicy {
 public:
  std::optional<base::Duration> Delay(const std::string&) override {
    return std::nullopt;
  }
  void OnAnswer(const std::string&, base::Duration) override {}
  void OnLoadReport(const std::string&, const ServerLoad&) override {}
};

// Hedges a call once it takes longer than a quantile of the upstream's recent
// latency. Does not hedge while too few latencies are known.
class QuantileHedgePolicy final : public HedgePolicy {
 public:
  explicit QuantileHedgePolicy(double quantile) : quantile_(quantile) {}
  std::optional<base::Duration> Delay(const std::string& upstream) override;
  void OnAnswer(const std::string& upstream, base::Duration latency) override;
  void OnLoadReport(const std::string&, const ServerLoad&) override {}

 private:
  const double quantile_;
  base::LockStriped<std::unordered_map<std::string, LatencyDigest>> digests_;
};

}  // namespace upstream

#endif  // LIBUPSTREAM_HEDGE_POLICY_H_
