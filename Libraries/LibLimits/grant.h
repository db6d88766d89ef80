// Credit to send sub-requests, granted by the owner of an account for a short
// time. An account is one party's right to one upstream.

#ifndef LIBLIMITS_GRANT_H_
#define LIBLIMITS_GRANT_H_

#include <string>

#include "LibBase/time.h"

namespace limits {

struct GrantRequest {
  std::string account;
  double wanted = 0;  // Sub-requests.

  bool operator==(const GrantRequest&) const = default;
};

struct Grant {
  double amount = 0;  // Sub-requests; 0 to what was wanted.

  bool operator==(const Grant&) const = default;
};

// Credit expires this long after the grantee asked for it, counted on the
// grantee's monotonic clock; a grant that an owner gave late is therefore
// void on arrival. In a window of 10 s this adds at most 1% to what is
// agreed.
inline constexpr base::Duration kGrantLife = std::chrono::milliseconds(100);

// What an account allows.
struct AccountTerms {
  double rate = 0;   // Sub-requests per second.
  double burst = 0;  // Sub-requests.

  bool operator==(const AccountTerms&) const = default;
};

}  // namespace limits

#endif  // LIBLIMITS_GRANT_H_
