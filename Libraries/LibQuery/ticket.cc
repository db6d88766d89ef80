// The text form of a ticket is NODE.INCARNATION.SEQUENCE.EXPIRY_US.MAC, where
// INCARNATION is the id of the issuing process. The MAC covers the party and
// all fields before it.

#include "LibQuery/ticket.h"

#include <charconv>
#include <vector>

#include "LibBase/digest.h"

namespace query {

namespace {

constexpr size_t kMaxTicketBytes = 512;
constexpr size_t kFieldCount = 5;

// Returns the fields that the MAC covers.
std::string Payload(const Ticket& ticket) {
  return ticket.node_id + "." + ticket.process_id + "." +
         std::to_string(ticket.sequence) + "." +
         std::to_string(ticket.expiry.time_since_epoch().count());
}

std::string ComputeMac(std::string_view payload,
                       std::string_view party,
                       std::string_view secret) {
  return base::HmacSha256Hex(secret,
                             std::string(party) + "\n" + std::string(payload));
}

std::vector<std::string_view> SplitAtDots(std::string_view text) {
  std::vector<std::string_view> fields;
  size_t begin = 0;
  for (size_t dot = text.find('.'); dot != std::string_view::npos;
       dot = text.find('.', begin)) {
    fields.push_back(text.substr(begin, dot - begin));
    begin = dot + 1;
  }
  fields.push_back(text.substr(begin));
  return fields;
}

template <typename Number>
std::optional<Number> ParseNumber(std::string_view text) {
  Number number = 0;
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, number);
  if (result.ec != std::errc() || result.ptr != end)
    return std::nullopt;
  return number;
}

}  // namespace

std::string SerializeTicket(const Ticket& ticket,
                            std::string_view party,
                            std::string_view secret) {
  const std::string payload = Payload(ticket);
  return payload + "." + ComputeMac(payload, party, secret);
}

std::optional<Ticket> ParseTicket(std::string_view text) {
  if (text.size() > kMaxTicketBytes)
    return std::nullopt;
  const std::vector<std::string_view> fields = SplitAtDots(text);
  if (fields.size() != kFieldCount || fields[0].empty())
    return std::nullopt;
  const auto sequence = ParseNumber<uint64_t>(fields[2]);
  const auto expiry = ParseNumber<int64_t>(fields[3]);
  if (!sequence || !expiry)
    return std::nullopt;
  return Ticket{std::string(fields[0]), std::string(fields[1]), *sequence,
                base::Instant(base::Duration(*expiry))};
}

bool IsTicketMacValid(std::string_view text,
                      std::string_view party,
                      std::string_view secret) {
  const size_t dot = text.rfind('.');
  if (dot == std::string_view::npos)
    return false;
  return base::ConstantTimeEquals(
      text.substr(dot + 1), ComputeMac(text.substr(0, dot), party, secret));
}

}  // namespace query
