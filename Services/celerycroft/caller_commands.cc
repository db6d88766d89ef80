// Implements the commands that call a node: those of a caller, and those that
// show a node's status and state to an operator.

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

// A node answers by the request's deadline. The client waits this much longer
// for the answer to arrive.
constexpr base::Duration kResponseGrace = std::chrono::seconds(1);
// The longest deadline that a node accepts. It bounds the wait if the command
// line gives no deadline.
constexpr base::Duration kMaxDeadline = std::chrono::seconds(60);
// Limits requests that a node answers by itself, without other hosts.
constexpr base::Duration kLookupTimeout = std::chrono::seconds(2);

base::Result<std::vector<std::string>> FetchAddresses(
    const std::string& host_address) {
  const auto response = ExchangeAndWait(
      host_address, {"GET", "/v1/addresses", {}, ""}, kLookupTimeout);
  if (!response)
    return tl::make_unexpected(response.error().error);
  const json body = json::parse(response->body, nullptr, false);
  std::vector<std::string> addresses;
  if (body.is_object() && body.contains("addresses"))
    addresses = body["addresses"].get<std::vector<std::string>>();
  if (addresses.empty())
    return base::Fail(base::ErrorKind::kUnavailable,
                      "the entry host returned no addresses",
                      "ask another entry host");
  return addresses;
}

base::Result<std::string> ReadKey(const std::string& file) {
  std::ifstream stream(file);
  std::string key;
  if (!std::getline(stream, key) || key.empty())
    return base::Fail(base::ErrorKind::kNotFound, "there is no key in " + file,
                      "write the key on the first line of the file");
  return key;
}

// A POST request of a caller.
struct PostRequest {
  std::string target;
  json body;
};

// Returns whether the request was certainly not executed and another entry host
// may be able to execute it.
bool ShouldTryNextAddress(const http::ExchangeResult& result) {
  if (!result)
    return result.error().sent == http::SentState::kNothingSent;
  const json body = json::parse(result->body, nullptr, false);
  return result->status == http::kStatusUnavailable && body.is_object() &&
         body.value("outcome", "") == "not_run";
}

// Asks the entry host for addresses and sends the request to each in turn while
// ShouldTryNextAddress. Returns the last result.
http::ExchangeResult SendRequest(const CommandLine& line,
                                 const PostRequest& post_request) {
  const auto key = ReadKey(line.key_file);
  if (!key)
    return tl::make_unexpected(
        http::ExchangeError{key.error(), http::SentState::kNothingSent});
  const auto addresses = FetchAddresses(line.host_address);
  if (!addresses)
    return tl::make_unexpected(
        http::ExchangeError{addresses.error(), http::SentState::kNothingSent});
  const http::Request request{
      "POST",
      post_request.target,
      {{"Celerycroft-Party", line.party}, {"Authorization", "Bearer " + *key}},
      post_request.body.dump()};
  http::ExchangeResult result = tl::make_unexpected(http::ExchangeError{
      base::Error(base::ErrorKind::kUnavailable, "no address was tried",
                  "ask another entry host"),
      http::SentState::kNothingSent});
  const base::Duration timeout =
      kResponseGrace + (line.deadline_ms
                            ? std::chrono::milliseconds(*line.deadline_ms)
                            : kMaxDeadline);
  for (const std::string& address : *addresses) {
    result = ExchangeAndWait(address, request, timeout);
    if (!ShouldTryNextAddress(result))
      break;
  }
  return result;
}

void PrintQueryAnswer(const json& body) {
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

// Prints the answer in the chosen format and returns the exit code for its
// outcome.
int PrintAnswer(const CommandLine& line, const http::ExchangeResult& result) {
  if (!result) {
    std::cerr << result.error().error.ToString() << "\n";
    return result.error().sent == http::SentState::kNothingSent
               ? kExitNotRun
               : kExitOutcomeUnknown;
  }
  const json body = json::parse(result->body, nullptr, false);
  if (!body.is_object())
    return ReportError(base::Error(base::ErrorKind::kProtocol,
                                   "the answer is not a JSON object",
                                   "check the address of the host"));
  const std::string outcome = body.value("outcome", "unknown");
  if (line.output_format == OutputFormat::kJson)
    std::cout << body.dump() << "\n";
  else if (body.contains("results"))
    PrintQueryAnswer(body);
  else if (body.contains("ticket"))
    std::cout << body["ticket"].get<std::string>() << "\n";
  else if (body.contains("result"))
    std::cout << "booked: " << body["result"] << "\n";
  else if (body.contains("error"))
    std::cerr << outcome << ": " << body["error"].dump() << "\n";
  if (outcome == "answered")
    return kExitSuccess;
  return outcome == "not_run" ? kExitNotRun : kExitOutcomeUnknown;
}

// Returns the first missing option that all commands of a caller need, or
// nothing.
std::string_view MissingCallerOption(const CommandLine& line) {
  if (line.host_address.empty())
    return "--host";
  if (line.party.empty())
    return "--party";
  if (line.key_file.empty())
    return "--key-file";
  return "";
}

// Fetches `target` from the operator address and prints it.
int PrintOperatorPage(const CommandLine& line, const std::string& target) {
  if (line.operator_address.empty())
    return ReportMissingArgument(line, "--operator");
  const auto response = ExchangeAndWait(
      line.operator_address, {"GET", target, {}, ""}, kLookupTimeout);
  if (!response)
    return ReportError(response.error().error);
  const json body = json::parse(response->body, nullptr, false);
  std::cout << body.dump(line.output_format == OutputFormat::kJson ? -1 : 2)
            << "\n";
  return kExitSuccess;
}

}  // namespace

int RunAddresses(const CommandLine& line) {
  if (line.host_address.empty())
    return ReportMissingArgument(line, "--host");
  const auto addresses = FetchAddresses(line.host_address);
  if (!addresses)
    return ReportError(addresses.error());
  if (line.output_format == OutputFormat::kJson) {
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
    return ReportMissingArgument(
        line, missing.empty() ? "--upstream or --text" : missing);
  json body = {{"upstream", line.upstream}, {"query", line.text}};
  if (!line.key.empty())
    body["key"] = line.key;
  if (line.deadline_ms)
    body["deadlineMs"] = *line.deadline_ms;
  return PrintAnswer(line, SendRequest(line, {"/v1/query", body}));
}

int RunTicket(const CommandLine& line) {
  const std::string_view missing = MissingCallerOption(line);
  if (!missing.empty())
    return ReportMissingArgument(line, missing);
  return PrintAnswer(line, SendRequest(line, {"/v1/tickets", json::object()}));
}

int RunBook(const CommandLine& line) {
  const std::string_view missing = MissingCallerOption(line);
  if (!missing.empty() || line.upstream.empty() || line.text.empty() ||
      line.key.empty())
    return ReportMissingArgument(
        line, missing.empty() ? "--upstream, --key or --text" : missing);
  std::string ticket = line.ticket;
  if (ticket.empty()) {
    const auto issued = SendRequest(line, {"/v1/tickets", json::object()});
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
  return PrintAnswer(line, SendRequest(line, {"/v1/bookings", body}));
}

int RunStatus(const CommandLine& line) {
  return PrintOperatorPage(line, "/v1/status");
}

int RunDump(const CommandLine& line) {
  return PrintOperatorPage(line, "/v1/state");
}

}  // namespace celerycroft
