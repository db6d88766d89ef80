// Commands of a caller and of an operator who looks at a node.

#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string>

#include "blocking_client.h"
#include "commands.h"
#include "exit_code.h"

namespace celerycroft {

using nlohmann::json;

namespace {

// Beyond the deadline that a node keeps.
constexpr base::Duration kAnswerSlack = std::chrono::seconds(1);
constexpr base::Duration kLongestDeadline = std::chrono::seconds(60);
constexpr base::Duration kShortTimeout = std::chrono::seconds(2);

base::Result<std::vector<std::string>> FetchAddresses(const std::string& host) {
  const auto response =
      ExchangeAndWait(host, {"GET", "/v1/addresses", {}, ""}, kShortTimeout);
  if (!response)
    return tl::make_unexpected(response.error().error);
  const json body = json::parse(response->body, nullptr, false);
  std::vector<std::string> addresses;
  if (body.is_object() && body.contains("addresses"))
    addresses = body["addresses"].get<std::vector<std::string>>();
  if (addresses.empty())
    return base::Fail(base::ErrorKind::kUnavailable,
                      "the host names no address", "ask another entry host");
  return addresses;
}

base::Result<std::string> ReadKey(const std::string& file) {
  std::ifstream stream(file);
  std::string key;
  if (!std::getline(stream, key) || key.empty())
    return base::Fail(base::ErrorKind::kNotFound, "no key in " + file,
                      "put the key on the file's first line");
  return key;
}

struct Call {
  std::string target;
  json body;
};

// Whether nothing was run and another entry host may be able to.
bool ShouldAskAnother(const http::ExchangeResult& result) {
  if (!result)
    return result.error().sent == http::SentState::kNothingSent;
  const json body = json::parse(result->body, nullptr, false);
  return result->status == http::kStatusUnavailable && body.is_object() &&
         body.value("outcome", "") == "not_run";
}

// Sends a call to one of the addresses that the host names.
http::ExchangeResult SendCall(const CommandLine& line, const Call& call) {
  const auto key = ReadKey(line.key_file);
  if (!key)
    return tl::make_unexpected(
        http::ExchangeError{key.error(), http::SentState::kNothingSent});
  const auto addresses = FetchAddresses(line.host);
  if (!addresses)
    return tl::make_unexpected(
        http::ExchangeError{addresses.error(), http::SentState::kNothingSent});
  const http::Request request{
      "POST",
      call.target,
      {{"Celerycroft-Party", line.party}, {"Authorization", "Bearer " + *key}},
      call.body.dump()};
  http::ExchangeResult result = tl::make_unexpected(http::ExchangeError{
      base::Error(base::ErrorKind::kUnavailable, "no address was tried",
                  "ask another entry host"),
      http::SentState::kNothingSent});
  const base::Duration timeout =
      kAnswerSlack + (line.deadline_ms
                          ? std::chrono::milliseconds(*line.deadline_ms)
                          : kLongestDeadline);
  for (const std::string& address : *addresses) {
    result = ExchangeAndWait(address, request, timeout);
    if (!ShouldAskAnother(result))
      break;
  }
  return result;
}

void PrintQuery(const json& body) {
  std::cout << "index version " << body["indexVersion"] << ", "
            << body["covered"].size() << " of "
            << body["covered"].size() + body["missing"].size()
            << " shards covered\n";
  for (const json& missing : body["missing"])
    std::cout << "missing shard " << missing["shard"] << ": "
              << missing["reason"].get<std::string>() << "\n";
  for (const json& result : body["results"])
    std::cout << "shard " << result["shard"] << ": " << result["items"] << "\n";
}

int PrintAnswer(const CommandLine& line, const http::ExchangeResult& result) {
  if (!result) {
    std::cerr << result.error().error.ToString() << "\n";
    return result.error().sent == http::SentState::kNothingSent ? kExitNotRun
                                                                : kExitUnknown;
  }
  const json body = json::parse(result->body, nullptr, false);
  if (!body.is_object())
    return ReportError(base::Error(base::ErrorKind::kProtocol,
                                   "the answer is no JSON",
                                   "check the host's address"));
  const std::string outcome = body.value("outcome", "unknown");
  if (line.output == Output::kJson)
    std::cout << body.dump() << "\n";
  else if (body.contains("results"))
    PrintQuery(body);
  else if (body.contains("ticket"))
    std::cout << body["ticket"].get<std::string>() << "\n";
  else if (body.contains("result"))
    std::cout << "booked: " << body["result"] << "\n";
  else if (body.contains("error"))
    std::cerr << outcome << ": " << body["error"].dump() << "\n";
  if (outcome == "answered")
    return kExitSuccess;
  return outcome == "not_run" ? kExitNotRun : kExitUnknown;
}

std::string_view MissingCallerOption(const CommandLine& line) {
  if (line.host.empty())
    return "--host";
  if (line.party.empty())
    return "--party";
  if (line.key_file.empty())
    return "--key-file";
  return "";
}

int ShowPage(const CommandLine& line, const std::string& target) {
  if (line.operator_address.empty())
    return ReportMissing(line, "--operator");
  const auto response = ExchangeAndWait(line.operator_address,
                                        {"GET", target, {}, ""}, kShortTimeout);
  if (!response)
    return ReportError(response.error().error);
  const json body = json::parse(response->body, nullptr, false);
  std::cout << body.dump(line.output == Output::kJson ? -1 : 2) << "\n";
  return kExitSuccess;
}

}  // namespace

int RunAddresses(const CommandLine& line) {
  if (line.host.empty())
    return ReportMissing(line, "--host");
  const auto addresses = FetchAddresses(line.host);
  if (!addresses)
    return ReportError(addresses.error());
  if (line.output == Output::kJson) {
    std::cout << json(*addresses).dump() << "\n";
    return kExitSuccess;
  }
  for (const std::string& address : *addresses)
    std::cout << address << "\n";
  return kExitSuccess;
}

int RunQuery(const CommandLine& line) {
  const std::string_view missing = MissingCallerOption(line);
  if (!missing.empty() || line.upstream.empty() || line.text.empty())
    return ReportMissing(line,
                         missing.empty() ? "--upstream or --text" : missing);
  json body = {{"upstream", line.upstream}, {"query", line.text}};
  if (!line.key.empty())
    body["key"] = line.key;
  if (line.deadline_ms)
    body["deadlineMs"] = *line.deadline_ms;
  return PrintAnswer(line, SendCall(line, {"/v1/query", body}));
}

int RunTicket(const CommandLine& line) {
  const std::string_view missing = MissingCallerOption(line);
  if (!missing.empty())
    return ReportMissing(line, missing);
  return PrintAnswer(line, SendCall(line, {"/v1/tickets", json::object()}));
}

int RunBook(const CommandLine& line) {
  const std::string_view missing = MissingCallerOption(line);
  if (!missing.empty() || line.upstream.empty() || line.text.empty() ||
      line.key.empty())
    return ReportMissing(
        line, missing.empty() ? "--upstream, --key or --text" : missing);
  std::string ticket = line.ticket;
  if (ticket.empty()) {
    const auto issued = SendCall(line, {"/v1/tickets", json::object()});
    const json body =
        issued ? json::parse(issued->body, nullptr, false) : json(nullptr);
    if (!body.is_object() || !body.contains("ticket"))
      return PrintAnswer(line, issued);
    ticket = body["ticket"].get<std::string>();
    std::cerr << "ticket: " << ticket << "\n";
  }
  json body = {{"upstream", line.upstream},
               {"key", line.key},
               {"body", line.text},
               {"ticket", ticket}};
  if (line.deadline_ms)
    body["deadlineMs"] = *line.deadline_ms;
  return PrintAnswer(line, SendCall(line, {"/v1/bookings", body}));
}

int RunStatus(const CommandLine& line) {
  return ShowPage(line, "/v1/status");
}

int RunDump(const CommandLine& line) {
  return ShowPage(line, "/v1/state");
}

}  // namespace celerycroft
