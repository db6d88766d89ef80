// A reader of the log that stalls.

#include "LibBase/log.h"

#include <doctest/doctest.h>
#include <fcntl.h>
#include <unistd.h>

#include <chrono>
#include <string>

namespace base {
namespace {

// Enough to fill the queue and the pipe of a reader that takes nothing.
constexpr int kLines = 20'000;
constexpr int kLineBytes = 200;

TEST_CASE("a stalled reader stalls no one, and lost lines are counted") {
  int ends[2] = {};
  REQUIRE(pipe(ends) == 0);
  const int saved = dup(STDOUT_FILENO);
  dup2(ends[1], STDOUT_FILENO);
  InitializeLog("test");
  // The main thread writes all lines, although nobody reads one of them.
  for (int i = 0; i < kLines; ++i)
    Log(Event::kNodeStarted, {{"text", std::string(kLineBytes, 'x')}});
  CHECK(DroppedLogLines() > 0);
  CHECK(DroppedLogLines() < kLines);
  FlushLog();  // Returns, too.
  // A reader that comes back frees the sink's thread.
  fcntl(ends[0], F_SETFL, O_NONBLOCK);
  DisableLog();
  std::string read(size_t{1} << 20, '\0');
  const ssize_t size = ::read(ends[0], read.data(), read.size());
  REQUIRE(size > 0);
  CHECK(read.find("{\"unixMs\":") != std::string::npos);
  dup2(saved, STDOUT_FILENO);
  close(ends[0]);
}

}  // namespace
}  // namespace base
