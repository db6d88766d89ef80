// An HTTP/1.1 server on one address, bounded in sizes, times and connections.

#ifndef LIBHTTP_SERVER_H_
#define LIBHTTP_SERVER_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

#include "LibBase/error.h"
#include "LibBase/time.h"
#include "LibHttp/message.h"

namespace boost::asio {
class io_context;
}

namespace http {

struct ServerLimits {
  size_t max_header_bytes = size_t{8} * 1024;
  size_t max_body_bytes = size_t{64} * 1024;
  size_t max_connections = 4096;
  // For one whole request once its first byte has come.
  base::Duration request_timeout = std::chrono::seconds(5);
  base::Duration idle_timeout = std::chrono::seconds(60);
  // Before each new connection is served.
  base::Duration accept_delay{};
};

using Responder = std::function<void(Response)>;

// Called on any thread; calls the responder once, from any thread.
using Handler = std::function<void(Request, Responder)>;

// Tells whoever works on a request that its client has gone.
class Cancellation {
 public:
  // Calls `action` once when the client goes; at once if it has gone already.
  void OnCancelled(std::function<void()> action);
  void Cancel();

 private:
  std::mutex mutex_;
  bool cancelled_ = false;        // Guarded by `mutex_`.
  std::function<void()> action_;  // Guarded by `mutex_`.
};
using CancellationPtr = std::shared_ptr<Cancellation>;

// As Handler. The responder must be called after a cancellation, too.
using CancellableHandler =
    std::function<void(Request, Responder, CancellationPtr)>;

class Server {
 public:
  static base::Result<std::unique_ptr<Server>> Create(
      boost::asio::io_context& io,
      const std::string& address,
      ServerLimits limits,
      Handler handler);
  static base::Result<std::unique_ptr<Server>> Create(
      boost::asio::io_context& io,
      const std::string& address,
      ServerLimits limits,
      CancellableHandler handler);
  ~Server();

  // Holds for requests that begin from now on.
  void SetLimits(const ServerLimits& limits);

  // Answers from now on carry `Connection: close`; connections are still
  // accepted, since callers may hold an answer that names this address.
  void BeginDrain();

  // Ends accepting; running requests go on.
  void StopAccepting();

  // Closes idle connections and those whose request is not complete.
  void CloseIdle();

  size_t running_requests() const;
  size_t open_connections() const;

  struct State;  // Of the implementation.

 private:
  explicit Server(std::shared_ptr<State> state);

  std::shared_ptr<State> state_;
};

}  // namespace http

#endif  // LIBHTTP_SERVER_H_
