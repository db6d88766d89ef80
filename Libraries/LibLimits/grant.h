// Credit to send sub-requests. An account is the right of one party to use one
// upstream. The node that owns an account grants credit of it to other nodes
// for a short time.

#ifndef LIBLIMITS_GRANT_H_
#define LIBLIMITS_GRANT_H_

#include <string>

#include "LibBase/time.h"

namespace limits {

struct GrantRequest {
  std::string account;
  double wanted = 0;  // Number of sub-requests.

  bool operator==(const GrantRequest&) const = default;
};

struct Grant {
  double amount = 0;  // Number of sub-requests, from 0 to `wanted`.

  bool operator==(const Grant&) const = default;
};

// Credit expires this long after the grantee requested it, measured on the
// grantee's monotonic clock. A grant that the owner gave late is therefore void
// on arrival. In a window of 10 s this lifetime adds at most 1% to the agreed
// number of sub-requests.
inline constexpr base::Duration kCreditLifetime =
    std::chrono::milliseconds(100);

// The agreed limits of an account.
struct AccountTerms {
  double rate = 0;   // Sub-requests per second.
  double burst = 0;  // Number of sub-requests.

  bool operator==(const AccountTerms&) const = default;
};

}  // namespace limits

#endif  // LIBLIMITS_GRANT_H_
