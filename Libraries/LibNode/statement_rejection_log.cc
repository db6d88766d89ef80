// Remembers when each server's last line was written.

#include "LibNode/statement_rejection_log.h"

namespace node {

namespace {

constexpr base::Duration kPeriod = std::chrono::minutes(1);

}  // namespace

void StatementRejectionLog::Add(const std::string& instance,
                                const base::Error& error,
                                base::Instant now) {
  const bool is_due = written_at_.With(instance, [&](auto& written_at) {
    const auto [entry, is_new] = written_at.try_emplace(instance, now);
    if (!is_new && now - entry->second < kPeriod)
      return false;
    entry->second = now;
    return true;
  });
  if (is_due)
    write_(instance, error);
}

}  // namespace node
