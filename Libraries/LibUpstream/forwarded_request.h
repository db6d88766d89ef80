// Requests that are passed on to servers as callers sent them, and the servers'
// replies.

#ifndef LIBUPSTREAM_FORWARDED_REQUEST_H_
#define LIBUPSTREAM_FORWARDED_REQUEST_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "LibBase/time.h"
#include "LibHttp/message.h"

namespace upstream {

struct ForwardedRequest {
  std::string id;  // Set by the caller; differs also between its own retries.
  std::string host;
  // Holds the method, target, body, and the headers that are passed on.
  http::Request message;

  bool operator==(const ForwardedRequest&) const = default;
};
using ForwardedRequestPtr = std::shared_ptr<const ForwardedRequest>;

// The load that a server states in its reply.
struct ServerLoad {
  int running = 0;  // Requests that it runs.
  int waiting = 0;  // Requests that it has queued.
  int slots = 1;    // Requests that it can run at once.

  bool operator==(const ServerLoad&) const = default;
};

// Whether a reply answers its request or reports a failure.
enum class ServerVerdict : uint8_t { kSucceeded, kFailed };

struct ForwardedReply {
  // Proves that the server made this reply to this request; empty if the server
  // sent no proof.
  std::string signature;
  ServerVerdict verdict = ServerVerdict::kSucceeded;
  http::Response message;
  std::optional<ServerLoad> load;  // Unset if the server did not state it.

  bool operator==(const ForwardedReply&) const = default;
};
using ForwardedReplyPtr = std::shared_ptr<const ForwardedReply>;

}  // namespace upstream

#endif  // LIBUPSTREAM_FORWARDED_REQUEST_H_
