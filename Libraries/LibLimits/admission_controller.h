// Adaptive concurrency for each upstream: refuses early what would wait too
// long, and shares what there is among the parties.

#ifndef LIBLIMITS_ADMISSION_CONTROLLER_H_
#define LIBLIMITS_ADMISSION_CONTROLLER_H_

#include <map>
#include <string>
#include <unordered_map>

#include "LibBase/sharded.h"
#include "LibBase/time.h"

namespace limits {

enum class Admission { kAdmitted, kRefused };
enum class Completion { kComplete, kPartial };

struct AdmissionRules {
  double initial_limit = 32;  // Whole requests at once, per upstream.
  double least_limit = 2;
  double most_limit = 4096;
  // A request that took more than this share of its time shows congestion.
  double congested_share = 0.5;
  double decrease = 0.9;

  bool operator==(const AdmissionRules&) const = default;
};

class AdmissionController {
 public:
  explicit AdmissionController(AdmissionRules rules) : rules_(rules) {}

  Admission TryAdmit(const std::string& upstream, const std::string& party);

  // `took` of the time `allowed`.
  void Release(const std::string& upstream,
               const std::string& party,
               base::Duration took,
               base::Duration allowed,
               Completion completion);

  double ConcurrencyLimit(const std::string& upstream);

 private:
  struct Gate {
    double limit = 0;  // 0 until first used.
    int running = 0;
    std::map<std::string, int> by_party;  // Parties with running requests.
    // Successes or failures still to pass before the next decrease, so that
    // one congested moment counts once.
    int until_decrease = 0;
  };
  Gate& GateOf(std::unordered_map<std::string, Gate>& gates,
               const std::string& upstream) const;
  void Adapt(Gate& gate, bool congested) const;

  const AdmissionRules rules_;
  base::Sharded<std::unordered_map<std::string, Gate>> gates_;
};

}  // namespace limits

#endif  // LIBLIMITS_ADMISSION_CONTROLLER_H_
