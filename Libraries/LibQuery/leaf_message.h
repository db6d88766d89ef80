// Requests that the root of a query sends to a leaf node, and the answers.

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
  kNoServer,  // No server that accepts new work holds the shard.
  kOverloaded,
  kTimeout,
  kBrokenAnswer,
  kVersionGone,
  kNoConnection,
  kLeafUnreachable,
  kServerLimit,  // All servers would get more calls than they take.
};

std::string_view MissingReasonName(MissingReason reason);

struct MissingShard {
  uint32_t shard = 0;
  MissingReason reason = MissingReason::kTimeout;

  auto operator<=>(const MissingShard&) const = default;
};

// Shards of one service. `service` is its index in the upstream's services.
struct ServiceShards {
  uint32_t service = 0;
  std::vector<uint32_t> shards;

  bool operator==(const ServiceShards&) const = default;
};

// For whom a node runs a forwarded request: for a caller, or for another node
// that delegated part of the request.
enum class RequestOrigin : uint8_t { kCaller, kNode };

// How a forwarded request may be executed.
struct ForwardOptions {
  upstream::ForwardedRequestPtr request;
  config::Repeatability repeatability = config::Repeatability::kIdempotent;
  // Number of servers of one service to which the request may be sent; at
  // least 1.
  int max_attempts = 1;
  // Time after which the request completes with the services answered so far,
  // if they make up `min_answered_share`; zero waits for all services until the
  // deadline.
  base::Duration objective{};
  double min_answered_share = 1;
  // Number of records in the merged answer. Unset if the replies are not
  // merged, however many services there are.
  std::optional<size_t> top_records;
  // Work that another node has delegated is not delegated again.
  RequestOrigin origin = RequestOrigin::kCaller;

  upstream::ReplyUse reply_use() const {
    return top_records ? upstream::ReplyUse::kMerged
                       : upstream::ReplyUse::kRelayed;
  }
  bool operator==(const ForwardOptions&) const = default;
};

struct LeafRequest {
  std::string request_id;  // Unique over all requests and nodes.
  std::string party;
  std::string upstream;
  uint64_t version = 0;
  uint32_t shard_count = 0;
  std::vector<ServiceShards> work;  // The requested shards.
  std::string query;
  base::Duration time_left{};
  // Hedges and retries that are allowed per primary sub-request.
  double extra_load_share = 0;
  // Set for a forwarded request. Then `upstream` is the route's name, `version`
  // is the revision of the configuration, `query` is empty, and each service
  // has one shard, which has the service's index as its number.
  std::optional<ForwardOptions> forward = std::nullopt;

  bool operator==(const LeafRequest&) const = default;
};

// A delegated attempt is sent to another node and covers all services that are
// delegated to it.
enum class AttemptKind : uint8_t { kPrimary, kHedge, kRetry, kDelegated };

// Numbers of sub-requests that were sent to servers.
struct SubRequestCounts {
  uint64_t primary = 0;
  uint64_t hedges = 0;
  uint64_t retries = 0;

  // Counts one more attempt. Ignores delegated ones: the other node counts the
  // sub-requests that it sends for them.
  void Add(AttemptKind kind);
  uint64_t extra() const { return hedges + retries; }
  uint64_t sent() const { return primary + extra(); }
  SubRequestCounts operator+(const SubRequestCounts& other) const {
    return {primary + other.primary, hedges + other.hedges,
            retries + other.retries};
  }
  bool operator==(const SubRequestCounts&) const = default;
};

// The reply of a server that succeeded for one service of a forwarded request.
struct ForwardedPart {
  uint32_t service = 0;
  upstream::ForwardedReplyPtr reply;

  bool operator==(const ForwardedPart&) const = default;
};

// One attempt at a forwarded request and its result, for the log.
struct AttemptRecord {
  // The service's name, or for kDelegated the number of services.
  std::string service;
  // Same as config::Server::identity, or for kDelegated the id of the node.
  std::string server;
  AttemptKind kind = AttemptKind::kPrimary;
  base::Duration started{};  // Since the leaf request began.
  // Not set while the attempt is open.
  std::optional<base::Duration> took = std::nullopt;
  std::string result = "abandoned";
  // Of the server's reply; 0 without a reply, or if the server did not run the
  // request.
  int status = 0;
  std::string no_retry_reason = {};  // Why it was not repeated after it failed.
  // What was known of the server when it was chosen, and the number of servers
  // to choose from.
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
  // Invariant: unless the request is a forwarded one, `results` and `missing`
  // together name each requested shard exactly once.
  std::vector<MissingShard> missing;
  SubRequestCounts load;
  // Replies to a forwarded request, in place of `results`.
  std::vector<ForwardedPart> parts = {};
  // The last reply of a server that ran the request and failed; null if there
  // was none.
  upstream::ForwardedReplyPtr failed_reply = nullptr;
  RunState run_state = RunState::kNotRun;
  std::vector<AttemptRecord> attempts = {};
  // How long the execution took.
  base::Duration took{};
  // How much later than the request's objective it was completed; zero if all
  // services were done before.
  base::Duration objective_overrun{};
  // When servers that were held back may be called again. Not passed on to
  // other nodes.
  base::Duration retry_after{};

  bool operator==(const LeafAnswer&) const = default;
};

// Returns an answer in which all shards of the request are missing.
LeafAnswer MakeAllMissingAnswer(const LeafRequest& request,
                                MissingReason reason);

// Whether `answer` belongs to `request` and names each of its shards exactly
// once.
bool IsAnswerTo(const LeafAnswer& answer, const LeafRequest& request);

}  // namespace query

#endif  // LIBQUERY_LEAF_MESSAGE_H_
