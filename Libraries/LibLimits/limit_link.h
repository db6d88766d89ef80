// Requests for credit to the owner of an account, as an interface.

#ifndef LIBLIMITS_LIMIT_LINK_H_
#define LIBLIMITS_LIMIT_LINK_H_

#include <functional>
#include <string>

#include "LibBase/error.h"
#include "LibLimits/grant.h"

namespace limits {

class LimitLink {
 public:
  virtual ~LimitLink() = default;

  using Callback = std::function<void(base::Result<Grant>)>;
  // Finds the account's owner by the members it knows and asks it. Calls
  // `callback` once, never from within Ask.
  virtual void Ask(const GrantRequest& request,
                   base::Duration timeout,
                   Callback callback) = 0;
};

}  // namespace limits

#endif  // LIBLIMITS_LIMIT_LINK_H_
