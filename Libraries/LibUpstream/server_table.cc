// Derives the health of servers mostly from this node's own calls; from reports
// it takes only incarnations and phases.

#include "LibUpstream/server_table.h"

#include <algorithm>
#include <cassert>
#include <cmath>

#include "LibBase/log.h"

namespace upstream {

namespace {

// The weight of one new sample in the decayed mean.
constexpr double kLatencySampleWeight = 0.2;
constexpr double kFailureSampleWeight = 0.2;
constexpr double kGapSampleWeight = 0.02;
// The estimates of a server keep their full weight until it has had no call for
// this multiple of the mean gap between calls, and at least for
// kMinFullWeightTime. From then on they decay with a half-life of half that
// time. This way a busy server that stalled is used again within 5 s of the end
// of the stall.
constexpr double kFullWeightGaps = 4;
constexpr base::Duration kMinFullWeightTime = std::chrono::milliseconds(500);
// The longest time between trial calls to a server that answers none. A server
// that answers again is found within this time.
constexpr base::Duration kMaxTrialDelay = std::chrono::milliseconds(1000);
// How long a server counts as unreachable after a failed connection attempt.
constexpr base::Duration kUnreachableTime = std::chrono::milliseconds(500);

}  // namespace

void ServerTable::Entry::RecordCallEnd(base::Instant now) {
  const double gap_seconds = base::ToSeconds(now - last_call_end);
  if (mean_gap_seconds > 0)
    mean_gap_seconds = mean_gap_seconds * (1 - kGapSampleWeight) +
                       gap_seconds * kGapSampleWeight;
  else if (last_call_end != base::Instant())
    mean_gap_seconds = gap_seconds;
  last_call_end = now;
}

// The estimates of a server that gets no calls lose weight: its state may have
// changed since, and only another call can show that.
double ServerTable::RemainingWeight(const Entry& entry, base::Instant now) {
  const double full_weight_seconds =
      std::max(base::ToSeconds(kMinFullWeightTime),
               kFullWeightGaps * entry.mean_gap_seconds);
  const double idle_seconds =
      base::ToSeconds(now - entry.last_call_end) - full_weight_seconds;
  return std::exp2(-std::max(0.0, idle_seconds) / (full_weight_seconds / 2));
}

// A silent server gets no trial call for as long as it has been silent so far.
base::Duration ServerTable::TrialDelay(const Entry& entry, base::Instant now) {
  return std::min(now - entry.last_progress, kMaxTrialDelay);
}

ServerView ServerTable::ToView(const std::string& identity,
                               const Entry& entry,
                               base::Instant now) {
  const bool is_reported_leaving =
      entry.leaving_incarnation &&
      *entry.leaving_incarnation >= entry.known_incarnation;
  const bool is_silent = entry.abandoned_calls > 0 ? now < entry.next_trial
                                                   : entry.outstanding > 0;
  const base::Instant silence_end =
      entry.outstanding > 0 ? now : entry.last_abandoned;
  const base::Duration silence =
      is_silent ? silence_end - entry.last_progress : base::Duration();
  const double remaining_weight = RemainingWeight(entry, now);
  return {identity,
          entry.outstanding,
          base::Duration(
              static_cast<int64_t>(entry.mean_latency_us * remaining_weight)),
          is_reported_leaving || !entry.takes_work,
          now < entry.unreachable_until,
          silence,
          entry.failure_share * remaining_weight,
          entry.newest_answered_start};
}

ServerView ServerTable::View(const std::string& identity, base::Instant now) {
  return entries_.With(identity, [&](auto& entries) {
    return ToView(identity, entries[identity], now);
  });
}

void ServerTable::OnCallStarted(const std::string& identity,
                                base::Instant now) {
  entries_.With(identity, [&](auto& entries) {
    Entry& entry = entries[identity];
    if (entry.outstanding == 0 && entry.abandoned_calls == 0)
      entry.last_progress = now;
    if (entry.abandoned_calls > 0 && now >= entry.next_trial)
      entry.next_trial = now + TrialDelay(entry, now);
    ++entry.outstanding;
  });
}

void ServerTable::OnCallEnded(const std::string& identity,
                              CallEnd end,
                              base::Duration elapsed,
                              base::Instant now) {
  entries_.With(identity, [&](auto& entries) {
    Entry& entry = entries[identity];
    --entry.outstanding;
    assert(entry.outstanding >= 0);
    const double remaining_weight = RemainingWeight(entry, now);
    entry.failure_share *= remaining_weight;
    entry.RecordCallEnd(now);
    if (end == CallEnd::kAbandoned) {
      entry.last_abandoned = now;
      if (entry.abandoned_calls++ == 0)
        entry.next_trial = now + TrialDelay(entry, now);
    } else {
      entry.last_progress = now;
      entry.abandoned_calls = 0;
      entry.failure_share =
          entry.failure_share * (1 - kFailureSampleWeight) +
          (end == CallEnd::kFailed ? kFailureSampleWeight : 0);
    }
    const auto sample_us = static_cast<double>(elapsed.count());
    // NOTE: An abandoned call shows only that the latency is not lower than
    // `elapsed`.
    if (end == CallEnd::kAbandoned &&
        sample_us < entry.mean_latency_us * remaining_weight)
      return;
    if (end == CallEnd::kFailed)
      return;
    if (end == CallEnd::kAnswered) {
      entry.unreachable_until = std::min(entry.unreachable_until, now);
      entry.newest_answered_start =
          std::max(entry.newest_answered_start, now - elapsed);
    }
    const double old_weight =
        entry.mean_latency_us == 0
            ? 0
            : (1 - kLatencySampleWeight) * remaining_weight;
    entry.mean_latency_us =
        entry.mean_latency_us * old_weight + sample_us * (1 - old_weight);
  });
}

void ServerTable::OnUnreachable(const std::string& identity,
                                base::Instant now) {
  const bool newly_unreachable = entries_.With(identity, [&](auto& entries) {
    base::Instant& until = entries[identity].unreachable_until;
    const bool was_reachable = now >= until;
    until = now + kUnreachableTime;
    return was_reachable;
  });
  if (newly_unreachable)
    base::Log(base::Event::kServerUnreachable, {{"server", identity}});
}

bool ServerTable::MarkLeaving(const std::string& identity,
                              uint64_t incarnation) {
  return entries_.With(identity, [&](auto& entries) {
    Entry& entry = entries[identity];
    const uint64_t leaving =
        incarnation == 0 ? entry.known_incarnation : incarnation;
    if (entry.leaving_incarnation && *entry.leaving_incarnation >= leaving)
      return false;
    entry.leaving_incarnation = leaving;
    return leaving >= entry.known_incarnation;
  });
}

void ServerTable::SetTakesWork(const std::string& identity, bool takes_work) {
  entries_.With(identity, [&](auto& entries) {
    entries[identity].takes_work = takes_work;
  });
}

bool ServerTable::OnReport(const ServerReport& report) {
  entries_.With(report.address, [&](auto& entries) {
    Entry& entry = entries[report.address];
    entry.known_incarnation =
        std::max(entry.known_incarnation, report.incarnation);
  });
  return report.phase == ServerPhase::kLeaving &&
         MarkLeaving(report.address, report.incarnation);
}

std::vector<ServerView> ServerTable::Dump(base::Instant now) {
  std::vector<ServerView> views;
  entries_.ForEachStripe([&](auto& entries) {
    for (const auto& [identity, entry] : entries)
      views.push_back(ToView(identity, entry, now));
  });
  std::ranges::sort(views, {}, &ServerView::identity);
  return views;
}

}  // namespace upstream
