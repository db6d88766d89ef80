// How long what was seen of a server counts.

#include "LibUpstream/server_table.h"

#include <doctest/doctest.h>

namespace upstream {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kServer[] = "10.0.0.1:80";
const base::Instant kStart{seconds(100)};

void Call(ServerTable& table,
          base::Instant start,
          base::Duration took,
          CallEnd end) {
  table.OnCallStarted(kServer, start);
  table.OnCallEnded(kServer, end, took, start + took);
}

TEST_CASE("a server that came out of a stall is as good as others within 5 s") {
  ServerTable table;
  Call(table, kStart, milliseconds(1500), CallEnd::kAnswered);
  const base::Instant end = kStart + milliseconds(1500);
  CHECK(table.View(kServer, end).latency == milliseconds(1500));
  CHECK(table.View(kServer, end + seconds(5)).latency < milliseconds(5));
}

TEST_CASE("refusals during a stall are forgotten within 5 s") {
  ServerTable table;
  for (int call = 0; call < 50; ++call)
    Call(table, kStart, milliseconds(1), CallEnd::kFailed);
  const base::Instant end = kStart + milliseconds(1);
  CHECK(table.View(kServer, end).failure_share > 0.9);
  CHECK(table.View(kServer, end + seconds(5)).failure_share < 0.01);
}

TEST_CASE("a server in use keeps its latency") {
  ServerTable table;
  for (int call = 0; call < 10; ++call)
    Call(table, kStart + call * milliseconds(300), milliseconds(40),
         CallEnd::kAnswered);
  CHECK(table.View(kServer, kStart + milliseconds(3000)).latency ==
        milliseconds(40));
}

TEST_CASE("after a long rest the first call tells the whole latency") {
  ServerTable table;
  Call(table, kStart, milliseconds(1500), CallEnd::kAnswered);
  const base::Instant later = kStart + seconds(60);
  Call(table, later, milliseconds(20), CallEnd::kAnswered);
  CHECK(table.View(kServer, later + milliseconds(20)).latency ==
        milliseconds(20));
}

TEST_CASE("the newest call that was answered is known by its start") {
  ServerTable table;
  Call(table, kStart + milliseconds(50), milliseconds(10), CallEnd::kAnswered);
  Call(table, kStart, milliseconds(90), CallEnd::kAnswered);
  Call(table, kStart + milliseconds(95), milliseconds(5), CallEnd::kFailed);
  CHECK(table.View(kServer, kStart + seconds(1)).newest_answered_start ==
        kStart + milliseconds(50));
}

}  // namespace
}  // namespace upstream
