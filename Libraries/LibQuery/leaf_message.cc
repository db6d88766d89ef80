// Checks of leaf answers, and the names of missing reasons.

#include "LibQuery/leaf_message.h"

#include <algorithm>

namespace query {

std::string_view MissingReasonName(MissingReason reason) {
  switch (reason) {
    case MissingReason::kNoServer:
      return "no_server";
    case MissingReason::kOverloaded:
      return "overloaded";
    case MissingReason::kTimeout:
      return "timeout";
    case MissingReason::kBrokenAnswer:
      return "broken_answer";
    case MissingReason::kVersionGone:
      return "version_gone";
    case MissingReason::kNoConnection:
      return "no_connection";
    case MissingReason::kLeafUnreachable:
      return "leaf_unreachable";
    case MissingReason::kServerLimit:
      return "server_limit";
  }
  return "timeout";
}

void SubRequestCounts::Add(AttemptKind kind) {
  switch (kind) {
    case AttemptKind::kPrimary:
      ++primary;
      break;
    case AttemptKind::kHedge:
      ++hedges;
      break;
    case AttemptKind::kRetry:
      ++retries;
      break;
    case AttemptKind::kDelegated:
      break;
  }
}

LeafAnswer MakeAllMissingAnswer(const LeafRequest& request,
                                MissingReason reason) {
  LeafAnswer answer;
  answer.request_id = request.request_id;
  answer.version = request.version;
  for (const ServiceShards& work : request.work) {
    for (const uint32_t shard : work.shards)
      answer.missing.push_back({shard, reason});
  }
  return answer;
}

bool IsAnswerTo(const LeafAnswer& answer, const LeafRequest& request) {
  if (answer.request_id != request.request_id ||
      answer.version != request.version)
    return false;
  std::vector<uint32_t> named;
  std::ranges::transform(answer.results, std::back_inserter(named),
                         &upstream::ShardResult::shard);
  std::ranges::transform(answer.missing, std::back_inserter(named),
                         &MissingShard::shard);
  std::vector<uint32_t> asked;
  for (const ServiceShards& service : request.work)
    std::ranges::copy(service.shards, std::back_inserter(asked));
  std::ranges::sort(named);
  std::ranges::sort(asked);
  return named == asked;
}

}  // namespace query
