// Open-loop callers on a fake tier, and statistics of the queries that they
// send.

#ifndef BENCHMARKS_TIER_LOAD_H_
#define BENCHMARKS_TIER_LOAD_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "Fakes/fake_tier.h"

namespace bench {

// One query of a caller.
struct Sample {
  std::string party;
  base::Instant sent_at;
  base::Duration latency{};  // As the caller sees it.
  // A whole answer covers every shard, and a partial one lacks some. A refused
  // query is answered without results. A lost query is not answered.
  enum class Outcome {
    kWhole,
    kPartial,
    kRefused,
    kLost
  } outcome = Outcome::kLost;
  uint64_t primary = 0;  // Number of primary sub-requests.
  uint64_t extra = 0;    // Number of hedges and retries.
};

// A deployment of Examples/, scaled down to one upstream.
struct Deployment {
  std::string name;
  int slots;        // Number of slots of each server.
  int connections;  // Limit of connections to each server, over all nodes.
  base::Duration caller_delay;  // One way between a caller and a node.
  base::Duration time_allowed;
  std::string prefer;
};

const std::vector<Deployment>& Deployments();

inline constexpr int kServices = 10;
inline constexpr int kServersPerService = 3;

// Returns the mean of the heavy-tailed service time.
base::Duration MeanServiceTime();

// Returns the number of whole queries per second that all slots together can
// serve.
double CapacityOf(const Deployment& deployment);

// A fake tier with callers that send queries at random times, however many are
// still unanswered.
class TierLoad {
 public:
  TierLoad(const Deployment& deployment,
           node::Policies policies,
           uint64_t seed,
           std::vector<fakes::PartyTerms> parties = {{"party-a"}});

  // Adds Poisson arrivals of `rate` queries per second for `duration` from now
  // on. If `node` is at least 0, all queries go to that node.
  void AddLoad(const std::string& party,
               double rate,
               base::Duration duration,
               int node = -1);
  void Run(base::Duration duration) { tier_.clock().RunFor(duration); }
  base::Instant Now() { return tier_.clock().Now(); }

  // Returns the samples of the queries sent from `begin` to just before `end`.
  std::vector<Sample> SamplesBetween(base::Instant begin,
                                     base::Instant end) const;
  fakes::FakeTier& tier() { return tier_; }

 private:
  // A caller keeps the nodes that it was told of until the address hold time
  // has passed. It uses the first one and drops it if an exchange fails.
  struct Caller {
    std::vector<int> nodes;
    base::Instant expires_at;
  };
  // Schedules the next query unless it is due at `end` or later. That query
  // schedules the one after it.
  void ScheduleArrival(const std::string& party,
                       double rate,
                       base::Instant end,
                       int node);
  // Sends a query to `fixed_node`, or to the caller's choice if it is negative.
  void SendQuery(const std::string& party, int fixed_node);
  int ChooseNode(Caller& caller);
  void RefreshAddresses(Caller& caller);

  const Deployment deployment_;
  fakes::FakeTier tier_;
  std::vector<Caller> callers_;
  std::vector<Sample> samples_;
  int next_query_number_ = 0;
};

// Returns a percentile of the latency in milliseconds, of whole answers only.
// `share` is from 0 to 1.
double LatencyPercentileMs(const std::vector<Sample>& samples, double share);
// Returns the number of hedges and retries for each primary sub-request.
double ExtraLoadShare(const std::vector<Sample>& samples);
// Returns the share of samples with the outcome, from 0 to 1.
double ShareWithOutcome(const std::vector<Sample>& samples,
                        Sample::Outcome outcome);

}  // namespace bench

#endif  // BENCHMARKS_TIER_LOAD_H_
