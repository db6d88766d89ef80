// Runs a booking at one of several servers.

#include "LibQuery/booking_runner.h"

#include <algorithm>
#include <utility>

#include "LibUpstream/replica_policy.h"

namespace query {

namespace {

using upstream::ServerView;

class RunExecution : public std::enable_shared_from_this<RunExecution> {
 public:
  RunExecution(std::shared_ptr<const BookingRunnerDependencies> dependencies,
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
      untried_.push_back(server.address);
  }

  // Only one attempt runs at any time, so no lock is needed.
  void TryNext() {
    const std::string address = TakeBest();
    if (address.empty() || !MaySend(address)) {
      callback_(BookingOutcome::NotRun(
          base::Error(base::ErrorKind::kUnavailable,
                      "no server of the service takes bookings",
                      "ask for a new ticket and book again")));
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
  // Asked again directly before the first byte: the process may have been
  // paused since the decision.
  bool MaySend(const std::string& address) {
    const base::Instant now = dependencies_->scheduler.Now();
    return now < deadline_ &&
           !dependencies_->servers.View(address, now).is_leaving;
  }

  std::string TakeBest() {
    const base::Instant now = dependencies_->scheduler.Now();
    std::vector<ServerView> views;
    for (const std::string& address : untried_) {
      ServerView view = dependencies_->servers.View(address, now);
      if (!view.is_leaving)
        views.push_back(std::move(view));
    }
    if (views.empty())
      return "";
    const upstream::LeastExpectedWaitPolicy policy(slots_, base::Duration());
    std::string address =
        views[policy.Choose(views, dependencies_->random)].address;
    std::erase(untried_, address);
    return address;
  }

  void OnOutcome(const std::string& address, BookingOutcome outcome) {
    if (outcome.status != BookingStatus::kNotRun) {
      callback_(std::move(outcome));
      return;
    }
    // A refusal under this kind means that the server drains.
    if (outcome.error.kind() == base::ErrorKind::kCancelled)
      dependencies_->on_leaving(address);
    TryNext();
  }

  const std::shared_ptr<const BookingRunnerDependencies> dependencies_;
  const BookingRun run_;
  const BookingCallback callback_;
  const base::Instant deadline_;
  std::vector<std::string> untried_;
  int slots_ = 1;
};

}  // namespace

BookingRunner::BookingRunner(BookingRunnerDependencies dependencies)
    : dependencies_(std::make_shared<const BookingRunnerDependencies>(
          std::move(dependencies))) {}

void BookingRunner::Run(config::ConfigurationPtr configuration,
                        BookingRun run,
                        BookingCallback callback) {
  std::make_shared<RunExecution>(dependencies_, std::move(configuration),
                                 std::move(run), std::move(callback))
      ->TryNext();
}

}  // namespace query
