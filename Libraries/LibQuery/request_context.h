// A caller's request, its answer, and the state that the filters share while
// they handle it.

#ifndef LIBQUERY_REQUEST_CONTEXT_H_
#define LIBQUERY_REQUEST_CONTEXT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "LibBase/error.h"
#include "LibBase/time.h"
#include "LibConfig/configuration.h"
#include "LibQuery/booking.h"
#include "LibQuery/root_coordinator.h"

namespace query {

// What a caller asks for; each operation has its own path.
enum class Operation { kQuery, kTicket, kBooking };

struct CallerRequest {
  Operation operation = Operation::kQuery;
  std::string party;  // As the caller claims; `party_key` proves it.
  std::string party_key;
  std::string upstream;          // For kQuery and kBooking.
  std::string query;             // For kQuery.
  std::vector<uint32_t> shards;  // For kQuery.
  std::string key;     // Selects the shard. Required for kBooking only.
  std::string body;    // For kBooking.
  std::string ticket;  // For kBooking.
  // How long the caller waits for the answer, if the request says so.
  std::optional<base::Duration> time_allowed;
  // The highest configuration revision under which the caller has received an
  // answer.
  uint64_t least_revision = 0;

  bool operator==(const CallerRequest&) const = default;
};

// How a caller's request ended. kNotRun: nothing was run, nor will be.
// kUnknown: a booking may have run, or may still run.
enum class Outcome { kAnswered, kNotRun, kUnknown };

struct CallerAnswer {
  Outcome outcome = Outcome::kNotRun;
  std::optional<base::Error> error;  // Set unless kAnswered.
  std::optional<RootAnswer> query;   // For an answered kQuery.
  std::string ticket;                // For an answered kTicket.
  base::Duration ticket_life{};
  std::string booking;  // JSON result of an answered kBooking.
  // Whether the outcome of a booking comes from BookingController, which asks
  // the node that issued the ticket.
  bool is_decided_by_issuer = false;

  static CallerAnswer NotRun(base::Error error) {
    CallerAnswer answer;
    answer.error = std::move(error);
    return answer;
  }
};

// The state of a request that the filters share. Invariant: exactly one filter
// ends the request, and it calls `respond` exactly once.
struct RequestContext {
  std::string request_id;
  CallerRequest request;
  base::Instant arrival;
  std::function<void(CallerAnswer)> respond;

  // Set by filters before they pass the request on.
  config::ConfigurationPtr configuration;
  const config::Agreement* agreement = nullptr;  // Within `configuration`.
  // Within `agreement`; set for kQuery only.
  const config::UpstreamTerms* upstream_terms = nullptr;
  base::Instant deadline;

  void Refuse(base::ErrorKind kind, std::string message, std::string remedy) {
    respond(CallerAnswer::NotRun(
        base::Error(kind, std::move(message), std::move(remedy))));
  }
};

using ContextPtr = std::shared_ptr<RequestContext>;

}  // namespace query

#endif  // LIBQUERY_REQUEST_CONTEXT_H_
