// How shard calls look in HTTP: one codec for each protocol that servers
// speak.

#ifndef LIBUPSTREAM_SHARD_CODEC_H_
#define LIBUPSTREAM_SHARD_CODEC_H_

#include <optional>

#include "LibHttp/message.h"
#include "LibUpstream/transport.h"

namespace upstream {

class ShardCodec {
 public:
  virtual ~ShardCodec() = default;

  // Encoded when the call is sent, so that it states the time then left.
  virtual http::Request Encode(const ServerTarget& target,
                               const ShardCall& call,
                               base::Duration time_left) const = 0;

  // What a whole HTTP answer means.
  virtual ShardOutcome Decode(const ShardCall& call,
                              http::Response response) const = 0;
};

// The tier's own protocol. The header Shard-Refusal marks answers of servers
// that did not run the request.
class JsonShardCodec final : public ShardCodec {
 public:
  http::Request Encode(const ServerTarget& target,
                       const ShardCall& call,
                       base::Duration time_left) const override;
  ShardOutcome Decode(const ShardCall& call,
                      http::Response response) const override;
};

// What the header Shard-Refusal says, if it is there.
std::optional<ShardFailure> RefusalOf(const http::Response& response);

}  // namespace upstream

#endif  // LIBUPSTREAM_SHARD_CODEC_H_
