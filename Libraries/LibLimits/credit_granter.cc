// Keeps a token bucket for each account that this node owns.

#include "LibLimits/credit_granter.h"

#include <algorithm>
#include <utility>

namespace limits {

namespace {

// A new owner can't know what the previous owner granted in its last moments.
// Its token bucket therefore starts with the credit of this period, one credit
// lifetime, instead of a full burst.
constexpr base::Duration kInitialCreditPeriod = kCreditLifetime;

}  // namespace

CreditGranter::CreditGranter(AccountTermsLookup look_up_terms,
                             std::function<double()> grantable_fraction)
    : look_up_terms_(std::move(look_up_terms)),
      grantable_fraction_(std::move(grantable_fraction)) {}

void CreditGranter::Refill(Account& account,
                           const AccountTerms& terms,
                           base::Instant now) const {
  const double rate = terms.rate * grantable_fraction_();
  const bool is_new = account.refilled_at == base::Instant();
  if (is_new)
    account.tokens = rate * base::ToSeconds(kInitialCreditPeriod);
  else
    account.tokens += rate * base::ToSeconds(now - account.refilled_at);
  account.tokens = std::min(account.tokens, terms.burst);
  account.refilled_at = now;
}

Grant CreditGranter::GrantCredit(const GrantRequest& request,
                                 base::Instant now) {
  const auto terms = look_up_terms_(request.account);
  if (!terms || !(request.wanted > 0))
    return {};
  return accounts_.With(request.account, [&](auto& accounts) {
    Account& account = accounts[request.account];
    Refill(account, *terms, now);
    const double amount = std::min(request.wanted, account.tokens);
    account.tokens -= amount;
    return Grant{amount};
  });
}

void CreditGranter::KeepOnly(
    const std::function<bool(const std::string&)>& is_owned) {
  accounts_.ForEachStripe([&](auto& accounts) {
    std::erase_if(accounts,
                  [&](const auto& entry) { return !is_owned(entry.first); });
  });
}

}  // namespace limits
