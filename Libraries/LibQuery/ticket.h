// Tickets make bookings safe to repeat: only the process that issued a ticket
// runs the booking for which the ticket is used, and runs it only once.

#ifndef LIBQUERY_TICKET_H_
#define LIBQUERY_TICKET_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "LibBase/time.h"

namespace query {

struct Ticket {
  std::string node_id;     // Id of the issuing node.
  std::string process_id;  // Identifies the issuing process.
  uint64_t sequence = 0;   // Unique within the process.
  base::Instant expiry;    // By the issuer's monotonic clock.

  bool operator==(const Ticket&) const = default;
};

// Returns the text form of a ticket with a MAC that binds it to the party that
// requested it. `secret` is known to the issuing process only.
std::string SerializeTicket(const Ticket& ticket,
                            std::string_view party,
                            std::string_view secret);

// Parses the text form of a ticket without checking its MAC.
std::optional<Ticket> ParseTicket(std::string_view text);

// Returns whether the ticket was issued with `secret` to `party`.
bool IsTicketMacValid(std::string_view text,
                      std::string_view party,
                      std::string_view secret);

}  // namespace query

#endif  // LIBQUERY_TICKET_H_
