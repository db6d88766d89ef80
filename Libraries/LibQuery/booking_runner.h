// Runs a booking at one of the servers whose connections this node holds.

#ifndef LIBQUERY_BOOKING_RUNNER_H_
#define LIBQUERY_BOOKING_RUNNER_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "LibBase/random.h"
#include "LibBase/scheduler.h"
#include "LibConfig/configuration.h"
#include "LibQuery/booking_interfaces.h"
#include "LibUpstream/server_table.h"

namespace query {

// The objects and callbacks that the runner uses. All references outlive the
// runner.
struct BookingRunnerDependencies {
  base::Scheduler& scheduler;
  base::Random& random;
  BookingTransport& transport;
  upstream::ServerTable& servers;
  // Called with the address of a server that refused a booking because it is
  // leaving.
  std::function<void(const std::string& address)> on_leaving;
};

class BookingRunner {
 public:
  explicit BookingRunner(BookingRunnerDependencies dependencies);

  // Tries one server of the service after the other. Goes on to the next server
  // only if the one before proves that it did not run the booking.
  void Run(config::ConfigurationPtr configuration,
           BookingRun run,
           BookingCallback callback);

 private:
  const std::shared_ptr<const BookingRunnerDependencies> dependencies_;
};

}  // namespace query

#endif  // LIBQUERY_BOOKING_RUNNER_H_
