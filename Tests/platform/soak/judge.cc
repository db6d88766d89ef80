// Implements the rules as functions of what was seen.

#include "judge.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <string>

#include "LibHttp/message.h"

namespace soak {

namespace {

// A stop counts until this long after the end of the grace period.
constexpr base::Duration kStopAftermath = std::chrono::seconds(1);
// Requests sent this soon after a SIGTERM may be cut off if they are still
// running in the last part of the grace period.
constexpr base::Duration kExcusedSendTime = std::chrono::seconds(3);
constexpr int kExcusedGraceParts = 6;
constexpr double kMinRecoveredShare = 0.25;
constexpr int kStatusOk = 200;

using RunsByRequest = std::multimap<std::string, ServerRun>;

bool IsDisturbed(const ClientAttempt& attempt,
                 const std::vector<UnplannedOutage>& outages,
                 const RuleBounds& bounds) {
  return std::ranges::any_of(outages, [&](const UnplannedOutage& outage) {
    return outage.begin <= attempt.ended &&
           outage.end >= attempt.sent - bounds.stable;
  });
}

// Returns the stop of the attempt's host that the attempt falls into.
const PlannedStop* FindStop(const ClientAttempt& attempt,
                            const std::vector<PlannedStop>& stops,
                            const RuleBounds& bounds) {
  const auto found = std::ranges::find_if(stops, [&](const PlannedStop& stop) {
    return stop.address == attempt.address && attempt.ended >= stop.signalled &&
           attempt.sent <= stop.signalled + bounds.grace + kStopAftermath;
  });
  return found == stops.end() ? nullptr : &*found;
}

// Whether the request ran into the last part of the grace period although it
// was sent early.
bool IsExcused(const ClientAttempt& attempt,
               const ServerRun& run,
               const PlannedStop& stop,
               const RuleBounds& bounds) {
  const base::Instant last_part =
      stop.signalled + bounds.grace - bounds.grace / kExcusedGraceParts;
  return attempt.sent <= stop.signalled + kExcusedSendTime &&
         run.ended >= last_part;
}

// Returns the last run of the request by a server that did not refuse it.
const ServerRun* FindLastRun(const RunsByRequest& runs,
                             const std::string& request_id) {
  const auto [first, last] = runs.equal_range(request_id);
  const ServerRun* latest = nullptr;
  for (auto run = first; run != last; ++run) {
    if (run->second.end != RunEnd::kRefused &&
        (!latest || run->second.ended > latest->ended))
      latest = &run->second;
  }
  return latest;
}

ServedShare CountServed(const std::vector<ClientAttempt>& attempts,
                        base::Instant from,
                        base::Instant until) {
  ServedShare share;
  for (const ClientAttempt& attempt : attempts) {
    if (attempt.end == AttemptEnd::kNotConnected || attempt.sent < from ||
        attempt.sent >= until)
      continue;
    ++share.sent;
    share.served += attempt.status == kStatusOk ? 1 : 0;
  }
  return share;
}

RunsByRequest GroupByRequest(const std::vector<ServerRun>& runs) {
  RunsByRequest grouped;
  for (const ServerRun& run : runs)
    grouped.emplace(run.request_id, run);
  return grouped;
}

// Whether the store had been answering for long enough that hosts must know
// what it acknowledged.
bool IsStoreStable(const Observation& observation,
                   base::Instant moment,
                   const RuleBounds& bounds) {
  return std::ranges::none_of(
      observation.store_outages, [&](const StoreOutage& outage) {
        return moment >= outage.begin && moment <= outage.end + bounds.stable;
      });
}

// Whether the attempt's connection was cut by something other than an unplanned
// disruption or the end of the client's time.
bool IsCut(const ClientAttempt& attempt,
           const Observation& observation,
           const RuleBounds& bounds) {
  return attempt.end == AttemptEnd::kClosed &&
         attempt.ended - attempt.sent < attempt.time_allowed &&
         !IsDisturbed(attempt, observation.outages, bounds);
}

}  // namespace

std::vector<LostRequest> FindLostRequests(const Observation& observation,
                                          const RuleBounds& bounds) {
  const RunsByRequest runs = GroupByRequest(observation.runs);
  std::vector<LostRequest> lost;
  for (const ClientAttempt& attempt : observation.attempts) {
    if (!IsCut(attempt, observation, bounds))
      continue;
    const PlannedStop* stop = FindStop(attempt, observation.stops, bounds);
    const ServerRun* run = FindLastRun(runs, attempt.request_id);
    if (!stop || !run || IsExcused(attempt, *run, *stop, bounds))
      continue;
    lost.push_back({attempt, *run, attempt.sent - stop->signalled});
  }
  return lost;
}

std::vector<ClientAttempt> FindUnseenCuts(const Observation& observation,
                                          const RuleBounds& bounds) {
  const RunsByRequest runs = GroupByRequest(observation.runs);
  std::vector<ClientAttempt> cuts;
  std::ranges::copy_if(observation.attempts, std::back_inserter(cuts),
                       [&](const ClientAttempt& attempt) {
                         return IsCut(attempt, observation, bounds) &&
                                FindStop(attempt, observation.stops, bounds) &&
                                !FindLastRun(runs, attempt.request_id) &&
                                attempt.ended - attempt.sent >
                                    bounds.loss_slack;
                       });
  return cuts;
}

bool Recovery::is_kept() const {
  return before.share() < kMinRecoveredShare ||
         after.share() >= kMinRecoveredShare;
}

std::optional<Recovery> JudgeRecovery(const Observation& observation,
                                      const RuleBounds& bounds) {
  if (observation.outages.empty())
    return std::nullopt;
  const UnplannedOutage& outage = observation.outages.back();
  return Recovery{
      CountServed(observation.attempts, base::Instant::min(), outage.begin),
      CountServed(observation.attempts, outage.end + bounds.recovery,
                  base::Instant::max())};
}

ProbeVerdict JudgeProbes(const Observation& observation,
                         const RuleBounds& bounds) {
  ProbeVerdict verdict;
  for (const ConfigurationProbe& probe : observation.probes) {
    if (probe.status == 0 || !IsStoreStable(observation, probe.sent, bounds))
      continue;
    uint64_t due = 0;  // The version that is in force at least.
    uint64_t newest = 0;
    for (const PublishedVersion& published : observation.versions) {
      if (published.acknowledged + bounds.apply <= probe.sent)
        due = std::max(due, published.version);
      if (published.acknowledged <= probe.ended)
        newest = std::max(newest, published.version);
    }
    const bool is_route_missing = probe.status == http::kStatusNotFound;
    const bool must_be_served = probe.version == due && probe.version == newest;
    const bool must_be_missing = probe.version < due;
    if (!must_be_served && !must_be_missing)
      continue;
    ++verdict.judged;
    if (is_route_missing ? must_be_served
                         : must_be_missing && probe.status == kStatusOk)
      verdict.stale.push_back(probe);
  }
  return verdict;
}

std::vector<ServerRun> FindRunsAfterDeparture(const Observation& observation,
                                              const RuleBounds& bounds) {
  std::vector<ServerRun> late;
  std::ranges::copy_if(
      observation.runs, std::back_inserter(late), [&](const ServerRun& run) {
        return IsStoreStable(observation, run.arrived, bounds) &&
               std::ranges::any_of(
                   observation.departures,
                   [&](const ServerDeparture& departure) {
                     return departure.instance == run.instance &&
                            run.arrived > departure.acknowledged + bounds.drain;
                   });
      });
  return late;
}

}  // namespace soak
