// Keeps one pool of connections for each server address.

#include "LibUpstream/connection_pool.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <utility>

namespace upstream {

namespace {

// Servers close idle connections after a while. One that has been idle for
// longer may be closed already and is not used again.
constexpr base::Duration kMaxIdleTime = std::chrono::seconds(30);
// A server that does not accept a connection within this time is not prepared.
constexpr base::Duration kPrepareTimeout = std::chrono::milliseconds(500);

}  // namespace

std::shared_ptr<ConnectionPool> ConnectionPool::Create(
    boost::asio::io_context& io) {
  return std::shared_ptr<ConnectionPool>(new ConnectionPool(io));
}

void ConnectionPool::Post(std::function<void()> task) {
  boost::asio::post(io_, std::move(task));
}

ConnectionPool::ConnectionPtr ConnectionPool::TakeIdle(Pool& pool,
                                                       base::Instant now) {
  while (!pool.idle.empty()) {
    const IdleConnection idle = std::move(pool.idle.back());
    pool.idle.pop_back();
    if (idle.connection->is_reusable() && now - idle.idle_since < kMaxIdleTime)
      return idle.connection;
    idle.connection->Close();
    --pool.open;
  }
  return nullptr;
}

ConnectionPool::Acquisition ConnectionPool::Acquire(
    const std::string& address,
    int max_connections,
    ConnectionCallback callback) {
  const base::Instant now = base::MonotonicClock::now();
  return pools_.With(address, [&](auto& pools) -> Acquisition {
    Pool& pool = pools[address];
    pool.max_connections = max_connections;
    if (ConnectionPtr idle = TakeIdle(pool, now))
      return {idle, WaitId::kNone};
    if (pool.open < max_connections) {
      ++pool.open;
      return {http::Connection::Create(io_, address), WaitId::kNone};
    }
    const WaitId id{pool.next_wait_id++};
    pool.waiting.push_back({id, std::move(callback)});
    return {nullptr, id};
  });
}

void ConnectionPool::Prepare(const std::string& address, int max_connections) {
  const bool is_needed = pools_.With(address, [&](auto& pools) {
    Pool& pool = pools[address];
    if (pool.open > 0 || max_connections < 1)
      return false;
    pool.max_connections = max_connections;
    ++pool.open;
    return true;
  });
  if (!is_needed)
    return;
  auto connection = http::Connection::Create(io_, address);
  connection->Connect(kPrepareTimeout,
                      [self = shared_from_this(), address,
                       connection](const base::Result<void>& result) {
                        if (!result)
                          connection->Close();
                        self->Release(address, connection);
                      });
}

ConnectionPool::ConnectionPtr ConnectionPool::TryAcquireFresh(
    const std::string& address,
    int max_connections) {
  return pools_.With(address, [&](auto& pools) -> ConnectionPtr {
    Pool& pool = pools[address];
    pool.max_connections = max_connections;
    if (pool.open >= max_connections && !pool.idle.empty()) {
      pool.idle.front().connection->Close();
      pool.idle.erase(pool.idle.begin());
      --pool.open;
    }
    if (pool.open >= max_connections)
      return nullptr;
    ++pool.open;
    return http::Connection::Create(io_, address);
  });
}

void ConnectionPool::Release(const std::string& address,
                             ConnectionPtr connection) {
  const base::Instant now = base::MonotonicClock::now();
  ConnectionCallback waiter_callback;
  ConnectionPtr waiter_connection;
  pools_.With(address, [&](auto& pools) {
    Pool& pool = pools[address];
    const bool reusable =
        connection->is_reusable() && pool.open <= pool.max_connections;
    if (!reusable) {
      connection->Close();
      --pool.open;
    }
    if (pool.waiting.empty()) {
      if (reusable)
        pool.idle.push_back({std::move(connection), now});
      return;
    }
    if (!reusable && pool.open >= pool.max_connections)
      return;
    waiter_callback = std::move(pool.waiting.front().callback);
    pool.waiting.pop_front();
    if (!reusable)
      ++pool.open;
    waiter_connection = reusable ? std::move(connection)
                                 : http::Connection::Create(io_, address);
  });
  // NOTE: The callback is posted, because it may take locks that the caller of
  // Release holds.
  if (waiter_callback)
    Post([waiter_callback = std::move(waiter_callback), waiter_connection] {
      waiter_callback(waiter_connection);
    });
}

void ConnectionPool::CancelWait(const std::string& address, WaitId wait_id) {
  pools_.With(address, [&](auto& pools) {
    std::erase_if(pools[address].waiting,
                  [&](const Waiter& waiter) { return waiter.id == wait_id; });
  });
}

void ConnectionPool::DropWaiters(const std::string& address) {
  std::deque<Waiter> dropped;
  pools_.With(address, [&](auto& pools) {
    dropped = std::exchange(pools[address].waiting, {});
  });
  for (Waiter& waiter : dropped)
    Post([callback = std::move(waiter.callback)] { callback(nullptr); });
}

void ConnectionPool::CloseIdleUnless(
    const std::function<bool(const std::string&)>& is_held) {
  pools_.ForEachStripe([&](auto& pools) {
    for (auto& [address, pool] : pools) {
      if (is_held(address))
        continue;
      for (const IdleConnection& idle : pool.idle)
        idle.connection->Close();
      pool.open -= static_cast<int>(pool.idle.size());
      pool.idle.clear();
    }
  });
}

std::vector<ConnectionPool::Usage> ConnectionPool::Dump() {
  std::vector<Usage> usages;
  pools_.ForEachStripe([&](auto& pools) {
    for (const auto& [address, pool] : pools)
      usages.push_back({address, pool.open, static_cast<int>(pool.idle.size()),
                        static_cast<int>(pool.waiting.size())});
  });
  std::ranges::sort(usages, {}, &Usage::address);
  return usages;
}

}  // namespace upstream
