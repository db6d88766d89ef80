// Limits the number of requests that run at the same time for each upstream.
// The limit adapts to congestion and is shared among the parties. A request
// that would wait too long is refused early.

#ifndef LIBLIMITS_ADMISSION_CONTROLLER_H_
#define LIBLIMITS_ADMISSION_CONTROLLER_H_

#include <map>
#include <string>
#include <unordered_map>

#include "LibBase/lock_striped.h"
#include "LibBase/time.h"

namespace limits {

enum class Admission { kAdmitted, kRefused };
// Whether the answer covers all shards. kPartial also if there is no answer.
enum class Completion { kComplete, kPartial };

struct AdmissionRules {
  // The limits count requests of callers that run at the same time, for each
  // upstream.
  double initial_limit = 32;
  double min_limit = 2;
  double max_limit = 4096;
  // A request that took more than this share of its allowed time is a sign of
  // congestion.
  double congested_time_share = 0.5;
  double decrease_factor = 0.9;

  bool operator==(const AdmissionRules&) const = default;
};

class AdmissionController {
 public:
  explicit AdmissionController(AdmissionRules rules) : rules_(rules) {}

  // Admits or refuses a request. Each admitted request ends with one call of
  // Release.
  Admission TryAdmit(const std::string& upstream, const std::string& party);

  // Ends an admitted request that took the time `took` of the time `allowed`,
  // and adapts the limit of the upstream.
  void Release(const std::string& upstream,
               const std::string& party,
               base::Duration took,
               base::Duration allowed,
               Completion completion);

  // Returns the present limit on requests that run at the same time.
  double ConcurrencyLimit(const std::string& upstream);

 private:
  struct UpstreamState {
    double limit = 0;  // 0 until the first use.
    int running = 0;
    // Holds only parties with running requests.
    std::map<std::string, int> running_by_party;
    // Number of requests that must end before the limit may decrease again, so
    // that one congested moment decreases it only once.
    int completions_until_decrease = 0;
  };
  UpstreamState& StateOf(std::unordered_map<std::string, UpstreamState>& states,
                         const std::string& upstream) const;
  void AdaptLimit(UpstreamState& state, bool congested) const;

  const AdmissionRules rules_;
  base::LockStriped<std::unordered_map<std::string, UpstreamState>> states_;
};

}  // namespace limits

#endif  // LIBLIMITS_ADMISSION_CONTROLLER_H_
