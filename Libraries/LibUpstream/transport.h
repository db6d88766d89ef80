// Interfaces for calls to servers, so that the code which decides on calls can
// be tested without sockets.

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

// A server and this node's connection limit for it.
struct ServerTarget {
  std::string address;
  int max_connections = 1;
  // Hold config::Server::instance and incarnation.
  std::string instance = {};
  uint64_t incarnation = 0;
};

class Transport {
 public:
  virtual ~Transport() = default;

  // Opens a connection to the server for later calls, unless one is open.
  virtual void Prepare(const ServerTarget& target) = 0;

  // Sends a call. Calls `callback` once, but never from within Start, and after
  // Cancel possibly not at all.
  virtual CallId Start(const ServerTarget& target,
                       const ShardCall& call,
                       base::Duration timeout,
                       ShardCallback callback) = 0;

  // Cancels the call and frees its resources. Its connection is not used again.
  virtual void Cancel(CallId call) = 0;

  // Fails the calls that still wait for a connection to the server with
  // kLeaving.
  virtual void DropWaitingCalls(const std::string& address) = 0;
};

// Fetches servers' reports.
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
