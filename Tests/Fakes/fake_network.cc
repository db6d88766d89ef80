// Messages in virtual time.

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

constexpr base::Duration kStoreTimeout = std::chrono::seconds(1);
constexpr base::Duration kWatchStep = std::chrono::milliseconds(20);
constexpr size_t kMessageOverhead = 120;  // Bytes, headers included.

base::Error Failure(base::ErrorKind kind) {
  return base::Error(kind, "fake failure", "none");
}

size_t SizeOf(const membership::GossipMessage& message) {
  size_t bytes = kMessageOverhead + message.bucket_hashes.size() * 8 +
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
    held_back_.push_back(task);
  else
    task();
}

void ProcessScheduler::Resume() {
  frozen_ = false;
  for (const auto& task : std::exchange(held_back_, {}))
    Run(task);
}

Process* Wires::Find(const std::string& address) {
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
  ++messages_;
  struct Once {
    CallCallback<T> callback;
    void Run(peer::CallResult<T> result) {
      if (auto taken = std::exchange(callback, nullptr))
        taken(std::move(result));
    }
  };
  auto once = std::make_shared<Once>();
  once->callback = std::move(callback);
  Process* target = wires_.Find(address);
  const bool cut = wires_.IsCut(self_, address);
  if (!target && !cut) {
    scheduler_.After(wires_.delay, [once] {
      once->Run(tl::make_unexpected(CallError{
          Failure(base::ErrorKind::kUnavailable), Delivery::kNotSent}));
    });
    return;
  }
  scheduler_.After(timeout, [once] {
    once->Run(tl::make_unexpected(
        CallError{Failure(base::ErrorKind::kTimeout), Delivery::kMaybeSent}));
  });
  if (cut)
    return;
  // NOTE: Another process may listen there by the time the message arrives.
  const Process process = *target;
  process.scheduler->After(
      wires_.delay, [this, process, address, once, serve = std::move(serve)] {
        serve(*process.handler, [this, address, once](T value) {
          if (wires_.IsCut(address, self_))
            return;
          scheduler_.After(wires_.delay,
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
  background_bytes_ += kMessageOverhead;
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
  background_bytes_ += kMessageOverhead;
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
  background_bytes_ += kMessageOverhead + records.size();
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
  background_bytes_ += kMessageOverhead;
  Call<bool>(
      address, timeout, [](peer::Handler&, auto reply) { reply(true); },
      std::move(callback));
}

FakeTransport::~FakeTransport() = default;

bool FakeTransport::IsReachable(const std::string& address) const {
  return !wires_.IsCut(self_, address) && !wires_.IsCut(address, self_);
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

// Takes an idle connection, opens one, or waits.
void FakeTransport::Dispatch(uint64_t id) {
  Call& call = calls_.at(id);
  Pool& pool = pools_[call.target.address];
  if (!pool.idle.empty()) {
    call.connection = pool.idle.back();
    pool.idle.pop_back();
    pool.busy.push_back(call.connection);
    SendOn(id, false);
    return;
  }
  if (pool.open() >= static_cast<size_t>(call.target.max_connections)) {
    pool.waiting.push_back(id);
    return;
  }
  const auto server = servers_.find(call.target.address);
  if (server == servers_.end() || !server->second->Connect()) {
    scheduler_.After(wires_.delay, [this, id] {
      Finish(id, tl::make_unexpected(ShardFailure::kNoConnection), false);
    });
    return;
  }
  call.connection = std::make_shared<Connection>();
  pool.busy.push_back(call.connection);
  SendOn(id, true);
}

void FakeTransport::SendOn(uint64_t id, bool fresh) {
  const Call call = calls_.at(id);
  const base::Duration delay =
      wires_.delay + (fresh ? connect_cost_ : base::Duration());
  if (call.connection->silent || !IsReachable(call.target.address))
    return;
  FakeServer& server = *servers_.at(call.target.address);
  wires_.clock().After(delay, [this, id, call, &server] {
    server.RunShards(call.call, call.deadline, [this, id, call](auto outcome) {
      if (call.connection->silent || !IsReachable(call.target.address))
        return;
      scheduler_.After(wires_.delay,
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
    scheduler_.After(dead ? wires_.delay : timeout, [callback, dead] {
      callback(tl::make_unexpected(Failure(dead ? base::ErrorKind::kUnavailable
                                                : base::ErrorKind::kTimeout)));
    });
    return;
  }
  scheduler_.After(
      wires_.delay * 2,
      [callback, report = server->second->Report()] { callback(report); });
}

void FakeTransport::Send(const std::string& address,
                         const query::BookingRun& run,
                         std::function<bool()> may_send,
                         query::BookingCallback callback) {
  const auto not_run = [this, callback] {
    scheduler_.Post([callback] {
      callback(BookingOutcome::NotRun(Failure(base::ErrorKind::kUnavailable)));
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
  scheduler_.After(wires_.delay + connect_cost_, [this, &server, address, run,
                                                  may_send, finish, deadline] {
    if (!may_send()) {
      finish(BookingOutcome::NotRun(Failure(base::ErrorKind::kTimeout)));
      return;
    }
    scheduler_.After(deadline - scheduler_.Now(), [finish] {
      finish(BookingOutcome::Unknown(Failure(base::ErrorKind::kTimeout)));
    });
    wires_.clock().After(
        wires_.delay, [this, &server, address, run, finish, deadline] {
          server.RunBooking(
              run.run_id, deadline, [this, address, finish](auto outcome) {
                if (!IsReachable(address))
                  return;
                scheduler_.After(wires_.delay,
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

void FakeTransport::KeepOnly(const std::set<std::string>& held) {
  for (auto& [address, pool] : pools_) {
    if (held.contains(address))
      continue;
    for (const ConnectionPtr& connection : std::exchange(pool.idle, {}))
      Close(address, connection);
  }
}

bool FakeStore::IsDown() const {
  return state_.outage || wires_.IsCut(self_, kStoreName) ||
         wires_.IsCut(kStoreName, self_);
}

std::optional<platform::StoredValue> FakeStore::Find(
    const std::string& key) const {
  const auto found = state_.values.find(key);
  if (found == state_.values.end())
    return std::nullopt;
  return found->second;
}

void FakeStore::Get(const std::string& key, ReadCallback callback) {
  Watch(key, 0, base::Duration::zero(), std::move(callback));
}

void FakeStore::Watch(const std::string& key,
                      uint64_t above,
                      base::Duration wait,
                      ReadCallback callback) {
  if (wait == base::Duration::zero() || above == 0)
    ++state_.reads;
  if (IsDown()) {
    scheduler_.After(kStoreTimeout, [callback] {
      callback(tl::make_unexpected(Failure(base::ErrorKind::kTimeout)));
    });
    return;
  }
  const auto value = Find(key);
  if (wait > base::Duration::zero() && (!value || value->version <= above)) {
    const base::Duration step = std::min(wait, kWatchStep);
    scheduler_.After(step, [this, key, above, wait, step, callback] {
      Watch(key, above, wait - step, callback);
    });
    return;
  }
  scheduler_.After(state_.AnswerDelay(),
                   [callback, value] { callback(value); });
}

void FakeStore::CompareAndSwap(const std::string& key,
                               uint64_t expected,
                               const std::string& value,
                               WriteCallback callback) {
  ++state_.writes;
  const auto fail = [this, callback](base::ErrorKind kind,
                                     base::Duration after) {
    scheduler_.After(after, [callback, kind] {
      callback(tl::make_unexpected(Failure(kind)));
    });
  };
  if (IsDown()) {
    fail(base::ErrorKind::kTimeout, kStoreTimeout);
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
    fail(base::ErrorKind::kTimeout, kStoreTimeout);
    return;
  }
  scheduler_.After(state_.AnswerDelay(),
                   [callback, version] { callback(version); });
}

}  // namespace fakes
