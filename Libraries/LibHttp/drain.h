// Ends a server without cutting off a request.

#ifndef LIBHTTP_DRAIN_H_
#define LIBHTTP_DRAIN_H_

#include <functional>

#include "LibBase/scheduler.h"
#include "LibHttp/server.h"

namespace http {

// Accepts for `serving` more, since callers may hold an answer that names the
// address, then waits for the server's requests and the work that `running`
// counts, closes idle connections and calls `done`. All references outlive it.
void DrainServer(base::Scheduler& scheduler,
                 Server& server,
                 base::Duration serving,
                 std::function<size_t()> running,
                 std::function<void()> done);

}  // namespace http

#endif  // LIBHTTP_DRAIN_H_
