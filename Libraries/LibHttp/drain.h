// Stops a server without cutting off a request.

#ifndef LIBHTTP_DRAIN_H_
#define LIBHTTP_DRAIN_H_

#include <functional>

#include "LibBase/scheduler.h"
#include "LibHttp/server.h"

namespace http {

// Accepts connections for another `accept_duration`, since callers may hold an
// answer that names the address. Then waits until no request of the server runs
// and `pending_work` returns 0, closes idle connections and calls `on_drained`.
// `scheduler` and `server` must outlive the drain.
void DrainServer(base::Scheduler& scheduler,
                 Server& server,
                 base::Duration accept_duration,
                 std::function<size_t()> pending_work,
                 std::function<void()> on_drained);

}  // namespace http

#endif  // LIBHTTP_DRAIN_H_
