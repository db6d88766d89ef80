// When a second attempt of a repeatable call starts, and what extra load it
// may cause.

#ifndef LIBUPSTREAM_HEDGE_POLICY_H_
#define LIBUPSTREAM_HEDGE_POLICY_H_

#include <optional>
#include <string>
#include <unordered_map>

#include "LibBase/sharded.h"
#include "LibBase/time.h"
#include "LibUpstream/latency_digest.h"

namespace upstream {

class HedgePolicy {
 public:
  virtual ~HedgePolicy() = default;

  // How long to wait for the first attempt; nothing means never hedge.
  virtual std::optional<base::Duration> Delay(const std::string& upstream) = 0;
  virtual void OnAnswer(const std::string& upstream,
                        base::Duration latency) = 0;
};

// The baseline.
class NoHedgePolicy final : public HedgePolicy {
 public:
  std::optional<base::Duration> Delay(const std::string&) override {
    return std::nullopt;
  }
  void OnAnswer(const std::string&, base::Duration) override {}
};

// Hedges past a quantile of the upstream's own recent latency.
class QuantileHedgePolicy final : public HedgePolicy {
 public:
  explicit QuantileHedgePolicy(double quantile) : quantile_(quantile) {}
  std::optional<base::Duration> Delay(const std::string& upstream) override;
  void OnAnswer(const std::string& upstream, base::Duration latency) override;

 private:
  const double quantile_;
  base::Sharded<std::unordered_map<std::string, LatencyDigest>> digests_;
};

// Extra sub-requests (hedges and retries together) as a share of primary
// ones, for each party and upstream.
class ExtraLoadBudget {
 public:
  // `burst` extra sub-requests may be spent before any was earned.
  explicit ExtraLoadBudget(double burst) : burst_(burst) {}

  void OnPrimary(const std::string& account, double share);
  bool TrySpend(const std::string& account);

 private:
  const double burst_;
  // Tokens spent below the initial burst; at most `burst_` remain unused.
  base::Sharded<std::unordered_map<std::string, double>> spent_;
};

}  // namespace upstream

#endif  // LIBUPSTREAM_HEDGE_POLICY_H_
