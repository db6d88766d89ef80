// Tests the soak's rules on hand-made observations.

#include "judge.h"

#include <doctest/doctest.h>

namespace soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kAddress[] = "127.0.0.1:1";
constexpr base::Instant kStop{seconds(100)};

// A request of which a server was still running when its connection ended.
Observation MakeObservation(base::Duration sent_after_stop,
                            base::Duration ended_after_stop) {
  ClientAttempt attempt;
  attempt.request_id = "r";
  attempt.address = kAddress;
  attempt.sent = kStop + sent_after_stop;
  attempt.ended = kStop + ended_after_stop;
  attempt.time_allowed = seconds(3);
  attempt.end = AttemptEnd::kClosed;
  const ServerRun run{"r", "i", attempt.sent, attempt.ended, RunEnd::kDropped};
  return {{attempt}, {run}, {{kAddress, kStop, true}}, {}};
}

size_t LostCount(const Observation& observation) {
  return FindLostRequests(observation, {}).size();
}

TEST_CASE("a request that a stopping host passed on must be answered") {
  auto observation = MakeObservation(milliseconds(4500), milliseconds(6000));
  CHECK(LostCount(observation) == 1);
  SUBCASE("unless it was sent early and ran into the end of the grace period") {
    observation = MakeObservation(milliseconds(2900), milliseconds(5800));
    CHECK(LostCount(observation) == 0);
    observation = MakeObservation(milliseconds(2900), milliseconds(4000));
    CHECK(LostCount(observation) == 1);
  }
  SUBCASE("unless no server saw it") {
    observation.runs.clear();
    CHECK(LostCount(observation) == 0);
    CHECK(FindUnseenCuts(observation, {}).size() == 1);
    observation.attempts.front().ended = kStop + milliseconds(4650);
    CHECK(FindUnseenCuts(observation, {}).empty());
  }
  SUBCASE("unless servers refused it") {
    observation.runs.front().end = RunEnd::kRefused;
    CHECK(LostCount(observation) == 0);
  }
  SUBCASE("unless it was answered") {
    observation.attempts.front().end = AttemptEnd::kAnswered;
    CHECK(LostCount(observation) == 0);
  }
  SUBCASE("unless its time was over") {
    observation.attempts.front().time_allowed = milliseconds(1500);
    CHECK(LostCount(observation) == 0);
  }
  SUBCASE("unless another host was stopped") {
    observation.stops.front().address = "127.0.0.2:1";
    CHECK(LostCount(observation) == 0);
  }
  SUBCASE("unless hosts were lost shortly before") {
    observation.outages = {{kStop - seconds(2), kStop + seconds(1)}};
    CHECK(LostCount(observation) == 0);
    observation.outages = {{kStop - seconds(2), kStop}};
    CHECK(LostCount(observation) == 1);
  }
}

TEST_CASE("a quarter of the requests must be served once hosts are back") {
  Observation observation;
  CHECK_FALSE(JudgeRecovery(observation, {}).has_value());
  observation.outages = {{kStop, kStop + seconds(3)}};
  const auto add = [&](base::Duration sent_after_outage, int status) {
    ClientAttempt attempt;
    attempt.sent = kStop + sent_after_outage;
    attempt.status = status;
    observation.attempts.push_back(attempt);
  };
  add(-seconds(1), 200);
  add(seconds(14), 503);  // Within the time to recover.
  add(seconds(16), 503);
  CHECK_FALSE(JudgeRecovery(observation, {})->is_kept());
  add(seconds(16), 200);
  CHECK(JudgeRecovery(observation, {})->is_kept());
}

TEST_CASE("a probe must be answered as the newest version that is due allows") {
  Observation observation;
  observation.versions = {{1, kStop - seconds(60)}, {2, kStop}};
  const auto stale_count = [&](uint64_t version, base::Duration sent,
                               int status) {
    observation.probes = {{kAddress, version, kStop + sent,
                           kStop + sent + milliseconds(5), status}};
    return JudgeProbes(observation, {}).stale.size();
  };
  CHECK(stale_count(2, seconds(2), 404) == 0);  // Not due yet.
  CHECK(stale_count(2, seconds(3), 404) == 1);
  CHECK(stale_count(2, seconds(3), 503) == 0);  // Says nothing of the version.
  CHECK(stale_count(2, seconds(3), 200) == 0);
  CHECK(stale_count(1, seconds(3), 200) == 1);
  CHECK(stale_count(1, seconds(3), 404) == 0);
  // A newer version may be in force already.
  observation.versions.push_back({3, kStop + seconds(4)});
  CHECK(stale_count(2, seconds(5), 404) == 0);
  CHECK(stale_count(1, seconds(5), 200) == 1);
  // The store was away until shortly before.
  observation.store_outages = {{kStop, kStop + seconds(2)}};
  CHECK(stale_count(1, seconds(5), 200) == 0);
  CHECK(stale_count(1, seconds(7), 200) == 1);
}

TEST_CASE("a server gets no work once its departure has had time to spread") {
  Observation observation;
  observation.departures = {{"i-1", kStop}};
  const auto late_count = [&](const std::string& instance,
                              base::Duration arrived) {
    ServerRun run;
    run.instance = instance;
    run.arrived = kStop + arrived;
    observation.runs = {run};
    return FindRunsAfterDeparture(observation, {}).size();
  };
  CHECK(late_count("i-1", seconds(3)) == 0);
  CHECK(late_count("i-1", milliseconds(3001)) == 1);
  CHECK(late_count("i-2", milliseconds(3001)) == 0);
  observation.store_outages = {{kStop + seconds(1), kStop + seconds(2)}};
  CHECK(late_count("i-1", seconds(6)) == 0);
  CHECK(late_count("i-1", milliseconds(6001)) == 1);
}

}  // namespace
}  // namespace soak
