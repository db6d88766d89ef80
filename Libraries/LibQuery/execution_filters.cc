// Filters that count usage and run the request.

#include "LibQuery/execution_filters.h"

#include <utility>

#include "LibQuery/admission_filters.h"

namespace query {

namespace {

CallerAnswer ToCallerAnswer(BookingOutcome outcome) {
  CallerAnswer answer;
  switch (outcome.status) {
    case BookingStatus::kAnswered:
      answer.outcome = Outcome::kAnswered;
      answer.booking = std::move(outcome.answer);
      break;
    case BookingStatus::kNotRun:
      answer.error = std::move(outcome.error);
      break;
    case BookingStatus::kUnknown:
      answer.outcome = Outcome::kUnknown;
      answer.error = std::move(outcome.error);
      break;
  }
  return answer;
}

}  // namespace

void TicketFilter::Handle(ContextPtr context, Next next) {
  if (context->request.operation == Operation::kBooking) {
    context->respond =
        [this, ticket = context->request.ticket, party = context->request.party,
         respond = std::move(context->respond)](CallerAnswer answer) {
          // NOTE: A caller that has not proved to be the party must not void
          // the party's ticket.
          const bool is_refusal =
              answer.outcome == Outcome::kNotRun &&
              !answer.is_decided_by_issuer &&
              answer.error->kind() != base::ErrorKind::kUnauthorized;
          if (is_refusal)
            answer = ToCallerAnswer(
                bookings_.RefuseAttempt(ticket, party, *answer.error));
          respond(std::move(answer));
        };
  }
  next(std::move(context));
}

UsageFilter::UsageFilter(usage::UsageLedger& ledger,
                         limits::RateLimiter& rate_limiter)
    : ledger_(ledger), rate_limiter_(rate_limiter) {}

void UsageFilter::Handle(ContextPtr context, Next next) {
  context->respond = [this, weak = std::weak_ptr(context),
                      respond =
                          std::move(context->respond)](CallerAnswer answer) {
    if (const auto shared = weak.lock())
      RecordUsage(*shared, answer);
    respond(std::move(answer));
  };
  next(std::move(context));
}

void UsageFilter::RecordUsage(const RequestContext& context,
                              const CallerAnswer& answer) {
  // NOTE: A booking is recorded by the node that issued its ticket, because its
  // answer may be returned many times.
  if (!answer.query)
    return;
  const CallerRequest& request = context.request;
  const SubRequestCounts& load = answer.query->load;
  ledger_.Add(usage::CurrentDay(), request.party, request.upstream,
              load.primary, load.extra());
  rate_limiter_.Charge(AccountName(request.party, request.upstream),
                       static_cast<double>(load.extra()));
}

ExecutionFilter::ExecutionFilter(RootCoordinator& coordinator,
                                 BookingController& bookings)
    : coordinator_(coordinator), bookings_(bookings) {}

void ExecutionFilter::Handle(ContextPtr context, Next) {
  switch (context->request.operation) {
    case Operation::kQuery:
      RunQuery(context);
      return;
    case Operation::kBooking:
      RunBooking(context);
      return;
    case Operation::kTicket:
      CallerAnswer answer;
      answer.outcome = Outcome::kAnswered;
      answer.ticket = bookings_.IssueTicket(context->request.party);
      answer.ticket_life = bookings_.rules().ticket_life;
      context->respond(std::move(answer));
      return;
  }
}

void ExecutionFilter::RunQuery(const ContextPtr& context) {
  const CallerRequest& request = context->request;
  RootRequest root{
      context->request_id, request.party,
      request.upstream,    request.query,
      request.shards,      request.key,
      context->deadline,   context->upstream_terms->extra_load_share};
  coordinator_.Execute(std::move(root),
                       [context](base::Result<RootAnswer> result) {
                         CallerAnswer answer;
                         if (result) {
                           answer.outcome = Outcome::kAnswered;
                           answer.query = *std::move(result);
                         } else {
                           answer.error = std::move(result).error();
                         }
                         context->respond(std::move(answer));
                       });
}

void ExecutionFilter::RunBooking(const ContextPtr& context) {
  const CallerRequest& request = context->request;
  bookings_.Book(request.ticket,
                 {request.party, request.upstream, request.key, request.body},
                 context->deadline, [context](BookingOutcome outcome) {
                   CallerAnswer answer = ToCallerAnswer(std::move(outcome));
                   answer.is_decided_by_issuer = true;
                   context->respond(std::move(answer));
                 });
}

}  // namespace query
