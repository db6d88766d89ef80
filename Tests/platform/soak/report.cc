// Prints to standard output.

#include "report.h"

#include <algorithm>
#include <array>
#include <iomanip>
#include <iostream>
#include <map>
#include <string>

#include "judge.h"

namespace soak {

namespace {

// By AttemptEnd.
constexpr std::array kEndNames = std::to_array<std::string_view>(
    {"answered", "closed", "timed out", "not connected"});

std::string DescribeEnd(const ClientAttempt& attempt) {
  std::string text(kEndNames[static_cast<size_t>(attempt.end)]);
  if (attempt.status != 0)
    text += " " + std::to_string(attempt.status);
  return text;
}

void PrintLost(const LostRequest& lost) {
  std::cout << "  " << lost.attempt.request_id << " " << lost.attempt.route
            << " at " << lost.attempt.address << ", "
            << (lost.attempt.on_kept_connection ? "kept" : "new")
            << " connection, sent " << base::ToSeconds(lost.sent_after_stop)
            << " s after SIGTERM, ended after "
            << base::ToSeconds(lost.attempt.ended - lost.attempt.sent)
            << " s, at its server " << lost.run.instance << " for "
            << base::ToSeconds(lost.run.ended - lost.run.arrived) << " s\n";
}

}  // namespace

void PrintSummary(const Observation& seen) {
  std::map<std::string, size_t> counts;
  for (const ClientAttempt& attempt : seen.attempts)
    ++counts[DescribeEnd(attempt)];
  std::cout << "attempts " << seen.attempts.size();
  for (const auto& [end, count] : counts)
    std::cout << ", " << end << " " << count;
  std::cout << "\nstops " << seen.stops.size()
            << ", killed after the grace period "
            << std::ranges::count(seen.stops, true, &PlannedStop::was_killed)
            << "\n";
}

bool PrintVerdict(const Observation& seen) {
  const RuleBounds bounds;
  const auto lost = FindLostRequests(seen, bounds);
  std::cout << "LOST " << lost.size() << ", cut late and not passed on "
            << FindUnseenCuts(seen, bounds).size() << "\n"
            << std::fixed << std::setprecision(3);
  std::ranges::for_each(lost, PrintLost);
  const auto recovery = JudgeRecovery(seen, bounds);
  if (recovery)
    std::cout << "RECOVER before " << recovery->before.served << " of "
              << recovery->before.sent << ", after " << recovery->after.served
              << " of " << recovery->after.sent << "\n";
  const ProbeVerdict probes = JudgeProbes(seen, bounds);
  const auto after_departure = FindRunsAfterDeparture(seen, bounds);
  std::cout << "CONFIG " << probes.stale.size() << " of " << probes.judged
            << " probes, DRAIN " << after_departure.size() << "\n";
  return lost.empty() && (!recovery || recovery->is_kept()) &&
         probes.stale.empty() && after_departure.empty();
}

}  // namespace soak
