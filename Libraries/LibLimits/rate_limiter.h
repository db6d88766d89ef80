// Keeps every party within its agreement on this node: takes credit for
// sub-requests and asks the account's owner for more before it runs out.

#ifndef LIBLIMITS_RATE_LIMITER_H_
#define LIBLIMITS_RATE_LIMITER_H_

#include <deque>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "LibBase/scheduler.h"
#include "LibBase/sharded.h"
#include "LibLimits/credit_client.h"
#include "LibLimits/credit_granter.h"

namespace limits {

struct LimitRules {
  int planned_nodes = 1;
  base::Duration ask_timeout = std::chrono::milliseconds(60);
  // Credit asked ahead covers the demand of this long.
  base::Duration prefetch = std::chrono::milliseconds(40);

  bool operator==(const LimitRules&) const = default;
};

enum class TakeResult { kTaken, kRefused };

class RateLimiter {
 public:
  using Callback = std::function<void(TakeResult)>;

  // All references outlive the controller.
  RateLimiter(LimitRules rules,
              TermsOf terms_of,
              base::Scheduler& scheduler,
              CreditClient& link);

  // Calls `callback` once: at once while there is credit, else when the owner
  // has answered or could not be reached.
  void Take(const std::string& account, double amount, Callback callback);

  // Charges what was sent without asking first, such as hedges.
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
    double demand_rate = 0;      // Decayed, per second.
    base::Instant demand_at;
    bool asking = false;
    // Of `waiters`, those that the present question covers.
    size_t asked_for = 0;
    // The static part, used while the owner can't be reached.
    double static_tokens = 0;
    base::Instant static_at;
  };
  struct Served {
    std::vector<Callback> taken;
    std::vector<Callback> refused;
    void Run() const;
  };

  static double Balance(Account& account, base::Instant now);
  static bool Pay(Account& account, double amount, base::Instant now);
  static void NoteDemand(Account& account, double amount, base::Instant now);
  bool PayStatic(const std::string& name,
                 Account& account,
                 double amount,
                 base::Instant now);
  void AskIfNeeded(const std::string& name, Account& account);
  void OnGrant(const std::string& name,
               base::Instant asked_at,
               base::Result<Grant> grant);

  const LimitRules rules_;
  const TermsOf terms_of_;
  base::Scheduler& scheduler_;
  CreditClient& link_;
  base::Sharded<std::unordered_map<std::string, Account>> accounts_;
};

}  // namespace limits

#endif  // LIBLIMITS_RATE_LIMITER_H_
