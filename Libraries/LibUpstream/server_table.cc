// Health of servers, fed by this node's own calls first and reports second.

#include "LibUpstream/server_table.h"

#include <algorithm>
#include <cassert>
#include <cmath>

#include "LibBase/log.h"

namespace upstream {

namespace {

// Weight of one new latency sample.
constexpr double kLatencyGain = 0.2;
constexpr double kFailureGain = 0.2;
constexpr double kGapGain = 0.02;
// What was seen of a server counts in full until it has had no call for this
// multiple of the usual gap between two, and at least as long as stated; half
// as long again is its half-life from then on. A busy server that came out of a
// stall is used again within 5 s.
constexpr double kHoldGaps = 4;
constexpr base::Duration kLeastHold = std::chrono::milliseconds(500);
// Between calls to a server that answers none, at most: a server that came
// back is found within it.
constexpr base::Duration kLongestTrialPause = std::chrono::milliseconds(1000);
constexpr base::Duration kUnreachablePause = std::chrono::milliseconds(500);

}  // namespace

void ServerTable::Entry::NoteGap(base::Instant now) {
  const double gap = base::ToSeconds(now - last_end);
  if (usual_gap > 0)
    usual_gap = usual_gap * (1 - kGapGain) + gap * kGapGain;
  else if (last_end != base::Instant())
    usual_gap = gap;
  last_end = now;
}

// What is known of a server that gets no calls fades: it may be of a moment
// that is over, and only another call can tell.
double ServerTable::Fading(const Entry& entry, base::Instant now) {
  const double hold =
      std::max(base::ToSeconds(kLeastHold), kHoldGaps * entry.usual_gap);
  const double idle = base::ToSeconds(now - entry.last_end) - hold;
  return std::exp2(-std::max(0.0, idle) / (hold / 2));
}

// A server is left alone for as long again as it has been silent.
base::Duration ServerTable::TrialPause(const Entry& entry, base::Instant now) {
  return std::min(now - entry.last_progress, kLongestTrialPause);
}

ServerView ServerTable::ToView(const std::string& address,
                               const Entry& entry,
                               base::Instant now) {
  const bool leaving = entry.leaving_incarnation &&
                       *entry.leaving_incarnation >= entry.known_incarnation;
  const bool is_silent =
      entry.abandoned > 0 ? now < entry.next_trial : entry.outstanding > 0;
  const base::Instant seen_until =
      entry.outstanding > 0 ? now : entry.last_abandoned;
  const base::Duration silence =
      is_silent ? seen_until - entry.last_progress : base::Duration();
  const double fading = Fading(entry, now);
  return {address,
          entry.outstanding,
          base::Duration(static_cast<int64_t>(entry.latency_us * fading)),
          leaving,
          now < entry.unreachable_until,
          silence,
          entry.failure_share * fading,
          entry.newest_answered_start};
}

ServerView ServerTable::View(const std::string& address, base::Instant now) {
  return entries_.With(address, [&](auto& entries) {
    return ToView(address, entries[address], now);
  });
}

void ServerTable::OnCallStarted(const std::string& address, base::Instant now) {
  entries_.With(address, [&](auto& entries) {
    Entry& entry = entries[address];
    if (entry.outstanding == 0 && entry.abandoned == 0)
      entry.last_progress = now;
    if (entry.abandoned > 0 && now >= entry.next_trial)
      entry.next_trial = now + TrialPause(entry, now);
    ++entry.outstanding;
  });
}

void ServerTable::OnCallEnded(const std::string& address,
                              CallEnd end,
                              base::Duration elapsed,
                              base::Instant now) {
  entries_.With(address, [&](auto& entries) {
    Entry& entry = entries[address];
    --entry.outstanding;
    assert(entry.outstanding >= 0);
    const double fading = Fading(entry, now);
    entry.failure_share *= fading;
    entry.NoteGap(now);
    if (end == CallEnd::kAbandoned) {
      entry.last_abandoned = now;
      if (entry.abandoned++ == 0)
        entry.next_trial = now + TrialPause(entry, now);
    } else {
      entry.last_progress = now;
      entry.abandoned = 0;
      entry.failure_share = entry.failure_share * (1 - kFailureGain) +
                            (end == CallEnd::kFailed ? kFailureGain : 0);
    }
    const auto sample = static_cast<double>(elapsed.count());
    // NOTE: An abandoned call only shows that the latency is no less.
    if (end == CallEnd::kAbandoned && sample < entry.latency_us * fading)
      return;
    if (end == CallEnd::kFailed)
      return;
    if (end == CallEnd::kAnswered) {
      entry.unreachable_until = std::min(entry.unreachable_until, now);
      entry.newest_answered_start =
          std::max(entry.newest_answered_start, now - elapsed);
    }
    const double kept = entry.latency_us == 0 ? 0 : (1 - kLatencyGain) * fading;
    entry.latency_us = entry.latency_us * kept + sample * (1 - kept);
  });
}

void ServerTable::OnUnreachable(const std::string& address, base::Instant now) {
  const bool is_news = entries_.With(address, [&](auto& entries) {
    base::Instant& until = entries[address].unreachable_until;
    const bool was_reachable = now >= until;
    until = now + kUnreachablePause;
    return was_reachable;
  });
  if (is_news)
    base::Log(base::Event::kServerUnreachable, {{"server", address}});
}

bool ServerTable::MarkLeaving(const std::string& address,
                              uint64_t incarnation) {
  return entries_.With(address, [&](auto& entries) {
    Entry& entry = entries[address];
    const uint64_t leaving =
        incarnation == 0 ? entry.known_incarnation : incarnation;
    if (entry.leaving_incarnation && *entry.leaving_incarnation >= leaving)
      return false;
    entry.leaving_incarnation = leaving;
    return leaving >= entry.known_incarnation;
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
  entries_.ForEachShard([&](auto& entries) {
    for (const auto& [address, entry] : entries)
      views.push_back(ToView(address, entry, now));
  });
  std::ranges::sort(views, {}, &ServerView::address);
  return views;
}

}  // namespace upstream
