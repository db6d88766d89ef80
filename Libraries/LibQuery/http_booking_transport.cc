// Sends bookings over HTTP.

#include "LibQuery/http_booking_transport.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "LibUpstream/http_transport.h"

namespace query {

using base::Error;
using base::ErrorKind;
using nlohmann::json;

namespace {

std::string SerializeRun(const BookingRun& run) {
  return json{{"runId", run.run_id},
              {"party", run.booking.party},
              {"key", run.booking.key},
              {"body", run.booking.body},
              {"timeLeftUs", run.time_left.count()}}
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

BookingOutcome ToOutcome(const http::Response& response,
                         const std::string& run_id) {
  if (const auto refusal = upstream::RefusalOf(response)) {
    const bool leaving = *refusal == upstream::ShardFailure::kLeaving;
    return BookingOutcome::NotRun(
        Error(leaving ? ErrorKind::kCancelled : ErrorKind::kOverloaded,
              "the server refused the booking", "try another server"));
  }
  const json body = json::parse(response.body, nullptr, false);
  const bool is_for_this_run = body.is_object() &&
                               body.value("runId", "") == run_id &&
                               body.contains("result");
  if (response.status != http::kStatusOk || !is_for_this_run)
    return BookingOutcome::Unknown(
        Error(ErrorKind::kProtocol,
              "the server's answer is damaged or belongs to another booking",
              "look the booking up at the service before you book again"));
  return BookingOutcome::Answered(body["result"].dump());
}

BookingOutcome ToOutcome(const http::ExchangeError& error) {
  if (error.sent == http::SentState::kNothingSent)
    return BookingOutcome::NotRun(error.error);
  return BookingOutcome::Unknown(
      Error(error.error.kind(),
            "the booking was sent but not answered: " + error.error.message(),
            "look the booking up at the service before you book again"));
}

BookingOutcome NotSent(std::string reason) {
  return BookingOutcome::NotRun(Error(ErrorKind::kUnavailable,
                                      std::move(reason),
                                      "request a new ticket and book again"));
}

}  // namespace

HttpBookingTransport::HttpBookingTransport(
    std::shared_ptr<upstream::ConnectionPool> pool,
    std::function<int(const std::string&)> max_connections_per_server)
    : pool_(std::move(pool)),
      max_connections_per_server_(std::move(max_connections_per_server)) {}

void HttpBookingTransport::Send(const std::string& address,
                                const BookingRun& run,
                                std::function<bool()> may_send,
                                BookingCallback callback) {
  auto connection = pool_->TryAcquireFresh(
      address, max_connections_per_server_(run.booking.upstream));
  if (!connection) {
    callback(NotSent("no connection to " + address + " is free"));
    return;
  }
  // Releases the connection before the callback runs, which may need a new one
  // within the same limit.
  auto finish = [pool = pool_, address, connection,
                 callback = std::move(callback)](BookingOutcome outcome) {
    pool->Release(address, connection);
    callback(std::move(outcome));
  };
  connection->Connect(
      run.time_left,
      [connection, run, may_send = std::move(may_send),
       finish = std::move(finish)](base::Result<void> connected) {
        if (!connected) {
          finish(BookingOutcome::NotRun(std::move(connected).error()));
          return;
        }
        if (!may_send()) {
          finish(NotSent("the deadline passed or the server is leaving"));
          return;
        }
        connection->Exchange(
            {"POST", "/bookings", {}, SerializeRun(run)}, run.time_left,
            http::kMaxResponseBodyBytes,
            [run_id = run.run_id, finish](http::ExchangeResult result) {
              finish(result ? ToOutcome(*result, run_id)
                            : ToOutcome(result.error()));
            });
      });
}

}  // namespace query
