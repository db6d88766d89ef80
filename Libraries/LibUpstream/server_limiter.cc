// Remembers the limit that each server named last.

#include "LibUpstream/server_limiter.h"

#include <utility>

#include "LibBase/log.h"

namespace upstream {

namespace {

constexpr base::Duration kRejectionLogPeriod = std::chrono::minutes(1);

}  // namespace

void ServerLimiter::OnStatement(const std::string& instance,
                                base::Instant asked,
                                const ServerStatement& statement,
                                base::Instant) {
  // Nearly all servers never name a limit. They get no entry.
  if (!statement.max_request_rate && limited_server_count_ == 0)
    return;
  struct Change {
    std::optional<double> rate;
    uint64_t calls = 0;
  };
  const auto change =
      entries_.With(instance, [&](auto& entries) -> std::optional<Change> {
        const auto found = entries.find(instance);
        if (found == entries.end() && !statement.max_request_rate)
          return std::nullopt;
        Entry& entry = entries[instance];
        // NOTE: Answers may overtake each other.
        if (asked < entry.asked)
          return std::nullopt;
        entry.asked = asked;
        if (entry.rate == statement.max_request_rate)
          return std::nullopt;
        if (entry.rate.has_value() != statement.max_request_rate.has_value())
          CountLimited(statement.max_request_rate.has_value());
        entry.rate = statement.max_request_rate;
        return Change{entry.rate, std::exchange(entry.calls, 0)};
      });
  if (change)
    base::Log(base::Event::kServerLimitChanged,
              {{"server", instance},
               {"limit", change->rate ? std::to_string(*change->rate) : ""},
               {"calls", std::to_string(change->calls)}});
}

void ServerLimiter::CountLimited(bool is_limited) {
  if (is_limited)
    ++limited_server_count_;
  else
    --limited_server_count_;
}

void ServerLimiter::OnInvalidStatement(const std::string& instance,
                                       const base::Error& error,
                                       base::Instant now) {
  const bool is_due = rejections_.With(instance, [&](auto& rejections) {
    const auto [entry, is_new] = rejections.try_emplace(instance, now);
    if (!is_new && now - entry->second < kRejectionLogPeriod)
      return false;
    entry->second = now;
    return true;
  });
  if (is_due)
    base::Log(base::Event::kServerStatementRejected,
              {{"server", instance}, {"reason", error.ToString()}});
}

void ServerLimiter::OnCall(const std::string& instance, base::Instant) {
  if (limited_server_count_ == 0)
    return;
  entries_.With(instance, [&](auto& entries) {
    const auto found = entries.find(instance);
    if (found != entries.end())
      ++found->second.calls;
  });
}

}  // namespace upstream
