// The interface of limits on the calls to single servers.

#ifndef LIBUPSTREAM_CALL_LIMITER_H_
#define LIBUPSTREAM_CALL_LIMITER_H_

#include <string>

#include "LibBase/time.h"

namespace upstream {

// `instance` is config::Server::instance.
class CallLimiter {
 public:
  virtual ~CallLimiter() = default;

  // Records that this node wants to call the server, and returns whether it
  // may. The caller sends the call if it may.
  virtual bool TryCall(const std::string& instance, base::Instant now) = 0;

  // Returns how long this node has to wait until it may call the server. Zero
  // if it may call it now.
  virtual base::Duration WaitFor(const std::string& instance,
                                 base::Instant now) = 0;
};

}  // namespace upstream

#endif  // LIBUPSTREAM_CALL_LIMITER_H_
