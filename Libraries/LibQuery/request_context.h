// One caller's request on its way through the filters.

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

enum class Operation { kQuery, kTicket, kBooking };

struct CallerRequest {
  Operation operation = Operation::kQuery;
  std::string party;  // As claimed; proved by `key`.
  std::string party_key;
  std::string upstream;
  std::string query;             // kQuery
  std::vector<uint32_t> shards;  // kQuery
  std::string key;               // kQuery of one shard, and kBooking
  std::string body;              // kBooking
  std::string ticket;            // kBooking
  std::optional<base::Duration> deadline;
  // The highest revision under which the caller has been answered.
  uint64_t least_revision = 0;

  bool operator==(const CallerRequest&) const = default;
};

enum class Outcome { kAnswered, kNotRun, kUnknown };

struct CallerAnswer {
  Outcome outcome = Outcome::kNotRun;
  std::optional<base::Error> error;  // Unless answered.
  std::optional<RootAnswer> query;
  std::string ticket;
  base::Duration ticket_life{};
  std::string booking;  // A JSON value.
  // Whether the outcome of a booking was found by the ticket's issuer.
  bool is_issuers_word = false;

  static CallerAnswer NotRun(base::Error error) {
    CallerAnswer answer;
    answer.error = std::move(error);
    return answer;
  }
};

// Invariant: `respond` is called exactly once, by whichever filter ends the
// request.
struct RequestContext {
  std::string request_id;
  CallerRequest request;
  base::Instant arrival;
  std::function<void(CallerAnswer)> respond;

  // Set by filters on the way.
  config::ConfigurationPtr configuration;
  const config::Agreement* agreement = nullptr;  // Of `configuration`.
  const config::Ask* ask = nullptr;              // Of `agreement`.
  base::Instant deadline;

  void Refuse(base::ErrorKind kind, std::string message, std::string remedy) {
    respond(CallerAnswer::NotRun(
        base::Error(kind, std::move(message), std::move(remedy))));
  }
};

using ContextPtr = std::shared_ptr<RequestContext>;

}  // namespace query

#endif  // LIBQUERY_REQUEST_CONTEXT_H_
