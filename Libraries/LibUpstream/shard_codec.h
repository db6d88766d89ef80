// Converts shard calls to HTTP requests and HTTP responses to replies. There is
// one codec for each protocol that servers speak.

#ifndef LIBUPSTREAM_SHARD_CODEC_H_
#define LIBUPSTREAM_SHARD_CODEC_H_

#include <optional>

#include "LibHttp/message.h"
#include "LibUpstream/server_statement.h"
#include "LibUpstream/transport.h"

namespace upstream {

class ShardCodec {
 public:
  virtual ~ShardCodec() = default;

  // Called when the call is sent, so that `time_left` is the time left then.
  virtual http::Request Encode(const ServerTarget& target,
                               const ShardCall& call,
                               base::Duration time_left) const = 0;

  // Returns the reply or the failure that a complete HTTP response stands for.
  virtual ShardOutcome Decode(const ShardCall& call,
                              http::Response response) const = 0;

  // Returns what the server that was called says of itself. Returns nothing if
  // another server may have sent the response, or if the protocol has no such
  // statements.
  virtual std::optional<ServerStatement> ReadStatement(
      const ShardCall&,
      const http::Response&) const {
    return std::nullopt;
  }
};

// Celerycroft's own server protocol, in JSON. The header Shard-Refusal marks
// responses of servers that did not run the request.
class JsonShardCodec final : public ShardCodec {
 public:
  http::Request Encode(const ServerTarget& target,
                       const ShardCall& call,
                       base::Duration time_left) const override;
  ShardOutcome Decode(const ShardCall& call,
                      http::Response response) const override;
};

// Returns the failure that the header Shard-Refusal names, or nullopt if it is
// missing or unknown.
std::optional<ShardFailure> RefusalOf(const http::Response& response);

}  // namespace upstream

#endif  // LIBUPSTREAM_SHARD_CODEC_H_
