// Grants credit for the accounts that this node owns.

#ifndef LIBLIMITS_CREDIT_GRANTER_H_
#define LIBLIMITS_CREDIT_GRANTER_H_

#include <functional>
#include <optional>
#include <string>
#include <unordered_map>

#include "LibBase/sharded.h"
#include "LibLimits/grant.h"

namespace limits {

using TermsOf =
    std::function<std::optional<AccountTerms>(const std::string& account)>;

class CreditGranter {
 public:
  // `fraction` is the share of an account that this node may grant in full
  // view of the members it sees: 1 with a majority of the planned nodes, less
  // in a minority.
  CreditGranter(TermsOf terms_of, std::function<double()> fraction);

  Grant GrantCredit(const GrantRequest& request, base::Instant now);

  // Forgets accounts that another node owns now; if one comes back, it starts
  // as a new account.
  void KeepOnly(const std::function<bool(const std::string&)>& is_owned);

 private:
  struct Account {
    double tokens = 0;  // 0 to the burst.
    base::Instant refilled_at;
  };
  void Refill(Account& account,
              const AccountTerms& terms,
              base::Instant now) const;

  const TermsOf terms_of_;
  const std::function<double()> fraction_;
  base::Sharded<std::unordered_map<std::string, Account>> accounts_;
};

}  // namespace limits

#endif  // LIBLIMITS_CREDIT_GRANTER_H_
