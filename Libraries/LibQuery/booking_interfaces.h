// Interfaces through which bookings reach other nodes and servers.

#ifndef LIBQUERY_BOOKING_INTERFACES_H_
#define LIBQUERY_BOOKING_INTERFACES_H_

#include <functional>
#include <string>

#include "LibBase/time.h"
#include "LibQuery/booking.h"

namespace query {

// An order to run a booking at one server of a service.
struct BookingRun {
  std::string run_id;  // The ticket's text; unique among all bookings.
  Booking booking;
  uint32_t service = 0;
  base::Duration time_left{};

  bool operator==(const BookingRun&) const = default;
};

using BookingCallback = std::function<void(BookingOutcome)>;

// Runs a booking through a node that holds connections to the service.
class BookingExecutor {
 public:
  virtual ~BookingExecutor() = default;

  // Calls `callback` once. The outcome is kNotRun only if that is proved; the
  // caller may then run the booking elsewhere.
  virtual void Run(const std::string& node_id,
                   const BookingRun& run,
                   BookingCallback callback) = 0;
};

// Forwards a booking to the node that issued its ticket.
class BookingForwarder {
 public:
  virtual ~BookingForwarder() = default;

  virtual void Forward(const std::string& node_id,
                       const std::string& ticket,
                       const Booking& booking,
                       base::Duration time_left,
                       BookingCallback callback) = 0;
};

// Sends a booking to one server. The transport never repeats the exchange.
class BookingTransport {
 public:
  virtual ~BookingTransport() = default;

  // Sends on a connection that is opened for this run alone. Calls `may_send`
  // when the connection is established, directly before the first byte is sent.
  // If it returns false, nothing is sent and the outcome is kNotRun.
  virtual void Send(const std::string& address,
                    const BookingRun& run,
                    std::function<bool()> may_send,
                    BookingCallback callback) = 0;
};

}  // namespace query

#endif  // LIBQUERY_BOOKING_INTERFACES_H_
