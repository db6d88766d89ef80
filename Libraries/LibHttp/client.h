// A client connection that carries one exchange of a request and its response
// at a time. Its errors tell requests that were certainly not sent from those
// that may have been.

#ifndef LIBHTTP_CLIENT_H_
#define LIBHTTP_CLIENT_H_

#include <functional>
#include <memory>
#include <string>

#include "LibBase/error.h"
#include "LibBase/time.h"
#include "LibHttp/message.h"

namespace boost::asio {
class io_context;
}

namespace http {

// Whether any of a request may have reached the server.
enum class SentState { kNothingSent, kMaybeSent };

// The reason why an exchange has no response.
struct ExchangeError {
  base::Error error;
  SentState sent;
};

using ExchangeResult = tl::expected<Response, ExchangeError>;
using ExchangeCallback = std::function<void(ExchangeResult)>;

// A connection to one address.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  // Returns a connection that is opened by Connect or by the first exchange.
  static std::shared_ptr<Connection> Create(boost::asio::io_context& io,
                                            std::string address);
  ~Connection();

  using ConnectCallback = std::function<void(base::Result<void>)>;
  // Opens the connection before the first exchange. `callback` gets the result.
  void Connect(base::Duration timeout, ConnectCallback callback);

  // Sends `request` and reads the response. Calls `callback` once, on a thread
  // of the io_context. After any error the connection is closed and must not be
  // used again. At most one exchange may run at a time. A response that is
  // malformed, has a status outside 200 to 599 or names a transfer coding other
  // than a single `chunked` fails with kProtocol.
  void Exchange(Request request,
                base::Duration timeout,
                size_t max_body_bytes,
                ExchangeCallback callback);

  // Closes the connection. A running exchange fails with kCancelled. May be
  // called on any thread.
  void Close();

  // Returns whether another exchange may follow.
  bool is_reusable() const;
  bool is_connected() const;

 private:
  struct State;
  explicit Connection(std::shared_ptr<State> state);

  std::shared_ptr<State> state_;
};

// Opens a connection for one exchange only. The response's body may hold up to
// kMaxResponseBodyBytes.
void ExchangeOnce(boost::asio::io_context& io,
                  const std::string& address,
                  Request request,
                  base::Duration timeout,
                  ExchangeCallback callback);

inline constexpr size_t kMaxResponseBodyBytes = size_t{4} * 1024 * 1024;

}  // namespace http

#endif  // LIBHTTP_CLIENT_H_
