// Calls to servers as an interface, so that decisions run without sockets.

#ifndef LIBUPSTREAM_TRANSPORT_H_
#define LIBUPSTREAM_TRANSPORT_H_

#include <cstdint>
#include <functional>
#include <string>
#include <tl/expected.hpp>

#include "LibBase/error.h"
#include "LibBase/time.h"
#include "LibUpstream/server_report.h"
#include "LibUpstream/shard_call.h"

namespace upstream {

using ShardOutcome = tl::expected<ShardReply, ShardFailure>;
using ShardCallback = std::function<void(ShardOutcome)>;

enum class CallId : uint64_t { kNone = 0 };

// The connection budget of one server on this node.
struct ServerTarget {
  std::string address;
  int max_connections = 1;
  // As config::Server::instance.
  std::string instance = {};
};

class Transport {
 public:
  virtual ~Transport() = default;

  // Calls `callback` once, never from within Start; after Cancel perhaps not
  // at all.
  virtual CallId Start(const ServerTarget& target,
                       const ShardCall& call,
                       base::Duration timeout,
                       ShardCallback callback) = 0;

  // Frees what the call uses. Its connection is not used again.
  virtual void Cancel(CallId call) = 0;

  // Fails with kLeaving what still waits for a connection to the server.
  virtual void DropWaitingCalls(const std::string& address) = 0;
};

// Reads of servers' reports, as an interface.
class ReportSource {
 public:
  virtual ~ReportSource() = default;

  using ReportCallback = std::function<void(base::Result<ServerReport>)>;
  // Calls `callback` once, never from within FetchReport.
  virtual void FetchReport(const ServerTarget& target,
                           base::Duration timeout,
                           ReportCallback callback) = 0;
};

}  // namespace upstream

#endif  // LIBUPSTREAM_TRANSPORT_H_
