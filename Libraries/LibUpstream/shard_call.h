// One call to one server: the shards of one service at one index version.

#ifndef LIBUPSTREAM_SHARD_CALL_H_
#define LIBUPSTREAM_SHARD_CALL_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "LibBase/error.h"
#include "LibBase/time.h"
#include "LibUpstream/forwarded_request.h"

namespace upstream {

struct ShardCall {
  std::string request_id;  // Unique over all requests of all nodes.
  uint32_t attempt = 0;    // Unique within the request.
  std::string party;
  uint64_t version = 0;
  uint32_t shard_count = 0;
  std::vector<uint32_t> shards;
  std::string query;
  // Handed on in place of `query` where it is set.
  ForwardedRequestPtr forwarded = nullptr;

  bool operator==(const ShardCall&) const = default;
};

struct ShardResult {
  uint32_t shard = 0;
  std::string items;  // A JSON value, passed on as it is.

  bool operator==(const ShardResult&) const = default;
};

struct ShardReply {
  std::string request_id;
  uint32_t attempt = 0;
  uint64_t version = 0;
  uint32_t shard_count = 0;
  std::vector<ShardResult> results;
  // The answer to a forwarded request, in place of `results`.
  ForwardedReplyPtr forwarded = nullptr;

  bool operator==(const ShardReply&) const = default;
};

enum class ShardFailure : uint8_t {
  kLeaving,       // Refused: the server drains.
  kOverloaded,    // Refused: the server sheds load.
  kVersionGone,   // Refused: the server no longer holds the version.
  kNoConnection,  // Not sent: no connection could be had.
  kTimeout,
  kBroken,  // The answer is damaged or belongs to another request.
  kCancelled,
  kMisdirected,     // Refused: the address belongs to another server by now.
  kConnectionLost,  // After the call was sent.
  kFailed,          // The server ran the request and answered with an error.
};

std::string_view ShardFailureName(ShardFailure failure);

std::string SerializeCall(const ShardCall& call, base::Duration time_left);
base::Result<ShardReply> ParseReply(std::string_view text);

// Whether `reply` is a whole answer to `call`: same request, attempt, version
// and shard map, and every shard exactly once.
bool IsAnswerTo(const ShardReply& reply, const ShardCall& call);

}  // namespace upstream

#endif  // LIBUPSTREAM_SHARD_CALL_H_
