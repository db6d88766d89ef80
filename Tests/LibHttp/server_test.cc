// The HTTP server must reject bad input and go on serving other clients. The
// client must know which requests were certainly not sent.

#include "LibHttp/server.h"

#include <doctest/doctest.h>

#include <boost/asio.hpp>
#include <string>
#include <thread>

#include "LibHttp/client.h"

namespace {

using boost::asio::ip::tcp;

constexpr char kAddress[] = "127.0.0.77:18080";

// A server on a thread of its own that sends each request's body back.
class EchoServer {
 public:
  EchoServer() {
    http::ServerLimits limits;
    limits.max_body_bytes = 1000;
    limits.request_timeout = std::chrono::milliseconds(200);
    server_ = *http::Server::Create(
        io_, kAddress, limits,
        [](const http::Request& request, const http::Responder& respond) {
          http::Response response;
          response.body = request.body;
          respond(response);
        });
    thread_ = std::jthread([this] { io_.run(); });
  }
  ~EchoServer() { io_.stop(); }

  // Sends `bytes` and returns what comes back until the server closes the
  // connection.
  std::string Send(const std::string& bytes) {
    boost::asio::io_context io;
    tcp::socket socket(io);
    socket.connect({boost::asio::ip::make_address("127.0.0.77"), 18080});
    boost::system::error_code error;
    boost::asio::write(socket, boost::asio::buffer(bytes), error);
    std::string answer;
    boost::asio::read(socket, boost::asio::dynamic_buffer(answer), error);
    return answer;
  }

  boost::asio::io_context& io() { return io_; }
  http::Server& server() { return *server_; }

 private:
  boost::asio::io_context io_;
  std::unique_ptr<http::Server> server_;
  std::jthread thread_;
};

TEST_CASE(
    "malformed, large and slow requests fail, and other requests succeed") {
  EchoServer server;
  CHECK(server.Send("what is this\r\n\r\n").find(" 400 ") != std::string::npos);
  CHECK(server
            .Send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5000\r\n\r\n" +
                  std::string(5000, 'x'))
            .find(" 413 ") != std::string::npos);
  CHECK(server
            .Send("GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(9000, 'x') +
                  "\r\n\r\n")
            .find(" 400 ") != std::string::npos);
  // An incomplete request: the server closes the connection after the request
  // timeout.
  CHECK(server.Send("POST / HTTP/1.1\r\nHost: a\r\nContent-Le").empty());

  boost::asio::io_context io;
  std::string body;
  http::ExchangeOnce(io, kAddress, {"POST", "/", {}, "whole"},
                     std::chrono::seconds(5), [&](auto result) {
                       REQUIRE(result.has_value());
                       body = result->body;
                     });
  io.run();
  CHECK(body == "whole");
}

TEST_CASE("a client reports that nothing was sent if it can't connect") {
  boost::asio::io_context io;
  http::SentState sent = http::SentState::kMaybeSent;
  http::ExchangeOnce(io, "127.0.0.77:18081", {"GET", "/", {}, ""},
                     std::chrono::seconds(5), [&](auto result) {
                       REQUIRE(!result.has_value());
                       sent = result.error().sent;
                     });
  io.run();
  CHECK(sent == http::SentState::kNothingSent);
}

}  // namespace
