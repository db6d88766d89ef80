// Additive increase, multiplicative decrease (Chiu and Jain, "Analysis of the
// increase and decrease algorithms for congestion avoidance", 1989).

#include "LibLimits/admission_controller.h"

#include <algorithm>
#include <cassert>

namespace limits {

AdmissionController::UpstreamState& AdmissionController::StateOf(
    std::unordered_map<std::string, UpstreamState>& states,
    const std::string& upstream) const {
  UpstreamState& state = states[upstream];
  if (state.limit == 0)
    state.limit = rules_.initial_limit;
  return state;
}

Admission AdmissionController::TryAdmit(const std::string& upstream,
                                        const std::string& party) {
  return states_.With(upstream, [&](auto& states) {
    UpstreamState& state = StateOf(states, upstream);
    const auto party_entry = state.running_by_party.find(party);
    const int party_running =
        party_entry == state.running_by_party.end() ? 0 : party_entry->second;
    const size_t party_count =
        state.running_by_party.size() + (party_running == 0 ? 1 : 0);
    // A party below its fair share is admitted even if the other parties have
    // reached the limit, up to twice the limit in total.
    const double fair_share = state.limit / static_cast<double>(party_count);
    if (state.running >= state.limit && party_running >= fair_share)
      return Admission::kRefused;
    if (state.running >= 2 * state.limit)
      return Admission::kRefused;
    ++state.running;
    ++state.running_by_party[party];
    return Admission::kAdmitted;
  });
}

void AdmissionController::AdaptLimit(UpstreamState& state,
                                     bool congested) const {
  if (state.completions_until_decrease > 0)
    --state.completions_until_decrease;
  if (!congested) {
    // NOTE: Without this check the limit of an idle upstream would rise to
    // `max_limit`.
    if (state.running * 2 >= state.limit)
      state.limit = std::min(state.limit + 1 / state.limit, rules_.max_limit);
    return;
  }
  if (state.completions_until_decrease > 0)
    return;
  state.limit =
      std::max(state.limit * rules_.decrease_factor, rules_.min_limit);
  state.completions_until_decrease = static_cast<int>(state.limit);
}

void AdmissionController::Release(const std::string& upstream,
                                  const std::string& party,
                                  base::Duration took,
                                  base::Duration allowed,
                                  Completion completion) {
  const auto congested_after = std::chrono::duration_cast<base::Duration>(
      allowed * rules_.congested_time_share);
  states_.With(upstream, [&](auto& states) {
    UpstreamState& state = StateOf(states, upstream);
    assert(state.running > 0);
    AdaptLimit(state,
               completion == Completion::kPartial || took > congested_after);
    --state.running;
    const auto party_entry = state.running_by_party.find(party);
    if (--party_entry->second == 0)
      state.running_by_party.erase(party_entry);
  });
}

double AdmissionController::ConcurrencyLimit(const std::string& upstream) {
  return states_.With(
      upstream, [&](auto& states) { return StateOf(states, upstream).limit; });
}

}  // namespace limits
