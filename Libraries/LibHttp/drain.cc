// Implements the steps of a drain.

#include "LibHttp/drain.h"

#include <utility>

namespace http {

namespace {

constexpr base::Duration kCheckPeriod = std::chrono::milliseconds(20);

// Waits until no work is left, then closes idle connections and calls
// `on_drained`.
void FinishDrain(base::Scheduler& scheduler,
                 Server& server,
                 std::function<size_t()> pending_work,
                 std::function<void()> on_drained) {
  if (server.running_requests() > 0 || pending_work() > 0) {
    scheduler.After(
        kCheckPeriod,
        [&scheduler, &server, pending_work = std::move(pending_work),
         on_drained = std::move(on_drained)]() mutable {
          FinishDrain(scheduler, server, std::move(pending_work),
                      std::move(on_drained));
        });
    return;
  }
  server.CloseIdle();
  on_drained();
}

}  // namespace

void DrainServer(base::Scheduler& scheduler,
                 Server& server,
                 base::Duration accept_duration,
                 std::function<size_t()> pending_work,
                 std::function<void()> on_drained) {
  server.BeginDrain();
  scheduler.After(accept_duration,
                  [&scheduler, &server, pending_work = std::move(pending_work),
                   on_drained = std::move(on_drained)]() mutable {
                    server.StopAccepting();
                    FinishDrain(scheduler, server, std::move(pending_work),
                                std::move(on_drained));
                  });
}

}  // namespace http
