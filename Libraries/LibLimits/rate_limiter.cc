// Requests credit from the owners of accounts and pays for sub-requests with
// it.

#include "LibLimits/rate_limiter.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace limits {

namespace {

// Time constant of the exponential decay of the demand estimate.
constexpr double kDemandTimeConstantSeconds = 0.2;

}  // namespace

RateLimiter::RateLimiter(RateLimiterRules rules,
                         AccountTermsLookup look_up_terms,
                         base::Scheduler& scheduler,
                         CreditClient& credit_client)
    : rules_(rules),
      look_up_terms_(std::move(look_up_terms)),
      scheduler_(scheduler),
      credit_client_(credit_client) {}

void RateLimiter::FinishedWaiters::RunCallbacks() const {
  for (const Callback& callback : taken)
    callback(TakeResult::kTaken);
  for (const Callback& callback : refused)
    callback(TakeResult::kRefused);
}

double RateLimiter::Balance(Account& account, base::Instant now) {
  while (!account.credits.empty() && account.credits.front().expiry <= now)
    account.credits.pop_front();
  return std::accumulate(
      account.credits.begin(), account.credits.end(), -account.debt,
      [](double sum, const Credit& credit) { return sum + credit.amount; });
}

bool RateLimiter::Pay(Account& account, double amount, base::Instant now) {
  if (Balance(account, now) < amount)
    return false;
  double due = amount + std::exchange(account.debt, 0);
  while (due > 0 && !account.credits.empty()) {
    Credit& credit = account.credits.front();
    const double payment = std::min(due, credit.amount);
    credit.amount -= payment;
    due -= payment;
    if (credit.amount <= 0)
      account.credits.pop_front();
  }
  return true;
}

void RateLimiter::NoteDemand(Account& account,
                             double amount,
                             base::Instant now) {
  const double elapsed = base::ToSeconds(now - account.demand_updated_at);
  account.demand_rate *= std::exp(-elapsed / kDemandTimeConstantSeconds);
  account.demand_rate += amount / kDemandTimeConstantSeconds;
  account.demand_updated_at = now;
}

void RateLimiter::Take(const std::string& name,
                       double amount,
                       Callback callback) {
  const base::Instant now = scheduler_.Now();
  const bool taken = accounts_.With(name, [&](auto& accounts) {
    Account& account = accounts[name];
    NoteDemand(account, amount, now);
    const bool paid = account.waiters.empty() && Pay(account, amount, now);
    if (!paid)
      account.waiters.push_back({amount, std::move(callback)});
    RequestCreditIfNeeded(name, account);
    return paid;
  });
  if (taken)
    callback(TakeResult::kTaken);
}

void RateLimiter::Charge(const std::string& name, double amount) {
  if (amount <= 0)
    return;
  accounts_.With(name, [&](auto& accounts) { accounts[name].debt += amount; });
}

// The caller holds the lock of `accounts_` for this account.
void RateLimiter::RequestCreditIfNeeded(const std::string& name,
                                        Account& account) {
  const base::Instant now = scheduler_.Now();
  const double waiting_amount = std::accumulate(
      account.waiters.begin(), account.waiters.end(), 0.0,
      [](double sum, const Waiter& waiter) { return sum + waiter.amount; });
  const double expected_demand =
      account.demand_rate * base::ToSeconds(rules_.prefetch_period);
  const double shortfall =
      waiting_amount + expected_demand - Balance(account, now);
  const bool is_low =
      !account.waiters.empty() || shortfall > expected_demand / 2;
  if (account.is_request_pending || !is_low || shortfall <= 0)
    return;
  account.is_request_pending = true;
  account.waiters_in_request = account.waiters.size();
  credit_client_.RequestCredit({name, std::ceil(shortfall)},
                               rules_.request_timeout,
                               [this, name, now](base::Result<Grant> grant) {
                                 OnGrant(name, now, std::move(grant));
                               });
}

bool RateLimiter::PayFallback(const std::string& name,
                              Account& account,
                              double amount,
                              base::Instant now) {
  const auto terms = look_up_terms_(name);
  if (!terms)
    return false;
  const double share = 1.0 / rules_.planned_nodes;
  if (account.fallback_refilled_at != base::Instant())
    account.fallback_tokens +=
        terms->rate * share *
        base::ToSeconds(now - account.fallback_refilled_at);
  else
    account.fallback_tokens = terms->burst * share;
  account.fallback_refilled_at = now;
  account.fallback_tokens =
      std::min(account.fallback_tokens, terms->burst * share);
  if (account.fallback_tokens < amount)
    return false;
  account.fallback_tokens -= amount;
  return true;
}

void RateLimiter::OnGrant(const std::string& name,
                          base::Instant requested_at,
                          base::Result<Grant> grant) {
  const base::Instant now = scheduler_.Now();
  FinishedWaiters finished;
  accounts_.With(name, [&](auto& accounts) {
    Account& account = accounts[name];
    account.is_request_pending = false;
    // NOTE: The lifetime starts at the request, so that an owner that was
    // paused can't extend it.
    if (grant && grant->amount > 0 && requested_at + kCreditLifetime > now)
      account.credits.push_back(
          {grant->amount, requested_at + kCreditLifetime});
    for (; account.waiters_in_request > 0; --account.waiters_in_request) {
      Waiter waiter = std::move(account.waiters.front());
      account.waiters.pop_front();
      const bool paid =
          Pay(account, waiter.amount, now) ||
          (!grant && PayFallback(name, account, waiter.amount, now));
      (paid ? finished.taken : finished.refused)
          .push_back(std::move(waiter.callback));
    }
    // NOTE: Requests credit only for waiters that were added since the request.
    // Requesting credit in advance here would send requests without end to an
    // owner that has no credit to grant.
    if (!account.waiters.empty())
      RequestCreditIfNeeded(name, account);
  });
  finished.RunCallbacks();
}

}  // namespace limits
