// Filters that decide whether a request may run: readiness, identity,
// deadline, agreement, overload and credit.

#ifndef LIBQUERY_ADMISSION_FILTERS_H_
#define LIBQUERY_ADMISSION_FILTERS_H_

#include <functional>
#include <map>
#include <mutex>
#include <string>

#include "LibBase/scheduler.h"
#include "LibLimits/admission_controller.h"
#include "LibLimits/rate_limiter.h"
#include "LibQuery/booking_controller.h"
#include "LibQuery/filter.h"
#include "LibUpstream/snapshot_catalogue.h"

namespace query {

// Refuses while no configuration is in force, or one older than the caller
// has seen.
class ReadinessFilter final : public Filter {
 public:
  // `current` gives null while the node must not answer yet.
  explicit ReadinessFilter(std::function<config::ConfigurationPtr()> current);
  void Handle(ContextPtr context, Next next) override;

 private:
  const std::function<config::ConfigurationPtr()> current_;
};

// Proves the party by its key.
class AuthenticationFilter final : public Filter {
 public:
  void Handle(ContextPtr context, Next next) override;
};

// Sets the deadline: the caller's, else the agreement's.
class DeadlineFilter final : public Filter {
 public:
  void Handle(ContextPtr context, Next next) override;
};

// Checks the right to query the upstream and the party's concurrency.
class AgreementFilter final : public Filter {
 public:
  void Handle(ContextPtr context, Next next) override;

 private:
  void Leave(const std::string& account);

  std::mutex mutex_;
  std::map<std::string, int> running_;  // By account; guarded by `mutex_`.
};

// Refuses early when the upstream can't take more.
class OverloadFilter final : public Filter {
 public:
  OverloadFilter(base::Scheduler& scheduler,
                 limits::AdmissionController& admission);
  void Handle(ContextPtr context, Next next) override;

 private:
  base::Scheduler& scheduler_;
  limits::AdmissionController& admission_;
};

// Takes credit for the sub-requests that a query will cause.
class CreditFilter final : public Filter {
 public:
  CreditFilter(limits::RateLimiter& limits,
               upstream::SnapshotCatalogue& snapshots);
  void Handle(ContextPtr context, Next next) override;

 private:
  double SubRequestsOf(const RequestContext& context);

  limits::RateLimiter& limits_;
  upstream::SnapshotCatalogue& snapshots_;
};

// The name of a party's right to an upstream.
std::string AccountName(const std::string& party, const std::string& upstream);

// The terms of an account under a configuration.
std::optional<limits::AccountTerms> TermsOfAccount(
    const config::Configuration& configuration,
    const std::string& account);

// Whether a booking may start: the right to it, and credit for it. Bookings
// are admitted where they run, not where they arrive.
void AdmitBooking(const config::Configuration& configuration,
                  limits::RateLimiter& limits,
                  const Booking& booking,
                  BookingDependencies::AdmitCallback verdict);

}  // namespace query

#endif  // LIBQUERY_ADMISSION_FILTERS_H_
