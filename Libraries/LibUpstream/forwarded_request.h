// Requests that are handed on to servers as callers sent them, and the
// servers' answers to them.

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
  std::string id;  // Unique for each attempt of a caller.
  std::string host;
  // Method, target, body, and the headers that are handed on.
  http::Request message;

  bool operator==(const ForwardedRequest&) const = default;
};
using ForwardedRequestPtr = std::shared_ptr<const ForwardedRequest>;

// What a server said of its load with an answer.
struct ServerLoad {
  int running = 0;
  int waiting = 0;
  int slots = 1;

  bool operator==(const ServerLoad&) const = default;
};

enum class ServerVerdict : uint8_t { kSucceeded, kFailed };

struct ForwardedReply {
  // The server's proof that it made this answer to this request; empty if it
  // gave none.
  std::string signature;
  ServerVerdict verdict = ServerVerdict::kSucceeded;
  http::Response message;
  std::optional<ServerLoad> load;

  bool operator==(const ForwardedReply&) const = default;
};
using ForwardedReplyPtr = std::shared_ptr<const ForwardedReply>;

}  // namespace upstream

#endif  // LIBUPSTREAM_FORWARDED_REQUEST_H_
