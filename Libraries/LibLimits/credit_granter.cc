// A token bucket for each owned account.

#include "LibLimits/credit_granter.h"

#include <algorithm>
#include <utility>

namespace limits {

namespace {

// A new owner can't know what the old one gave in its last moments, so it
// starts with the credit of one grant life instead of a full burst.
constexpr base::Duration kStartingCredit = kGrantLife;

}  // namespace

CreditGranter::CreditGranter(TermsOf terms_of, std::function<double()> fraction)
    : terms_of_(std::move(terms_of)), fraction_(std::move(fraction)) {}

void CreditGranter::Refill(Account& account,
                           const AccountTerms& terms,
                           base::Instant now) const {
  const double rate = terms.rate * fraction_();
  const bool is_new = account.refilled_at == base::Instant();
  if (is_new)
    account.tokens = rate * base::ToSeconds(kStartingCredit);
  else
    account.tokens += rate * base::ToSeconds(now - account.refilled_at);
  account.tokens = std::min(account.tokens, terms.burst);
  account.refilled_at = now;
}

Grant CreditGranter::GrantCredit(const GrantRequest& request,
                                 base::Instant now) {
  const auto terms = terms_of_(request.account);
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
  accounts_.ForEachShard([&](auto& accounts) {
    std::erase_if(accounts,
                  [&](const auto& entry) { return !is_owned(entry.first); });
  });
}

}  // namespace limits
