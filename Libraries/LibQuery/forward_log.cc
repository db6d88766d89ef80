// Log lines and metrics of forwarded requests.

#include "LibQuery/forward_log.h"

#include <algorithm>
#include <array>
#include <sstream>
#include <utility>
#include <vector>

#include "LibBase/log.h"

namespace query {

namespace {

// One in this many requests is logged even if it went well, for comparison with
// those that did not.
constexpr uint64_t kRequestsPerSample = 500;
// The most attempts that one log line describes. Answered ones are left out
// first.
constexpr size_t kMaxAttemptsPerLine = 16;

std::string FormatMilliseconds(base::Duration duration) {
  std::ostringstream text;
  text << base::ToMilliseconds(duration);
  return text.str();
}

std::string_view AttemptKindName(AttemptKind kind) {
  switch (kind) {
    case AttemptKind::kPrimary:
      return "primary";
    case AttemptKind::kHedge:
      return "hedge";
    case AttemptKind::kRetry:
      return "retry";
    case AttemptKind::kDelegated:
      return "delegated";
  }
  return "primary";
}

bool IsAnswered(const ForwardAnswer& answer) {
  return answer.outcome == ForwardOutcome::kRelayed ||
         answer.outcome == ForwardOutcome::kMerged;
}

bool IsLate(const ForwardContext& context, base::Duration took) {
  return context.route && took + context.transit > context.route->objective;
}

std::string DescribeAttempts(std::vector<AttemptRecord> attempts) {
  std::stable_partition(attempts.begin(), attempts.end(),
                        [](const AttemptRecord& attempt) {
                          return attempt.result != "answered";
                        });
  std::string text;
  for (size_t i = 0; i < std::min(attempts.size(), kMaxAttemptsPerLine); ++i)
    text += (i == 0 ? "" : "; ") + DescribeAttempt(attempts[i]);
  if (attempts.size() > kMaxAttemptsPerLine)
    text += "; and " + std::to_string(attempts.size() - kMaxAttemptsPerLine) +
            " more";
  return text;
}

std::string DescribeMissing(const ForwardContext& context) {
  std::string text;
  for (const MissingShard& missing : context.missing) {
    const bool is_gather = context.route->gather.has_value();
    text += (text.empty() ? "" : ", ") +
            (is_gather ? context.route->gather->services[missing.shard]
                       : std::string("server")) +
            ":" + std::string(MissingReasonName(missing.reason));
  }
  return text;
}

}  // namespace

std::string_view ForwardOutcomeName(ForwardOutcome outcome) {
  switch (outcome) {
    case ForwardOutcome::kRelayed:
      return "relayed";
    case ForwardOutcome::kMerged:
      return "merged";
    case ForwardOutcome::kNoRoute:
      return "no_route";
    case ForwardOutcome::kInvalid:
      return "invalid";
    case ForwardOutcome::kNotRun:
      return "not_run";
    case ForwardOutcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

std::string DescribeAttempt(const AttemptRecord& attempt) {
  std::ostringstream text;
  text << attempt.service << "/" << attempt.server << " "
       << AttemptKindName(attempt.kind) << " at "
       << FormatMilliseconds(attempt.started) << " ms: " << attempt.result;
  if (attempt.status != 0)
    text << " with status " << attempt.status;
  if (!attempt.no_retry_reason.empty())
    text << " (" << attempt.no_retry_reason << ")";
  if (attempt.took)
    text << " after " << FormatMilliseconds(*attempt.took) << " ms";
  text << " (one of " << attempt.candidates << " candidates; "
       << attempt.outstanding << " outstanding, expected latency "
       << FormatMilliseconds(attempt.expected_latency) << " ms, silent for "
       << FormatMilliseconds(attempt.silence) << " ms, failure share "
       << attempt.failure_share << ")";
  return text.str();
}

ForwardLogFilter::ForwardLogFilter(base::Scheduler& scheduler,
                                   base::Metrics& metrics,
                                   LogLineLimiter& line_limiter,
                                   std::function<base::Duration()> revision_age)
    : scheduler_(scheduler),
      metrics_(metrics),
      line_limiter_(line_limiter),
      revision_age_(std::move(revision_age)) {}

void ForwardLogFilter::Handle(ForwardContextPtr context, Next next) {
  // NOTE: The context owns `respond`, so `respond` must not own the context.
  context->respond = [this, unowned_context = context.get(),
                      respond =
                          std::move(context->respond)](ForwardAnswer answer) {
    RecordMetrics(*unowned_context, answer);
    if (ShouldLog(*unowned_context, answer)) {
      if (const auto lines_left_out = line_limiter_.TryAcquire())
        WriteLogLine(*unowned_context, answer, *lines_left_out);
    }
    respond(std::move(answer));
  };
  next(std::move(context));
}

void ForwardLogFilter::RecordMetrics(const ForwardContext& context,
                                     const ForwardAnswer& answer) {
  const std::string labels =
      "route=\"" + (context.route ? context.route->name : std::string("none")) +
      "\",outcome=\"" + std::string(ForwardOutcomeName(answer.outcome)) + "\"";
  metrics_.Observe("celerycroft_forward_seconds", labels,
                   scheduler_.Now() - context.arrival);
  const std::array<std::pair<std::string_view, uint64_t>, 3> sent = {
      {{"kind=\"primary\"", context.load.primary},
       {"kind=\"hedge\"", context.load.hedges},
       {"kind=\"retry\"", context.load.retries}}};
  for (const auto& [kind, count] : sent) {
    if (count > 0)
      metrics_.Increment("celerycroft_sub_requests_total", kind,
                         static_cast<double>(count));
  }
  if (!context.missing.empty())
    metrics_.Increment("celerycroft_missing_services_total", "",
                       static_cast<double>(context.missing.size()));
  CountUnusualStatuses(context.attempts, metrics_);
}

bool ForwardLogFilter::ShouldLog(const ForwardContext& context,
                                 const ForwardAnswer& answer) {
  const bool is_good = IsAnswered(answer) && context.missing.empty() &&
                       !IsLate(context, scheduler_.Now() - context.arrival);
  return ++request_count_ % kRequestsPerSample == 0 || !is_good;
}

void ForwardLogFilter::WriteLogLine(const ForwardContext& context,
                                    const ForwardAnswer& answer,
                                    uint64_t lines_left_out) {
  const base::Duration took = scheduler_.Now() - context.arrival;
  std::vector<base::LogField> fields = {
      {"request", context.request->id},
      {"outcome", std::string(ForwardOutcomeName(answer.outcome))},
      {"tookMs", FormatMilliseconds(took)},
      {"transitMs", FormatMilliseconds(context.transit)},
      {"executionMs", FormatMilliseconds(context.execution_took)},
      {"overrunMs", FormatMilliseconds(context.objective_overrun)}};
  if (answer.error)
    fields.push_back({"reason", answer.error->message()});
  if (context.time_allowed)
    fields.push_back({"allowedMs", FormatMilliseconds(*context.time_allowed)});
  if (context.configuration) {
    fields.push_back(
        {"revision", std::to_string(context.configuration->revision)});
    fields.push_back({"revisionAgeMs", FormatMilliseconds(revision_age_())});
  }
  if (context.route) {
    fields.push_back({"route", context.route->name});
    fields.push_back(
        {"objectiveMs", FormatMilliseconds(context.route->objective)});
    fields.push_back({"missing", DescribeMissing(context)});
    fields.push_back({"attempts", DescribeAttempts(context.attempts)});
  } else {
    fields.push_back(
        {"target", context.request->host + context.request->message.target});
  }
  fields.push_back({"linesLeftOut", std::to_string(lines_left_out)});
  base::Log(base::Event::kRequestEnded, fields);
}

void CountUnusualStatuses(const std::vector<AttemptRecord>& attempts,
                          base::Metrics& metrics) {
  for (const AttemptRecord& attempt : attempts) {
    if (attempt.status != 0 && attempt.status != http::kStatusOk)
      metrics.Increment("celerycroft_unusual_server_statuses_total",
                        "status=\"" + std::to_string(attempt.status) +
                            "\",result=\"" + attempt.result + "\"");
  }
}

void LogDelegatedWork(const LeafAnswer& answer, LogLineLimiter& line_limiter) {
  if (answer.missing.empty())
    return;
  const auto lines_left_out = line_limiter.TryAcquire();
  if (!lines_left_out)
    return;
  base::Log(base::Event::kDelegatedWorkEnded,
            {{"request", answer.request_id},
             {"revision", std::to_string(answer.version)},
             {"answered", std::to_string(answer.parts.size())},
             {"missing", std::to_string(answer.missing.size())},
             {"attempts", DescribeAttempts(answer.attempts)},
             {"linesLeftOut", std::to_string(*lines_left_out)}});
}

}  // namespace query
