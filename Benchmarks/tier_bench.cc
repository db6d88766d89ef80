// Measures whole tiers in virtual time, with one row for each performance
// target. Fails if a measured value misses its bound, which is that of the
// target.
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
using Outcome = Sample::Outcome;

// The usual load as a share of CapacityOf.
constexpr double kLoadShare = 0.6;
// Factors on the service time of slow servers.
constexpr double kStragglerFactor = 20;
constexpr double kSlowFactor = 5;
constexpr node::Policies kDefaultPolicies{};

// How often a row is measured, and for how long each time.
struct Scale {
  std::vector<uint64_t> seeds;
  base::Duration window;
};

const Scale kFullScale{{1, 2, 3, 4, 5}, seconds(20)};
const Scale kShortScale{{1}, seconds(8)};

// A measured value and its bound.
struct Check {
  std::string what;
  double value = 0;
  double bound = 0;
  bool is_upper_bound = true;
  bool held() const { return is_upper_bound ? value <= bound : value >= bound; }
};

using Checks = std::vector<Check>;

// What one run of a row is measured with.
struct RunParameters {
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

// Injects `fault` after a warm-up of 3 s and returns the samples of the window
// that begins 3 s later, under a steady load of `load_share` of the capacity.
std::vector<Sample> Measure(const RunParameters& parameters,
                            node::Policies policies,
                            const std::function<void(TierLoad&)>& fault,
                            double load_share = kLoadShare) {
  TierLoad load(parameters.deployment, policies, parameters.seed);
  const double rate = load_share * CapacityOf(parameters.deployment);
  load.AddLoad("party-a", rate, parameters.window + seconds(8));
  load.Run(seconds(3));
  fault(load);
  load.Run(seconds(3));
  const base::Instant begin = load.Now();
  load.Run(parameters.window);
  const base::Instant end = load.Now();
  load.Run(seconds(4));
  return load.SamplesBetween(begin, end);
}

void NoFault(TierLoad&) {}

// Slows down one server in ten.
void AddStragglers(TierLoad& load) {
  int index = 0;
  for (const auto& [address, server] : load.tier().servers()) {
    if (index++ % 10 == 3)
      server->faults.service_time_factor = kStragglerFactor;
  }
}

void SlowAllServers(TierLoad& load) {
  for (const auto& [address, server] : load.tier().servers())
    server->faults.service_time_factor = kSlowFactor;
}

Checks RunNoFault(const RunParameters& parameters) {
  const auto samples = Measure(parameters, kDefaultPolicies, NoFault);
  const auto baseline_samples =
      Measure(parameters, node::kBaselinePolicies, NoFault);
  return {
      AtMost("extra load", ExtraLoadShare(samples), 0.02),
      AtMost("p99 ms, baseline's as bound", LatencyPercentileMs(samples, 0.99),
             LatencyPercentileMs(baseline_samples, 0.99)),
      AtLeast("whole answers", ShareWithOutcome(samples, Outcome::kWhole),
              1.0)};
}

Checks RunStraggler(const RunParameters& parameters) {
  const auto no_fault_samples = Measure(parameters, kDefaultPolicies, NoFault);
  const auto samples = Measure(parameters, kDefaultPolicies, AddStragglers);
  return {AtMost("p99 ms, 1.5 x without", LatencyPercentileMs(samples, 0.99),
                 1.5 * LatencyPercentileMs(no_fault_samples, 0.99)),
          AtMost("extra load", ExtraLoadShare(samples), 0.05),
          AtMost("refused", ShareWithOutcome(samples, Outcome::kRefused), 0),
          AtLeast("whole answers", ShareWithOutcome(samples, Outcome::kWhole),
                  1.0)};
}

Checks RunSlowUpstream(const RunParameters& parameters) {
  // The servers take 5 times as long. A fifth of the load keeps them as busy as
  // without the fault.
  const auto samples = Measure(parameters, kDefaultPolicies, SlowAllServers,
                               kLoadShare / kSlowFactor);
  return {AtMost("extra load", ExtraLoadShare(samples), 0.05)};
}

Checks RunZoneLoss(const RunParameters& parameters) {
  // The two zones that are left carry the whole load: 60% of their capacity is
  // 40% of the capacity of three zones.
  TierLoad load(parameters.deployment, kDefaultPolicies, parameters.seed);
  const double rate = kLoadShare * 2 / 3 * CapacityOf(parameters.deployment);
  load.AddLoad("party-a", rate, parameters.window + seconds(10));
  load.Run(seconds(5));
  const base::Instant failed_at = load.Now();
  int index = 0;
  for (const auto& [address, server] : load.tier().servers()) {
    if (index++ % 3 == 1)
      server->faults.dead = true;
  }
  load.tier().Kill(1);
  load.Run(parameters.window + seconds(6));
  const auto first_two_seconds =
      load.SamplesBetween(failed_at, failed_at + seconds(2));
  const auto after = load.SamplesBetween(failed_at + seconds(2),
                                         failed_at + parameters.window);
  return {AtLeast("whole answers from 2 s after",
                  ShareWithOutcome(after, Outcome::kWhole), 0.999),
          AtMost("extra load in those 2 s", ExtraLoadShare(first_two_seconds),
                 0.10)};
}

// Measures the load after `fault` has made one node fail.
Checks MeasureNodeLoss(const RunParameters& parameters,
                       const std::function<void(fakes::FakeTier&)>& fault) {
  TierLoad load(parameters.deployment, kDefaultPolicies, parameters.seed);
  load.AddLoad("party-a", kLoadShare * CapacityOf(parameters.deployment),
               parameters.window + seconds(10));
  load.Run(seconds(5));
  const base::Instant failed_at = load.Now();
  fault(load.tier());
  load.Run(parameters.window + seconds(8));
  const auto after = load.SamplesBetween(failed_at + seconds(3),
                                         failed_at + parameters.window);
  int most_connections = 0;
  for (const auto& [address, server] : load.tier().servers())
    most_connections =
        std::max(most_connections, server->record().most_connections);
  return {AtLeast("whole answers one hold time after",
                  ShareWithOutcome(after, Outcome::kWhole), 1.0),
          AtMost("most connections to a server", most_connections,
                 parameters.deployment.connections)};
}

Checks RunNodeDeath(const RunParameters& parameters) {
  return MeasureNodeLoss(parameters, [](auto& tier) { tier.Kill(2); });
}

Checks RunNodeFreeze(const RunParameters& parameters) {
  return MeasureNodeLoss(parameters, [](auto& tier) { tier.Freeze(2); });
}

Checks RunSilentConnections(const RunParameters& parameters) {
  const auto no_fault_samples = Measure(parameters, kDefaultPolicies, NoFault);
  TierLoad load(parameters.deployment, kDefaultPolicies, parameters.seed);
  load.AddLoad("party-a", kLoadShare * CapacityOf(parameters.deployment),
               parameters.window + seconds(12));
  load.Run(seconds(5));
  const base::Instant silenced_at = load.Now();
  for (int node = 0; node < load.tier().node_count(); ++node)
    load.tier().transport(node).SilenceConnections(0.2, load.tier().random());
  load.Run(parameters.window + seconds(10));
  const auto all =
      load.SamplesBetween(silenced_at, silenced_at + parameters.window);
  const auto after = load.SamplesBetween(
      silenced_at + seconds(5), silenced_at + seconds(5) + parameters.window);
  return {
      AtLeast("whole answers", ShareWithOutcome(all, Outcome::kWhole), 1.0),
      AtMost("p99 ms 5 s after, 1.1 x base", LatencyPercentileMs(after, 0.99),
             1.1 * LatencyPercentileMs(no_fault_samples, 0.99))};
}

Checks RunOverload(const RunParameters& parameters) {
  const auto samples = Measure(parameters, kDefaultPolicies, NoFault, 2.0);
  const double capacity =
      CapacityOf(parameters.deployment) * base::ToSeconds(parameters.window);
  double whole_answers = 0;
  double admitted_sub_requests = 0;
  double attempts = 0;
  std::vector<double> refusal_ms;
  for (const Sample& sample : samples) {
    whole_answers += sample.outcome == Outcome::kWhole ? 1 : 0;
    // Leaves out the network's delays: those of the deployment, and 1 ms each
    // way in the fake tier.
    if (sample.outcome == Outcome::kRefused)
      refusal_ms.push_back(base::ToMilliseconds(
          sample.latency - 2 * parameters.deployment.caller_delay -
          milliseconds(2)));
    if (sample.primary > 0) {
      admitted_sub_requests += kServices;
      attempts += static_cast<double>(sample.primary + sample.extra);
    }
  }
  std::ranges::sort(refusal_ms);
  const double slowest_refusal_ms = refusal_ms.empty() ? 0 : refusal_ms.back();
  return {
      AtLeast("goodput of capacity", whole_answers / capacity, 0.9),
      AtMost("slowest refusal ms", slowest_refusal_ms, 10),
      AtMost("attempts per request", attempts / admitted_sub_requests, 1.1)};
}

Checks RunGreedyParty(const RunParameters& parameters) {
  const double capacity = CapacityOf(parameters.deployment);
  const double agreed_rate = 0.2 * capacity;  // Queries per second of party-b.
  const std::vector<fakes::PartyTerms> parties = {
      {"party-a"},
      {"party-b", agreed_rate * kServices, agreed_rate * kServices / 5}};
  std::array<double, 2> p99{};
  for (const bool greedy : {false, true}) {
    TierLoad load(parameters.deployment, kDefaultPolicies, parameters.seed,
                  parties);
    load.AddLoad("party-a", 0.4 * capacity, parameters.window + seconds(6));
    load.AddLoad("party-b", greedy ? 10 * agreed_rate : agreed_rate,
                 parameters.window + seconds(6));
    load.Run(seconds(4));
    const base::Instant begin = load.Now();
    load.Run(parameters.window + seconds(5));
    auto samples = load.SamplesBetween(begin, begin + parameters.window);
    std::erase_if(samples, [](const Sample& sample) {
      return sample.party != "party-a";
    });
    p99[greedy ? 1 : 0] = LatencyPercentileMs(samples, 0.99);
  }
  return {AtMost("others' p99 ms, 1.2 x without", p99[1], 1.2 * p99[0])};
}

Checks RunStall(const RunParameters& parameters) {
  const auto no_fault_samples = Measure(parameters, kDefaultPolicies, NoFault);
  TierLoad load(parameters.deployment, kDefaultPolicies, parameters.seed);
  load.AddLoad("party-a", kLoadShare * CapacityOf(parameters.deployment),
               parameters.window + seconds(30));
  load.Run(seconds(5));
  for (const auto& [address, server] : load.tier().servers())
    server->faults.stalled = true;
  load.Run(seconds(10));
  const base::Instant resumed_at = load.Now();
  for (const auto& [address, server] : load.tier().servers()) {
    server->faults.stalled = false;
    server->StartQueuedWork();
  }
  load.Run(parameters.window + seconds(10));
  const auto after = load.SamplesBetween(
      resumed_at + seconds(5), resumed_at + seconds(5) + parameters.window);
  return {
      AtMost("p99 ms 5 s after, 1.1 x base", LatencyPercentileMs(after, 0.99),
             1.1 * LatencyPercentileMs(no_fault_samples, 0.99)),
      AtLeast("whole answers 5 s after",
              ShareWithOutcome(after, Outcome::kWhole), 0.999)};
}

// Returns the largest number of sub-requests that the queries of any 10 s took.
double MaxSubRequestsIn10s(const std::vector<Sample>& samples) {
  const base::Duration window = seconds(10);
  double largest = 0;
  double used = 0;
  size_t first = 0;
  for (const Sample& sample : samples) {
    used += static_cast<double>(sample.primary + sample.extra);
    while (sample.sent_at - samples[first].sent_at > window) {
      used -=
          static_cast<double>(samples[first].primary + samples[first].extra);
      ++first;
    }
    largest = std::max(largest, used);
  }
  return largest;
}

Checks RunLimits(const RunParameters& parameters) {
  const double agreed_rate = 100 * kServices;  // Sub-requests per second.
  const double burst = 20 * kServices;
  const std::vector<fakes::PartyTerms> parties = {
      {"party-a", agreed_rate, burst}};
  const auto run = [&](double rate, int node, bool with_faults) {
    TierLoad load(parameters.deployment, kDefaultPolicies, parameters.seed,
                  parties);
    load.AddLoad("party-a", rate, seconds(30), node);
    const base::Instant begin = load.Now();
    load.Run(seconds(8));
    if (with_faults) {
      load.tier().Kill(1);
      load.Run(seconds(4));
      load.tier().Restart(1);
      load.Run(seconds(4));
      load.tier().Freeze(2);
      load.Run(seconds(4));
      load.tier().Resume(2);
    }
    load.Run(seconds(25));
    return load.SamplesBetween(begin, begin + seconds(30));
  };
  const auto samples_with_faults = run(400, -1, true);
  const auto samples_of_one_node = run(130, 0, false);
  double used = 0;
  for (const Sample& sample : samples_of_one_node)
    used += static_cast<double>(sample.primary);
  return {AtMost("worst 10 s window, nodes lost and back",
                 MaxSubRequestsIn10s(samples_with_faults),
                 1.02 * agreed_rate * 10 + burst),
          AtMost("worst 10 s window, one node",
                 MaxSubRequestsIn10s(samples_of_one_node),
                 1.02 * agreed_rate * 10 + burst),
          AtLeast("usable share at one node", used / (agreed_rate * 30), 0.95)};
}

// Returns the merged records of all nodes that are alive, as the store would
// hold them.
usage::UsageRecords MergeRecordsOfNodes(TierLoad& load) {
  usage::UsageRecords records;
  for (int node = 0; node < load.tier().node_count(); ++node) {
    if (load.tier().IsAlive(node))
      usage::MergeRecords(load.tier().core(node).ledger().AllRecords(),
                          records);
  }
  return records;
}

// Bounds of the number of sub-requests that were used, according to the usage
// records.
struct UsageInterval {
  double min_used = 0;
  double max_used = 0;
};

UsageInterval IntervalOf(const usage::UsageRecords& records) {
  UsageInterval interval;
  for (const auto& [key, counts] : records) {
    interval.min_used += static_cast<double>(counts.used());
    interval.max_used +=
        static_cast<double>(std::max(counts.used(), counts.upper_bound()));
  }
  return interval;
}

double CountSubRequests(const std::vector<Sample>& samples) {
  double used = 0;
  for (const Sample& sample : samples)
    used += static_cast<double>(sample.primary + sample.extra);
  return used;
}

Checks RunUsage(const RunParameters& parameters) {
  const double rate = 0.3 * CapacityOf(parameters.deployment);
  const std::vector<fakes::PartyTerms> parties = {
      {"party-a", 2 * rate * kServices, rate * kServices}};
  TierLoad load(parameters.deployment, kDefaultPolicies, parameters.seed,
                parties);
  const base::Instant begin = load.Now();
  load.AddLoad("party-a", rate, seconds(10));
  load.tier().store().lost_write_answers = 2;
  load.Run(seconds(14));
  const double actual =
      CountSubRequests(load.SamplesBetween(begin, load.Now()));
  const double difference =
      std::abs(IntervalOf(MergeRecordsOfNodes(load)).min_used - actual);
  // A host dies under load while the store is unavailable.
  load.tier().store().outage = true;
  load.AddLoad("party-a", rate, seconds(10));
  load.Run(seconds(5));
  load.tier().Kill(2);
  load.Run(seconds(10));
  const double actual_after_death =
      CountSubRequests(load.SamplesBetween(begin, load.Now()));
  const UsageInterval interval = IntervalOf(MergeRecordsOfNodes(load));
  return {
      AtMost("difference when nothing crashed", difference, 0),
      AtMost("unknown after a death, seconds of traffic",
             (actual_after_death - interval.min_used) / (rate * kServices), 1),
      AtMost("least end of the interval, truth as bound", interval.min_used,
             actual_after_death),
      AtLeast("most end of the interval, truth as bound", interval.max_used,
              actual_after_death)};
}

// A measurement of one target, by the name that --row selects.
struct Row {
  std::string name;
  Checks (*run)(const RunParameters& parameters);
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

// Runs the row for each deployment and seed, prints the checks and returns how
// many missed their bound.
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
                  << (check.is_upper_bound ? " <= " : " >= ") << std::setw(8)
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

int Main(const std::vector<std::string>& arguments) {
  base::DisableLog();
  Scale scale = kFullScale;
  std::string wanted_row;
  bool print_json = false;
  for (size_t i = 0; i < arguments.size(); ++i) {
    if (arguments[i] == "--short")
      scale = kShortScale;
    else if (arguments[i] == "--json")
      print_json = true;
    else if (arguments[i] == "--row" && i + 1 < arguments.size())
      wanted_row = arguments[++i];
  }
  int missed = 0;
  nlohmann::json report = nlohmann::json::array();
  for (const Row& row : kRows) {
    if (wanted_row.empty() || wanted_row == row.name)
      missed += RunRow(row, scale, report);
  }
  if (print_json)
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
