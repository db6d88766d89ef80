// Grants credit for the accounts that this node owns to the nodes that request
// it.

#ifndef LIBLIMITS_CREDIT_GRANTER_H_
#define LIBLIMITS_CREDIT_GRANTER_H_

#include <functional>
#include <optional>
#include <string>
#include <unordered_map>

#include "LibBase/lock_striped.h"
#include "LibLimits/grant.h"

namespace limits {

// Returns the terms of an account, or nothing if there is no such agreement.
using AccountTermsLookup =
    std::function<std::optional<AccountTerms>(const std::string& account)>;

class CreditGranter {
 public:
  // `grantable_fraction` returns the share of an account's rate that this node
  // may grant: 1 while the node sees a majority of the planned nodes, less
  // otherwise.
  CreditGranter(AccountTermsLookup look_up_terms,
                std::function<double()> grantable_fraction);

  // Grants what the account has, at most what the request wants.
  Grant GrantCredit(const GrantRequest& request, base::Instant now);

  // Erases the accounts that another node owns now. An account that this node
  // owns again later starts as a new account.
  void KeepOnly(const std::function<bool(const std::string&)>& is_owned);

 private:
  struct Account {
    double tokens = 0;  // Number of sub-requests, from 0 to the burst.
    base::Instant refilled_at;
  };
  void Refill(Account& account,
              const AccountTerms& terms,
              base::Instant now) const;

  const AccountTermsLookup look_up_terms_;
  const std::function<double()> grantable_fraction_;
  base::LockStriped<std::unordered_map<std::string, Account>> accounts_;
};

}  // namespace limits

#endif  // LIBLIMITS_CREDIT_GRANTER_H_
