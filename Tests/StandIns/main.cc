// Runs stand-ins for everything outside the tier, and helps tests to use them.
//
// celerycroft-standins serve DIR STORE HOSTLIST CONTROL
//     Serves stand-ins for the upstreams' servers of the configuration in DIR,
//     the key-value service and the host list, and the control address.
// celerycroft-standins check-query DIR UPSTREAM TEXT
//     Reads an answer from standard input and compares it with what the
//     servers hold.
// celerycroft-standins count-bookings CONTROL
//     Prints how many runs of bookings the servers recorded.
// celerycroft-standins control CONTROL PATH BODY
//     Turns faults on and off, or prints the records.
// celerycroft-standins hold-and-ask HOST PARTY KEYFILE UPSTREAM MILLISECONDS
//     Acts as a caller that holds one address: sends it queries, one after the
//     other, and counts those that get no valid answer.

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <chrono>
#include <csignal>
#include <fstream>
#include <iostream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "LibHttp/client.h"
#include "StandIns/control.h"

namespace standins {
namespace {

using nlohmann::json;

constexpr int kThreads = 2;
constexpr int kUsageExitCode = 2;

base::Result<config::Configuration> ReadDirectory(const std::string& name) {
  const auto collected = config::CollectDirectory(name);
  if (!collected.issues.empty())
    return base::Fail(base::ErrorKind::kInvalidInput,
                      config::ToString(collected.issues.front()),
                      "correct the file");
  return config::ParseContent(collected.content, 1).configuration;
}

int PrintError(const base::Error& error) {
  std::cerr << error.ToString() << "\n";
  return 1;
}

int Serve(const std::vector<std::string>& arguments) {
  auto configuration = ReadDirectory(arguments[1]);
  if (!configuration)
    return PrintError(configuration.error());
  boost::asio::io_context io;
  const auto control =
      Control::Create(io, *std::move(configuration),
                      {arguments[2], arguments[3], arguments[4]});
  if (!control)
    return PrintError(control.error());
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&io](const auto&, int) { io.stop(); });
  std::vector<std::jthread> threads;
  for (int i = 0; i < kThreads; ++i)
    threads.emplace_back([&io] { io.run(); });
  return 0;
}

int RejectAnswer(const std::string& reason) {
  std::cerr << "check failed: " << reason << "\n";
  return 1;
}

int CheckQuery(const std::vector<std::string>& arguments) {
  const std::string text{std::istreambuf_iterator<char>(std::cin), {}};
  const json answer = json::parse(text, nullptr, false);
  if (!answer.is_object() || answer.value("outcome", "") != "answered")
    return RejectAnswer("the input is not an answered query: " + text);
  if (!answer["missing"].empty() || answer["results"].empty())
    return RejectAnswer("the answer lacks shards");
  const auto version = answer["indexVersion"].get<uint64_t>();
  for (const json& result : answer["results"]) {
    const auto shard = result["shard"].get<uint32_t>();
    if (result["items"].dump() !=
        ItemsOf(arguments[2], version, shard, arguments[3]))
      return RejectAnswer("shard " + std::to_string(shard) + " differs");
  }
  std::cout << answer["results"].size() << " shards of " << arguments[2]
            << " hold what the servers hold at index version " << version
            << "\n";
  return 0;
}

// Sends the request and blocks until the answer or an error arrives.
http::ExchangeResult ExchangeAndWait(const std::string& address,
                                     http::Request request) {
  boost::asio::io_context io;
  http::ExchangeResult answer;
  http::ExchangeOnce(io, address, std::move(request), std::chrono::seconds(2),
                     [&](auto result) { answer = std::move(result); });
  io.run();
  return answer;
}

int SendControl(const std::vector<std::string>& arguments) {
  const auto answer =
      ExchangeAndWait(arguments[1], {"POST", arguments[2], {}, arguments[3]});
  if (!answer)
    return PrintError(answer.error().error);
  std::cout << answer->body << "\n";
  return 0;
}

int CountBookings(const std::vector<std::string>& arguments) {
  const auto answer =
      ExchangeAndWait(arguments[1], {"GET", "/records", {}, ""});
  const json records =
      answer ? json::parse(answer->body, nullptr, false) : json(nullptr);
  if (!records.is_object())
    return RejectAnswer("the control address gave no valid answer");
  int runs = 0;
  for (const json& server : records["servers"]) {
    for (const auto& [run_id, count] : server["bookingRuns"].items())
      runs += count.get<int>();
  }
  std::cout << runs << "\n";
  return 0;
}

int HoldAndAsk(const std::vector<std::string>& arguments) {
  std::ifstream key_file(arguments[3]);
  std::string key;
  std::getline(key_file, key);
  const http::Request request{
      "POST",
      "/v1/query",
      {{"Celerycroft-Party", arguments[2]}, {"Authorization", "Bearer " + key}},
      json{{"upstream", arguments[4]}, {"query", "held"}}.dump()};
  const auto end = std::chrono::steady_clock::now() +
                   std::chrono::milliseconds(std::stoi(arguments[5]));
  int asked = 0;
  int cut_off = 0;
  while (std::chrono::steady_clock::now() < end) {
    const auto answer = ExchangeAndWait(arguments[1], request);
    ++asked;
    const json body =
        answer ? json::parse(answer->body, nullptr, false) : json(nullptr);
    cut_off += body.is_object() && body.contains("outcome") ? 0 : 1;
  }
  std::cout << asked << " asked, " << cut_off << " cut off\n";
  return 0;
}

int Main(const std::vector<std::string>& arguments) {
  if (arguments.size() == 5 && arguments[0] == "serve")
    return Serve(arguments);
  if (arguments.size() == 4 && arguments[0] == "check-query")
    return CheckQuery(arguments);
  if (arguments.size() == 2 && arguments[0] == "count-bookings")
    return CountBookings(arguments);
  if (arguments.size() == 4 && arguments[0] == "control")
    return SendControl(arguments);
  if (arguments.size() == 6 && arguments[0] == "hold-and-ask")
    return HoldAndAsk(arguments);
  std::cerr << "usage: celerycroft-standins serve DIR STORE HOSTLIST CONTROL\n"
               "       celerycroft-standins check-query DIR UPSTREAM TEXT\n"
               "       celerycroft-standins count-bookings CONTROL\n"
               "       celerycroft-standins control CONTROL PATH BODY\n"
               "       celerycroft-standins hold-and-ask HOST PARTY KEYFILE "
               "UPSTREAM MILLISECONDS\n";
  return kUsageExitCode;
}

}  // namespace
}  // namespace standins

int main(int argc, char** argv) {
  return standins::Main(std::vector<std::string>(argv + 1, argv + argc));
}
