// A reader of the log that stalls must not stall the process.

#include "LibBase/log.h"

#include <doctest/doctest.h>
#include <unistd.h>

#include <algorithm>
#include <string>

namespace base {
namespace {

// Together these fill the queue and the pipe of a reader that reads nothing.
constexpr int kLines = 20'000;
constexpr int kLineBytes = 200;

TEST_CASE(
    "a stalled reader doesn't stall the process, and dropped lines are "
    "counted") {
  int pipe_ends[2] = {};
  REQUIRE(pipe(pipe_ends) == 0);
  const int saved_stdout = dup(STDOUT_FILENO);
  dup2(pipe_ends[1], STDOUT_FILENO);
  InitializeLog("test");
  // The main thread gets through all lines although none of them is read.
  for (int i = 0; i < kLines; ++i)
    Log(Event::kNodeStarted, {{"text", std::string(kLineBytes, 'x')}});
  // NOTE: CHECK prints to standard output, which is stalled here, so the checks
  // come later.
  const uint64_t dropped = DroppedLogLines();
  FlushLog();  // Must return as well.
  DisableLog();
  // The blocked write ends once the pipe is read. The pipe then has no other
  // writer.
  dup2(saved_stdout, STDOUT_FILENO);
  close(pipe_ends[1]);
  std::string written;
  std::string chunk(size_t{1} << 16, '\0');
  for (ssize_t size = 1; size > 0;) {
    size = ::read(pipe_ends[0], chunk.data(), chunk.size());
    written.append(chunk, 0, static_cast<size_t>(std::max<ssize_t>(size, 0)));
  }
  CHECK(dropped > 0);
  CHECK(dropped < kLines);
  CHECK(written.find("{\"unixMs\":") != std::string::npos);
  close(pipe_ends[0]);
}

}  // namespace
}  // namespace base
