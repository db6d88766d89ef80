// Tests how long observations of a server keep their weight.

#include "LibUpstream/server_table.h"

#include <doctest/doctest.h>

namespace upstream {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kServer[] = "10.0.0.1:80";
const base::Instant kStart{seconds(100)};

void RecordCall(ServerTable& table,
                base::Instant start,
                base::Duration duration,
                CallEnd end) {
  table.OnCallStarted(kServer, start);
  table.OnCallEnded(kServer, end, duration, start + duration);
}

TEST_CASE("a server's latency recovers within 5 s of the end of a stall") {
  ServerTable table;
  RecordCall(table, kStart, milliseconds(1500), CallEnd::kAnswered);
  const base::Instant end = kStart + milliseconds(1500);
  CHECK(table.View(kServer, end).latency == milliseconds(1500));
  CHECK(table.View(kServer, end + seconds(5)).latency < milliseconds(5));
}

TEST_CASE("the failure share recovers within 5 s of the end of a stall") {
  ServerTable table;
  for (int call = 0; call < 50; ++call)
    RecordCall(table, kStart, milliseconds(1), CallEnd::kFailed);
  const base::Instant end = kStart + milliseconds(1);
  CHECK(table.View(kServer, end).failure_share > 0.9);
  CHECK(table.View(kServer, end + seconds(5)).failure_share < 0.01);
}

TEST_CASE("a server in use keeps its latency") {
  ServerTable table;
  for (int call = 0; call < 10; ++call)
    RecordCall(table, kStart + call * milliseconds(300), milliseconds(40),
               CallEnd::kAnswered);
  CHECK(table.View(kServer, kStart + milliseconds(3000)).latency ==
        milliseconds(40));
}

TEST_CASE(
    "after a long time without calls, the next call alone sets the latency") {
  ServerTable table;
  RecordCall(table, kStart, milliseconds(1500), CallEnd::kAnswered);
  const base::Instant later = kStart + seconds(60);
  RecordCall(table, later, milliseconds(20), CallEnd::kAnswered);
  CHECK(table.View(kServer, later + milliseconds(20)).latency ==
        milliseconds(20));
}

TEST_CASE("the newest answered call is the one that started last") {
  ServerTable table;
  RecordCall(table, kStart + milliseconds(50), milliseconds(10),
             CallEnd::kAnswered);
  RecordCall(table, kStart, milliseconds(90), CallEnd::kAnswered);
  RecordCall(table, kStart + milliseconds(95), milliseconds(5),
             CallEnd::kFailed);
  CHECK(table.View(kServer, kStart + seconds(1)).newest_answered_start ==
        kStart + milliseconds(50));
}

TEST_CASE("a server that takes no work counts as leaving until it does again") {
  ServerTable table;
  const base::Instant now{};
  CHECK_FALSE(table.View("i-1", now).is_leaving);
  table.SetTakesWork("i-1", false);
  CHECK(table.View("i-1", now).is_leaving);
  CHECK_FALSE(table.View("i-2", now).is_leaving);
  table.SetTakesWork("i-1", true);
  CHECK_FALSE(table.View("i-1", now).is_leaving);
}

}  // namespace
}  // namespace upstream
