// Tests that the store's client reads the era of its answers, and takes a
// damaged one for none.

#include "store_client.h"

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>
#include <optional>
#include <string>

#include "LibBase/log.h"
#include "StandIns/raw_server.h"

namespace platform {
namespace {

constexpr char kAddress[] = "127.0.0.83:18085";

std::string MakeAnswer(const std::string& status,
                       const std::string& headers,
                       const std::string& body) {
  return "HTTP/1.1 " + status + "\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

StoreChanges Watch(const std::string& answer) {
  const standins::RawServer server(kAddress, [&] { return answer; });
  boost::asio::io_context io;
  StoreClient client(io, kAddress);
  std::optional<base::Result<StoreChanges>> result;
  client.Watch("servers/", {7, 1}, std::chrono::milliseconds(1),
               [&](auto changes) { result = std::move(changes); });
  io.run();
  REQUIRE(result);
  REQUIRE(*result);
  return **result;
}

StoreChanges WatchWithEra(const std::string& headers) {
  return Watch(MakeAnswer(
      "200 OK", headers,
      R"({"events":[{"key":"servers/a","revision":8,"deleted":true}],)"
      R"("at_rev":9})"));
}

TEST_CASE("revisions carry the era of the answer") {
  base::DisableLog();
  const StoreChanges changes = WatchWithEra("Store-Era: 2\r\n");
  CHECK(changes.store_revision == base::StoreRevision{9, 2});
  REQUIRE(changes.events.size() == 1);
  CHECK(changes.events.front().revision == base::StoreRevision{8, 2});
  CHECK(WatchWithEra("Store-Era: 0\r\n").store_revision.era == 0);
}

TEST_CASE("an answer that the history is lost carries its era") {
  const StoreChanges changes =
      Watch(MakeAnswer("410 Gone", "Store-Era: 3\r\n", ""));
  CHECK(changes.is_history_lost);
  CHECK(changes.store_revision.era == 3);
}

TEST_CASE("an invalid era counts as none") {
  for (const char* headers :
       {"", "Store-Era: \r\n", "Store-Era: -1\r\n", "Store-Era: 1.5\r\n",
        "Store-Era: two\r\n", "Store-Era: 0x2\r\n", "Store-Era: 2, 3\r\n",
        "Store-Era: 99999999999999999999\r\n",
        "Store-Era: 2\r\nStore-Era: 3\r\n"}) {
    CAPTURE(headers);
    const StoreChanges changes = WatchWithEra(headers);
    CHECK_FALSE(changes.store_revision.era);
    CHECK(changes.store_revision.number == 9);
    CHECK(changes.events.size() == 1);
  }
}

}  // namespace
}  // namespace platform
