// An HTTP/1.1 server on one address, with limits on the size and duration of
// requests and on the number of connections.

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

// Limits on connections and requests.
struct ServerLimits {
  size_t max_header_bytes = size_t{8} * 1024;
  size_t max_body_bytes = size_t{64} * 1024;
  size_t max_connections = 4096;
  // Limits the time to read one whole request after its first byte, and the
  // time to write its response.
  base::Duration request_timeout = std::chrono::seconds(5);
  // Limits the time until the first byte of a request arrives.
  base::Duration idle_timeout = std::chrono::seconds(60);
  // Time to wait before each new connection is served.
  base::Duration accept_delay{};
};

// Sends the response to one request.
using Responder = std::function<void(Response)>;

// Answers a request. Called on any thread; must call the responder once, on any
// thread.
using Handler = std::function<void(Request, Responder)>;

// Notifies the code that works on a request when the client has disconnected.
class Cancellation {
 public:
  // Calls `action` once when the client disconnects, or immediately if it
  // already has. Replaces the action set before.
  void OnCancelled(std::function<void()> action);
  // Records that the client has disconnected and calls the action, if any.
  void Cancel();

 private:
  std::mutex mutex_;
  bool cancelled_ = false;        // Guarded by `mutex_`.
  std::function<void()> action_;  // Guarded by `mutex_`.
};
using CancellationPtr = std::shared_ptr<Cancellation>;

// Does the same as Handler, and may use the cancellation to stop early. The
// responder must be called after a cancellation, too.
using CancellableHandler =
    std::function<void(Request, Responder, CancellationPtr)>;

// Accepts connections and answers their requests with a handler.
class Server {
 public:
  // Starts to listen on `address`, which is `IP:PORT`.
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

  // Sets the limits for requests that begin from now on.
  void SetLimits(const ServerLimits& limits);

  // Makes all further responses carry `Connection: close`. Connections are
  // still accepted, since callers may hold an answer that names this address.
  void BeginDrain();

  // Stops accepting connections. Running requests continue.
  void StopAccepting();

  // Closes idle connections, including those whose request is not complete.
  void CloseIdle();

  size_t running_requests() const;
  size_t open_connections() const;

  struct State;  // Defined and used only by the implementation.

 private:
  explicit Server(std::shared_ptr<State> state);

  std::shared_ptr<State> state_;
};

}  // namespace http

#endif  // LIBHTTP_SERVER_H_
