// Open-loop callers on a fake tier.

#include "tier_load.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>

namespace bench {

using nlohmann::json;

namespace {

// A bounded Pareto distribution: half of all calls take under 6 ms, one in a
// thousand over 150 ms.
constexpr double kLeastMs = 4;
constexpr double kMostMs = 200;
constexpr double kShape = 1.8;
constexpr int kCallers = 60;
constexpr base::Duration kHold = std::chrono::seconds(3);

base::Duration FromMs(double ms) {
  return base::Duration(static_cast<int64_t>(ms * 1000));
}

base::Duration SampleServiceTime(base::Random& random) {
  const double ratio = std::pow(kLeastMs / kMostMs, kShape);
  const double u = random.Fraction();
  return FromMs(kLeastMs / std::pow(1 - u * (1 - ratio), 1 / kShape));
}

fakes::TierShape ShapeOf(const Deployment& deployment,
                         node::Policies policies,
                         std::vector<fakes::PartyTerms> parties) {
  fakes::TierShape shape;
  shape.services = kServices;
  shape.servers_per_service = kServersPerService;
  shape.slots = deployment.slots;
  shape.connections = deployment.connections;
  shape.deadline = deployment.deadline;
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
  const double ratio = std::pow(kLeastMs / kMostMs, kShape);
  const double mean =
      std::pow(kLeastMs, kShape) / (1 - ratio) * kShape / (kShape - 1) *
      (std::pow(kLeastMs, 1 - kShape) - std::pow(kMostMs, 1 - kShape));
  return FromMs(mean);
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
      callers_(kCallers) {
  tier_.Start();
}

void TierLoad::AddLoad(const std::string& party,
                       double rate,
                       base::Duration duration,
                       int node) {
  Arrive(party, rate, Now() + duration, node);
}

void TierLoad::Arrive(const std::string& party,
                      double rate,
                      base::Instant end,
                      int node) {
  const double gap = -std::log(1 - tier_.random().Fraction()) / rate;
  const auto wait = FromMs(gap * 1000);
  if (Now() + wait >= end)
    return;
  tier_.clock().After(wait, [this, party, rate, end, node] {
    Ask(party, node);
    Arrive(party, rate, end, node);
  });
}

// Asks any host that accepts for addresses.
void TierLoad::RefreshAddresses(Caller& caller) {
  caller.nodes.clear();
  caller.until = Now() + kHold;
  const int count = tier_.node_count();
  const auto first =
      static_cast<int>(tier_.random().Below(static_cast<uint64_t>(count)));
  for (int i = 0; i < count; ++i) {
    const int host = (first + i) % count;
    if (!tier_.IsRunning(host))
      continue;
    const auto addresses =
        tier_.core(host).views().Current()->SampleCallerAddresses(
            3, tier_.random());
    for (const std::string& address : addresses)
      caller.nodes.push_back(std::stoi(address.substr(7)) - 1);
    return;
  }
}

int TierLoad::NodeOf(Caller& caller) {
  if (caller.nodes.empty() || Now() >= caller.until)
    RefreshAddresses(caller);
  return caller.nodes.empty() ? 0 : caller.nodes.front();
}

void TierLoad::Ask(const std::string& party, int fixed_node) {
  const size_t index = tier_.random().Below(callers_.size());
  const int node = fixed_node >= 0 ? fixed_node : NodeOf(callers_[index]);
  const size_t slot = samples_.size();
  samples_.push_back({party, Now()});
  const base::Duration way = deployment_.caller_delay;
  tier_.clock().After(way, [this, party, node, slot, index, way] {
    tier_.Ask(node,
              fakes::FakeTier::QueryRequest(party,
                                            "q" + std::to_string(next_text_++)),
              [this, slot, index, way](const auto& response) {
                Sample& sample = samples_[slot];
                sample.took = Now() + way - sample.asked;
                if (!response) {
                  // The caller takes the next address it holds.
                  auto& nodes = callers_[index].nodes;
                  if (!nodes.empty())
                    nodes.erase(nodes.begin());
                  return;
                }
                const json body = json::parse(response->body);
                if (body["outcome"] != "answered") {
                  sample.end = Sample::End::kRefused;
                  return;
                }
                sample.end = body["missing"].empty() ? Sample::End::kWhole
                                                     : Sample::End::kPartial;
                sample.primary = body["load"]["primary"];
                sample.extra = body["load"]["hedges"].get<uint64_t>() +
                               body["load"]["retries"].get<uint64_t>();
              });
  });
}

std::vector<Sample> TierLoad::Between(base::Instant begin,
                                      base::Instant end) const {
  std::vector<Sample> chosen;
  std::ranges::copy_if(samples_, std::back_inserter(chosen),
                       [&](const Sample& sample) {
                         return sample.asked >= begin && sample.asked < end;
                       });
  return chosen;
}

double Percentile(const std::vector<Sample>& samples, double share) {
  std::vector<double> times;
  for (const Sample& sample : samples) {
    if (sample.end == Sample::End::kWhole)
      times.push_back(base::ToMilliseconds(sample.took));
  }
  if (times.empty())
    return 0;
  std::ranges::sort(times);
  const auto rank =
      static_cast<size_t>(share * static_cast<double>(times.size() - 1));
  return times[rank];
}

double ExtraShare(const std::vector<Sample>& samples) {
  double primary = 0;
  double extra = 0;
  for (const Sample& sample : samples) {
    primary += static_cast<double>(sample.primary);
    extra += static_cast<double>(sample.extra);
  }
  return primary == 0 ? 0 : extra / primary;
}

double ShareOf(const std::vector<Sample>& samples, Sample::End end) {
  if (samples.empty())
    return 0;
  return static_cast<double>(std::ranges::count(samples, end, &Sample::end)) /
         static_cast<double>(samples.size());
}

}  // namespace bench
