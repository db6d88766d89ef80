// Sends bookings over HTTP, each on a connection of its own.

#ifndef LIBQUERY_HTTP_BOOKING_TRANSPORT_H_
#define LIBQUERY_HTTP_BOOKING_TRANSPORT_H_

#include <functional>
#include <memory>
#include <string>

#include "LibQuery/booking_interfaces.h"
#include "LibUpstream/connection_pool.h"

namespace query {

class HttpBookingTransport final : public BookingTransport {
 public:
  // `max_connections_per_server` returns how many connections this node may
  // open to one server of an upstream.
  HttpBookingTransport(std::shared_ptr<upstream::ConnectionPool> pool,
                       std::function<int(const std::string& upstream)>
                           max_connections_per_server);

  void Send(const std::string& address,
            const BookingRun& run,
            std::function<bool()> may_send,
            BookingCallback callback) override;

 private:
  const std::shared_ptr<upstream::ConnectionPool> pool_;
  const std::function<int(const std::string&)> max_connections_per_server_;
};

}  // namespace query

#endif  // LIBQUERY_HTTP_BOOKING_TRANSPORT_H_
