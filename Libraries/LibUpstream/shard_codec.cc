// Implements Celerycroft's own server protocol.

#include "LibUpstream/shard_codec.h"

#include <utility>

namespace upstream {

std::optional<ShardFailure> RefusalOf(const http::Response& response) {
  const std::string_view refusal =
      http::FindHeader(response.headers, "Shard-Refusal");
  if (refusal == "leaving")
    return ShardFailure::kLeaving;
  if (refusal == "overloaded")
    return ShardFailure::kOverloaded;
  if (refusal == "version_gone")
    return ShardFailure::kVersionGone;
  return std::nullopt;
}

http::Request JsonShardCodec::Encode(const ServerTarget&,
                                     const ShardCall& call,
                                     base::Duration time_left) const {
  return {"POST", "/shards", {}, SerializeCall(call, time_left)};
}

ShardOutcome JsonShardCodec::Decode(const ShardCall&,
                                    http::Response response) const {
  if (const auto refusal = RefusalOf(response))
    return tl::make_unexpected(*refusal);
  auto reply = ParseReply(response.body);
  if (response.status != http::kStatusOk || !reply)
    return tl::make_unexpected(ShardFailure::kBroken);
  return *std::move(reply);
}

}  // namespace upstream
