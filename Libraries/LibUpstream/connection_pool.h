// Connections of this node to servers, within a budget for each server.

#ifndef LIBUPSTREAM_CONNECTION_POOL_H_
#define LIBUPSTREAM_CONNECTION_POOL_H_

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "LibBase/sharded.h"
#include "LibBase/time.h"
#include "LibHttp/client.h"

namespace upstream {

class ConnectionPool : public std::enable_shared_from_this<ConnectionPool> {
 public:
  using ConnectionPtr = std::shared_ptr<http::Connection>;

  // Hands over a connection, or none: the wait was dropped.
  using LeaseCallback = std::function<void(ConnectionPtr)>;

  enum class WaitId : uint64_t { kNone = 0 };

  static std::shared_ptr<ConnectionPool> Create(boost::asio::io_context& io);

  // A connection at once, or nothing; then `callback` is called later, from
  // another thread, as soon as one is free.
  struct Lease {
    ConnectionPtr connection;
    WaitId wait = WaitId::kNone;
  };
  Lease Acquire(const std::string& address,
                int max_connections,
                LeaseCallback callback);

  // A connection that was never used, or null if the budget has no room.
  ConnectionPtr TryAcquireFresh(const std::string& address,
                                int max_connections);

  // Returns a connection; it is closed unless it may carry another exchange.
  void Release(const std::string& address, ConnectionPtr connection);

  // Gives up waiting. The callback is not called afterwards.
  void Forget(const std::string& address, WaitId wait);

  // Ends all waits for the server.
  void DropWaitingCalls(const std::string& address);

  // Closes idle connections to servers that this node no longer holds.
  void CloseIdleUnless(const std::function<bool(const std::string&)>& is_held);

  struct Usage {
    std::string address;
    int open = 0;
    int idle = 0;
    int waiting = 0;
  };
  std::vector<Usage> Dump();

 private:
  struct Idle {
    ConnectionPtr connection;
    base::Instant since;
  };
  struct Waiter {
    WaitId id;
    LeaseCallback callback;
  };
  struct Pool {
    std::vector<Idle> idle;  // Most recently used last.
    std::deque<Waiter> waiting;
    int open = 0;  // Idle ones and those handed out.
    int max_connections = 1;
    uint64_t next_wait = 1;
  };

  explicit ConnectionPool(boost::asio::io_context& io) : io_(io) {}
  ConnectionPtr TakeIdle(Pool& pool, base::Instant now);

  boost::asio::io_context& io_;
  base::Sharded<std::unordered_map<std::string, Pool>> pools_;
};

}  // namespace upstream

#endif  // LIBUPSTREAM_CONNECTION_POOL_H_
