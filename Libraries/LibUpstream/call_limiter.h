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

  // Counts a call that is sent to the server.
  virtual void OnCall(const std::string& instance, base::Instant now) = 0;
};

}  // namespace upstream

#endif  // LIBUPSTREAM_CALL_LIMITER_H_
