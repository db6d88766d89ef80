// Pools this node's HTTP connections to servers and limits how many it opens
// to each server.

#ifndef LIBUPSTREAM_CONNECTION_POOL_H_
#define LIBUPSTREAM_CONNECTION_POOL_H_

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "LibBase/lock_striped.h"
#include "LibBase/time.h"
#include "LibHttp/client.h"

namespace upstream {

// Connections are pooled by server address. Safe from any thread.
class ConnectionPool : public std::enable_shared_from_this<ConnectionPool> {
 public:
  using ConnectionPtr = std::shared_ptr<http::Connection>;

  // Takes a connection, or null if DropWaiters ended the wait.
  using ConnectionCallback = std::function<void(ConnectionPtr)>;

  enum class WaitId : uint64_t { kNone = 0 };

  static std::shared_ptr<ConnectionPool> Create(boost::asio::io_context& io);

  // Runs `task` on a thread of the io_context, never from within this call.
  void Post(std::function<void()> task);

  // Either `connection` is set, or the caller waits under `wait_id`.
  struct Acquisition {
    ConnectionPtr connection;
    WaitId wait_id = WaitId::kNone;
  };
  // Returns an idle or a new connection. If `max_connections` are open, queues
  // `callback` instead and runs it on an I/O thread once a connection is free.
  Acquisition Acquire(const std::string& address,
                      int max_connections,
                      ConnectionCallback callback);

  // Opens a connection, unless one is open or `max_connections` is below 1.
  void Prepare(const std::string& address, int max_connections);

  // Returns a connection that was never used, or null if `max_connections` are
  // in use. Closes an idle connection if that makes room.
  ConnectionPtr TryAcquireFresh(const std::string& address,
                                int max_connections);

  // Gives a connection back to the pool, or closes it if it can't carry another
  // exchange or too many are open. The caller that has waited longest gets a
  // connection in its place.
  void Release(const std::string& address, ConnectionPtr connection);

  // Removes a waiting callback. One that was already posted still runs.
  void CancelWait(const std::string& address, WaitId wait_id);

  // Ends all waits for the server by calling the callbacks with null.
  void DropWaiters(const std::string& address);

  // Closes the idle connections to all servers for which `is_held` returns
  // false: this node no longer holds connections to them.
  void CloseIdleUnless(const std::function<bool(const std::string&)>& is_held);

  // Counts the connections and waiting callers of one server.
  struct Usage {
    std::string address;
    int open = 0;
    int idle = 0;
    int waiting = 0;
  };
  // Returns the usage of all servers, sorted by address.
  std::vector<Usage> Dump();

 private:
  struct IdleConnection {
    ConnectionPtr connection;
    base::Instant idle_since;
  };
  struct Waiter {
    WaitId id;
    ConnectionCallback callback;
  };
  struct Pool {
    std::vector<IdleConnection> idle;  // The most recently used is last.
    std::deque<Waiter> waiting;
    int open = 0;  // Idle connections and those in use.
    int max_connections = 1;
    uint64_t next_wait_id = 1;
  };

  explicit ConnectionPool(boost::asio::io_context& io) : io_(io) {}
  // Returns the most recently used idle connection that can still be used, or
  // null, and closes those that can't.
  ConnectionPtr TakeIdle(Pool& pool, base::Instant now);

  boost::asio::io_context& io_;
  base::LockStriped<std::unordered_map<std::string, Pool>> pools_;
};

}  // namespace upstream

#endif  // LIBUPSTREAM_CONNECTION_POOL_H_
