// Guards against a line for each server when an index change removes hundreds.

#include "LibNode/leaving_server_log.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace node {
namespace {

constexpr size_t kServers = 364;

TEST_CASE("hundreds of leaving servers take few lines and none is left out") {
  std::vector<std::string> lines;
  LeavingServerLog log(
      [&](std::string servers) { lines.push_back(std::move(servers)); });
  for (size_t i = 0; i < kServers; ++i)
    log.Add("i-" + std::to_string(i), {7});
  for (int flush = 0; flush < 20; ++flush)
    log.Flush();
  CHECK(lines.size() == 8);
  const auto names = std::ranges::count(lines.front(), '@');
  CHECK(names == LeavingServerLog::kMaxServersPerLine);
  CHECK(lines.front().starts_with("i-0@7 i-1@7 "));
  CHECK(lines.back().ends_with("i-363@7"));
}

TEST_CASE("no line is written while no server leaves") {
  int lines = 0;
  LeavingServerLog log([&](const std::string&) { ++lines; });
  log.Flush();
  CHECK(lines == 0);
}

}  // namespace
}  // namespace node
