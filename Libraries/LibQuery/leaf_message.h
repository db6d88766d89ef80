// What a root asks of a leaf, and the leaf's answer.

#ifndef LIBQUERY_LEAF_MESSAGE_H_
#define LIBQUERY_LEAF_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "LibBase/time.h"
#include "LibConfig/route_table.h"
#include "LibUpstream/shard_call.h"

namespace query {

enum class MissingReason : uint8_t {
  kNoServer,  // No server that may take new work holds the shard.
  kOverloaded,
  kTimeout,
  kBrokenAnswer,
  kVersionGone,
  kNoConnection,
  kLeafUnreachable,
};

std::string_view MissingReasonName(MissingReason reason);

struct MissingShard {
  uint32_t shard = 0;
  MissingReason reason = MissingReason::kTimeout;

  auto operator<=>(const MissingShard&) const = default;
};

// The shards of one service.
struct ServiceShards {
  uint32_t service = 0;
  std::vector<uint32_t> shards;

  bool operator==(const ServiceShards&) const = default;
};

// Who a node runs a forwarded request for.
enum class RequestOrigin : uint8_t { kCaller, kNode };

// How a forwarded request may be run.
struct ForwardOptions {
  upstream::ForwardedRequestPtr request;
  config::Repeatability repeatability = config::Repeatability::kIdempotent;
  // Servers of one service to which the request may be sent; at least 1.
  int max_attempts = 1;
  // Time after which the request completes with the services answered so far,
  // if they make up `min_answered_share`; zero waits for all until the
  // deadline.
  base::Duration objective{};
  double min_answered_share = 1;
  // Records of the merged answer; zero where answers are not merged.
  size_t top_records = 0;
  // Work for another node is not handed on once more.
  RequestOrigin origin = RequestOrigin::kCaller;

  bool operator==(const ForwardOptions&) const = default;
};

struct LeafRequest {
  std::string request_id;  // Unique over all requests and leaves.
  std::string party;
  std::string upstream;
  uint64_t version = 0;
  uint32_t shard_count = 0;
  std::vector<ServiceShards> work;
  std::string query;
  base::Duration time_left{};
  double extra_load_share = 0;
  // Set for a forwarded request, which `query` then does not hold.
  std::optional<ForwardOptions> forward = std::nullopt;

  bool operator==(const LeafRequest&) const = default;
};

// A delegated attempt is a node's, at all services that it was asked for.
enum class AttemptKind : uint8_t { kPrimary, kHedge, kRetry, kDelegated };

// Sub-requests that were sent to servers.
struct SubRequestCounts {
  uint64_t primary = 0;
  uint64_t hedges = 0;
  uint64_t retries = 0;

  // One more attempt; delegated ones are counted by the node that makes them.
  void Add(AttemptKind kind);
  uint64_t extra() const { return hedges + retries; }
  uint64_t sent() const { return primary + extra(); }
  SubRequestCounts operator+(const SubRequestCounts& other) const {
    return {primary + other.primary, hedges + other.hedges,
            retries + other.retries};
  }
  bool operator==(const SubRequestCounts&) const = default;
};

// A server's success for one service of a forwarded request.
struct ForwardedPart {
  uint32_t service = 0;
  upstream::ForwardedReplyPtr reply;

  bool operator==(const ForwardedPart&) const = default;
};

// What became of one attempt at a forwarded request, for the log.
struct AttemptRecord {
  std::string service;
  std::string server;  // As config::Server::identity.
  AttemptKind kind = AttemptKind::kPrimary;
  base::Duration started{};  // Since the leaf request began.
  std::optional<base::Duration> took = std::nullopt;  // Nothing while open.
  std::string result = "abandoned";
  std::string no_retry_reason = {};  // Why it was not repeated after it failed.
  // What the choice of the server went by.
  int outstanding = 0;
  base::Duration expected_latency{};
  base::Duration silence{};
  double failure_share = 0;
  size_t candidates = 0;

  bool operator==(const AttemptRecord&) const = default;
};

// Whether a server may have run a forwarded request that failed.
enum class RunState : uint8_t { kNotRun, kMayHaveRun };

struct LeafAnswer {
  std::string request_id;
  uint64_t version = 0;
  std::vector<upstream::ShardResult> results;
  // Invariant: results and missing name each shard asked for exactly once.
  std::vector<MissingShard> missing;
  SubRequestCounts load;
  // Of forwarded requests, in place of `results`.
  std::vector<ForwardedPart> parts = {};
  // The last answer of a server that ran the request and failed, if any.
  upstream::ForwardedReplyPtr failure = nullptr;
  RunState run_state = RunState::kNotRun;
  std::vector<AttemptRecord> attempts = {};

  bool operator==(const LeafAnswer&) const = default;
};

// The answer where no service can be asked.
LeafAnswer MakeAllMissingAnswer(const LeafRequest& request,
                                MissingReason reason);

// Whether `answer` belongs to `request` and names each of its shards once.
bool IsAnswerTo(const LeafAnswer& answer, const LeafRequest& request);

}  // namespace query

#endif  // LIBQUERY_LEAF_MESSAGE_H_
