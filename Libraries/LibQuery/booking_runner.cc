// Runs a booking at one of the servers of a service.

#include "LibQuery/booking_runner.h"

#include <algorithm>
#include <utility>

#include "LibUpstream/replica_policy.h"

namespace query {

namespace {

using upstream::ServerView;

// The attempts of one run at the servers of its service, one after the other.
class BookingRunExecution
    : public std::enable_shared_from_this<BookingRunExecution> {
 public:
  BookingRunExecution(
      std::shared_ptr<const BookingRunnerDependencies> dependencies,
      config::ConfigurationPtr configuration,
      BookingRun run,
      BookingCallback callback)
      : dependencies_(std::move(dependencies)),
        run_(std::move(run)),
        callback_(std::move(callback)),
        deadline_(dependencies_->scheduler.Now() + run_.time_left) {
    const config::Upstream* upstream =
        configuration->FindUpstream(run_.booking.upstream);
    if (!upstream || run_.service >= upstream->services.size())
      return;
    slots_ = upstream->slots;
    for (const config::Server& server :
         upstream->services[run_.service].servers)
      untried_addresses_.push_back(server.address);
  }

  // Only one attempt runs at any time, so no lock is needed.
  void TryNext() {
    const std::string address = TakeBestServer();
    if (address.empty() || !MaySend(address)) {
      callback_(BookingOutcome::NotRun(
          base::Error(base::ErrorKind::kUnavailable,
                      "no server of the service accepts bookings",
                      "request a new ticket and book again")));
      return;
    }
    BookingRun run = run_;
    run.time_left = deadline_ - dependencies_->scheduler.Now();
    dependencies_->transport.Send(
        address, run,
        [self = shared_from_this(), address] { return self->MaySend(address); },
        [self = shared_from_this(), address](BookingOutcome outcome) {
          self->OnOutcome(address, std::move(outcome));
        });
  }

 private:
  // Called again directly before the first byte is sent, because the process
  // may have been paused since the first call.
  bool MaySend(const std::string& address) {
    const base::Instant now = dependencies_->scheduler.Now();
    return now < deadline_ &&
           !dependencies_->servers.View(address, now).is_leaving;
  }

  // Removes the server with the least expected wait from the untried ones.
  // Returns its address, or an empty string if there is none.
  std::string TakeBestServer() {
    const base::Instant now = dependencies_->scheduler.Now();
    std::vector<ServerView> views;
    for (const std::string& address : untried_addresses_) {
      ServerView view = dependencies_->servers.View(address, now);
      if (!view.is_leaving)
        views.push_back(std::move(view));
    }
    if (views.empty())
      return "";
    const upstream::LeastExpectedWaitPolicy policy(slots_, base::Duration());
    std::string address =
        views[policy.Choose(views, dependencies_->random)].identity;
    std::erase(untried_addresses_, address);
    return address;
  }

  void OnOutcome(const std::string& address, BookingOutcome outcome) {
    if (outcome.status != BookingStatus::kNotRun) {
      callback_(std::move(outcome));
      return;
    }
    // A refusal of this kind means that the server is leaving.
    if (outcome.error.kind() == base::ErrorKind::kCancelled)
      dependencies_->on_leaving(address);
    TryNext();
  }

  const std::shared_ptr<const BookingRunnerDependencies> dependencies_;
  const BookingRun run_;
  const BookingCallback callback_;
  const base::Instant deadline_;
  std::vector<std::string> untried_addresses_;
  int slots_ = 1;  // Of each server.
};

}  // namespace

BookingRunner::BookingRunner(BookingRunnerDependencies dependencies)
    : dependencies_(std::make_shared<const BookingRunnerDependencies>(
          std::move(dependencies))) {}

void BookingRunner::Run(config::ConfigurationPtr configuration,
                        BookingRun run,
                        BookingCallback callback) {
  std::make_shared<BookingRunExecution>(dependencies_, std::move(configuration),
                                        std::move(run), std::move(callback))
      ->TryNext();
}

}  // namespace query
