// Splits the limits of servers among nodes and keeps this node within its
// shares with token buckets.

#include "LibUpstream/server_limiter.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

#include "LibBase/log.h"

namespace upstream {

namespace {

constexpr std::string_view kNoDemandText = "none";
// Time constant of the exponential decay of the demand estimate.
constexpr double kDemandTimeConstantSeconds = 1;
// Below this many calls a second, a node's demand counts as none.
constexpr double kMinDemandRate = 0.05;
// Demand is announced again once it differs from what was announced by more
// than this, in levels. Hysteresis keeps levels from changing back and forth.
constexpr double kLevelHysteresis = 0.8;
// A server that names a lower limit still gets calls at this rate, since only
// its answers tell when the limit ends.
constexpr double kMinLimitRate = 0.5;
// A share's unused calls of this period may be made up for.
constexpr double kBurstSeconds = 0.1;

double WeightOf(int level) {
  return std::exp2(level);
}

int LevelOf(double rate) {
  return std::clamp(static_cast<int>(std::lround(std::log2(rate))),
                    kMinDemandLevel, kMaxDemandLevel);
}

// Returns the level to announce in place of `announced`.
DemandLevel NextLevel(DemandLevel announced, double rate) {
  if (rate < kMinDemandRate)
    return std::nullopt;
  const bool is_current =
      announced && std::abs(std::log2(rate) - *announced) <= kLevelHysteresis;
  return is_current ? announced : LevelOf(rate);
}

}  // namespace

std::string SerializeDemandLevel(DemandLevel level) {
  return level ? std::to_string(*level) : std::string(kNoDemandText);
}

base::Result<DemandLevel> ParseDemandLevel(std::string_view text) {
  if (text == kNoDemandText)
    return DemandLevel();
  int level = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, level);
  if (parsed.ec != std::errc() || parsed.ptr != end ||
      level != std::clamp(level, kMinDemandLevel, kMaxDemandLevel))
    return base::Fail(base::ErrorKind::kInvalidInput,
                      "the demand for calls is not a level",
                      "run the same version on all nodes");
  return DemandLevel(level);
}

void ServerLimiter::DecayDemand(Entry& entry, base::Instant now) {
  const double elapsed = base::ToSeconds(now - entry.demand_updated_at);
  entry.demand_rate *= std::exp(-elapsed / kDemandTimeConstantSeconds);
  entry.demand_updated_at = now;
}

double ServerLimiter::ShareOf(const Entry& entry) {
  // Until its demand is announced, this node takes what little a new caller
  // may.
  const double weight =
      WeightOf(entry.announced_level.value_or(kMinDemandLevel));
  return std::max(*entry.rate, kMinLimitRate) * weight /
         (weight + entry.peer_weight);
}

void ServerLimiter::Refill(Entry& entry, base::Instant now) {
  const double share = ShareOf(entry);
  entry.tokens =
      std::min(1 + share * kBurstSeconds,
               entry.tokens + share * base::ToSeconds(now - entry.refilled_at));
  entry.refilled_at = now;
}

void ServerLimiter::OnLimit(const std::string& instance,
                            base::Instant asked,
                            std::optional<double> max_request_rate,
                            base::Instant now) {
  // Nearly all servers never name a limit. They get no entry.
  if (!max_request_rate && limited_server_count_ == 0)
    return;
  struct Change {
    std::optional<double> rate;
    uint64_t calls = 0;
    uint64_t calls_held_back = 0;
  };
  const auto change =
      entries_.With(instance, [&](Entries& entries) -> std::optional<Change> {
        const auto found = entries.find(instance);
        if (found == entries.end() && !max_request_rate)
          return std::nullopt;
        Entry& entry = entries[instance];
        // NOTE: Answers may overtake each other.
        if (asked < entry.asked)
          return std::nullopt;
        entry.asked = asked;
        if (entry.rate == max_request_rate)
          return std::nullopt;
        if (entry.rate)
          Refill(entry, now);
        else
          entry.refilled_at = now;
        if (entry.rate.has_value() != max_request_rate.has_value())
          CountLimited(max_request_rate.has_value());
        entry.rate = max_request_rate;
        return Change{entry.rate, std::exchange(entry.calls, 0),
                      std::exchange(entry.calls_held_back, 0)};
      });
  if (change)
    base::Log(base::Event::kServerLimitChanged,
              {{"server", instance},
               {"limit", change->rate ? std::to_string(*change->rate) : ""},
               {"calls", std::to_string(change->calls)},
               {"heldBack", std::to_string(change->calls_held_back)}});
}

void ServerLimiter::CountLimited(bool is_limited) {
  if (is_limited)
    ++limited_server_count_;
  else
    --limited_server_count_;
}

void ServerLimiter::OnPeerDemand(const std::string& instance,
                                 const std::string& node,
                                 DemandLevel level) {
  entries_.With(instance, [&](Entries& entries) {
    auto& peer_levels = entries[instance].peer_levels;
    if (level)
      peer_levels[node] = *level;
    else
      peer_levels.erase(node);
  });
}

std::vector<DemandAnnouncement> ServerLimiter::Tick(
    base::Instant now,
    const std::function<bool(const std::string& node)>& is_usable_node) {
  std::vector<DemandAnnouncement> announcements;
  std::map<std::string, std::map<std::string, int>> levels_by_instance;
  entries_.ForEachStripe([&](Entries& entries) {
    for (auto& [instance, entry] : entries) {
      if (entry.rate) {
        Refill(entry, now);
        DecayDemand(entry, now);
      }
      const DemandLevel level =
          entry.rate ? NextLevel(entry.announced_level, entry.demand_rate)
                     : std::nullopt;
      if (level != entry.announced_level)
        announcements.push_back({instance, level});
      entry.announced_level = level;
      if (entry.rate)
        levels_by_instance[instance] = entry.peer_levels;
    }
  });
  for (const auto& [instance, levels] : levels_by_instance) {
    double weight = 0;
    for (const auto& [node, level] : levels)
      weight += is_usable_node(node) ? WeightOf(level) : 0;
    entries_.With(instance, [weight, &key = instance](Entries& entries) {
      entries[key].peer_weight = weight;
    });
  }
  return announcements;
}

DemandLevel ServerLimiter::AnnouncedLevel(const std::string& instance) {
  return entries_.With(instance, [&](Entries& entries) {
    const auto found = entries.find(instance);
    return found == entries.end() ? std::nullopt
                                  : found->second.announced_level;
  });
}

bool ServerLimiter::TryCall(const std::string& instance, base::Instant now) {
  if (limited_server_count_ == 0)
    return true;
  return entries_.With(instance, [&](Entries& entries) {
    const auto found = entries.find(instance);
    if (found == entries.end() || !found->second.rate)
      return true;
    Entry& entry = found->second;
    DecayDemand(entry, now);
    entry.demand_rate += 1 / kDemandTimeConstantSeconds;
    Refill(entry, now);
    if (entry.tokens < 1) {
      ++entry.calls_held_back;
      return false;
    }
    entry.tokens -= 1;
    ++entry.calls;
    return true;
  });
}

base::Duration ServerLimiter::WaitFor(const std::string& instance,
                                      base::Instant now) {
  if (limited_server_count_ == 0)
    return {};
  return entries_.With(instance, [&](Entries& entries) -> base::Duration {
    const auto found = entries.find(instance);
    if (found == entries.end() || !found->second.rate)
      return {};
    Entry& entry = found->second;
    Refill(entry, now);
    const double seconds = std::max(0.0, 1 - entry.tokens) / ShareOf(entry);
    return std::chrono::duration_cast<base::Duration>(
        std::chrono::duration<double>(seconds));
  });
}

}  // namespace upstream
