// The steps of a drain.

#include "LibHttp/drain.h"

#include <utility>

namespace http {

namespace {

constexpr base::Duration kCheckPeriod = std::chrono::milliseconds(20);

void FinishDrain(base::Scheduler& scheduler,
                 Server& server,
                 std::function<size_t()> running,
                 std::function<void()> done) {
  if (server.running_requests() > 0 || running() > 0) {
    scheduler.After(
        kCheckPeriod, [&scheduler, &server, running = std::move(running),
                       done = std::move(done)]() mutable {
          FinishDrain(scheduler, server, std::move(running), std::move(done));
        });
    return;
  }
  server.CloseIdle();
  done();
}

}  // namespace

void DrainServer(base::Scheduler& scheduler,
                 Server& server,
                 base::Duration serving,
                 std::function<size_t()> running,
                 std::function<void()> done) {
  server.BeginDrain();
  scheduler.After(serving, [&scheduler, &server, running = std::move(running),
                            done = std::move(done)]() mutable {
    server.StopAccepting();
    FinishDrain(scheduler, server, std::move(running), std::move(done));
  });
}

}  // namespace http
