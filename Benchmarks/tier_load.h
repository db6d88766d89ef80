// Open-loop callers on a fake tier, and what they measure.

#ifndef BENCHMARKS_TIER_LOAD_H_
#define BENCHMARKS_TIER_LOAD_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "Fakes/fake_tier.h"

namespace bench {

struct Sample {
  std::string party;
  base::Instant asked;
  base::Duration took{};
  enum class End { kWhole, kPartial, kRefused, kLost } end = End::kLost;
  uint64_t primary = 0;
  uint64_t extra = 0;
};

// One of the users, scaled to one upstream.
struct Deployment {
  std::string name;
  int slots;
  int connections;
  base::Duration caller_delay;
  base::Duration deadline;
  std::string prefer;
};

const std::vector<Deployment>& Deployments();

inline constexpr int kServices = 10;
inline constexpr int kServersPerService = 3;

// Mean of the heavy-tailed service time.
base::Duration MeanServiceTime();

// Whole queries per second that all slots together can serve.
double CapacityOf(const Deployment& deployment);

class TierLoad {
 public:
  TierLoad(const Deployment& deployment,
           node::Policies policies,
           uint64_t seed,
           std::vector<fakes::PartyTerms> parties = {{"party-a"}});

  // Adds Poisson arrivals of `rate` queries per second from now on.
  // With `node` at least 0, all go to that node.
  void AddLoad(const std::string& party,
               double rate,
               base::Duration duration,
               int node = -1);
  void Run(base::Duration duration) { tier_.clock().RunFor(duration); }
  base::Instant Now() { return tier_.clock().Now(); }

  // Samples of queries asked from `begin` to `end`.
  std::vector<Sample> Between(base::Instant begin, base::Instant end) const;
  fakes::FakeTier& tier() { return tier_; }

 private:
  // A caller holds addresses for the hold time and moves on when one fails.
  struct Caller {
    std::vector<int> nodes;
    base::Instant until;
  };
  void Arrive(const std::string& party,
              double rate,
              base::Instant end,
              int node);
  void Ask(const std::string& party, int node);
  int NodeOf(Caller& caller);
  void RefreshAddresses(Caller& caller);

  const Deployment deployment_;
  fakes::FakeTier tier_;
  std::vector<Caller> callers_;
  std::vector<Sample> samples_;
  int next_text_ = 0;
};

// Milliseconds; of whole answers only.
double Percentile(const std::vector<Sample>& samples, double share);
double ExtraShare(const std::vector<Sample>& samples);
double ShareOf(const std::vector<Sample>& samples, Sample::End end);

}  // namespace bench

#endif  // BENCHMARKS_TIER_LOAD_H_
