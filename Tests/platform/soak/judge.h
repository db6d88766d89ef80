// Judges what a soak saw by the platform's rules LOST, RECOVER, CONFIG and
// DRAIN.

#ifndef SOAK_JUDGE_H_
#define SOAK_JUDGE_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "observation.h"

namespace soak {

// The bounds of the deployment that the rules refer to.
struct RuleBounds {
  base::Duration grace = std::chrono::seconds(6);
  // How long no unplanned disruption came before a request that counts.
  base::Duration stable = std::chrono::seconds(4);
  base::Duration recovery = std::chrono::seconds(12);
  // A host may close a connection this soon after a request was sent, if it has
  // not passed the request on.
  base::Duration loss_slack = std::chrono::milliseconds(200);
  // How long after its acknowledgement a configuration is in force.
  base::Duration apply = std::chrono::seconds(3);
  // How long after its acknowledgement a departure keeps new work away.
  base::Duration drain = std::chrono::seconds(3);

  bool operator==(const RuleBounds&) const = default;
};

// A request that a stopping host had passed on and that ended without a
// complete answer.
struct LostRequest {
  ClientAttempt attempt;
  ServerRun run;  // The last one at a server.
  // From the SIGTERM until the request was sent.
  base::Duration sent_after_stop{};

  bool operator==(const LostRequest&) const = default;
};

// Returns the requests that count for the rule LOST around planned stops and
// that a server saw.
std::vector<LostRequest> FindLostRequests(const Observation& observation,
                                          const RuleBounds& bounds);

// Returns the requests around planned stops that no server saw and whose
// connection was closed later than the slack allows. They count for the rule
// LOST if the host had read them, which only the host knows.
std::vector<ClientAttempt> FindUnseenCuts(const Observation& observation,
                                          const RuleBounds& bounds);

// How many of the requests that were sent were answered with a success.
struct ServedShare {
  size_t sent = 0;
  size_t served = 0;

  double share() const {
    return sent == 0 ? 0
                     : static_cast<double>(served) / static_cast<double>(sent);
  }
  bool operator==(const ServedShare&) const = default;
};

struct Recovery {
  ServedShare before;  // Requests sent before the outage.
  ServedShare after;   // Requests sent after the time to recover.

  // Whether the rule RECOVER holds.
  bool is_kept() const;
  bool operator==(const Recovery&) const = default;
};

// Returns nothing unless there was an outage. Judges the last one.
std::optional<Recovery> JudgeRecovery(const Observation& observation,
                                      const RuleBounds& bounds);

// The rule CONFIG: returns the probes that were answered as only an older
// version allows, and counts those that had a bound to keep.
struct ProbeVerdict {
  size_t judged = 0;
  std::vector<ConfigurationProbe> stale;

  bool operator==(const ProbeVerdict&) const = default;
};
ProbeVerdict JudgeProbes(const Observation& observation,
                         const RuleBounds& bounds);

// The rule DRAIN: returns the runs that reached a server too long after its
// departure.
std::vector<ServerRun> FindRunsAfterDeparture(const Observation& observation,
                                              const RuleBounds& bounds);

}  // namespace soak

#endif  // SOAK_JUDGE_H_
