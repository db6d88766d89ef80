// Tickets make a non-idempotent request safe to repeat: only the process that
// issued a ticket runs the request under it, and only once.

#ifndef LIBQUERY_TICKET_H_
#define LIBQUERY_TICKET_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "LibBase/time.h"

namespace query {

struct Ticket {
  std::string node_id;      // Of the issuer.
  std::string incarnation;  // Of the issuing process.
  uint64_t sequence = 0;    // Unique within the incarnation.
  base::Instant expiry;     // On the issuer's monotonic clock.

  bool operator==(const Ticket&) const = default;
};

// The text form, authenticated under a key that only the issuing process
// knows, and bound to the party that asked for it.
std::string SealTicket(const Ticket& ticket,
                       std::string_view party,
                       std::string_view key);

// Reads the fields without checking the seal.
std::optional<Ticket> ParseTicket(std::string_view text);

bool IsSealValid(std::string_view text,
                 std::string_view party,
                 std::string_view key);

}  // namespace query

#endif  // LIBQUERY_TICKET_H_
