// Filters that count usage and run the request.

#ifndef LIBQUERY_EXECUTION_FILTERS_H_
#define LIBQUERY_EXECUTION_FILTERS_H_

#include "LibBase/scheduler.h"
#include "LibLimits/rate_limiter.h"
#include "LibQuery/booking_controller.h"
#include "LibQuery/filter.h"
#include "LibQuery/root_coordinator.h"
#include "LibUsage/usage_ledger.h"

namespace query {

// Records the sub-requests of each query in the usage ledger, and charges the
// hedges and retries, which CreditFilter can't foresee, to the account.
class UsageFilter final : public Filter {
 public:
  UsageFilter(usage::UsageLedger& ledger, limits::RateLimiter& rate_limiter);
  void Handle(ContextPtr context, Next next) override;

 private:
  void RecordUsage(const RequestContext& context, const CallerAnswer& answer);

  usage::UsageLedger& ledger_;
  limits::RateLimiter& rate_limiter_;
};

// Makes the refusal of a booking by a later filter hold for the ticket, not
// just for this attempt. Must be the first filter of the chain.
class TicketFilter final : public Filter {
 public:
  explicit TicketFilter(BookingController& bookings) : bookings_(bookings) {}
  void Handle(ContextPtr context, Next next) override;

 private:
  BookingController& bookings_;
};

// Runs the query or booking, or issues a ticket. Must be the last filter of the
// chain.
class ExecutionFilter final : public Filter {
 public:
  ExecutionFilter(RootCoordinator& coordinator, BookingController& bookings);
  void Handle(ContextPtr context, Next next) override;

 private:
  void RunQuery(const ContextPtr& context);
  void RunBooking(const ContextPtr& context);

  RootCoordinator& coordinator_;
  BookingController& bookings_;
};

}  // namespace query

#endif  // LIBQUERY_EXECUTION_FILTERS_H_
