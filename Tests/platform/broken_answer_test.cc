// What callers get if a server fails, or sends bytes that only resemble an
// answer, over real sockets: a node, a stand-in for the store, and servers that
// answer with given bytes.

#include <doctest/doctest.h>

#include <atomic>
#include <boost/asio.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "LibBase/log.h"
#include "LibHttp/address.h"
#include "StandIns/raw_server.h"
#include "forward_node.h"
#include "io_thread.h"
#include "scenario.h"
#include "stand_in_store.h"
#include "wire.h"

namespace platform {
namespace {

using boost::asio::ip::tcp;
using standins::RawServer;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kStoreAddress[] = "127.0.0.81:20000";
constexpr char kCallerAddress[] = "127.0.0.81:20001";
constexpr base::Duration kTimeAllowed = seconds(2);
constexpr base::Duration kSettleTime = seconds(10);
constexpr base::Duration kPollPeriod = milliseconds(20);
constexpr char kSoundAnswer[] =
    "HTTP/1.1 200 OK\r\nCelerycroft-Server-Stamp: sound\r\n"
    "Connection: close\r\nContent-Length: 16\r\n\r\nsixteen of sound";

// Every request may be repeated once: a node that has just started has no
// slack.
constexpr char kSettings[] = R"({
  "nodeId": "n0", "availabilityZone": "a",
  "callerAddress": "127.0.0.81:20001", "readinessAddress": "127.0.0.81:20002",
  "directoryAddress": "127.0.0.81:20003", "peerAddress": "127.0.0.81:20004",
  "operatorAddress": "127.0.0.81:20005", "storeAddress": "127.0.0.81:20000",
  "peerSeeds": [], "addressHoldSeconds": 2, "stopGraceSeconds": 6,
  "extraLoadShare": 1
})";

// Routes to the services below, of which the first two gather. All but `pair`
// and the second shard have a server in trouble only.
soak::Deployment MakeDeployment(size_t shards) {
  soak::Deployment deployment;
  deployment.zones = {"a"};
  deployment.shards = shards;
  deployment.shard = {"shard", 1, 3, {}};
  deployment.single_services = {
      {"alone", 1, 3, {}}, {"once", 1, 3, {}}, {"pair", 2, 3, {}}};
  deployment.kinds = {{"gather", "/shard0/", "GET", kTimeAllowed},
                      {"gather2", "/gather2/", "GET", kTimeAllowed},
                      {"alone", "/alone/", "GET", kTimeAllowed},
                      {"once", "/once/", "POST", kTimeAllowed, false},
                      {"pair", "/pair/", "GET", kTimeAllowed}};
  deployment.objectives_ms = {1000, 1000, 1000, 1000, 1000};
  return deployment;
}

// Returns the bytes of the answer to a request, up to the connection's end.
std::string Send(const std::string& method, const std::string& target) {
  static std::atomic<int> next_id{1};
  boost::asio::io_context io;
  tcp::socket socket(io);
  socket.connect(http::ParseEndpoint(kCallerAddress).value());
  boost::asio::write(
      socket,
      boost::asio::buffer(method + " " + target +
                          " HTTP/1.1\r\nHost: " + soak::kRequestHost + "\r\n" +
                          wire::kRequestId + ": r" + std::to_string(next_id++) +
                          "\r\n" + wire::kDeadlineMs + ": 2000\r\n" +
                          "Content-Length: 0\r\nConnection: close\r\n\r\n"));
  std::string answer;
  boost::system::error_code error;
  boost::asio::read(socket, boost::asio::dynamic_buffer(answer), error);
  return answer;
}

// A node, its store, and the servers of all services.
class Tier {
 public:
  Tier() {
    base::DisableLog();
    for (const std::string service : {"shard0", "alone", "once", "pair"})
      AddServer(service, [this, service] { return TroubledAnswer(service); });
    for (const std::string service : {"pair", "shard1"})
      AddServer(service, [] { return kSoundAnswer; });
    PutConfiguration(1, 1);
    node_ = ForwardNode::Create(
                config::ParseForwardNodeSettings(kSettings, "test").settings,
                node_thread_.io())
                .value();
    // It then knows the configuration and all servers.
    WaitUntilServed({"/shard0/", "/alone/", "/once/", "/pair/"});
  }
  ~Tier() {
    node_thread_.Stop();
    store_thread_.Stop();
  }

  // Publishes a version of the configuration that divides the index into this
  // number of shards.
  void PutConfiguration(uint64_t version, size_t shards) {
    boost::asio::post(store_thread_.io(), [this, version, shards] {
      store_.Put(wire::kConfigurationPrefix,
                 soak::MakeConfiguration(MakeDeployment(shards), version));
    });
  }
  // Waits until the version's configuration is in force.
  static void WaitForVersion(uint64_t version) {
    WaitUntilServed({soak::VersionPathPrefix(version)});
  }

  // Sets the answer of the servers in trouble.
  void SetAnswer(std::string answer) {
    const std::lock_guard lock(mutex_);
    answer_ = std::move(answer);
    troubled_calls_.clear();
  }
  // How many requests the service's server in trouble got since the answer was
  // set. A hedge of an earlier request may count for /pair/.
  int troubled_calls(const std::string& service) {
    const std::lock_guard lock(mutex_);
    return troubled_calls_[service];
  }

 private:
  void AddServer(const std::string& service, RawServer::Answer answer) {
    const std::string index = std::to_string(servers_.size());
    const std::string address = "127.0.0.81:2101" + index;
    servers_.push_back(std::make_unique<RawServer>(address, std::move(answer)));
    const std::string entry =
        R"({"service":")" + service + R"(","address":")" + address +
        R"(","zone":"a","version":"v1","slots":3,"state":"ready",)"
        R"("cold_remaining_ms":0,"sequence":1,"born":1790000000000})";
    boost::asio::post(store_thread_.io(), [this, index, entry] {
      store_.Put(wire::kServersPrefix + ("i-" + index), entry);
    });
  }

  std::string TroubledAnswer(const std::string& service) {
    const std::lock_guard lock(mutex_);
    ++troubled_calls_[service];
    return answer_;
  }

  static void WaitUntilServed(const std::vector<std::string>& targets) {
    const auto end = std::chrono::steady_clock::now() + kSettleTime;
    for (const std::string& target : targets) {
      while (!Send("GET", target).starts_with("HTTP/1.1 200")) {
        REQUIRE(std::chrono::steady_clock::now() < end);
        std::this_thread::sleep_for(kPollPeriod);
      }
    }
  }

  std::mutex mutex_;
  std::string answer_ = kSoundAnswer;
  std::map<std::string, int> troubled_calls_;
  std::vector<std::unique_ptr<RawServer>> servers_;
  soak::IoThread store_thread_;
  soak::StandInStore store_{store_thread_.io(), kStoreAddress};
  soak::IoThread node_thread_;
  std::unique_ptr<ForwardNode> node_;
};

// Checks that no caller gets the answer of a server in trouble.
void CheckIsNotRelayed(Tier& tier, const std::string& answer) {
  CAPTURE(answer);
  for (const std::string service : {"shard0", "alone", "once"}) {
    CAPTURE(service);
    tier.SetAnswer(answer);
    const std::string given =
        Send(service == "once" ? "POST" : "GET", "/" + service + "/");
    CAPTURE(given);
    CHECK(given.starts_with("HTTP/1.1 504 "));
    CHECK(given.find("trouble") == std::string::npos);
    CHECK(tier.troubled_calls(service) == 1);
  }
  // Another server is asked instead.
  for (int i = 0; i < 5; ++i) {
    const std::string given = Send("GET", "/pair/");
    CAPTURE(given);
    CHECK(given.ends_with("sixteen of sound"));
  }
}

TEST_CASE("an answer with status 000 is not relayed") {
  Tier tier;
  const std::string head =
      "HTTP/1.1 000 OK\r\nCelerycroft-Server-Stamp: trouble\r\n";
  CheckIsNotRelayed(tier, head + "Content-Length: 14\r\n\r\ntrouble length");
  CheckIsNotRelayed(tier, head +
                              "Transfer-Encoding: chunked\r\n\r\n"
                              "f\r\ntrouble chunks!\r\n0\r\n\r\n");
  CheckIsNotRelayed(tier, head + "\r\ntrouble to the end");
}

TEST_CASE("a switch of protocols that was not asked for is not relayed") {
  Tier tier;
  CheckIsNotRelayed(tier,
                    "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n"
                    "Celerycroft-Server-Stamp: trouble\r\n\r\n");
}

TEST_CASE("a body in an unknown transfer coding is not relayed") {
  Tier tier;
  const std::string head =
      "HTTP/1.1 200 OK\r\nCelerycroft-Server-Stamp: trouble\r\n";
  const std::string body = "\r\nf\r\ntrouble chunks!\r\n0\r\n\r\n";
  CheckIsNotRelayed(tier, head + "Transfer-Encoding: gzip\r\n" + body);
  CheckIsNotRelayed(tier,
                    head + "Transfer-Encoding: chunked, chunked\r\n" + body);
}

TEST_CASE("an answer with an invalid field name is not relayed") {
  Tier tier;
  const std::string end = ": 1\r\nContent-Length: 7\r\n\r\ntrouble";
  for (const char byte : {' ', '\t', '\0', '\x01', '\x7f'}) {
    for (const std::string& name :
         {std::string("X-Trouble") + byte, std::string("X-") + byte + "Trouble",
          std::string("Content-Length") + byte,
          std::string("Transfer") + byte + "Encoding"})
      CheckIsNotRelayed(
          tier, "HTTP/1.1 200 OK\r\nCelerycroft-Server-Stamp: trouble\r\n" +
                    name + end);
  }
}

// Returns a signed answer of a server in trouble.
std::string MakeFailure(int status) {
  return "HTTP/1.1 " + std::to_string(status) +
         " Trouble\r\nCelerycroft-Server-Stamp: trouble\r\n"
         "Content-Length: 16\r\n\r\nsixteen trouble!";
}

// Failures of a query's only shard reached callers as successes: 200, with the
// failure's signature as a part and its body as records.
TEST_CASE("a failure of the only shard is not a part of the answer") {
  Tier tier;
  const auto check_is_no_part = [&] {
    for (const int status : {300, 302, 400, 404, 409, 429, 499, 500, 503}) {
      CAPTURE(status);
      tier.SetAnswer(MakeFailure(status));
      const std::string given = Send("GET", "/shard0/");
      CAPTURE(given);
      // No server's signature and another status than that server's.
      CHECK(given.starts_with("HTTP/1.1 504 "));
      CHECK(given.find("trouble") == std::string::npos);
    }
  };
  check_is_no_part();
  // The index is divided into two shards, and into one again.
  for (const uint64_t version : {2, 3}) {
    CAPTURE(version);
    tier.SetAnswer(kSoundAnswer);
    tier.PutConfiguration(version, version == 2 ? 2 : 1);
    Tier::WaitForVersion(version);
    check_is_no_part();
  }
}

TEST_CASE("any success of the only shard is a part of the answer") {
  Tier tier;
  for (const int status : {200, 201, 203}) {
    CAPTURE(status);
    tier.SetAnswer(MakeFailure(status));
    const std::string given = Send("GET", "/shard0/");
    CAPTURE(given);
    CHECK(given.starts_with("HTTP/1.1 200 "));
    CHECK(given.find("Part-Stamps: trouble\r\n") != std::string::npos);
    CHECK(given.ends_with("sixteen trouble!"));
  }
}

TEST_CASE("a client error of a route's only service is relayed as it is") {
  Tier tier;
  for (const int status : {302, 400, 404, 409, 499}) {
    for (const std::string service : {"alone", "once"}) {
      CAPTURE(status);
      CAPTURE(service);
      tier.SetAnswer(MakeFailure(status));
      const std::string given =
          Send(service == "once" ? "POST" : "GET", "/" + service + "/");
      CAPTURE(given);
      CHECK(given.starts_with("HTTP/1.1 " + std::to_string(status) + " "));
      CHECK(given.find("Server-Stamp: trouble\r\n") != std::string::npos);
      CHECK(given.ends_with("sixteen trouble!"));
      CHECK(tier.troubled_calls(service) == 1);
    }
  }
}

// The word of a leaving server was passed on and not read.
TEST_CASE("a server whose answer says that it is leaving is not asked again") {
  Tier tier;
  tier.SetAnswer(
      "HTTP/1.1 200 OK\r\nCelerycroft-Server-Stamp: trouble\r\n"
      "Server-Leaving: 1\r\nContent-Length: 16\r\n\r\nsixteen trouble!");
  bool has_passed_on = false;
  for (int i = 0; i < 100 && !has_passed_on; ++i)
    has_passed_on = Send("GET", "/pair/").ends_with("sixteen trouble!");
  REQUIRE(has_passed_on);
  const int calls = tier.troubled_calls("pair");
  for (int i = 0; i < 30; ++i)
    CHECK(Send("GET", "/pair/").ends_with("sixteen of sound"));
  CHECK(tier.troubled_calls("pair") == calls);
  // No other server is left of this service.
  CHECK(Send("GET", "/alone/").ends_with("sixteen trouble!"));
  const std::string refused = Send("GET", "/alone/");
  CAPTURE(refused);
  CHECK(refused.starts_with("HTTP/1.1 503 "));
  CHECK(refused.find("Retry-After: ") != std::string::npos);
  CHECK(tier.troubled_calls("alone") == 1);
}

}  // namespace
}  // namespace platform
