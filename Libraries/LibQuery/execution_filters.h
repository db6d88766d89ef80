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

// Counts what the answer says was sent, and charges what was not asked for
// in advance.
class UsageFilter final : public Filter {
 public:
  UsageFilter(usage::UsageLedger& ledger, limits::RateLimiter& limits);
  void Handle(ContextPtr context, Next next) override;

 private:
  void Count(const RequestContext& context, const CallerAnswer& answer);

  usage::UsageLedger& ledger_;
  limits::RateLimiter& limits_;
};

// Stands first: makes refusals of bookings by later filters speak for the
// ticket, not just for one attempt.
class TicketFilter final : public Filter {
 public:
  explicit TicketFilter(BookingController& bookings) : bookings_(bookings) {}
  void Handle(ContextPtr context, Next next) override;

 private:
  BookingController& bookings_;
};

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
