// The grantee's side of limits.

#include "LibLimits/rate_limiter.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace limits {

namespace {

// Time constant of the demand estimate.
constexpr double kDemandMemorySeconds = 0.2;

}  // namespace

RateLimiter::RateLimiter(LimitRules rules,
                         TermsOf terms_of,
                         base::Scheduler& scheduler,
                         CreditClient& link)
    : rules_(rules),
      terms_of_(std::move(terms_of)),
      scheduler_(scheduler),
      link_(link) {}

void RateLimiter::Served::Run() const {
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
    const double part = std::min(due, credit.amount);
    credit.amount -= part;
    due -= part;
    if (credit.amount <= 0)
      account.credits.pop_front();
  }
  return true;
}

void RateLimiter::NoteDemand(Account& account,
                             double amount,
                             base::Instant now) {
  const double elapsed = base::ToSeconds(now - account.demand_at);
  account.demand_rate *= std::exp(-elapsed / kDemandMemorySeconds);
  account.demand_rate += amount / kDemandMemorySeconds;
  account.demand_at = now;
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
    AskIfNeeded(name, account);
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

// Called under the shard's lock.
void RateLimiter::AskIfNeeded(const std::string& name, Account& account) {
  const base::Instant now = scheduler_.Now();
  const double waiting = std::accumulate(
      account.waiters.begin(), account.waiters.end(), 0.0,
      [](double sum, const Waiter& waiter) { return sum + waiter.amount; });
  const double ahead = account.demand_rate * base::ToSeconds(rules_.prefetch);
  const double missing = waiting + ahead - Balance(account, now);
  const bool is_low = !account.waiters.empty() || missing > ahead / 2;
  if (account.asking || !is_low || missing <= 0)
    return;
  account.asking = true;
  account.asked_for = account.waiters.size();
  link_.RequestCredit({name, std::ceil(missing)}, rules_.ask_timeout,
                      [this, name, now](base::Result<Grant> grant) {
                        OnGrant(name, now, std::move(grant));
                      });
}

bool RateLimiter::PayStatic(const std::string& name,
                            Account& account,
                            double amount,
                            base::Instant now) {
  const auto terms = terms_of_(name);
  if (!terms)
    return false;
  const double share = 1.0 / rules_.planned_nodes;
  if (account.static_at != base::Instant())
    account.static_tokens +=
        terms->rate * share * base::ToSeconds(now - account.static_at);
  else
    account.static_tokens = terms->burst * share;
  account.static_at = now;
  account.static_tokens = std::min(account.static_tokens, terms->burst * share);
  if (account.static_tokens < amount)
    return false;
  account.static_tokens -= amount;
  return true;
}

void RateLimiter::OnGrant(const std::string& name,
                          base::Instant asked_at,
                          base::Result<Grant> grant) {
  const base::Instant now = scheduler_.Now();
  Served served;
  accounts_.With(name, [&](auto& accounts) {
    Account& account = accounts[name];
    account.asking = false;
    // NOTE: Life is counted from the question, so that an owner that was
    // paused can't lengthen it.
    if (grant && grant->amount > 0 && asked_at + kGrantLife > now)
      account.credits.push_back({grant->amount, asked_at + kGrantLife});
    for (; account.asked_for > 0; --account.asked_for) {
      Waiter waiter = std::move(account.waiters.front());
      account.waiters.pop_front();
      const bool paid =
          Pay(account, waiter.amount, now) ||
          (!grant && PayStatic(name, account, waiter.amount, now));
      (paid ? served.taken : served.refused)
          .push_back(std::move(waiter.callback));
    }
    // NOTE: Only for waiters that came meanwhile; asking ahead here would ask
    // an owner that has nothing to give without end.
    if (!account.waiters.empty())
      AskIfNeeded(name, account);
  });
  served.Run();
}

}  // namespace limits
