// The state of a forwarded request that its filters share, and its answer.

#ifndef LIBQUERY_FORWARD_CONTEXT_H_
#define LIBQUERY_FORWARD_CONTEXT_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "LibBase/error.h"
#include "LibBase/time.h"
#include "LibConfig/configuration.h"
#include "LibHttp/server.h"
#include "LibQuery/leaf_message.h"
#include "LibUpstream/forwarded_request.h"

namespace query {

enum class ForwardOutcome : uint8_t {
  kRelayed,  // `reply` is the answer of one server.
  kMerged,   // `merged` contains the answers of several services.
  kNoRoute,  // The configuration in force has no route for the request.
  kInvalid,  // The request itself is invalid.
  kNotRun,   // It is certain that no server has run the request, nor will.
  kUnknown,  // A server may have run the request.
};

// The answers of several services to one request, merged into one.
struct MergedAnswer {
  // Signatures of the servers' answers that were merged.
  std::vector<std::string> signatures;
  size_t missing_services = 0;  // Number of services without an answer.
  std::string records;          // The greatest records, greatest first.

  bool operator==(const MergedAnswer&) const = default;
};

struct ForwardAnswer {
  ForwardOutcome outcome = ForwardOutcome::kNotRun;
  upstream::ForwardedReplyPtr reply = nullptr;
  MergedAnswer merged = {};
  // Set unless the outcome is kRelayed or kMerged.
  std::optional<base::Error> error = std::nullopt;
  // For kNotRun: the time after which the caller may retry; zero if another
  // node would take the request now. Not set if no such time is known.
  std::optional<base::Duration> retry_after = std::nullopt;

  static ForwardAnswer Failed(ForwardOutcome outcome, base::Error error) {
    ForwardAnswer answer;
    answer.outcome = outcome;
    answer.error = std::move(error);
    return answer;
  }
};

// The state of a forwarded request that the filters share. Invariant: exactly
// one filter ends the request, and it calls `respond` exactly once.
struct ForwardContext {
  upstream::ForwardedRequestPtr request;
  base::Instant arrival;
  // How long the caller waits for the answer, if the request says so.
  std::optional<base::Duration> time_allowed;
  // How much longer than this node the caller waits, for its connection, the
  // request and the answer to travel. Same as http::Request::transit.
  base::Duration transit{};
  http::CancellationPtr cancellation;
  std::function<void(ForwardAnswer)> respond;

  // Set by filters before they pass the request on.
  config::ConfigurationPtr configuration;
  const config::Route* route = nullptr;  // Within `configuration`.
  base::Instant deadline;
  // The sub-requests that were sent, the attempts, and the services that are
  // missing, as the shards that stand for them. Set before the request ends.
  SubRequestCounts load;
  std::vector<AttemptRecord> attempts;
  std::vector<MissingShard> missing;
  // Same as LeafAnswer::took and objective_overrun. Set like `load`.
  base::Duration execution_took{};
  base::Duration objective_overrun{};

  void Refuse(ForwardOutcome outcome,
              base::ErrorKind kind,
              std::string message,
              std::string remedy) {
    respond(ForwardAnswer::Failed(
        outcome, base::Error(kind, std::move(message), std::move(remedy))));
  }
};

using ForwardContextPtr = std::shared_ptr<ForwardContext>;

}  // namespace query

#endif  // LIBQUERY_FORWARD_CONTEXT_H_
