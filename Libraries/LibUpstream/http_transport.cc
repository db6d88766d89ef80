// Shard calls over pooled HTTP connections.

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
  // Builds the request when it is sent, so that it states the time then left.
  std::function<http::Request(base::Duration time_left)> make_request;
  base::Instant deadline;
  std::function<void(http::ExchangeResult)> callback;

  std::mutex mutex;
  // All guarded by `mutex`.
  bool cancelled = false;
  bool retried = false;
  ConnectionPool::WaitId wait = ConnectionPool::WaitId::kNone;
  std::weak_ptr<http::Connection> connection;
};

struct HttpTransport::State {
  std::shared_ptr<ConnectionPool> pool;
  std::shared_ptr<const ShardCodec> codec;
  std::atomic<uint64_t> next_id{1};
  base::Sharded<std::unordered_map<uint64_t, std::shared_ptr<Call>>> calls;

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
  call->callback = [codec = state_->codec, shard_call,
                    callback = std::move(callback)](auto result) {
    if (result)
      callback(codec->Decode(shard_call, *std::move(result)));
    else
      callback(tl::make_unexpected(ToFailure(result.error())));
  };
  return StartCall(std::move(call));
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
    // NOTE: The lock keeps a waiter's callback back until `wait` is stored.
    const std::lock_guard lock(call->mutex);
    const auto lease = state_->pool->Acquire(
        call->target.address, call->target.max_connections,
        [state = state_, call](ConnectionPool::ConnectionPtr waited) {
          Run(state, call, std::move(waited));
        });
    call->wait = lease.wait;
    connection = lease.connection;
  }
  if (connection)
    Run(state_, call, connection);
  return CallId{call->id};
}

void HttpTransport::Run(const std::shared_ptr<State>& state,
                        const std::shared_ptr<Call>& call,
                        ConnectionPool::ConnectionPtr connection) {
  const base::Duration time_left = call->deadline - base::MonotonicClock::now();
  bool runs = false;
  {
    const std::lock_guard lock(call->mutex);
    call->wait = ConnectionPool::WaitId::kNone;
    runs = connection && !call->cancelled && time_left > base::Duration::zero();
    if (runs)
      call->connection = connection;
  }
  if (!runs) {
    if (connection)
      state->pool->Release(call->target.address, connection);
    state->Finish(
        call, tl::make_unexpected(http::ExchangeError{
                  base::Error(connection ? ErrorKind::kTimeout
                                         : ErrorKind::kUnavailable,
                              "the call was not sent", "try another server"),
                  http::SentState::kNothingSent}));
    return;
  }
  const bool was_used = connection->is_connected();
  connection->Exchange(
      call->make_request(time_left), time_left, http::kMaxAnswerBytes,
      [state, call, connection, was_used](http::ExchangeResult result) {
        OnResult(state, call, connection, was_used, std::move(result));
      });
}

void HttpTransport::OnResult(const std::shared_ptr<State>& state,
                             const std::shared_ptr<Call>& call,
                             ConnectionPool::ConnectionPtr connection,
                             bool was_used,
                             http::ExchangeResult result) {
  state->pool->Release(call->target.address, connection);
  bool retry = false;
  {
    const std::lock_guard lock(call->mutex);
    // A kept connection may have been closed by the server meanwhile. Nothing
    // of the call reached it then, so that it goes on another connection.
    retry = !result && was_used && !call->cancelled && !call->retried &&
            result.error().sent == http::SentState::kNothingSent;
    call->retried = call->retried || retry;
  }
  if (retry) {
    if (auto fresh = state->pool->TryAcquireFresh(
            call->target.address, call->target.max_connections)) {
      Run(state, call, std::move(fresh));
      return;
    }
  }
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
  ConnectionPool::WaitId wait = ConnectionPool::WaitId::kNone;
  std::shared_ptr<http::Connection> connection;
  {
    const std::lock_guard lock(call->mutex);
    call->cancelled = true;
    wait = call->wait;
    connection = call->connection.lock();
  }
  if (wait != ConnectionPool::WaitId::kNone) {
    state_->pool->Forget(call->target.address, wait);
    state_->calls.With(number, [&](auto& map) { map.erase(number); });
  }
  if (connection)
    connection->Close();
}

void HttpTransport::DropWaitingCalls(const std::string& address) {
  state_->pool->DropWaitingCalls(address);
}

}  // namespace upstream
