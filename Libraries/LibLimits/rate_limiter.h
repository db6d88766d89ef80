// Keeps the sub-requests that this node sends within the agreement of each
// party. Each sub-request takes credit of an account; more credit is requested
// from the account's owner before it runs out.

#ifndef LIBLIMITS_RATE_LIMITER_H_
#define LIBLIMITS_RATE_LIMITER_H_

#include <deque>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "LibBase/lock_striped.h"
#include "LibBase/scheduler.h"
#include "LibLimits/credit_client.h"
#include "LibLimits/credit_granter.h"

namespace limits {

struct RateLimiterRules {
  // While the owner of an account can't be reached, each node uses one part in
  // `planned_nodes` of the account.
  int planned_nodes = 1;
  base::Duration request_timeout = std::chrono::milliseconds(60);
  // Credit is requested in advance for the expected demand of this period.
  base::Duration prefetch_period = std::chrono::milliseconds(40);

  bool operator==(const RateLimiterRules&) const = default;
};

// Whether the credit was taken; a refused sub-request must not be sent.
enum class TakeResult { kTaken, kRefused };

class RateLimiter {
 public:
  using Callback = std::function<void(TakeResult)>;

  // All references outlive the rate limiter.
  RateLimiter(RateLimiterRules rules,
              AccountTermsLookup look_up_terms,
              base::Scheduler& scheduler,
              CreditClient& credit_client);

  // Takes credit for `amount` sub-requests. Calls `callback` once: immediately
  // while there is credit, else when the owner has answered or could not be
  // reached.
  void Take(const std::string& account, double amount, Callback callback);

  // Charges sub-requests that were sent without a call of Take, such as hedges.
  // Later credit pays for them.
  void Charge(const std::string& account, double amount);

 private:
  struct Credit {
    double amount;
    base::Instant expiry;
  };
  struct Waiter {
    double amount;
    Callback callback;
  };
  struct Account {
    std::deque<Credit> credits;  // Oldest first.
    std::deque<Waiter> waiters;  // Served in order.
    double debt = 0;             // Charged and not yet paid.
    // Exponentially decayed demand in sub-requests per second.
    double demand_rate = 0;
    base::Instant demand_updated_at;
    bool is_request_pending = false;
    // Number of `waiters`, from the front, that the pending request covers.
    size_t waiters_in_request = 0;
    // Token bucket with this node's fixed part of the account, used while the
    // owner can't be reached.
    double fallback_tokens = 0;
    base::Instant fallback_refilled_at;
  };
  // Waiters whose callbacks run after the account's lock is released.
  struct FinishedWaiters {
    std::vector<Callback> taken;
    std::vector<Callback> refused;
    void RunCallbacks() const;
  };

  // Returns the unexpired credit less the debt.
  static double Balance(Account& account, base::Instant now);
  // Pays `amount` and the debt from the credit, or returns false if the credit
  // does not cover them.
  static bool Pay(Account& account, double amount, base::Instant now);
  static void NoteDemand(Account& account, double amount, base::Instant now);
  // Pays from the fixed part of the account that this node may use while the
  // owner can't be reached.
  bool PayFallback(const std::string& name,
                   Account& account,
                   double amount,
                   base::Instant now);
  void RequestCreditIfNeeded(const std::string& name, Account& account);
  void OnGrant(const std::string& name,
               base::Instant requested_at,
               base::Result<Grant> grant);

  const RateLimiterRules rules_;
  const AccountTermsLookup look_up_terms_;
  base::Scheduler& scheduler_;
  CreditClient& credit_client_;
  base::LockStriped<std::unordered_map<std::string, Account>> accounts_;
};

}  // namespace limits

#endif  // LIBLIMITS_RATE_LIMITER_H_
