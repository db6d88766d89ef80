// Implements the simulated network.

#include "Fakes/fake_network.h"

#include <algorithm>

namespace fakes {

using peer::CallCallback;
using peer::CallError;
using peer::Delivery;
using query::BookingOutcome;
using upstream::ShardFailure;
using upstream::ShardOutcome;

namespace {

constexpr base::Duration kStoreCallTimeout = std::chrono::seconds(1);
constexpr base::Duration kWatchPollInterval = std::chrono::milliseconds(20);
constexpr size_t kMessageOverheadBytes = 120;  // Headers included.

base::Error FakeError(base::ErrorKind kind) {
  return base::Error(kind, "this failure is simulated",
                     "check which faults the test injects");
}

size_t SizeOf(const membership::GossipMessage& message) {
  size_t bytes = kMessageOverheadBytes + message.bucket_hashes.size() * 8 +
                 message.wanted_buckets.size() * 4;
  for (const auto& fact : message.facts)
    bytes += fact.key.size() + fact.value.size() + 40;
  return bytes;
}

}  // namespace

base::TimerId ProcessScheduler::After(base::Duration delay,
                                      std::function<void()> task) {
  return clock_.After(delay, [this, task = std::move(task)] { Run(task); });
}

void ProcessScheduler::Run(const std::function<void()>& task) {
  if (killed_)
    return;
  if (frozen_)
    deferred_tasks_.push_back(task);
  else
    task();
}

void ProcessScheduler::Resume() {
  frozen_ = false;
  for (const auto& task : std::exchange(deferred_tasks_, {}))
    Run(task);
}

ListeningProcess* FakeNetwork::Find(const std::string& address) {
  const auto found = processes_.find(address);
  if (found == processes_.end() || found->second.scheduler->is_killed())
    return nullptr;
  return &found->second;
}

template <typename T>
void FakePeerClient::Call(const std::string& address,
                          base::Duration timeout,
                          Serve<T> serve,
                          CallCallback<T> callback) {
  ++call_count_;
  struct OneShotCallback {
    CallCallback<T> callback;
    void Run(peer::CallResult<T> result) {
      if (auto taken = std::exchange(callback, nullptr))
        taken(std::move(result));
    }
  };
  auto once = std::make_shared<OneShotCallback>();
  once->callback = std::move(callback);
  ListeningProcess* target = network_.Find(address);
  const bool cut = network_.IsCut(self_, address);
  if (!target && !cut) {
    scheduler_.After(network_.one_way_delay, [once] {
      once->Run(tl::make_unexpected(CallError{
          FakeError(base::ErrorKind::kUnavailable), Delivery::kNotSent}));
    });
    return;
  }
  scheduler_.After(timeout, [once] {
    once->Run(tl::make_unexpected(
        CallError{FakeError(base::ErrorKind::kTimeout), Delivery::kMaybeSent}));
  });
  if (cut)
    return;
  // NOTE: Another process may listen at the address when the message arrives.
  // The message goes to the process that listened when it was sent.
  const ListeningProcess process = *target;
  process.scheduler->After(
      network_.one_way_delay,
      [this, process, address, once, serve = std::move(serve)] {
        serve(*process.handler, [this, address, once](T value) {
          if (network_.IsCut(address, self_))
            return;
          scheduler_.After(network_.one_way_delay,
                           [once, value = std::move(value)]() mutable {
                             once->Run(std::move(value));
                           });
        });
      });
}

void FakePeerClient::ExecuteLeaf(const std::string& address,
                                 query::LeafRequest request,
                                 CallCallback<query::LeafAnswer> callback) {
  const base::Duration timeout =
      request.time_left + std::chrono::milliseconds(50);
  Call<query::LeafAnswer>(
      address, timeout,
      [request](peer::Handler& handler, auto reply) {
        handler.ExecuteLeaf(request, reply);
      },
      std::move(callback));
}

void FakePeerClient::Gossip(const std::string& address,
                            membership::GossipMessage message,
                            base::Duration timeout,
                            CallCallback<membership::GossipMessage> callback) {
  background_bytes_ += SizeOf(message);
  Call<membership::GossipMessage>(
      address, timeout,
      [message](peer::Handler& handler, auto reply) {
        reply(handler.Gossip(message));
      },
      std::move(callback));
}

void FakePeerClient::Probe(const std::string& address,
                           const std::string& target,
                           base::Duration timeout,
                           CallCallback<bool> callback) {
  background_bytes_ += kMessageOverheadBytes;
  Call<bool>(
      address, timeout,
      [target, timeout](peer::Handler& handler, auto reply) {
        handler.Probe(target, timeout / 2, [reply](auto reachability) {
          reply(reachability ==
                membership::GossipTransport::Reachability::kReachable);
        });
      },
      std::move(callback));
}

void FakePeerClient::FetchContent(const std::string& address,
                                  const std::string& digest,
                                  base::Duration timeout,
                                  CallCallback<peer::Content> callback) {
  Call<peer::Content>(
      address, timeout,
      [digest](peer::Handler& handler, auto reply) {
        reply({handler.ContentOf(digest)});
      },
      std::move(callback));
}

void FakePeerClient::RunBooking(const std::string& address,
                                query::BookingRun run,
                                CallCallback<BookingOutcome> callback) {
  const base::Duration timeout = run.time_left + std::chrono::milliseconds(50);
  Call<BookingOutcome>(
      address, timeout,
      [run](peer::Handler& handler, auto reply) {
        handler.RunBooking(run, reply);
      },
      std::move(callback));
}

void FakePeerClient::ForwardBooking(const std::string& address,
                                    const std::string& ticket,
                                    query::Booking booking,
                                    base::Duration time_left,
                                    CallCallback<BookingOutcome> callback) {
  Call<BookingOutcome>(
      address, time_left + std::chrono::milliseconds(50),
      [ticket, booking, time_left](peer::Handler& handler, auto reply) {
        handler.ForwardBooking(ticket, booking, time_left, reply);
      },
      std::move(callback));
}

void FakePeerClient::GrantCredit(const std::string& address,
                                 limits::GrantRequest request,
                                 base::Duration timeout,
                                 CallCallback<limits::Grant> callback) {
  background_bytes_ += kMessageOverheadBytes;
  Call<limits::Grant>(
      address, timeout,
      [request](peer::Handler& handler, auto reply) {
        reply(handler.GrantCredit(request));
      },
      std::move(callback));
}

void FakePeerClient::HoldUsage(const std::string& address,
                               std::string records,
                               base::Duration timeout,
                               CallCallback<bool> callback) {
  background_bytes_ += kMessageOverheadBytes + records.size();
  Call<bool>(
      address, timeout,
      [records](peer::Handler& handler, auto reply) {
        handler.HoldUsage(records);
        reply(true);
      },
      std::move(callback));
}

void FakePeerClient::Ping(const std::string& address,
                          base::Duration timeout,
                          CallCallback<bool> callback) {
  background_bytes_ += kMessageOverheadBytes;
  Call<bool>(
      address, timeout, [](peer::Handler&, auto reply) { reply(true); },
      std::move(callback));
}

FakeTransport::~FakeTransport() = default;

bool FakeTransport::IsReachable(const std::string& address) const {
  return !network_.IsCut(self_, address) && !network_.IsCut(address, self_);
}

upstream::CallId FakeTransport::Start(const upstream::ServerTarget& target,
                                      const upstream::ShardCall& call,
                                      base::Duration timeout,
                                      upstream::ShardCallback callback) {
  const uint64_t id = next_id_++;
  calls_[id] = {target, call, scheduler_.Now() + timeout, std::move(callback),
                nullptr};
  scheduler_.After(timeout, [this, id] {
    Finish(id, tl::make_unexpected(ShardFailure::kTimeout), false);
  });
  Dispatch(id);
  return upstream::CallId{id};
}

void FakeTransport::Dispatch(uint64_t id) {
  Call& call = calls_.at(id);
  Pool& pool = pools_[call.target.address];
  if (!pool.idle.empty()) {
    call.connection = pool.idle.back();
    pool.idle.pop_back();
    pool.busy.push_back(call.connection);
    SendCall(id, false);
    return;
  }
  if (pool.open() >= static_cast<size_t>(call.target.max_connections)) {
    pool.waiting.push_back(id);
    return;
  }
  const auto server = servers_.find(call.target.address);
  if (server == servers_.end() || !server->second->Connect()) {
    scheduler_.After(network_.one_way_delay, [this, id] {
      Finish(id, tl::make_unexpected(ShardFailure::kNoConnection), false);
    });
    return;
  }
  call.connection = std::make_shared<Connection>();
  pool.busy.push_back(call.connection);
  SendCall(id, true);
}

void FakeTransport::SendCall(uint64_t id, bool is_new_connection) {
  const Call call = calls_.at(id);
  const base::Duration delay =
      network_.one_way_delay +
      (is_new_connection ? connect_time_ : base::Duration());
  if (call.connection->silent || !IsReachable(call.target.address))
    return;
  FakeServer& server = *servers_.at(call.target.address);
  network_.clock().After(delay, [this, id, call, &server] {
    server.RunShards(call.call, call.deadline, [this, id, call](auto outcome) {
      if (call.connection->silent || !IsReachable(call.target.address))
        return;
      scheduler_.After(network_.one_way_delay,
                       [this, id, outcome] { Finish(id, outcome, true); });
    });
  });
}

void FakeTransport::Finish(uint64_t id, ShardOutcome outcome, bool reuse) {
  const auto found = calls_.find(id);
  if (found == calls_.end())
    return;
  const Call call = std::move(found->second);
  calls_.erase(found);
  std::erase(pools_[call.target.address].waiting, id);
  if (call.connection)
    Release(call.target.address, call.connection, reuse);
  call.callback(std::move(outcome));
}

void FakeTransport::Close(const std::string& address,
                          const ConnectionPtr& connection) {
  if (std::exchange(connection->open, false))
    servers_.at(address)->Disconnect();
}

void FakeTransport::Release(const std::string& address,
                            ConnectionPtr connection,
                            bool reuse) {
  Pool& pool = pools_[address];
  std::erase(pool.busy, connection);
  if (reuse && connection->open)
    pool.idle.push_back(connection);
  else
    Close(address, connection);
  if (pool.waiting.empty())
    return;
  const uint64_t next = pool.waiting.front();
  pool.waiting.erase(pool.waiting.begin());
  scheduler_.Post([this, next] {
    if (calls_.contains(next))
      Dispatch(next);
  });
}

void FakeTransport::Cancel(upstream::CallId call) {
  const auto id = static_cast<uint64_t>(call);
  const auto found = calls_.find(id);
  if (found == calls_.end())
    return;
  const Call cancelled = std::move(found->second);
  calls_.erase(found);
  std::erase(pools_[cancelled.target.address].waiting, id);
  if (cancelled.connection)
    Release(cancelled.target.address, cancelled.connection, false);
}

void FakeTransport::DropWaitingCalls(const std::string& address) {
  for (const uint64_t id : std::exchange(pools_[address].waiting, {})) {
    scheduler_.Post([this, id] {
      Finish(id, tl::make_unexpected(ShardFailure::kLeaving), false);
    });
  }
}

void FakeTransport::FetchReport(const upstream::ServerTarget& target,
                                base::Duration timeout,
                                ReportCallback callback) {
  const auto server = servers_.find(target.address);
  const bool silent = server == servers_.end() || !IsReachable(target.address);
  const bool dead = !silent && server->second->faults.dead;
  if (silent || dead) {
    scheduler_.After(dead ? network_.one_way_delay : timeout, [callback, dead] {
      callback(tl::make_unexpected(FakeError(
          dead ? base::ErrorKind::kUnavailable : base::ErrorKind::kTimeout)));
    });
    return;
  }
  scheduler_.After(
      network_.one_way_delay * 2,
      [callback, report = server->second->Report()] { callback(report); });
}

void FakeTransport::Send(const std::string& address,
                         const query::BookingRun& run,
                         std::function<bool()> may_send,
                         query::BookingCallback callback) {
  const auto not_run = [this, callback] {
    scheduler_.Post([callback] {
      callback(
          BookingOutcome::NotRun(FakeError(base::ErrorKind::kUnavailable)));
    });
  };
  const auto found = servers_.find(address);
  if (found == servers_.end() || !IsReachable(address) ||
      !found->second->Connect()) {
    not_run();
    return;
  }
  FakeServer& server = *found->second;
  auto once = std::make_shared<query::BookingCallback>(callback);
  const auto finish = [&server, once](BookingOutcome outcome) {
    if (auto taken = std::exchange(*once, nullptr)) {
      server.Disconnect();
      taken(std::move(outcome));
    }
  };
  const base::Instant deadline = scheduler_.Now() + run.time_left;
  scheduler_.After(
      network_.one_way_delay + connect_time_,
      [this, &server, address, run, may_send, finish, deadline] {
        if (!may_send()) {
          finish(BookingOutcome::NotRun(FakeError(base::ErrorKind::kTimeout)));
          return;
        }
        scheduler_.After(deadline - scheduler_.Now(), [finish] {
          finish(BookingOutcome::Unknown(FakeError(base::ErrorKind::kTimeout)));
        });
        network_.clock().After(network_.one_way_delay, [this, &server, address,
                                                        run, finish, deadline] {
          server.RunBooking(
              run.run_id, deadline, [this, address, finish](auto outcome) {
                if (!IsReachable(address))
                  return;
                scheduler_.After(network_.one_way_delay,
                                 [finish, outcome] { finish(outcome); });
              });
        });
      });
}

void FakeTransport::SilenceConnections(double share, base::Random& random) {
  for (auto& [address, pool] : pools_) {
    for (auto* list : {&pool.idle, &pool.busy}) {
      for (const ConnectionPtr& connection : *list)
        connection->silent = connection->silent || random.Fraction() < share;
    }
  }
}

void FakeTransport::CloseAll() {
  for (auto& [address, pool] : pools_) {
    for (auto* list : {&pool.idle, &pool.busy}) {
      for (const ConnectionPtr& connection : *list)
        Close(address, connection);
    }
  }
  pools_.clear();
  calls_.clear();
}

void FakeTransport::CloseIdleUnless(const std::set<std::string>& held) {
  for (auto& [address, pool] : pools_) {
    if (held.contains(address))
      continue;
    for (const ConnectionPtr& connection : std::exchange(pool.idle, {}))
      Close(address, connection);
  }
}

bool FakeKeyValueStore::IsDown() const {
  return state_.outage || network_.IsCut(self_, kStoreAddress) ||
         network_.IsCut(kStoreAddress, self_);
}

std::optional<platform::StoredValue> FakeKeyValueStore::Find(
    const std::string& key) const {
  const auto found = state_.values.find(key);
  if (found == state_.values.end())
    return std::nullopt;
  return found->second;
}

void FakeKeyValueStore::Get(const std::string& key, ReadCallback callback) {
  Watch(key, 0, base::Duration::zero(), std::move(callback));
}

void FakeKeyValueStore::Watch(const std::string& key,
                              uint64_t above,
                              base::Duration wait,
                              ReadCallback callback) {
  if (wait == base::Duration::zero() || above == 0)
    ++state_.reads;
  if (IsDown()) {
    scheduler_.After(kStoreCallTimeout, [callback] {
      callback(tl::make_unexpected(FakeError(base::ErrorKind::kTimeout)));
    });
    return;
  }
  const auto value = Find(key);
  if (wait > base::Duration::zero() && (!value || value->version <= above)) {
    const base::Duration step = std::min(wait, kWatchPollInterval);
    scheduler_.After(step, [this, key, above, wait, step, callback] {
      Watch(key, above, wait - step, callback);
    });
    return;
  }
  scheduler_.After(state_.AnswerDelay(),
                   [callback, value] { callback(value); });
}

void FakeKeyValueStore::CompareAndSwap(const std::string& key,
                                       uint64_t expected,
                                       const std::string& value,
                                       WriteCallback callback) {
  ++state_.writes;
  const auto fail = [this, callback](base::ErrorKind kind,
                                     base::Duration after) {
    scheduler_.After(after, [callback, kind] {
      callback(tl::make_unexpected(FakeError(kind)));
    });
  };
  if (IsDown()) {
    fail(base::ErrorKind::kTimeout, kStoreCallTimeout);
    return;
  }
  const auto present = Find(key);
  if ((present ? present->version : platform::kAbsent) != expected) {
    fail(base::ErrorKind::kConflict, state_.delay);
    return;
  }
  const uint64_t version = state_.next_version++;
  state_.values[key] = {value, version};
  if (state_.lost_write_answers > 0) {
    --state_.lost_write_answers;
    fail(base::ErrorKind::kTimeout, kStoreCallTimeout);
    return;
  }
  scheduler_.After(state_.AnswerDelay(),
                   [callback, version] { callback(version); });
}

}  // namespace fakes
