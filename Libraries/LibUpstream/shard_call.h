// Calls to servers: one call queries shards of one service at one index
// version.

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

// What a server's reply to a forwarded request is for: it is passed on to the
// caller as it is, or its records are merged with those of other services.
enum class ReplyUse : uint8_t { kRelayed, kMerged };

struct ShardCall {
  std::string request_id;  // Unique among the requests of all nodes.
  uint32_t attempt = 0;    // Unique within the request.
  std::string party;
  uint64_t version = 0;
  uint32_t shard_count = 0;
  std::vector<uint32_t> shards;
  std::string query;
  // If set, this request is sent instead of `query`.
  ForwardedRequestPtr forwarded = nullptr;
  ReplyUse reply_use = ReplyUse::kRelayed;  // Of `forwarded`.

  bool operator==(const ShardCall&) const = default;
};

struct ShardResult {
  uint32_t shard = 0;
  std::string items;  // A JSON value, passed on unchanged.

  bool operator==(const ShardResult&) const = default;
};

struct ShardReply {
  std::string request_id;
  uint32_t attempt = 0;
  uint64_t version = 0;
  uint32_t shard_count = 0;
  std::vector<ShardResult> results;
  // The reply to a forwarded request; set instead of `results`.
  ForwardedReplyPtr forwarded = nullptr;

  bool operator==(const ShardReply&) const = default;
};

// Why a call has no usable reply. "Refused": the server did not run the call.
enum class ShardFailure : uint8_t {
  kLeaving,       // Refused: the server is leaving.
  kOverloaded,    // Refused: the server sheds load.
  kVersionGone,   // Refused: the server no longer holds the version.
  kNoConnection,  // Not sent: there was no connection.
  kTimeout,
  kBroken,  // The reply is malformed or belongs to another request.
  kCancelled,
  kMisdirected,     // Refused: another server has the address now.
  kConnectionLost,  // The connection broke after the call was sent.
  kFailed,          // The server ran the call and replied with an error.
};

// Returns the name that logs use, such as "version_gone".
std::string_view ShardFailureName(ShardFailure failure);

std::string SerializeCall(const ShardCall& call, base::Duration time_left);
base::Result<ShardReply> ParseReply(std::string_view text);

// Returns whether `reply` is a complete answer to `call`: it has the same
// request, attempt, version and shard count, and each shard exactly once.
bool IsAnswerTo(const ShardReply& reply, const ShardCall& call);

}  // namespace upstream

#endif  // LIBUPSTREAM_SHARD_CALL_H_
