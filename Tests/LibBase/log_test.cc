// A reader of the log that stalls.

#include "LibBase/log.h"

#include <doctest/doctest.h>
#include <unistd.h>

#include <algorithm>
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
  // NOTE: Checks print to standard output, which is stalled here.
  const uint64_t dropped = DroppedLogLines();
  FlushLog();  // Returns, too.
  DisableLog();
  // The write that waits ends once the pipe is read; the pipe then has no
  // other writer.
  dup2(saved, STDOUT_FILENO);
  close(ends[1]);
  std::string read;
  std::string chunk(size_t{1} << 16, '\0');
  for (ssize_t size = 1; size > 0;) {
    size = ::read(ends[0], chunk.data(), chunk.size());
    read.append(chunk, 0, static_cast<size_t>(std::max<ssize_t>(size, 0)));
  }
  CHECK(dropped > 0);
  CHECK(dropped < kLines);
  CHECK(read.find("{\"unixMs\":") != std::string::npos);
  close(ends[0]);
}

}  // namespace
}  // namespace base
