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
constexpr base::Duration kFailureHalfLife = std::chrono::seconds(2);
// Between calls to a server that answers none, at most: a server that came
// back is found within it.
constexpr base::Duration kLongestTrialPause = std::chrono::milliseconds(1000);
constexpr base::Duration kUnreachablePause = std::chrono::milliseconds(500);

}  // namespace

// Fades by itself, so that a server that failed is tried again.
double ServerTable::FailureShare(const Entry& entry, base::Instant now) {
  const double age = base::ToSeconds(now - entry.last_failure);
  return entry.failure_share *
         std::exp2(-age / base::ToSeconds(kFailureHalfLife));
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
  return {address,
          entry.outstanding,
          base::Duration(static_cast<int64_t>(entry.latency_us)),
          leaving,
          now < entry.unreachable_until,
          silence,
          FailureShare(entry, now)};
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
    if (end == CallEnd::kAbandoned) {
      entry.last_abandoned = now;
      if (entry.abandoned++ == 0)
        entry.next_trial = now + TrialPause(entry, now);
    } else {
      entry.last_progress = now;
      entry.abandoned = 0;
      entry.failure_share = FailureShare(entry, now) * (1 - kFailureGain) +
                            (end == CallEnd::kFailed ? kFailureGain : 0);
      entry.last_failure = now;
    }
    const auto sample = static_cast<double>(elapsed.count());
    // NOTE: An abandoned call only shows that the latency is no less.
    if (end == CallEnd::kAbandoned && sample < entry.latency_us)
      return;
    if (end == CallEnd::kFailed)
      return;
    if (end == CallEnd::kAnswered)
      entry.unreachable_until = std::min(entry.unreachable_until, now);
    entry.latency_us =
        entry.latency_us == 0
            ? sample
            : entry.latency_us * (1 - kLatencyGain) + sample * kLatencyGain;
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
