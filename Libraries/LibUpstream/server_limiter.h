// Keeps the calls of all nodes together within the limits that servers name. A
// server's limit is split evenly among the nodes that call it.

#ifndef LIBUPSTREAM_SERVER_LIMITER_H_
#define LIBUPSTREAM_SERVER_LIMITER_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "LibBase/lock_striped.h"
#include "LibBase/time.h"
#include "LibUpstream/call_limiter.h"
#include "LibUpstream/server_statement.h"

namespace upstream {

// Safe from any thread.
class ServerLimiter final : public CallLimiter {
 public:
  // Records what a server says of its limit. Logs changes of it.
  void OnStatement(const std::string& instance,
                   base::Instant asked,
                   const ServerStatement& statement,
                   base::Instant now);

  // Logs a statement that can't be used, once a minute for each server.
  void OnInvalidStatement(const std::string& instance,
                          const base::Error& error,
                          base::Instant now);

  // CallLimiter:
  void OnCall(const std::string& instance, base::Instant now) override;

  // Returns the number of servers that name a limit.
  size_t limited_server_count() const { return limited_server_count_; }

 private:
  struct Entry {
    std::optional<double> rate;  // Of all nodes together; unset without limit.
    base::Instant asked{};       // When the call began that told the rate.
    uint64_t calls = 0;          // Since the rate last changed.
  };

  void CountLimited(bool is_limited);

  base::LockStriped<std::unordered_map<std::string, Entry>> entries_;
  // When an invalid statement of a server was last logged, by instance.
  base::LockStriped<std::unordered_map<std::string, base::Instant>> rejections_;
  std::atomic<size_t> limited_server_count_{0};
};

}  // namespace upstream

#endif  // LIBUPSTREAM_SERVER_LIMITER_H_
