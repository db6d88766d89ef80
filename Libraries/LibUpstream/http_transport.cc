// Runs calls over pooled connections, with cancellation and one resend.

#include "LibUpstream/http_transport.h"

#include <mutex>
#include <utility>

namespace upstream {

namespace {

using base::ErrorKind;

ShardFailure ToFailure(const http::ExchangeError& error) {
  if (error.error.kind() == ErrorKind::kCancelled)
    return ShardFailure::kCancelled;
  if (error.sent == http::SentState::kNothingSent)
    return ShardFailure::kNoConnection;
  switch (error.error.kind()) {
    case ErrorKind::kTimeout:
      return ShardFailure::kTimeout;
    case ErrorKind::kProtocol:
      return ShardFailure::kBroken;
    default:
      return ShardFailure::kConnectionLost;
  }
}

}  // namespace

struct HttpTransport::Call {
  uint64_t id = 0;
  ServerTarget target;
  // Called when the request is sent, so that it states the time left then.
  std::function<http::Request(base::Duration time_left)> make_request;
  base::Instant deadline;
  std::function<void(http::ExchangeResult)> callback;

  std::mutex mutex;
  // All guarded by `mutex`.
  bool cancelled = false;
  bool resent = false;
  ConnectionPool::WaitId wait_id = ConnectionPool::WaitId::kNone;
  std::weak_ptr<http::Connection> connection;
};

struct HttpTransport::State {
  std::shared_ptr<ConnectionPool> pool;
  std::shared_ptr<const ShardCodec> codec;
  StatementListener* statement_listener = nullptr;
  std::atomic<uint64_t> next_id{1};
  base::LockStriped<std::unordered_map<uint64_t, std::shared_ptr<Call>>> calls;

  void Finish(const std::shared_ptr<Call>& call, http::ExchangeResult result) {
    calls.With(call->id, [&](auto& map) { map.erase(call->id); });
    call->callback(std::move(result));
  }
};

HttpTransport::HttpTransport(std::shared_ptr<ConnectionPool> pool,
                             std::shared_ptr<const ShardCodec> codec)
    : state_(std::make_shared<State>()) {
  state_->pool = std::move(pool);
  state_->codec = std::move(codec);
}

HttpTransport::~HttpTransport() = default;

void HttpTransport::Prepare(const ServerTarget& target) {
  state_->pool->Prepare(target.address, target.max_connections);
}

CallId HttpTransport::Start(const ServerTarget& target,
                            const ShardCall& shard_call,
                            base::Duration timeout,
                            ShardCallback callback) {
  auto call = std::make_shared<Call>();
  call->target = target;
  call->deadline = base::MonotonicClock::now() + timeout;
  call->make_request = [codec = state_->codec, target,
                        shard_call](base::Duration time_left) {
    return codec->Encode(target, shard_call, time_left);
  };
  call->callback = [codec = state_->codec, shard_call, target,
                    asked = base::MonotonicClock::now(),
                    listener = state_->statement_listener,
                    callback = std::move(callback)](auto result) {
    if (!result) {
      callback(tl::make_unexpected(ToFailure(result.error())));
      return;
    }
    if (listener) {
      if (const auto statement = codec->ReadStatement(shard_call, *result))
        listener->OnStatement(target, asked, *statement);
    }
    callback(codec->Decode(shard_call, *std::move(result)));
  };
  return StartCall(std::move(call));
}

void HttpTransport::SetStatementListener(StatementListener& listener) {
  state_->statement_listener = &listener;
}

void HttpTransport::FetchReport(const ServerTarget& target,
                                base::Duration timeout,
                                ReportCallback callback) {
  auto call = std::make_shared<Call>();
  call->target = target;
  call->deadline = base::MonotonicClock::now() + timeout;
  call->make_request = [](base::Duration) {
    return http::Request{"GET", "/status", {}, ""};
  };
  call->callback = [callback = std::move(callback)](auto result) {
    if (result)
      callback(ParseReport(result->body));
    else
      callback(tl::make_unexpected(result.error().error));
  };
  StartCall(std::move(call));
}

CallId HttpTransport::StartCall(std::shared_ptr<Call> call) {
  call->id = state_->next_id.fetch_add(1);
  state_->calls.With(call->id, [&](auto& map) { map[call->id] = call; });
  ConnectionPool::ConnectionPtr connection;
  {
    // NOTE: The lock delays a callback that runs at once until `wait_id` is
    // stored.
    const std::lock_guard lock(call->mutex);
    const auto acquired = state_->pool->Acquire(
        call->target.address, call->target.max_connections,
        [state = state_,
         call](ConnectionPool::ConnectionPtr connection_for_call) {
          Send(state, call, std::move(connection_for_call));
        });
    call->wait_id = acquired.wait_id;
    connection = acquired.connection;
  }
  if (connection)
    Send(state_, call, connection);
  return CallId{call->id};
}

void HttpTransport::Send(const std::shared_ptr<State>& state,
                         const std::shared_ptr<Call>& call,
                         ConnectionPool::ConnectionPtr connection) {
  const base::Duration time_left = call->deadline - base::MonotonicClock::now();
  bool can_send = false;
  {
    const std::lock_guard lock(call->mutex);
    call->wait_id = ConnectionPool::WaitId::kNone;
    can_send =
        connection && !call->cancelled && time_left > base::Duration::zero();
    if (can_send)
      call->connection = connection;
  }
  if (!can_send) {
    if (connection)
      state->pool->Release(call->target.address, connection);
    http::ExchangeError error{
        base::Error(connection ? ErrorKind::kTimeout : ErrorKind::kUnavailable,
                    "the call was not sent to the server",
                    "try another server"),
        http::SentState::kNothingSent};
    // NOTE: The caller of Start may hold a lock that its callback takes.
    state->pool->Post([state, call, error = std::move(error)] {
      state->Finish(call, tl::make_unexpected(error));
    });
    return;
  }
  const bool was_connected = connection->is_connected();
  connection->Exchange(
      call->make_request(time_left), time_left, http::kMaxResponseBodyBytes,
      [state, call, connection, was_connected](http::ExchangeResult result) {
        OnResult(state, call, connection, was_connected, std::move(result));
      });
}

void HttpTransport::OnResult(const std::shared_ptr<State>& state,
                             const std::shared_ptr<Call>& call,
                             ConnectionPool::ConnectionPtr connection,
                             bool was_connected,
                             http::ExchangeResult result) {
  state->pool->Release(call->target.address, connection);
  bool try_again = false;
  bool cancelled = false;
  {
    const std::lock_guard lock(call->mutex);
    cancelled = call->cancelled;
    // The server may have closed a reused connection while it was idle. Nothing
    // of the call was sent in that case, so it can use another connection.
    try_again = !result && was_connected && !call->cancelled && !call->resent &&
                result.error().sent == http::SentState::kNothingSent;
    call->resent = call->resent || try_again;
  }
  if (try_again) {
    if (auto fresh = state->pool->TryAcquireFresh(
            call->target.address, call->target.max_connections)) {
      Send(state, call, std::move(fresh));
      return;
    }
  }
  // NOTE: Cancelling closed the connection. Without another one, the next call
  // to the server would wait until it accepts a connection.
  if (cancelled)
    state->pool->Prepare(call->target.address, call->target.max_connections);
  state->Finish(call, std::move(result));
}

void HttpTransport::Cancel(CallId id) {
  const auto number = static_cast<uint64_t>(id);
  const std::shared_ptr<Call> call = state_->calls.With(number, [&](auto& map) {
    const auto found = map.find(number);
    return found == map.end() ? nullptr : found->second;
  });
  if (!call)
    return;
  ConnectionPool::WaitId wait_id = ConnectionPool::WaitId::kNone;
  std::shared_ptr<http::Connection> connection;
  {
    const std::lock_guard lock(call->mutex);
    call->cancelled = true;
    wait_id = call->wait_id;
    connection = call->connection.lock();
  }
  if (wait_id != ConnectionPool::WaitId::kNone) {
    state_->pool->CancelWait(call->target.address, wait_id);
    state_->calls.With(number, [&](auto& map) { map.erase(number); });
  }
  if (connection)
    connection->Close();
}

void HttpTransport::DropWaitingCalls(const std::string& address) {
  state_->pool->DropWaiters(address);
}

}  // namespace upstream
