// Additive increase, multiplicative decrease (Chiu and Jain, "Analysis of the
// increase and decrease algorithms for congestion avoidance", 1989).

#include "LibLimits/admission_controller.h"

#include <algorithm>
#include <cassert>

namespace limits {

AdmissionController::Gate& AdmissionController::GateOf(
    std::unordered_map<std::string, Gate>& gates,
    const std::string& upstream) const {
  Gate& gate = gates[upstream];
  if (gate.limit == 0)
    gate.limit = rules_.initial_limit;
  return gate;
}

Admission AdmissionController::TryAdmit(const std::string& upstream,
                                        const std::string& party) {
  return gates_.With(upstream, [&](auto& gates) {
    Gate& gate = GateOf(gates, upstream);
    const auto own = gate.by_party.find(party);
    const int own_running = own == gate.by_party.end() ? 0 : own->second;
    const size_t parties = gate.by_party.size() + (own_running == 0 ? 1 : 0);
    // A party below its fair share enters also when others fill the gate.
    const double fair = gate.limit / static_cast<double>(parties);
    if (gate.running >= gate.limit && own_running >= fair)
      return Admission::kRefused;
    if (gate.running >= 2 * gate.limit)
      return Admission::kRefused;
    ++gate.running;
    ++gate.by_party[party];
    return Admission::kAdmitted;
  });
}

void AdmissionController::Adapt(Gate& gate, bool congested) const {
  if (gate.until_decrease > 0)
    --gate.until_decrease;
  if (!congested) {
    // NOTE: Without this check an idle upstream's limit would grow unbounded.
    if (gate.running * 2 >= gate.limit)
      gate.limit = std::min(gate.limit + 1 / gate.limit, rules_.most_limit);
    return;
  }
  if (gate.until_decrease > 0)
    return;
  gate.limit = std::max(gate.limit * rules_.decrease, rules_.least_limit);
  gate.until_decrease = static_cast<int>(gate.limit);
}

void AdmissionController::Release(const std::string& upstream,
                                  const std::string& party,
                                  base::Duration took,
                                  base::Duration allowed,
                                  Completion completion) {
  const auto limit = std::chrono::duration_cast<base::Duration>(
      allowed * rules_.congested_share);
  gates_.With(upstream, [&](auto& gates) {
    Gate& gate = GateOf(gates, upstream);
    assert(gate.running > 0);
    Adapt(gate, completion == Completion::kPartial || took > limit);
    --gate.running;
    const auto own = gate.by_party.find(party);
    if (--own->second == 0)
      gate.by_party.erase(own);
  });
}

double AdmissionController::ConcurrencyLimit(const std::string& upstream) {
  return gates_.With(
      upstream, [&](auto& gates) { return GateOf(gates, upstream).limit; });
}

}  // namespace limits
