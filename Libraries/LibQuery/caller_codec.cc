// Parses and writes the JSON bodies and headers of the caller protocol.

#include "LibQuery/caller_codec.h"

#include <charconv>
#include <nlohmann/json.hpp>

#include "LibConfig/json_object_reader.h"
#include "LibConfig/json_text.h"

namespace query {

using base::ErrorKind;
using nlohmann::json;

namespace {

constexpr std::string_view kBearerPrefix = "Bearer ";
constexpr size_t kMaxRequestedShards = 10'000;
// The range is wide, so that DeadlineFilter and not the parser refuses a
// deadline that is out of range.
constexpr config::IntegerRange kWideDeadlineMsRange{0, 1'000'000'000};
constexpr config::IntegerRange kShardRange{0, UINT32_MAX - 1};

base::Result<Operation> FindOperation(const http::Request& request) {
  const std::string_view path = http::Path(request.target);
  if (request.method == "POST" && path == "/v1/query")
    return Operation::kQuery;
  if (request.method == "POST" && path == "/v1/tickets")
    return Operation::kTicket;
  if (request.method == "POST" && path == "/v1/bookings")
    return Operation::kBooking;
  return base::Fail(ErrorKind::kNotFound,
                    request.method + " " + std::string(path) +
                        " is not an operation of this address",
                    "see docs/INTERFACES.md for the operations");
}

uint64_t ReadLeastRevision(const http::Request& request) {
  const std::string_view text =
      http::FindHeader(request.headers, "Celerycroft-Least-Revision");
  uint64_t revision = 0;
  std::from_chars(text.data(), text.data() + text.size(), revision);
  return revision;
}

void ReadShards(config::JsonObjectReader& reader,
                const json& document,
                CallerRequest& request) {
  if (!reader.Has("shards"))
    return;
  const json& shards = document["shards"];
  const bool valid =
      shards.is_array() && !shards.empty() &&
      shards.size() <= kMaxRequestedShards &&
      std::all_of(shards.begin(), shards.end(), [](const json& shard) {
        return shard.is_number_unsigned() &&
               shard.get<uint64_t>() <= static_cast<uint64_t>(kShardRange.max);
      });
  if (!valid)
    reader.Report("shards", "is not a list of shard numbers",
                  "send 1 to 10000 whole numbers, or omit the key");
  else
    request.shards = shards.get<std::vector<uint32_t>>();
}

void ReadBody(config::JsonObjectReader& reader,
              const json& document,
              CallerRequest& request) {
  if (reader.Has("deadlineMs"))
    request.time_allowed = std::chrono::milliseconds(
        reader.Integer("deadlineMs", kWideDeadlineMsRange));
  if (request.operation == Operation::kTicket)
    return;
  request.upstream = reader.String("upstream");
  if (request.operation == Operation::kQuery) {
    request.query = reader.String("query");
    request.key = reader.OptionalString("key", "");
    ReadShards(reader, document, request);
    return;
  }
  request.ticket = reader.String("ticket");
  request.key = reader.String("key");
  request.body = reader.String("body");
}

int HttpStatusOf(const CallerAnswer& answer) {
  if (answer.outcome == Outcome::kAnswered)
    return http::kStatusOk;
  if (answer.outcome == Outcome::kUnknown)
    return http::kStatusGatewayTimeout;
  switch (answer.error->kind()) {
    case ErrorKind::kInvalidInput:
      return http::kStatusBadRequest;
    case ErrorKind::kUnauthorized:
      return http::kStatusUnauthorized;
    case ErrorKind::kNotFound:
      return http::kStatusNotFound;
    case ErrorKind::kConflict:
      return http::kStatusConflict;
    case ErrorKind::kLimitExceeded:
      return http::kStatusTooManyRequests;
    default:
      return http::kStatusUnavailable;
  }
}

json ToJson(const base::Error& error) {
  return {{"kind", base::ErrorKindName(error.kind())},
          {"message", error.message()},
          {"remedy", error.remedy()}};
}

void WriteQueryAnswer(const RequestContext& context,
                      const RootAnswer& answer,
                      json& body) {
  json covered = json::array();
  json results = json::array();
  for (const upstream::ShardResult& result : answer.results) {
    covered.push_back(result.shard);
    results.push_back({{"shard", result.shard},
                       {"items", json::parse(result.items, nullptr, false)}});
  }
  json missing = json::array();
  for (const MissingShard& shard : answer.missing)
    missing.push_back(
        {{"shard", shard.shard}, {"reason", MissingReasonName(shard.reason)}});
  body["indexVersion"] = answer.version;
  body["shardCount"] = answer.shard_count;
  body["coverage"] = answer.coverage();
  body["meetsAgreement"] =
      answer.coverage() >= context.agreement->expectation.min_coverage;
  body["covered"] = std::move(covered);
  body["missing"] = std::move(missing);
  body["results"] = std::move(results);
  body["load"] = {{"primary", answer.load.primary},
                  {"hedges", answer.load.hedges},
                  {"retries", answer.load.retries}};
}

std::string Serialize(const json& body) {
  return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace

std::string_view OutcomeName(Outcome outcome) {
  switch (outcome) {
    case Outcome::kAnswered:
      return "answered";
    case Outcome::kNotRun:
      return "not_run";
    case Outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

base::Result<CallerRequest> ParseCallerRequest(const http::Request& request) {
  CallerRequest parsed;
  parsed.operation = TRY(FindOperation(request));
  parsed.party = http::FindHeader(request.headers, "Celerycroft-Party");
  const std::string_view authorization =
      http::FindHeader(request.headers, "Authorization");
  if (authorization.starts_with(kBearerPrefix))
    parsed.party_key = authorization.substr(kBearerPrefix.size());
  parsed.least_revision = ReadLeastRevision(request);
  config::Issues issues;
  const json document = config::ParseJsonWithComments(
      request.body.empty() ? "{}" : request.body, "body", issues);
  if (issues.empty()) {
    config::JsonObjectReader reader(document, "body", "", issues);
    ReadBody(reader, document, parsed);
    reader.RejectUnknownKeys();
  }
  if (!issues.empty())
    return base::Fail(ErrorKind::kInvalidInput,
                      issues.front().path + " " + issues.front().problem,
                      issues.front().remedy);
  return parsed;
}

http::Response ToErrorResponse(const base::Error& error) {
  const CallerAnswer answer = CallerAnswer::NotRun(error);
  http::Response response;
  response.status = HttpStatusOf(answer);
  response.body = Serialize({{"outcome", "not_run"}, {"error", ToJson(error)}});
  return response;
}

http::Response ToResponse(const RequestContext& context,
                          const CallerAnswer& answer) {
  json body = {{"outcome", OutcomeName(answer.outcome)},
               {"requestId", context.request_id}};
  const uint64_t revision =
      context.configuration ? context.configuration->revision : 0;
  body["revision"] = revision;
  if (answer.error)
    body["error"] = ToJson(*answer.error);
  if (answer.query)
    WriteQueryAnswer(context, *answer.query, body);
  if (!answer.ticket.empty()) {
    body["ticket"] = answer.ticket;
    body["lifeMs"] = std::chrono::duration_cast<std::chrono::milliseconds>(
                         answer.ticket_life)
                         .count();
  }
  if (!answer.booking.empty())
    body["result"] = json::parse(answer.booking, nullptr, false);
  http::Response response;
  response.status = HttpStatusOf(answer);
  response.headers.push_back(
      {"Celerycroft-Revision", std::to_string(revision)});
  response.body = Serialize(body);
  return response;
}

}  // namespace query
