// Measures whole tiers in virtual time, a row for each target, and fails when
// a bound is missed. Bounds are the targets' own.
//
//   tier_bench [--short] [--row NAME] [--json]

#include <algorithm>
#include <array>
#include <cmath>
#include <cstring>
#include <functional>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "LibBase/log.h"
#include "tier_load.h"

namespace bench {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using End = Sample::End;

constexpr double kLoad = 0.6;  // Of slot capacity.
constexpr double kStraggle = 20;
constexpr double kSlow = 5;
constexpr node::Policies kOurs{};

struct Scale {
  std::vector<uint64_t> seeds;
  base::Duration window;
};

const Scale kFull{{1, 2, 3, 4, 5}, seconds(20)};
const Scale kShort{{1}, seconds(8)};

// One measured value against its bound.
struct Check {
  std::string what;
  double value = 0;
  double bound = 0;
  bool at_most = true;
  bool held() const { return at_most ? value <= bound : value >= bound; }
};

using Checks = std::vector<Check>;

struct Setting {
  const Deployment& deployment;
  uint64_t seed;
  base::Duration window;
};

Check AtMost(std::string what, double value, double bound) {
  return {std::move(what), value, bound, true};
}
Check AtLeast(std::string what, double value, double bound) {
  return {std::move(what), value, bound, false};
}

// Runs `fault` after a warm-up and measures a window of steady load.
std::vector<Sample> Measure(const Setting& setting,
                            node::Policies policies,
                            const std::function<void(TierLoad&)>& fault,
                            double load = kLoad) {
  TierLoad tier(setting.deployment, policies, setting.seed);
  const double rate = load * CapacityOf(setting.deployment);
  tier.AddLoad("party-a", rate, setting.window + seconds(8));
  tier.Run(seconds(3));
  fault(tier);
  tier.Run(seconds(3));
  const base::Instant begin = tier.Now();
  tier.Run(setting.window);
  const base::Instant end = tier.Now();
  tier.Run(seconds(4));
  return tier.Between(begin, end);
}

void NoFault(TierLoad&) {}

void Straggle(TierLoad& tier) {
  int index = 0;
  for (const auto& [address, server] : tier.tier().servers()) {
    if (index++ % 10 == 3)
      server->faults.straggle = kStraggle;
  }
}

void SlowAll(TierLoad& tier) {
  for (const auto& [address, server] : tier.tier().servers())
    server->faults.straggle = kSlow;
}

Checks RunNoFault(const Setting& setting) {
  const auto ours = Measure(setting, kOurs, NoFault);
  const auto baseline = Measure(setting, node::kBaselinePolicies, NoFault);
  return {AtMost("extra load", ExtraShare(ours), 0.02),
          AtMost("p99 ms, baseline's as bound", Percentile(ours, 0.99),
                 Percentile(baseline, 0.99)),
          AtLeast("whole answers", ShareOf(ours, End::kWhole), 1.0)};
}

Checks RunStraggler(const Setting& setting) {
  const auto base = Measure(setting, kOurs, NoFault);
  const auto ours = Measure(setting, kOurs, Straggle);
  return {AtMost("p99 ms, 1.5 x without", Percentile(ours, 0.99),
                 1.5 * Percentile(base, 0.99)),
          AtMost("extra load", ExtraShare(ours), 0.05),
          AtMost("refused", ShareOf(ours, End::kRefused), 0),
          AtLeast("whole answers", ShareOf(ours, End::kWhole), 1.0)};
}

Checks RunSlowUpstream(const Setting& setting) {
  // At a fifth of the load, so that the slow servers are as busy as before.
  const auto ours = Measure(setting, kOurs, SlowAll, kLoad / kSlow);
  return {AtMost("extra load", ExtraShare(ours), 0.05)};
}

Checks RunZoneLoss(const Setting& setting) {
  // The two zones left carry the load of three: 60% of them is 40% of all.
  TierLoad tier(setting.deployment, kOurs, setting.seed);
  const double rate = kLoad * 2 / 3 * CapacityOf(setting.deployment);
  tier.AddLoad("party-a", rate, setting.window + seconds(10));
  tier.Run(seconds(5));
  const base::Instant lost = tier.Now();
  int index = 0;
  for (const auto& [address, server] : tier.tier().servers()) {
    if (index++ % 3 == 1)
      server->faults.dead = true;
  }
  tier.tier().Kill(1);
  tier.Run(setting.window + seconds(6));
  const auto first = tier.Between(lost, lost + seconds(2));
  const auto after = tier.Between(lost + seconds(2), lost + setting.window);
  return {AtLeast("whole answers from 2 s after", ShareOf(after, End::kWhole),
                  0.999),
          AtMost("extra load in those 2 s", ExtraShare(first), 0.10)};
}

Checks MeasureNodeLoss(const Setting& setting,
                       const std::function<void(fakes::FakeTier&)>& fault) {
  TierLoad tier(setting.deployment, kOurs, setting.seed);
  tier.AddLoad("party-a", kLoad * CapacityOf(setting.deployment),
               setting.window + seconds(10));
  tier.Run(seconds(5));
  const base::Instant lost = tier.Now();
  fault(tier.tier());
  tier.Run(setting.window + seconds(8));
  const auto after = tier.Between(lost + seconds(3), lost + setting.window);
  int most = 0;
  for (const auto& [address, server] : tier.tier().servers())
    most = std::max(most, server->record().most_connections);
  return {AtLeast("whole answers one hold time after",
                  ShareOf(after, End::kWhole), 1.0),
          AtMost("most connections to a server", most,
                 setting.deployment.connections)};
}

Checks RunNodeDeath(const Setting& setting) {
  return MeasureNodeLoss(setting, [](auto& tier) { tier.Kill(2); });
}

Checks RunNodeFreeze(const Setting& setting) {
  return MeasureNodeLoss(setting, [](auto& tier) { tier.Freeze(2); });
}

Checks RunSilentConnections(const Setting& setting) {
  const auto base = Measure(setting, kOurs, NoFault);
  TierLoad tier(setting.deployment, kOurs, setting.seed);
  tier.AddLoad("party-a", kLoad * CapacityOf(setting.deployment),
               setting.window + seconds(12));
  tier.Run(seconds(5));
  const base::Instant silenced = tier.Now();
  for (int node = 0; node < tier.tier().node_count(); ++node)
    tier.tier().transport(node).SilenceConnections(0.2, tier.tier().random());
  tier.Run(setting.window + seconds(10));
  const auto all = tier.Between(silenced, silenced + setting.window);
  const auto after = tier.Between(silenced + seconds(5),
                                  silenced + seconds(5) + setting.window);
  return {AtLeast("whole answers", ShareOf(all, End::kWhole), 1.0),
          AtMost("p99 ms 5 s after, 1.1 x base", Percentile(after, 0.99),
                 1.1 * Percentile(base, 0.99))};
}

Checks RunOverload(const Setting& setting) {
  const auto ours = Measure(setting, kOurs, NoFault, 2.0);
  const double capacity =
      CapacityOf(setting.deployment) * base::ToSeconds(setting.window);
  double whole = 0;
  double entered = 0;
  double attempts = 0;
  std::vector<double> refusals;
  for (const Sample& sample : ours) {
    whole += sample.end == End::kWhole ? 1 : 0;
    if (sample.end == End::kRefused)
      refusals.push_back(base::ToMilliseconds(
          sample.took - 2 * setting.deployment.caller_delay - milliseconds(2)));
    if (sample.primary > 0) {
      entered += kServices;
      attempts += static_cast<double>(sample.primary + sample.extra);
    }
  }
  std::ranges::sort(refusals);
  const double slowest = refusals.empty() ? 0 : refusals.back();
  return {AtLeast("goodput of capacity", whole / capacity, 0.9),
          AtMost("slowest refusal ms", slowest, 10),
          AtMost("attempts per request", attempts / entered, 1.1)};
}

Checks RunGreedyParty(const Setting& setting) {
  const double capacity = CapacityOf(setting.deployment);
  const double agreed = 0.2 * capacity;  // Queries per second of the greedy.
  const std::vector<fakes::PartyTerms> parties = {
      {"party-a"}, {"party-b", agreed * kServices, agreed * kServices / 5}};
  std::array<double, 2> p99{};
  for (const bool greedy : {false, true}) {
    TierLoad tier(setting.deployment, kOurs, setting.seed, parties);
    tier.AddLoad("party-a", 0.4 * capacity, setting.window + seconds(6));
    tier.AddLoad("party-b", greedy ? 10 * agreed : agreed,
                 setting.window + seconds(6));
    tier.Run(seconds(4));
    const base::Instant begin = tier.Now();
    tier.Run(setting.window + seconds(5));
    auto samples = tier.Between(begin, begin + setting.window);
    std::erase_if(samples, [](const Sample& sample) {
      return sample.party != "party-a";
    });
    p99[greedy ? 1 : 0] = Percentile(samples, 0.99);
  }
  return {AtMost("others' p99 ms, 1.2 x without", p99[1], 1.2 * p99[0])};
}

Checks RunStall(const Setting& setting) {
  const auto base = Measure(setting, kOurs, NoFault);
  TierLoad tier(setting.deployment, kOurs, setting.seed);
  tier.AddLoad("party-a", kLoad * CapacityOf(setting.deployment),
               setting.window + seconds(30));
  tier.Run(seconds(5));
  for (const auto& [address, server] : tier.tier().servers())
    server->faults.stalled = true;
  tier.Run(seconds(10));
  const base::Instant over = tier.Now();
  for (const auto& [address, server] : tier.tier().servers()) {
    server->faults.stalled = false;
    server->StartWaiting();
  }
  tier.Run(setting.window + seconds(10));
  const auto after =
      tier.Between(over + seconds(5), over + seconds(5) + setting.window);
  return {
      AtMost("p99 ms 5 s after, 1.1 x base", Percentile(after, 0.99),
             1.1 * Percentile(base, 0.99)),
      AtLeast("whole answers 5 s after", ShareOf(after, End::kWhole), 0.999)};
}

// Sub-requests taken in the worst window of 10 s.
double WorstWindow(const std::vector<Sample>& samples) {
  const base::Duration window = seconds(10);
  double worst = 0;
  double taken = 0;
  size_t first = 0;
  for (const Sample& sample : samples) {
    taken += static_cast<double>(sample.primary + sample.extra);
    while (sample.asked - samples[first].asked > window) {
      taken -=
          static_cast<double>(samples[first].primary + samples[first].extra);
      ++first;
    }
    worst = std::max(worst, taken);
  }
  return worst;
}

Checks RunLimits(const Setting& setting) {
  const double agreed = 100 * kServices;  // Sub-requests per second.
  const double burst = 20 * kServices;
  const std::vector<fakes::PartyTerms> parties = {{"party-a", agreed, burst}};
  const auto run = [&](double rate, int node, bool faults) {
    TierLoad tier(setting.deployment, kOurs, setting.seed, parties);
    tier.AddLoad("party-a", rate, seconds(30), node);
    const base::Instant begin = tier.Now();
    tier.Run(seconds(8));
    if (faults) {
      tier.tier().Kill(1);
      tier.Run(seconds(4));
      tier.tier().Restart(1);
      tier.Run(seconds(4));
      tier.tier().Freeze(2);
      tier.Run(seconds(4));
      tier.tier().Resume(2);
    }
    tier.Run(seconds(25));
    return tier.Between(begin, begin + seconds(30));
  };
  const auto faulty = run(400, -1, true);
  const auto one_node = run(130, 0, false);
  double taken = 0;
  for (const Sample& sample : one_node)
    taken += static_cast<double>(sample.primary);
  return {AtMost("worst 10 s window, nodes lost and back", WorstWindow(faulty),
                 1.02 * agreed * 10 + burst),
          AtMost("worst 10 s window, one node", WorstWindow(one_node),
                 1.02 * agreed * 10 + burst),
          AtLeast("usable share at one node", taken / (agreed * 30), 0.95)};
}

// Records of all nodes that are alive, merged, as the store would hold them.
usage::UsageRecords AllRecords(TierLoad& tier) {
  usage::UsageRecords records;
  for (int node = 0; node < tier.tier().node_count(); ++node) {
    if (tier.tier().IsAlive(node))
      usage::MergeRecords(tier.tier().core(node).ledger().AllRecords(),
                          records);
  }
  return records;
}

struct UsageInterval {
  double least = 0;
  double most = 0;
};

UsageInterval IntervalOf(const usage::UsageRecords& records) {
  UsageInterval interval;
  for (const auto& [key, counts] : records) {
    interval.least += static_cast<double>(counts.taken());
    interval.most +=
        static_cast<double>(std::max(counts.taken(), counts.upper_bound()));
  }
  return interval;
}

double TakenBy(const std::vector<Sample>& samples) {
  double taken = 0;
  for (const Sample& sample : samples)
    taken += static_cast<double>(sample.primary + sample.extra);
  return taken;
}

Checks RunUsage(const Setting& setting) {
  const double rate = 0.3 * CapacityOf(setting.deployment);
  const std::vector<fakes::PartyTerms> parties = {
      {"party-a", 2 * rate * kServices, rate * kServices}};
  TierLoad tier(setting.deployment, kOurs, setting.seed, parties);
  const base::Instant begin = tier.Now();
  tier.AddLoad("party-a", rate, seconds(10));
  tier.tier().store().lost_write_answers = 2;
  tier.Run(seconds(14));
  const double truth = TakenBy(tier.Between(begin, tier.Now()));
  const double difference =
      std::abs(IntervalOf(AllRecords(tier)).least - truth);
  // A host dies in the middle of load, the store being down.
  tier.tier().store().outage = true;
  tier.AddLoad("party-a", rate, seconds(10));
  tier.Run(seconds(5));
  tier.tier().Kill(2);
  tier.Run(seconds(10));
  const double after = TakenBy(tier.Between(begin, tier.Now()));
  const UsageInterval interval = IntervalOf(AllRecords(tier));
  return {AtMost("difference when nothing crashed", difference, 0),
          AtMost("unknown after a death, seconds of traffic",
                 (after - interval.least) / (rate * kServices), 1),
          AtMost("least end of the interval, truth as bound", interval.least,
                 after),
          AtLeast("most end of the interval, truth as bound", interval.most,
                  after)};
}

struct Row {
  std::string name;
  Checks (*run)(const Setting& setting);
};

const std::vector<Row> kRows = {
    {"no_fault", RunNoFault},
    {"straggler", RunStraggler},
    {"slow_upstream", RunSlowUpstream},
    {"zone_loss", RunZoneLoss},
    {"node_death", RunNodeDeath},
    {"node_freeze", RunNodeFreeze},
    {"silent_connections", RunSilentConnections},
    {"overload", RunOverload},
    {"greedy_party", RunGreedyParty},
    {"stall", RunStall},
    {"limits", RunLimits},
    {"usage", RunUsage},
};

// Prints the checks of all seeds; returns how many missed.
int RunRow(const Row& row, const Scale& scale, nlohmann::json& report) {
  int missed = 0;
  for (const Deployment& deployment : Deployments()) {
    for (const uint64_t seed : scale.seeds) {
      for (const Check& check : row.run({deployment, seed, scale.window})) {
        missed += check.held() ? 0 : 1;
        std::cout << std::left << std::setw(19) << row.name << std::setw(19)
                  << deployment.name << std::setw(3) << seed << std::setw(43)
                  << check.what << std::right << std::setw(11)
                  << std::setprecision(5) << check.value
                  << (check.at_most ? " <= " : " >= ") << std::setw(8)
                  << check.bound << (check.held() ? "" : "  MISSED")
                  << std::endl;
        report.push_back({{"row", row.name},
                          {"deployment", deployment.name},
                          {"seed", seed},
                          {"what", check.what},
                          {"value", check.value},
                          {"bound", check.bound},
                          {"held", check.held()}});
      }
    }
  }
  return missed;
}

int Main(const std::vector<std::string>& words) {
  base::DisableLog();
  Scale scale = kFull;
  std::string wanted;
  bool json_too = false;
  for (size_t i = 0; i < words.size(); ++i) {
    if (words[i] == "--short")
      scale = kShort;
    else if (words[i] == "--json")
      json_too = true;
    else if (words[i] == "--row" && i + 1 < words.size())
      wanted = words[++i];
  }
  int missed = 0;
  nlohmann::json report = nlohmann::json::array();
  for (const Row& row : kRows) {
    if (wanted.empty() || wanted == row.name)
      missed += RunRow(row, scale, report);
  }
  if (json_too)
    std::cout << report.dump() << "\n";
  std::cout << (missed == 0 ? "all bounds held" : "bounds missed: ")
            << (missed == 0 ? "" : std::to_string(missed)) << "\n";
  return missed == 0 ? 0 : 1;
}

}  // namespace
}  // namespace bench

int main(int argc, char** argv) {
  return bench::Main(std::vector<std::string>(argv + 1, argv + argc));
}
