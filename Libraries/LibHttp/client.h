// One client connection that carries one exchange at a time. It tells apart
// what was certainly not sent from what may have been.

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

enum class SentState { kNothingSent, kMaybeSent };

struct ExchangeError {
  base::Error error;
  SentState sent;
};

using ExchangeResult = tl::expected<Response, ExchangeError>;
using ExchangeCallback = std::function<void(ExchangeResult)>;

class Connection : public std::enable_shared_from_this<Connection> {
 public:
  // Connects lazily, within the first exchange.
  static std::shared_ptr<Connection> Create(boost::asio::io_context& io,
                                            std::string address);
  ~Connection();

  using ConnectCallback = std::function<void(base::Result<void>)>;
  // Connects ahead of the first exchange.
  void Connect(base::Duration timeout, ConnectCallback callback);

  // Calls `callback` once, on a thread of the io_context. After any error the
  // connection is closed and must not be used again.
  // Invariant: at most one exchange runs.
  void Exchange(Request request,
                base::Duration timeout,
                size_t max_body_bytes,
                ExchangeCallback callback);

  // Ends a running exchange with kCancelled. Safe from any thread.
  void Close();

  // Whether another exchange may follow.
  bool is_reusable() const;
  bool is_connected() const;

 private:
  struct State;
  explicit Connection(std::shared_ptr<State> state);

  std::shared_ptr<State> state_;
};

// Opens a connection for one exchange.
void ExchangeOnce(boost::asio::io_context& io,
                  const std::string& address,
                  Request request,
                  base::Duration timeout,
                  ExchangeCallback callback);

inline constexpr size_t kMaxResponseBodyBytes = size_t{4} * 1024 * 1024;

}  // namespace http

#endif  // LIBHTTP_CLIENT_H_
