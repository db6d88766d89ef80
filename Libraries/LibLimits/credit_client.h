// Interface for requesting credit from the owner of an account.

#ifndef LIBLIMITS_CREDIT_CLIENT_H_
#define LIBLIMITS_CREDIT_CLIENT_H_

#include <functional>
#include <string>

#include "LibBase/error.h"
#include "LibLimits/grant.h"

namespace limits {

class CreditClient {
 public:
  virtual ~CreditClient() = default;

  using Callback = std::function<void(base::Result<Grant>)>;
  // Determines the account's owner from the known members and requests credit
  // from it. Calls `callback` once, never from within RequestCredit.
  virtual void RequestCredit(const GrantRequest& request,
                             base::Duration timeout,
                             Callback callback) = 0;
};

}  // namespace limits

#endif  // LIBLIMITS_CREDIT_CLIENT_H_
