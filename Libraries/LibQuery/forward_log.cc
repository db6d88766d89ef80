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

// One in this many requests that went well is written, to compare with.
constexpr uint64_t kSamplePeriod = 500;
// Of one line; the answered ones are left out first.
constexpr size_t kMostAttempts = 16;

std::string Milliseconds(base::Duration duration) {
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
  for (size_t i = 0; i < std::min(attempts.size(), kMostAttempts); ++i)
    text += (i == 0 ? "" : "; ") + DescribeAttempt(attempts[i]);
  if (attempts.size() > kMostAttempts)
    text +=
        "; and " + std::to_string(attempts.size() - kMostAttempts) + " more";
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
       << Milliseconds(attempt.started) << " ms: " << attempt.result;
  if (!attempt.obstacle.empty())
    text << " (" << attempt.obstacle << ")";
  if (attempt.took)
    text << " after " << Milliseconds(*attempt.took) << " ms";
  text << " (one of " << attempt.candidates << "; " << attempt.outstanding
       << " outstanding, latency " << Milliseconds(attempt.expected_latency)
       << " ms, silent " << Milliseconds(attempt.silence) << " ms, failing "
       << attempt.failure_share << ")";
  return text.str();
}

ForwardLogFilter::ForwardLogFilter(base::Scheduler& scheduler,
                                   base::Metrics& metrics,
                                   LineLimiter& lines,
                                   std::function<base::Duration()> revision_age)
    : scheduler_(scheduler),
      metrics_(metrics),
      lines_(lines),
      revision_age_(std::move(revision_age)) {}

void ForwardLogFilter::Handle(ForwardContextPtr context, Next next) {
  // NOTE: The context owns `respond`, so `respond` must not own the context.
  context->respond = [this, raw = context.get(),
                      respond =
                          std::move(context->respond)](ForwardAnswer answer) {
    Count(*raw, answer);
    if (ShouldLog(*raw, answer)) {
      if (const auto left_out = lines_.Take())
        Write(*raw, answer, *left_out);
    }
    respond(std::move(answer));
  };
  next(std::move(context));
}

void ForwardLogFilter::Count(const ForwardContext& context,
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
}

bool ForwardLogFilter::ShouldLog(const ForwardContext& context,
                                 const ForwardAnswer& answer) {
  const bool is_good = IsAnswered(answer) && context.missing.empty() &&
                       !IsLate(context, scheduler_.Now() - context.arrival);
  return ++seen_ % kSamplePeriod == 0 || !is_good;
}

void ForwardLogFilter::Write(const ForwardContext& context,
                             const ForwardAnswer& answer,
                             uint64_t left_out) {
  const base::Duration took = scheduler_.Now() - context.arrival;
  std::vector<base::LogField> fields = {
      {"request", context.request->id},
      {"outcome", std::string(ForwardOutcomeName(answer.outcome))},
      {"tookMs", Milliseconds(took)},
      {"transitMs", Milliseconds(context.transit)}};
  if (answer.error)
    fields.push_back({"reason", answer.error->message()});
  if (context.time_allowed)
    fields.push_back({"allowedMs", Milliseconds(*context.time_allowed)});
  if (context.configuration) {
    fields.push_back(
        {"revision", std::to_string(context.configuration->revision)});
    fields.push_back({"revisionAgeMs", Milliseconds(revision_age_())});
  }
  if (context.route) {
    fields.push_back({"route", context.route->name});
    fields.push_back({"objectiveMs", Milliseconds(context.route->objective)});
    fields.push_back({"missing", DescribeMissing(context)});
    fields.push_back({"attempts", DescribeAttempts(context.attempts)});
  } else {
    fields.push_back(
        {"target", context.request->host + context.request->message.target});
  }
  fields.push_back({"linesLeftOut", std::to_string(left_out)});
  base::Log(base::Event::kRequestEnded, fields);
}

void LogDelegatedWork(const LeafAnswer& answer, LineLimiter& lines) {
  if (answer.missing.empty())
    return;
  const auto left_out = lines.Take();
  if (!left_out)
    return;
  base::Log(base::Event::kDelegatedWorkEnded,
            {{"request", answer.request_id},
             {"revision", std::to_string(answer.version)},
             {"answered", std::to_string(answer.parts.size())},
             {"missing", std::to_string(answer.missing.size())},
             {"attempts", DescribeAttempts(answer.attempts)},
             {"linesLeftOut", std::to_string(*left_out)}});
}

}  // namespace query
