// What bookings need of other nodes and of servers, as interfaces.

#ifndef LIBQUERY_BOOKING_INTERFACES_H_
#define LIBQUERY_BOOKING_INTERFACES_H_

#include <functional>
#include <string>

#include "LibBase/time.h"
#include "LibQuery/booking.h"

namespace query {

// One run of a booking at one server.
struct BookingRun {
  std::string run_id;  // The ticket; unique over all bookings.
  Booking booking;
  uint32_t service = 0;
  base::Duration time_left{};

  bool operator==(const BookingRun&) const = default;
};

using BookingCallback = std::function<void(BookingOutcome)>;

// Runs a booking at a node that holds connections to the service.
class BookingExecutor {
 public:
  virtual ~BookingExecutor() = default;

  // Calls `callback` once. kNotRun is said only where it is proved; the
  // caller may then run the booking elsewhere.
  virtual void Run(const std::string& node_id,
                   const BookingRun& run,
                   BookingCallback callback) = 0;
};

// Hands a booking to the node that issued its ticket.
class BookingForwarder {
 public:
  virtual ~BookingForwarder() = default;

  virtual void Forward(const std::string& node_id,
                       const std::string& ticket,
                       const Booking& booking,
                       base::Duration time_left,
                       BookingCallback callback) = 0;
};

// One exchange with one server, never repeated by the transport.
class BookingTransport {
 public:
  virtual ~BookingTransport() = default;

  // Sends on a connection opened for this run alone. `may_send` is asked
  // after the connection stands and directly before the first byte; if it
  // says no, the outcome is kNotRun.
  virtual void Send(const std::string& address,
                    const BookingRun& run,
                    std::function<bool()> may_send,
                    BookingCallback callback) = 0;
};

}  // namespace query

#endif  // LIBQUERY_BOOKING_INTERFACES_H_
