// Converts shard calls and replies to and from JSON, and matches replies to
// calls.

#include "LibUpstream/shard_call.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace upstream {

using nlohmann::json;

std::string_view ShardFailureName(ShardFailure failure) {
  switch (failure) {
    case ShardFailure::kLeaving:
      return "leaving";
    case ShardFailure::kOverloaded:
      return "overloaded";
    case ShardFailure::kVersionGone:
      return "version_gone";
    case ShardFailure::kNoConnection:
      return "no_connection";
    case ShardFailure::kTimeout:
      return "timeout";
    case ShardFailure::kBroken:
      return "broken_answer";
    case ShardFailure::kCancelled:
      return "cancelled";
    case ShardFailure::kMisdirected:
      return "misdirected";
    case ShardFailure::kConnectionLost:
      return "connection_lost";
    case ShardFailure::kFailed:
      return "failed";
  }
  return "broken_answer";
}

std::string SerializeCall(const ShardCall& call, base::Duration time_left) {
  return json{{"requestId", call.request_id},
              {"attempt", call.attempt},
              {"party", call.party},
              {"version", call.version},
              {"shardCount", call.shard_count},
              {"shards", call.shards},
              {"query", call.query},
              {"timeLeftUs", time_left.count()}}
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

base::Result<ShardReply> ParseReply(std::string_view text) {
  try {
    const json document = json::parse(text);
    ShardReply reply;
    reply.request_id = document.at("requestId").get<std::string>();
    reply.attempt = document.at("attempt").get<uint32_t>();
    reply.version = document.at("version").get<uint64_t>();
    reply.shard_count = document.at("shardCount").get<uint32_t>();
    for (const json& result : document.at("results"))
      reply.results.push_back(
          {result.at("shard").get<uint32_t>(), result.at("items").dump()});
    return reply;
  } catch (const json::exception& error) {
    return base::Fail(base::ErrorKind::kProtocol,
                      std::string("shard reply is not valid: ") + error.what(),
                      "run a server version that this node supports");
  }
}

bool IsAnswerTo(const ShardReply& reply, const ShardCall& call) {
  if (reply.request_id != call.request_id || reply.attempt != call.attempt ||
      reply.version != call.version || reply.shard_count != call.shard_count)
    return false;
  if (call.forwarded)
    return reply.forwarded != nullptr;
  if (reply.results.size() != call.shards.size())
    return false;
  std::vector<uint32_t> answered;
  std::ranges::transform(reply.results, std::back_inserter(answered),
                         &ShardResult::shard);
  std::vector<uint32_t> asked = call.shards;
  std::ranges::sort(answered);
  std::ranges::sort(asked);
  return answered == asked;
}

}  // namespace upstream
