// celerycroft-standins serve DIR STORE HOSTLIST CONTROL
//     serves stand-ins for everything outside the tier.
// celerycroft-standins check-query DIR UPSTREAM TEXT
//     reads an answer from standard input and compares it with what the
//     servers hold.
// celerycroft-standins count-bookings CONTROL
//     prints how many runs of bookings the servers recorded.
// celerycroft-standins control CONTROL PATH BODY
//     turns faults on and off, or reads the records.
// celerycroft-standins hold-and-ask HOST PARTY KEYFILE UPSTREAM MILLISECONDS
//     is a caller that asks the one address it holds, one query after the
//     other, and counts those that are cut off.

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
constexpr int kUsage = 2;

base::Result<config::Configuration> ReadDirectory(const std::string& name) {
  const auto collected = config::CollectDirectory(name);
  if (!collected.issues.empty())
    return base::Fail(base::ErrorKind::kInvalidInput,
                      config::ToString(collected.issues.front()),
                      "mend the file");
  return config::ParseContent(collected.content, 1).configuration;
}

int Report(const base::Error& error) {
  std::cerr << error.ToString() << "\n";
  return 1;
}

int Serve(const std::vector<std::string>& words) {
  auto configuration = ReadDirectory(words[1]);
  if (!configuration)
    return Report(configuration.error());
  boost::asio::io_context io;
  const auto control = Control::Create(io, *std::move(configuration),
                                       {words[2], words[3], words[4]});
  if (!control)
    return Report(control.error());
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&io](const auto&, int) { io.stop(); });
  std::vector<std::jthread> threads;
  for (int i = 0; i < kThreads; ++i)
    threads.emplace_back([&io] { io.run(); });
  return 0;
}

int Fail(const std::string& reason) {
  std::cerr << "the answer is wrong: " << reason << "\n";
  return 1;
}

int CheckQuery(const std::vector<std::string>& words) {
  const std::string text{std::istreambuf_iterator<char>(std::cin), {}};
  const json answer = json::parse(text, nullptr, false);
  if (!answer.is_object() || answer.value("outcome", "") != "answered")
    return Fail("it is no answer: " + text);
  if (!answer["missing"].empty() || answer["results"].empty())
    return Fail("shards are missing");
  const auto version = answer["indexVersion"].get<uint64_t>();
  for (const json& result : answer["results"]) {
    const auto shard = result["shard"].get<uint32_t>();
    if (result["items"].dump() != ItemsOf(words[2], version, shard, words[3]))
      return Fail("shard " + std::to_string(shard) + " differs");
  }
  std::cout << answer["results"].size() << " shards of " << words[2]
            << " hold what the servers hold at index version " << version
            << "\n";
  return 0;
}

// One exchange, waited for.
http::ExchangeResult ExchangeAndWait(const std::string& address,
                                     http::Request request) {
  boost::asio::io_context io;
  http::ExchangeResult answer;
  http::ExchangeOnce(io, address, std::move(request), std::chrono::seconds(2),
                     [&](auto result) { answer = std::move(result); });
  io.run();
  return answer;
}

int SendControl(const std::vector<std::string>& words) {
  const auto answer =
      ExchangeAndWait(words[1], {"POST", words[2], {}, words[3]});
  if (!answer)
    return Report(answer.error().error);
  std::cout << answer->body << "\n";
  return 0;
}

int CountBookings(const std::vector<std::string>& words) {
  const auto answer = ExchangeAndWait(words[1], {"GET", "/records", {}, ""});
  const json records =
      answer ? json::parse(answer->body, nullptr, false) : json(nullptr);
  if (!records.is_object())
    return Fail("the control address does not answer");
  int runs = 0;
  for (const json& server : records["servers"]) {
    for (const auto& [run_id, count] : server["bookingRuns"].items())
      runs += count.get<int>();
  }
  std::cout << runs << "\n";
  return 0;
}

int HoldAndAsk(const std::vector<std::string>& words) {
  std::ifstream key_file(words[3]);
  std::string key;
  std::getline(key_file, key);
  const http::Request request{
      "POST",
      "/v1/query",
      {{"Celerycroft-Party", words[2]}, {"Authorization", "Bearer " + key}},
      json{{"upstream", words[4]}, {"query", "held"}}.dump()};
  const auto end = std::chrono::steady_clock::now() +
                   std::chrono::milliseconds(std::stoi(words[5]));
  int asked = 0;
  int cut_off = 0;
  while (std::chrono::steady_clock::now() < end) {
    const auto answer = ExchangeAndWait(words[1], request);
    ++asked;
    const json body =
        answer ? json::parse(answer->body, nullptr, false) : json(nullptr);
    cut_off += body.is_object() && body.contains("outcome") ? 0 : 1;
  }
  std::cout << asked << " asked, " << cut_off << " cut off\n";
  return 0;
}

int Main(const std::vector<std::string>& words) {
  if (words.size() == 5 && words[0] == "serve")
    return Serve(words);
  if (words.size() == 4 && words[0] == "check-query")
    return CheckQuery(words);
  if (words.size() == 2 && words[0] == "count-bookings")
    return CountBookings(words);
  if (words.size() == 4 && words[0] == "control")
    return SendControl(words);
  if (words.size() == 6 && words[0] == "hold-and-ask")
    return HoldAndAsk(words);
  std::cerr << "usage: celerycroft-standins serve DIR STORE HOSTLIST CONTROL\n"
               "       celerycroft-standins check-query DIR UPSTREAM TEXT\n"
               "       celerycroft-standins count-bookings CONTROL\n"
               "       celerycroft-standins control CONTROL PATH BODY\n"
               "       celerycroft-standins hold-and-ask HOST PARTY KEYFILE "
               "UPSTREAM MILLISECONDS\n";
  return kUsage;
}

}  // namespace
}  // namespace standins

int main(int argc, char** argv) {
  return standins::Main(std::vector<std::string>(argv + 1, argv + argc));
}
