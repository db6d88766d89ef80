// Filters that decide whether a request may run. They check readiness,
// identity, deadline, agreement, overload and credit.

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

// Sets the configuration. Refuses requests while no configuration is in force,
// or while its revision is older than one that the caller has already seen.
class ReadinessFilter final : public Filter {
 public:
  // `current_configuration` returns null while the node must not answer yet.
  explicit ReadinessFilter(
      std::function<config::ConfigurationPtr()> current_configuration);
  void Handle(ContextPtr context, Next next) override;

 private:
  const std::function<config::ConfigurationPtr()> current_configuration_;
};

// Verifies the party's key and sets the agreement.
class AuthenticationFilter final : public Filter {
 public:
  void Handle(ContextPtr context, Next next) override;
};

// Sets the deadline: the caller's, or the agreement's if the caller sent none.
// Refuses a deadline that is out of range.
class DeadlineFilter final : public Filter {
 public:
  void Handle(ContextPtr context, Next next) override;
};

// Checks that the agreement allows queries to the upstream, and limits how many
// of the party's queries to it run on this node at once.
class AgreementFilter final : public Filter {
 public:
  void Handle(ContextPtr context, Next next) override;

 private:
  void EndQuery(const std::string& account);

  std::mutex mutex_;
  // By account; guarded by `mutex_`.
  std::map<std::string, int> running_queries_;
};

// Refuses queries at once while the upstream has no capacity left for the
// party, and reports the duration of the others to the admission controller.
class OverloadFilter final : public Filter {
 public:
  OverloadFilter(base::Scheduler& scheduler,
                 limits::AdmissionController& admission);
  void Handle(ContextPtr context, Next next) override;

 private:
  base::Scheduler& scheduler_;
  limits::AdmissionController& admission_;
};

// Takes credit from the account of the party and the upstream for the primary
// sub-requests that a query will cause.
class CreditFilter final : public Filter {
 public:
  CreditFilter(limits::RateLimiter& rate_limiter,
               upstream::SnapshotCatalogue& snapshots);
  void Handle(ContextPtr context, Next next) override;

 private:
  double EstimateSubRequests(const RequestContext& context);

  limits::RateLimiter& rate_limiter_;
  upstream::SnapshotCatalogue& snapshots_;
};

// Returns the name of the account that limits the party's use of the upstream.
std::string AccountName(const std::string& party, const std::string& upstream);

// Returns the rate limit of an account under a configuration, or nothing if the
// configuration does not grant it.
std::optional<limits::AccountTerms> TermsOfAccount(
    const config::Configuration& configuration,
    const std::string& account);

// Decides whether a booking may start: the agreement must allow it, and the
// account must have credit for it. Bookings are admitted on the node that
// issued their ticket, not on the one that receives them.
void AdmitBooking(const config::Configuration& configuration,
                  limits::RateLimiter& rate_limiter,
                  const Booking& booking,
                  BookingDependencies::AdmitCallback callback);

}  // namespace query

#endif  // LIBQUERY_ADMISSION_FILTERS_H_
