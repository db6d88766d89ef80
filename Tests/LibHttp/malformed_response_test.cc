// Bytes that only resemble a response must not reach the client's callers as
// one.

#include <doctest/doctest.h>

#include <array>
#include <boost/asio/io_context.hpp>
#include <cctype>
#include <chrono>
#include <cstdio>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "LibHttp/client.h"
#include "StandIns/raw_server.h"

namespace {

constexpr char kAddress[] = "127.0.0.80:18084";
constexpr base::Duration kTimeout = std::chrono::seconds(10);
constexpr int kByteCount = 256;
constexpr int kStatusCount = 1000;  // Of three digits.
constexpr int kMinFinalStatus = 200;
constexpr int kMaxStatus = 599;

// Returns what the client makes of `bytes`.
http::ExchangeResult Receive(const std::string& bytes) {
  const standins::RawServer server(kAddress, [&] { return bytes; });
  boost::asio::io_context io;
  std::optional<http::ExchangeResult> result;
  http::ExchangeOnce(io, kAddress, {"GET", "/", {{"Host", "h"}}, ""}, kTimeout,
                     [&](http::ExchangeResult given) { result = given; });
  io.run();
  REQUIRE(result);
  return *result;
}

// The request may have run, although its response can't be used.
void CheckIsProtocolError(const http::ExchangeResult& result) {
  CHECK_FALSE(result);
  if (result)
    return;
  CHECK(result.error().error.kind() == base::ErrorKind::kProtocol);
  CHECK(result.error().sent == http::SentState::kMaybeSent);
  CHECK(result.error().error.remedy() ==
        "check that the server runs, can be reached and speaks HTTP/1.1");
}

TEST_CASE("a response with status 000 is a protocol error") {
  for (const char* rest :
       {"Content-Length: 4\r\n\r\nbody",
        "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
        "\r\nbody"}) {
    CAPTURE(rest);
    CheckIsProtocolError(Receive(std::string("HTTP/1.1 000 OK\r\n") + rest));
  }
}

TEST_CASE("a status that no final response has is a protocol error") {
  for (int status = 0; status < kStatusCount; ++status) {
    CAPTURE(status);
    std::array<char, 4> digits{};
    std::snprintf(digits.data(), digits.size(), "%03d", status);
    const auto result = Receive("HTTP/1.1 " + std::string(digits.data()) +
                                " X\r\nContent-Length: 0\r\n\r\n");
    if (status < kMinFinalStatus || status > kMaxStatus)
      CheckIsProtocolError(result);
    else
      CHECK(result.map(&http::Response::status) == status);
  }
}

// The client asks for no transfer coding, so that a server may use `chunked`
// only. A body in another one would be passed on encoded.
TEST_CASE("a transfer coding besides a single chunked is a protocol error") {
  const std::string body = "\r\n4\r\nbody\r\n0\r\n\r\n";
  const auto receive = [&](const std::string& fields) {
    return Receive("HTTP/1.1 200 OK\r\n" + fields + body);
  };
  const std::string name = "Transfer-Encoding: ";
  for (const char* codings :
       {"", "@", "gzip", "identity", "xchunked", "\"chunked\"", "chunked;q=1",
        "chunked gzip", "gzip, chunked", "chunked, gzip", "chunked, chunked"}) {
    CAPTURE(std::string(codings));
    const std::string field = name + codings + "\r\n";
    CheckIsProtocolError(receive(field));
    CheckIsProtocolError(receive(field + "Content-Length: 14\r\n"));
    CheckIsProtocolError(receive("Content-Length: 14\r\n" + field));
  }
  for (const char* codings : {"@", "gzip", "chunked"}) {
    CAPTURE(std::string(codings));
    const std::string field = name + codings + "\r\n";
    CheckIsProtocolError(receive(field + name + "chunked\r\n"));
    CheckIsProtocolError(receive(name + "chunked\r\n" + field));
  }
  // RFC 9110, section 5.6.1.2: a list may have empty elements.
  for (const char* codings : {"chunked", "Chunked ", ", chunked", "chunked,"}) {
    CAPTURE(std::string(codings));
    const auto result = receive(name + codings + "\r\n");
    REQUIRE(result);
    CHECK(result->body == "body");
  }
}

// RFC 9110, section 5.6.2.
bool IsTokenByte(char byte) {
  return std::isalnum(static_cast<unsigned char>(byte)) != 0 ||
         std::string_view("!#$%&'*+-.^_`|~").find(byte) !=
             std::string_view::npos;
}

TEST_CASE("a byte that no field name may hold is a protocol error") {
  for (const size_t length : {1, 2, 3, 7, 15, 16, 17, 31, 32, 33, 64}) {
    for (int value = 0; value < kByteCount; ++value) {
      const char byte = static_cast<char>(value);
      // A colon ends the name.
      if (IsTokenByte(byte) || byte == ':')
        continue;
      for (const size_t position :
           std::set{size_t{0}, length / 2, length - 1}) {
        CAPTURE(length);
        CAPTURE(value);
        CAPTURE(position);
        std::string name(length, 'a');
        name[position] = byte;
        CheckIsProtocolError(Receive("HTTP/1.1 200 OK\r\n" + name +
                                     ": v\r\nContent-Length: 0\r\n\r\n"));
      }
    }
  }
}

}  // namespace
