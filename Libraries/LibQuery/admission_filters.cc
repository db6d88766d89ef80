// Filters that decide whether a request may run. A refused request ends with
// Outcome::kNotRun.

#include "LibQuery/admission_filters.h"

#include <algorithm>
#include <set>
#include <utility>

#include "LibBase/digest.h"

namespace query {

using base::ErrorKind;

namespace {

constexpr base::Duration kMaxTimeAllowed = std::chrono::seconds(60);
constexpr base::Duration kMinTimeAllowed = std::chrono::milliseconds(1);
constexpr char kAccountSeparator = '\n';  // Can't occur in a header value.

base::Error RateExceededError() {
  return base::Error(ErrorKind::kLimitExceeded,
                     "the party has used up its agreed rate",
                     "send fewer requests, or publish a higher agreed rate");
}

}  // namespace

std::string AccountName(const std::string& party, const std::string& upstream) {
  return party + kAccountSeparator + upstream;
}

std::optional<limits::AccountTerms> TermsOfAccount(
    const config::Configuration& configuration,
    const std::string& account) {
  const size_t separator = account.find(kAccountSeparator);
  const config::Agreement* agreement =
      configuration.FindAgreement(account.substr(0, separator));
  if (!agreement || separator == std::string::npos)
    return std::nullopt;
  const config::UpstreamTerms* upstream_terms =
      agreement->FindUpstreamTerms(account.substr(separator + 1));
  if (!upstream_terms)
    return std::nullopt;
  return limits::AccountTerms{upstream_terms->sub_requests_per_second,
                              upstream_terms->burst};
}

void AdmitBooking(const config::Configuration& configuration,
                  limits::RateLimiter& rate_limiter,
                  const Booking& booking,
                  BookingDependencies::AdmitCallback callback) {
  const config::Agreement* agreement =
      configuration.FindAgreement(booking.party);
  const config::UpstreamTerms* upstream_terms =
      agreement ? agreement->FindUpstreamTerms(booking.upstream) : nullptr;
  if (!upstream_terms ||
      upstream_terms->booking == config::BookingRight::kNone) {
    callback(base::Error(
        ErrorKind::kNotFound,
        "the agreement allows no bookings at '" + booking.upstream + "'",
        "publish an agreement with mayBook"));
    return;
  }
  rate_limiter.Take(
      AccountName(booking.party, booking.upstream), 1,
      [callback = std::move(callback)](limits::TakeResult result) {
        if (result == limits::TakeResult::kTaken)
          callback(std::nullopt);
        else
          callback(RateExceededError());
      });
}

ReadinessFilter::ReadinessFilter(
    std::function<config::ConfigurationPtr()> current_configuration)
    : current_configuration_(std::move(current_configuration)) {}

void ReadinessFilter::Handle(ContextPtr context, Next next) {
  context->configuration = current_configuration_();
  if (!context->configuration) {
    context->Refuse(ErrorKind::kUnavailable,
                    "this entry host has no configuration in force",
                    "use another entry host");
    return;
  }
  if (context->configuration->revision < context->request.least_revision) {
    context->Refuse(ErrorKind::kUnavailable,
                    "revision " +
                        std::to_string(context->request.least_revision) +
                        " is not in force here yet",
                    "retry after a second, or use another entry host");
    return;
  }
  next(std::move(context));
}

void AuthenticationFilter::Handle(ContextPtr context, Next next) {
  const config::Agreement* agreement =
      context->configuration->FindAgreement(context->request.party);
  const std::string digest = base::Sha256Hex(context->request.party_key);
  bool is_proved = false;
  // NOTE: Every digest is compared, so that the duration reveals nothing about
  // them.
  if (agreement) {
    for (const std::string& expected : agreement->key_digests)
      is_proved |= base::ConstantTimeEquals(expected, digest);
  }
  if (!is_proved) {
    context->Refuse(ErrorKind::kUnauthorized, "the party or its key is unknown",
                    "send Celerycroft-Party and Authorization: Bearer KEY "
                    "with a key whose digest is in the agreement");
    return;
  }
  context->agreement = agreement;
  next(std::move(context));
}

void DeadlineFilter::Handle(ContextPtr context, Next next) {
  const base::Duration time_allowed = context->request.time_allowed.value_or(
      context->agreement->expectation.default_time_allowed);
  if (time_allowed < kMinTimeAllowed || time_allowed > kMaxTimeAllowed) {
    context->Refuse(ErrorKind::kInvalidInput, "the deadline is out of range",
                    "send a deadlineMs from 1 to 60000");
    return;
  }
  context->deadline = context->arrival + time_allowed;
  next(std::move(context));
}

void AgreementFilter::Handle(ContextPtr context, Next next) {
  const CallerRequest& request = context->request;
  if (request.operation != Operation::kQuery) {
    next(std::move(context));
    return;
  }
  context->upstream_terms =
      context->agreement->FindUpstreamTerms(request.upstream);
  if (!context->upstream_terms) {
    context->Refuse(
        ErrorKind::kNotFound,
        "the agreement names no upstream '" + request.upstream + "'",
        "query an upstream of the agreement, or publish a change to it");
    return;
  }
  const std::string account = AccountName(request.party, request.upstream);
  {
    const std::lock_guard lock(mutex_);
    int& running_queries = running_queries_[account];
    if (running_queries >= context->upstream_terms->concurrency) {
      context->Refuse(ErrorKind::kLimitExceeded,
                      "the party has as many requests running as agreed",
                      "wait for an answer before the next request");
      return;
    }
    ++running_queries;
  }
  context->respond = [this, account, respond = std::move(context->respond)](
                         CallerAnswer answer) {
    EndQuery(account);
    respond(std::move(answer));
  };
  next(std::move(context));
}

void AgreementFilter::EndQuery(const std::string& account) {
  const std::lock_guard lock(mutex_);
  --running_queries_[account];
}

OverloadFilter::OverloadFilter(base::Scheduler& scheduler,
                               limits::AdmissionController& admission)
    : scheduler_(scheduler), admission_(admission) {}

void OverloadFilter::Handle(ContextPtr context, Next next) {
  if (context->request.operation != Operation::kQuery) {
    next(std::move(context));
    return;
  }
  const std::string upstream = context->request.upstream;
  if (admission_.TryAdmit(upstream, context->request.party) ==
      limits::Admission::kRefused) {
    context->Refuse(ErrorKind::kOverloaded,
                    "the upstream can't take more work now",
                    "retry later, at a lower rate");
    return;
  }
  const base::Instant entered = scheduler_.Now();
  const base::Duration allowed = context->deadline - entered;
  context->respond =
      [this, upstream, party = context->request.party, entered, allowed,
       respond = std::move(context->respond)](CallerAnswer answer) {
        const bool is_complete = answer.query && answer.query->missing.empty();
        admission_.Release(upstream, party, scheduler_.Now() - entered, allowed,
                           is_complete ? limits::Completion::kComplete
                                       : limits::Completion::kPartial);
        respond(std::move(answer));
      };
  next(std::move(context));
}

CreditFilter::CreditFilter(limits::RateLimiter& rate_limiter,
                           upstream::SnapshotCatalogue& snapshots)
    : rate_limiter_(rate_limiter), snapshots_(snapshots) {}

double CreditFilter::EstimateSubRequests(const RequestContext& context) {
  const CallerRequest& request = context.request;
  const auto snapshot = snapshots_.Newest(request.upstream);
  if (!request.key.empty() || !snapshot)
    return 1;
  std::set<uint32_t> services;
  if (request.shards.empty())
    services.insert(snapshot->service_of_shard.begin(),
                    snapshot->service_of_shard.end());
  for (const uint32_t shard : request.shards) {
    if (shard < snapshot->shard_count())
      services.insert(snapshot->service_of_shard[shard]);
  }
  return static_cast<double>(std::max<size_t>(services.size(), 1));
}

void CreditFilter::Handle(ContextPtr context, Next next) {
  if (context->request.operation != Operation::kQuery) {
    next(std::move(context));
    return;
  }
  const std::string account =
      AccountName(context->request.party, context->request.upstream);
  const double amount = EstimateSubRequests(*context);
  rate_limiter_.Take(
      account, amount,
      [context, next = std::move(next)](limits::TakeResult result) {
        if (result == limits::TakeResult::kTaken)
          next(context);
        else
          context->respond(CallerAnswer::NotRun(RateExceededError()));
      });
}

}  // namespace query
