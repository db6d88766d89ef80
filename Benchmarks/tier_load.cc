// Implements open-loop callers on a fake tier.

#include "tier_load.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>

namespace bench {

using nlohmann::json;

namespace {

// The service time has a bounded Pareto distribution: half of all calls take
// less than 6 ms, and one in a thousand takes more than 150 ms.
constexpr double kMinServiceMs = 4;
constexpr double kMaxServiceMs = 200;
constexpr double kParetoShape = 1.8;
constexpr int kCallerCount = 60;
constexpr base::Duration kAddressHold = std::chrono::seconds(3);

base::Duration FromMilliseconds(double ms) {
  return base::Duration(static_cast<int64_t>(ms * 1000));
}

base::Duration SampleServiceTime(base::Random& random) {
  const double ratio = std::pow(kMinServiceMs / kMaxServiceMs, kParetoShape);
  const double u = random.Fraction();
  return FromMilliseconds(kMinServiceMs /
                          std::pow(1 - u * (1 - ratio), 1 / kParetoShape));
}

fakes::TierShape ShapeOf(const Deployment& deployment,
                         node::Policies policies,
                         std::vector<fakes::PartyTerms> parties) {
  fakes::TierShape shape;
  shape.services = kServices;
  shape.servers_per_service = kServersPerService;
  shape.slots = deployment.slots;
  shape.connections = deployment.connections;
  shape.time_allowed = deployment.time_allowed;
  shape.policies = policies;
  shape.parties = std::move(parties);
  shape.service_time = SampleServiceTime;
  for (fakes::PartyTerms& terms : shape.parties)
    terms.prefer = deployment.prefer;
  return shape;
}

}  // namespace

const std::vector<Deployment>& Deployments() {
  static const std::vector<Deployment> kDeployments = {
      {"sljeme-najam", 2, 25, std::chrono::milliseconds(1),
       std::chrono::milliseconds(800), "latency"},
      {"nabiralnica-vrtovi", 3, 30, std::chrono::milliseconds(3),
       std::chrono::milliseconds(1500), "coverage"}};
  return kDeployments;
}

base::Duration MeanServiceTime() {
  const double ratio = std::pow(kMinServiceMs / kMaxServiceMs, kParetoShape);
  const double mean = std::pow(kMinServiceMs, kParetoShape) / (1 - ratio) *
                      kParetoShape / (kParetoShape - 1) *
                      (std::pow(kMinServiceMs, 1 - kParetoShape) -
                       std::pow(kMaxServiceMs, 1 - kParetoShape));
  return FromMilliseconds(mean);
}

double CapacityOf(const Deployment& deployment) {
  return deployment.slots * kServersPerService /
         base::ToSeconds(MeanServiceTime());
}

TierLoad::TierLoad(const Deployment& deployment,
                   node::Policies policies,
                   uint64_t seed,
                   std::vector<fakes::PartyTerms> parties)
    : deployment_(deployment),
      tier_(ShapeOf(deployment, policies, std::move(parties)), seed),
      callers_(kCallerCount) {
  tier_.Start();
}

void TierLoad::AddLoad(const std::string& party,
                       double rate,
                       base::Duration duration,
                       int node) {
  ScheduleArrival(party, rate, Now() + duration, node);
}

void TierLoad::ScheduleArrival(const std::string& party,
                               double rate,
                               base::Instant end,
                               int node) {
  const double gap = -std::log(1 - tier_.random().Fraction()) / rate;
  const auto wait = FromMilliseconds(gap * 1000);
  if (Now() + wait >= end)
    return;
  tier_.clock().After(wait, [this, party, rate, end, node] {
    SendQuery(party, node);
    ScheduleArrival(party, rate, end, node);
  });
}

// Asks the first node that runs, from a random one on, for caller addresses.
void TierLoad::RefreshAddresses(Caller& caller) {
  caller.nodes.clear();
  caller.expires_at = Now() + kAddressHold;
  const int count = tier_.node_count();
  const auto first =
      static_cast<int>(tier_.random().Below(static_cast<uint64_t>(count)));
  for (int i = 0; i < count; ++i) {
    const int node = (first + i) % count;
    if (!tier_.IsRunning(node))
      continue;
    const auto addresses =
        tier_.core(node).views().Current()->SampleCallerAddresses(
            3, tier_.random());
    for (const std::string& address : addresses)
      caller.nodes.push_back(std::stoi(address.substr(7)) - 1);
    return;
  }
}

int TierLoad::ChooseNode(Caller& caller) {
  if (caller.nodes.empty() || Now() >= caller.expires_at)
    RefreshAddresses(caller);
  return caller.nodes.empty() ? 0 : caller.nodes.front();
}

void TierLoad::SendQuery(const std::string& party, int fixed_node) {
  const size_t caller_index = tier_.random().Below(callers_.size());
  const int node =
      fixed_node >= 0 ? fixed_node : ChooseNode(callers_[caller_index]);
  const size_t sample_index = samples_.size();
  samples_.push_back({party, Now()});
  const base::Duration one_way_delay = deployment_.caller_delay;
  tier_.clock().After(one_way_delay, [this, party, node, sample_index,
                                      caller_index, one_way_delay] {
    tier_.SendRequest(node,
                      fakes::FakeTier::QueryRequest(
                          party, "q" + std::to_string(next_query_number_++)),
                      [this, sample_index, caller_index,
                       one_way_delay](const auto& response) {
                        Sample& sample = samples_[sample_index];
                        sample.latency = Now() + one_way_delay - sample.sent_at;
                        if (!response) {
                          // The caller goes on to the next node it holds.
                          auto& nodes = callers_[caller_index].nodes;
                          if (!nodes.empty())
                            nodes.erase(nodes.begin());
                          return;
                        }
                        const json body = json::parse(response->body);
                        if (body["outcome"] != "answered") {
                          sample.outcome = Sample::Outcome::kRefused;
                          return;
                        }
                        sample.outcome = body["missing"].empty()
                                             ? Sample::Outcome::kWhole
                                             : Sample::Outcome::kPartial;
                        sample.primary = body["load"]["primary"];
                        sample.extra = body["load"]["hedges"].get<uint64_t>() +
                                       body["load"]["retries"].get<uint64_t>();
                      });
  });
}

std::vector<Sample> TierLoad::SamplesBetween(base::Instant begin,
                                             base::Instant end) const {
  std::vector<Sample> chosen;
  std::ranges::copy_if(samples_, std::back_inserter(chosen),
                       [&](const Sample& sample) {
                         return sample.sent_at >= begin && sample.sent_at < end;
                       });
  return chosen;
}

double LatencyPercentileMs(const std::vector<Sample>& samples, double share) {
  std::vector<double> times;
  for (const Sample& sample : samples) {
    if (sample.outcome == Sample::Outcome::kWhole)
      times.push_back(base::ToMilliseconds(sample.latency));
  }
  if (times.empty())
    return 0;
  std::ranges::sort(times);
  const auto rank =
      static_cast<size_t>(share * static_cast<double>(times.size() - 1));
  return times[rank];
}

double ExtraLoadShare(const std::vector<Sample>& samples) {
  double primary = 0;
  double extra = 0;
  for (const Sample& sample : samples) {
    primary += static_cast<double>(sample.primary);
    extra += static_cast<double>(sample.extra);
  }
  return primary == 0 ? 0 : extra / primary;
}

double ShareWithOutcome(const std::vector<Sample>& samples,
                        Sample::Outcome outcome) {
  if (samples.empty())
    return 0;
  return static_cast<double>(
             std::ranges::count(samples, outcome, &Sample::outcome)) /
         static_cast<double>(samples.size());
}

}  // namespace bench
