// Connections of this node to servers.

#include "LibUpstream/connection_pool.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <utility>

namespace upstream {

namespace {

// Servers close idle connections after a while; older ones aren't trusted.
constexpr base::Duration kMaxIdle = std::chrono::seconds(30);

}  // namespace

std::shared_ptr<ConnectionPool> ConnectionPool::Create(
    boost::asio::io_context& io) {
  return std::shared_ptr<ConnectionPool>(new ConnectionPool(io));
}

ConnectionPool::ConnectionPtr ConnectionPool::TakeIdle(Pool& pool,
                                                       base::Instant now) {
  while (!pool.idle.empty()) {
    const Idle idle = std::move(pool.idle.back());
    pool.idle.pop_back();
    if (idle.connection->is_reusable() && now - idle.since < kMaxIdle)
      return idle.connection;
    idle.connection->Close();
    --pool.open;
  }
  return nullptr;
}

ConnectionPool::Lease ConnectionPool::Acquire(const std::string& address,
                                              int max_connections,
                                              LeaseCallback callback) {
  const base::Instant now = base::MonotonicClock::now();
  return pools_.With(address, [&](auto& pools) -> Lease {
    Pool& pool = pools[address];
    pool.max_connections = max_connections;
    if (ConnectionPtr idle = TakeIdle(pool, now))
      return {idle, WaitId::kNone};
    if (pool.open < max_connections) {
      ++pool.open;
      return {http::Connection::Create(io_, address), WaitId::kNone};
    }
    const WaitId id{pool.next_wait++};
    pool.waiting.push_back({id, std::move(callback)});
    return {nullptr, id};
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
  LeaseCallback next;
  ConnectionPtr handed;
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
    next = std::move(pool.waiting.front().callback);
    pool.waiting.pop_front();
    if (!reusable)
      ++pool.open;
    handed = reusable ? std::move(connection)
                      : http::Connection::Create(io_, address);
  });
  // NOTE: Posted, since the waiter may hold locks of whoever releases.
  if (next)
    boost::asio::post(io_, [next = std::move(next), handed] { next(handed); });
}

void ConnectionPool::Forget(const std::string& address, WaitId wait) {
  pools_.With(address, [&](auto& pools) {
    std::erase_if(pools[address].waiting,
                  [&](const Waiter& waiter) { return waiter.id == wait; });
  });
}

void ConnectionPool::DropWaitingCalls(const std::string& address) {
  std::deque<Waiter> dropped;
  pools_.With(address, [&](auto& pools) {
    dropped = std::exchange(pools[address].waiting, {});
  });
  for (Waiter& waiter : dropped)
    boost::asio::post(
        io_, [callback = std::move(waiter.callback)] { callback(nullptr); });
}

void ConnectionPool::CloseIdleUnless(
    const std::function<bool(const std::string&)>& is_held) {
  pools_.ForEachShard([&](auto& pools) {
    for (auto& [address, pool] : pools) {
      if (is_held(address))
        continue;
      for (const Idle& idle : pool.idle)
        idle.connection->Close();
      pool.open -= static_cast<int>(pool.idle.size());
      pool.idle.clear();
    }
  });
}

std::vector<ConnectionPool::Usage> ConnectionPool::Dump() {
  std::vector<Usage> usages;
  pools_.ForEachShard([&](auto& pools) {
    for (const auto& [address, pool] : pools)
      usages.push_back({address, pool.open, static_cast<int>(pool.idle.size()),
                        static_cast<int>(pool.waiting.size())});
  });
  std::ranges::sort(usages, {}, &Usage::address);
  return usages;
}

}  // namespace upstream
