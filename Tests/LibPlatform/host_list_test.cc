// Tests which responses name hosts.

#include "LibPlatform/host_list.h"

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>
#include <optional>
#include <string>

#include "StandIns/raw_server.h"

namespace platform {
namespace {

constexpr char kAddress[] = "127.0.0.82:18085";
constexpr char kHosts[] =
    "\r\n\r\n{\"hosts\":[{\"nodeId\":\"n0\",\"peerAddress\":\"10.0.0.1:1\"}]}";

base::Result<std::vector<Host>> Fetch(const std::string& status_line) {
  const standins::RawServer server(kAddress,
                                   [&] { return status_line + kHosts; });
  boost::asio::io_context io;
  std::optional<base::Result<std::vector<Host>>> hosts;
  FetchHosts(io, kAddress, [&](auto given) { hosts = std::move(given); });
  io.run();
  return hosts.value();
}

TEST_CASE("a host list names its hosts") {
  const auto hosts = Fetch("HTTP/1.1 200 OK");
  REQUIRE(hosts);
  REQUIRE(hosts->size() == 1);
  CHECK(hosts->front() == Host{"n0", "10.0.0.1:1"});
}

TEST_CASE("a host list with status 000 is a protocol error") {
  const auto hosts = Fetch("HTTP/1.1 000 OK");
  CHECK_FALSE(hosts);
  if (!hosts)
    CHECK(hosts.error().kind() == base::ErrorKind::kProtocol);
}

}  // namespace
}  // namespace platform
