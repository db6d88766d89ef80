// One forwarded request on its way through the filters.

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
  kRelayed,  // `reply` is the answer of the one server that was asked.
  kMerged,   // `merged` holds the answers of several services.
  kNoRoute,  // The configuration in force has no route for the request.
  kInvalid,  // The request itself can't be served.
  kNotRun,   // Certainly no server has run the request, nor will.
  kUnknown,  // A server may have run it.
};

struct MergedAnswer {
  std::vector<std::string> signatures;  // Of the parts that are in.
  size_t missing = 0;                   // Services that are not.
  std::string records;                  // The greatest ones, falling.

  bool operator==(const MergedAnswer&) const = default;
};

struct ForwardAnswer {
  ForwardOutcome outcome = ForwardOutcome::kNotRun;
  upstream::ForwardedReplyPtr reply = nullptr;
  MergedAnswer merged = {};
  std::optional<base::Error> error = std::nullopt;  // Unless answered.
  // For kNotRun: when the caller may come back.
  base::Duration retry_after{};

  static ForwardAnswer Failed(ForwardOutcome outcome, base::Error error) {
    ForwardAnswer answer;
    answer.outcome = outcome;
    answer.error = std::move(error);
    return answer;
  }
};

// Invariant: `respond` is called exactly once, by whichever filter ends the
// request.
struct ForwardContext {
  upstream::ForwardedRequestPtr request;
  base::Instant arrival;
  // How long the caller waits; nothing if it did not say.
  std::optional<base::Duration> time_allowed;
  // As http::Request::transit.
  base::Duration transit{};
  http::CancellationPtr cancellation;
  std::function<void(ForwardAnswer)> respond;

  // Set by filters on the way.
  config::ConfigurationPtr configuration;
  const config::Route* route = nullptr;  // Of `configuration`.
  base::Instant deadline;
  // What was sent; known when the request ends.
  LoadCount load;
  std::vector<AttemptRecord> attempts;
  std::vector<MissingShard> missing;

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
