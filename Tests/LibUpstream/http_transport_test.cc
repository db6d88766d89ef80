// Tests the connections that calls leave behind, over real sockets.

#include "LibUpstream/http_transport.h"

#include <doctest/doctest.h>

#include <boost/asio.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "StandIns/raw_server.h"

namespace upstream {
namespace {

using boost::asio::ip::tcp;

constexpr char kHost[] = "127.0.0.79";
constexpr uint16_t kPort = 18083;
constexpr char kRawAddress[] = "127.0.0.79:18086";
constexpr base::Duration kTimeout = std::chrono::seconds(10);
// Enough for a connection over loopback on a busy machine.
constexpr base::Duration kConnectTime = std::chrono::seconds(2);

// Encodes calls for a server that never answers.
class StubCodec final : public ShardCodec {
 public:
  http::Request Encode(const ServerTarget&,
                       const ShardCall&,
                       base::Duration) const override {
    return {"GET", "/", {{"Host", kHost}}, ""};
  }
  ShardOutcome Decode(const ShardCall&, http::Response) const override {
    return tl::make_unexpected(ShardFailure::kBroken);
  }
};

// Accepts connections and keeps them open without answering.
class SilentServer {
 public:
  explicit SilentServer(boost::asio::io_context& io)
      : acceptor_(io, {boost::asio::ip::make_address(kHost), kPort}) {
    Accept();
  }
  size_t connections() const { return sockets_.size(); }
  void StopAndCloseConnections() {
    acceptor_.close();
    sockets_.clear();
  }

 private:
  void Accept() {
    acceptor_.async_accept([this](auto error, tcp::socket socket) {
      if (error)
        return;
      sockets_.push_back(std::move(socket));
      Accept();
    });
  }

  tcp::acceptor acceptor_;
  std::vector<tcp::socket> sockets_;
};

class TransportFixture {
 public:
  // Runs until the server has `count` connections or `kConnectTime` has passed.
  void RunUntilConnections(size_t count) {
    const auto end = std::chrono::steady_clock::now() + kConnectTime;
    while (server.connections() < count &&
           std::chrono::steady_clock::now() < end)
      io.run_for(std::chrono::milliseconds(1));
  }

  boost::asio::io_context io;
  SilentServer server{io};
  std::shared_ptr<ConnectionPool> pool = ConnectionPool::Create(io);
  HttpTransport transport{pool, std::make_shared<const StubCodec>()};
  const ServerTarget target{std::string(kHost) + ":" + std::to_string(kPort), 1,
                            "i"};
};

TEST_CASE("a prepared connection is used by the next call") {
  TransportFixture fixture;
  fixture.transport.Prepare(fixture.target);
  fixture.transport.Prepare(fixture.target);
  fixture.RunUntilConnections(1);
  fixture.transport.Start(fixture.target, {}, kTimeout, [](auto) {});
  fixture.RunUntilConnections(2);
  CHECK(fixture.server.connections() == 1);
}

TEST_CASE("a cancelled call leaves an open connection for the next one") {
  TransportFixture fixture;
  const CallId call =
      fixture.transport.Start(fixture.target, {}, kTimeout, [](auto) {});
  fixture.RunUntilConnections(1);
  fixture.transport.Cancel(call);
  fixture.RunUntilConnections(2);
  CHECK(fixture.server.connections() == 2);
  const auto usage = fixture.pool->Dump();
  REQUIRE(usage.size() == 1);
  CHECK(usage.front().open == 1);
}

// A caller may hold a lock that its callback takes.
TEST_CASE("a call that begins at its deadline is not ended from within Start") {
  for (const base::Duration timeout :
       {base::Duration(-1), base::Duration(0), base::Duration(1)}) {
    CAPTURE(timeout.count());
    TransportFixture fixture;
    bool is_starting = true;
    int ended_while_starting = 0;
    int ended = 0;
    const auto on_end = [&](const auto&) {
      ended_while_starting += is_starting ? 1 : 0;
      ++ended;
    };
    fixture.transport.Start(fixture.target, {}, timeout, on_end);
    fixture.transport.FetchReport(fixture.target, timeout, on_end);
    is_starting = false;
    const auto limit = std::chrono::steady_clock::now() + kConnectTime;
    while (ended < 2 && std::chrono::steady_clock::now() < limit)
      fixture.io.run_for(std::chrono::milliseconds(1));
    CHECK(ended_while_starting == 0);
    CHECK(ended == 2);
  }
}

// Such a call ends without waiting for anything.
TEST_CASE("a call whose connection was closed is not ended from within Start") {
  TransportFixture fixture;
  fixture.transport.Prepare(fixture.target);
  fixture.RunUntilConnections(1);
  fixture.io.run_for(std::chrono::milliseconds(10));  // The pool gets it back.
  fixture.server.StopAndCloseConnections();
  bool is_starting = true;
  int ended_while_starting = 0;
  int ended = 0;
  fixture.transport.Start(fixture.target, {}, kTimeout, [&](const auto&) {
    ended_while_starting += is_starting ? 1 : 0;
    ++ended;
  });
  is_starting = false;
  const auto limit = std::chrono::steady_clock::now() + kConnectTime;
  while (ended == 0 && std::chrono::steady_clock::now() < limit)
    fixture.io.run_for(std::chrono::milliseconds(1));
  CHECK(ended_while_starting == 0);
  CHECK(ended == 1);
}

TEST_CASE("a report with status 000 is a protocol error") {
  const standins::RawServer server(kRawAddress, [] {
    return R"(HTTP/1.1 000 OK)"
           "\r\n\r\n"
           R"({"address":"a","incarnation":1,"sequence":1,"leaving":false,)"
           R"("held":[]})";
  });
  TransportFixture fixture;
  std::optional<base::Result<ServerReport>> report;
  fixture.transport.FetchReport({kRawAddress, 1, "i"}, kTimeout,
                                [&](auto given) { report = std::move(given); });
  const auto limit = std::chrono::steady_clock::now() + kConnectTime;
  while (!report && std::chrono::steady_clock::now() < limit)
    fixture.io.run_for(std::chrono::milliseconds(1));
  REQUIRE(report);
  CHECK_FALSE(*report);
  if (!*report)
    CHECK(report->error().kind() == base::ErrorKind::kProtocol);
}

}  // namespace
}  // namespace upstream
