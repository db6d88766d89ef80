// A peer may send bytes that are no message, without end. The client and the
// server must give up on them long before their time limits, and hold only a
// bounded part of them in memory.

#include <doctest/doctest.h>

#include <array>
#include <atomic>
#include <boost/asio.hpp>
#include <chrono>
#include <future>
#include <optional>
#include <string>
#include <string_view>
#include <thread>

#include "LibHttp/client.h"
#include "LibHttp/server.h"

namespace {

using boost::asio::ip::tcp;
using std::chrono::seconds;

constexpr char kHost[] = "127.0.0.78";
constexpr uint16_t kStandInPort = 18081;
constexpr uint16_t kServerPort = 18082;
constexpr base::Duration kTimeout = seconds(10);
// The time in which a peer must be given up, on a busy machine too.
constexpr base::Duration kGivenUpWithin = seconds(5);
// The buffers of the kernel, which Linux lets grow to some megabytes on
// loopback.
constexpr size_t kKernelBufferBytes = size_t{16} * 1024 * 1024;
constexpr size_t kBlockBytes = size_t{64} * 1024;  // Of one write.

tcp::endpoint EndpointAt(uint16_t port) {
  return {boost::asio::ip::make_address(kHost), port};
}

// Writes `bytes` until the peer closes the connection or more than `limit` are
// written. Returns the number of bytes written.
size_t WriteWithoutEnd(tcp::socket& socket,
                       std::string_view bytes,
                       size_t limit) {
  std::string block;
  while (block.size() < kBlockBytes)
    block += bytes;
  boost::system::error_code error;
  size_t sent = 0;
  while (!error && sent <= limit)
    sent += boost::asio::write(socket, boost::asio::buffer(block), error);
  return sent;
}

struct EndlessMessage {
  std::string name;
  std::string_view start;
  std::string_view repeated;
  // Bytes on the wire for each byte of the body.
  size_t overhead = 1;

  // The peer may accept the largest body.
  size_t max_sent_bytes() const {
    return overhead * http::kMaxResponseBodyBytes + kKernelBufferBytes;
  }
};

// Accepts one connection, reads a part of the request, and sends `message`.
class EndlessServer {
 public:
  explicit EndlessServer(const EndlessMessage& message)
      : acceptor_(io_, EndpointAt(kStandInPort)),
        sent_(std::async(std::launch::async, [this, message] {
          tcp::socket socket = acceptor_.accept();
          std::array<char, 1024> request{};
          socket.read_some(boost::asio::buffer(request));
          boost::system::error_code error;
          boost::asio::write(socket, boost::asio::buffer(message.start), error);
          return WriteWithoutEnd(socket, message.repeated,
                                 message.max_sent_bytes());
        })) {}

  // Waits until the peer closes the connection.
  size_t WaitForSentBytes() { return sent_.get(); }

 private:
  boost::asio::io_context io_;
  tcp::acceptor acceptor_;
  std::future<size_t> sent_;
};

TEST_CASE("the client gives up on a response without end") {
  const auto messages = std::to_array<EndlessMessage>({
      {"head without line ends", "", "x"},
      {"status line without end", "HTTP/1.1 200 ", "x"},
      {"header value without end", "HTTP/1.1 200 OK\r\nA: ", "x"},
      {"headers without end", "HTTP/1.1 200 OK\r\n", "A: b\r\n"},
      {"body until the connection ends", "HTTP/1.1 200 OK\r\n\r\n", "x"},
      {"body longer than allowed",
       "HTTP/1.1 200 OK\r\nContent-Length: 999999999999\r\n\r\n", "x"},
      {"chunks without end",
       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n",
       6},
      {"chunk extension without end",
       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
      {"trailers without end",
       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
       "A: b\r\n"},
  });
  for (const EndlessMessage& message : messages) {
    CAPTURE(message.name);
    EndlessServer server(message);
    boost::asio::io_context io;
    std::optional<http::ExchangeResult> result;
    const auto start = std::chrono::steady_clock::now();
    http::ExchangeOnce(io,
                       std::string(kHost) + ":" + std::to_string(kStandInPort),
                       {"GET", "/", {{"Host", kHost}}, ""}, kTimeout,
                       [&](http::ExchangeResult given) { result = given; });
    io.run();
    REQUIRE(result);
    CHECK_FALSE(*result);
    CHECK(std::chrono::steady_clock::now() - start < kGivenUpWithin);
    CHECK(server.WaitForSentBytes() <= message.max_sent_bytes());
  }
}

TEST_CASE("the server gives up on a request without end and serves others") {
  boost::asio::io_context io;
  http::ServerLimits limits;
  limits.request_timeout = kTimeout;
  const auto server = *http::Server::Create(
      io, std::string(kHost) + ":" + std::to_string(kServerPort), limits,
      [](const http::Request&, const http::Responder& respond) {
        respond(http::Response());
      });
  std::jthread thread([&] { io.run(); });
  const auto messages = std::to_array<EndlessMessage>({
      {"head without line ends", "", "x"},
      {"headers without end", "GET / HTTP/1.1\r\n", "A: b\r\n"},
      {"body longer than allowed",
       "POST / HTTP/1.1\r\nContent-Length: 999999999999\r\n\r\n", "x"},
      {"chunks without end",
       "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n",
       6},
      {"chunk extension without end",
       "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
      {"trailers without end",
       "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
       "A: b\r\n"},
  });
  for (const EndlessMessage& message : messages) {
    CAPTURE(message.name);
    boost::asio::io_context client_io;
    tcp::socket socket(client_io);
    socket.connect(EndpointAt(kServerPort));
    const auto start = std::chrono::steady_clock::now();
    boost::asio::write(socket, boost::asio::buffer(message.start));
    CHECK(WriteWithoutEnd(socket, message.repeated, message.max_sent_bytes()) <=
          message.max_sent_bytes());
    CHECK(std::chrono::steady_clock::now() - start < kGivenUpWithin);
    std::optional<http::ExchangeResult> result;
    http::ExchangeOnce(client_io,
                       std::string(kHost) + ":" + std::to_string(kServerPort),
                       {"GET", "/", {{"Host", kHost}}, ""}, kTimeout,
                       [&](http::ExchangeResult given) { result = given; });
    client_io.run();
    REQUIRE(result);
    CHECK(*result);
  }
  io.stop();
}

}  // namespace
