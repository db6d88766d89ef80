// The KJ event loop and its thread, to which other threads post tasks.

#include "LibPeer/network.h"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

#include "LibPeer/codec.h"

namespace peer {

namespace {

// Calls that tell the peer how much time is left wait this much longer for the
// response.
constexpr base::Duration kResponseGrace = std::chrono::milliseconds(50);
// A replaced connection stays open this long for the calls that still use it.
constexpr kj::Duration kRetiredConnectionLifetime = 10 * kj::SECONDS;
constexpr kj::Duration kConnectTimeout = 500 * kj::MILLISECONDS;

kj::Duration ToKj(base::Duration duration) {
  return std::max<int64_t>(duration.count(), 0) * kj::MICROSECONDS;
}

base::Error ToError(const kj::Exception& exception, const std::string& peer) {
  // KJ reports a timeout as OVERLOADED.
  const bool is_timeout =
      exception.getType() == kj::Exception::Type::OVERLOADED;
  return base::Error(
      is_timeout ? base::ErrorKind::kTimeout : base::ErrorKind::kUnavailable,
      "call to peer " + peer + ": " +
          std::string(exception.getDescription().cStr()),
      "check that the peer runs and can be reached");
}

// A promise of the event loop that a callback on any thread can resolve.
template <typename T>
struct CrossThreadPromise {
  kj::Promise<T> promise;
  std::function<void(T)> resolve;
};

template <typename T>
CrossThreadPromise<T> MakeCrossThreadPromise() {
  auto pair = kj::newPromiseAndCrossThreadFulfiller<T>();
  auto fulfiller =
      std::make_shared<kj::Own<kj::CrossThreadPromiseFulfiller<T>>>(
          kj::mv(pair.fulfiller));
  return {kj::mv(pair.promise),
          [fulfiller](T value) { (*fulfiller)->fulfill(kj::mv(value)); }};
}

// Passes calls from peers to the handler.
class PeerServer final : public wire::Peer::Server {
 public:
  explicit PeerServer(Handler& handler) : handler_(handler) {}

  kj::Promise<void> executeLeaf(ExecuteLeafContext context) override {
    auto pending = MakeCrossThreadPromise<query::LeafAnswer>();
    handler_.ExecuteLeaf(Decode(context.getParams().getRequest()),
                         pending.resolve);
    return pending.promise.then([context](query::LeafAnswer answer) mutable {
      Encode(answer, context.getResults().initAnswer());
    });
  }

  kj::Promise<void> gossip(GossipContext context) override {
    const auto reply =
        handler_.Gossip(Decode(context.getParams().getMessage()));
    Encode(reply, context.getResults().initReply());
    return kj::READY_NOW;
  }

  kj::Promise<void> probe(ProbeContext context) override {
    using membership::GossipTransport;
    auto pending = MakeCrossThreadPromise<bool>();
    handler_.Probe(
        ToString(context.getParams().getAddress()),
        base::Duration(context.getParams().getTimeoutUs()),
        [resolve =
             pending.resolve](GossipTransport::Reachability reachability) {
          resolve(reachability == GossipTransport::Reachability::kReachable);
        });
    return pending.promise.then([context](bool reachable) mutable {
      context.getResults().setReachable(reachable);
    });
  }

  kj::Promise<void> fetchContent(FetchContentContext context) override {
    const auto content =
        handler_.ContentOf(ToString(context.getParams().getDigest()));
    auto results = context.getResults();
    results.setFound(content.has_value());
    if (content)
      results.setContent(
          capnp::Text::Reader(content->c_str(), content->size()));
    return kj::READY_NOW;
  }

  kj::Promise<void> runBooking(RunBookingContext context) override {
    auto pending = MakeCrossThreadPromise<query::BookingOutcome>();
    handler_.RunBooking(Decode(context.getParams().getRun()), pending.resolve);
    return pending.promise.then([context](auto outcome) mutable {
      Encode(outcome, context.getResults().initOutcome());
    });
  }

  kj::Promise<void> forwardBooking(ForwardBookingContext context) override {
    auto pending = MakeCrossThreadPromise<query::BookingOutcome>();
    const auto params = context.getParams();
    handler_.ForwardBooking(
        ToString(params.getTicket()), Decode(params.getBooking()),
        base::Duration(params.getTimeLeftUs()), pending.resolve);
    return pending.promise.then([context](auto outcome) mutable {
      Encode(outcome, context.getResults().initOutcome());
    });
  }

  kj::Promise<void> grantCredit(GrantCreditContext context) override {
    const auto params = context.getParams();
    const limits::Grant grant = handler_.GrantCredit(
        {ToString(params.getAccount()), params.getWanted()});
    context.getResults().setAmount(grant.amount);
    return kj::READY_NOW;
  }

  kj::Promise<void> holdUsage(HoldUsageContext context) override {
    handler_.HoldUsage(ToString(context.getParams().getRecords()));
    return kj::READY_NOW;
  }

  kj::Promise<void> ping(PingContext) override { return kj::READY_NOW; }

 private:
  Handler& handler_;
};

}  // namespace

class Network::Loop final : private kj::TaskSet::ErrorHandler {
 public:
  ~Loop() { Stop(); }

  void Stop() {
    if (!thread_.joinable())
      return;
    Post([this] { stop_fulfiller_->fulfill(); });
    thread_.join();
  }

  // Starts the thread. Returns once it listens on `address` or has failed to.
  base::Result<void> Start(const std::string& address, Handler& handler) {
    handler_ = &handler;
    thread_ = std::thread([this, address] { Run(address); });
    std::unique_lock lock(mutex_);
    state_changed_.wait(lock, [this] { return state_ != State::kStarting; });
    if (state_ == State::kFailed)
      return base::Fail(base::ErrorKind::kUnavailable, start_error_,
                        "free the address or change it in the settings");
    return {};
  }

  // Runs `task` on the loop's thread.
  void Post(std::function<void()> task) {
    const std::lock_guard lock(mutex_);
    posted_tasks_.push_back(std::move(task));
    if (wake_fulfiller_.get() != nullptr)
      std::exchange(wake_fulfiller_, nullptr)->fulfill();
  }

  // Sends a request by `send_request`, converts the response by `read_response`
  // and passes it to `callback`. All three run on the loop's thread.
  template <typename T, typename SendRequest, typename ReadResponse>
  void Call(const std::string& address,
            base::Duration timeout,
            CallCallback<T> callback,
            SendRequest send_request,
            ReadResponse read_response) {
    Post([this, address, timeout, callback = std::move(callback),
          send_request = std::move(send_request),
          read_response = std::move(read_response)]() mutable {
      CallOnLoop<T>(address, timeout, std::move(callback),
                    std::move(send_request), std::move(read_response));
    });
  }

 private:
  enum class State { kStarting, kListening, kFailed };

  struct Connection {
    kj::Own<kj::AsyncIoStream> stream;
    kj::Own<capnp::TwoPartyClient> client;
    // NOTE: This client is requested only once for each connection: a bootstrap
    // request on a connection that has ended throws where nothing can catch the
    // exception, whereas calls on this client fail as they should.
    wire::Peer::Client peer = nullptr;
  };
  // The state of the connection to one peer address.
  struct Endpoint {
    kj::Maybe<kj::Own<Connection>> connection;
    std::vector<kj::Own<kj::PromiseFulfiller<void>>> waiters;
    bool is_connecting = false;
  };

  void Run(const std::string& address) {
    try {
      auto io = kj::setupAsyncIo();
      io_ = &io;
      kj::TaskSet tasks(*this);
      task_set_ = &tasks;
      auto stop = kj::newPromiseAndFulfiller<void>();
      stop_fulfiller_ = kj::mv(stop.fulfiller);
      auto parsed = io.provider->getNetwork()
                        .parseAddress(kj::StringPtr(address.c_str()))
                        .wait(io.waitScope);
      auto listener = parsed->listen();
      capnp::TwoPartyServer server(kj::heap<PeerServer>(*handler_));
      tasks.add(server.listen(*listener));
      tasks.add(RunPostedTasks());
      SetState(State::kListening, "");
      stop.promise.wait(io.waitScope);
      endpoints_.clear();
      retired_connections_.clear();
    } catch (const kj::Exception& exception) {
      SetState(State::kFailed, "can't listen on " + address + ": " +
                                   exception.getDescription().cStr());
    }
  }

  void SetState(State state, std::string error) {
    const std::lock_guard lock(mutex_);
    state_ = state;
    start_error_ = std::move(error);
    state_changed_.notify_all();
  }

  // Runs the posted tasks, then waits for more, as long as the loop runs.
  kj::Promise<void> RunPostedTasks() {
    std::vector<std::function<void()>> tasks;
    kj::Promise<void> next = kj::READY_NOW;
    {
      const std::lock_guard lock(mutex_);
      tasks.swap(posted_tasks_);
      if (tasks.empty()) {
        auto pair = kj::newPromiseAndCrossThreadFulfiller<void>();
        wake_fulfiller_ = kj::mv(pair.fulfiller);
        next = kj::mv(pair.promise);
      }
    }
    for (const auto& task : tasks)
      task();
    return next.then([this] { return RunPostedTasks(); });
  }

  // Resolves once there is a connection to `address`.
  kj::Promise<void> WaitForConnection(const std::string& address) {
    Endpoint& endpoint = endpoints_[address];
    if (endpoint.connection != nullptr)
      return kj::READY_NOW;
    auto pair = kj::newPromiseAndFulfiller<void>();
    endpoint.waiters.push_back(kj::mv(pair.fulfiller));
    if (!endpoint.is_connecting) {
      endpoint.is_connecting = true;
      task_set_->add(Connect(address));
    }
    return kj::mv(pair.promise);
  }

  kj::Promise<void> Connect(const std::string& address) {
    auto connection_attempt = io_->provider->getNetwork()
                                  .parseAddress(kj::StringPtr(address.c_str()))
                                  .then([](kj::Own<kj::NetworkAddress> parsed) {
                                    auto stream = parsed->connect();
                                    return stream.attach(kj::mv(parsed));
                                  });
    return io_->provider->getTimer()
        .timeoutAfter(kConnectTimeout, kj::mv(connection_attempt))
        .then(
            [this, address](kj::Own<kj::AsyncIoStream> stream) {
              auto connection = kj::heap<Connection>();
              connection->stream = kj::mv(stream);
              connection->client =
                  kj::heap<capnp::TwoPartyClient>(*connection->stream);
              connection->peer =
                  connection->client->bootstrap().castAs<wire::Peer>();
              Endpoint& endpoint = endpoints_[address];
              endpoint.connection = kj::mv(connection);
              endpoint.is_connecting = false;
              for (auto& waiter : std::exchange(endpoint.waiters, {}))
                waiter->fulfill();
            },
            [this, address](kj::Exception&& exception) {
              Endpoint& endpoint = endpoints_[address];
              endpoint.is_connecting = false;
              for (auto& waiter : std::exchange(endpoint.waiters, {}))
                waiter->reject(kj::cp(exception));
            });
  }

  // Makes new calls open a new connection. Calls on the old connection can
  // still end.
  void RetireConnection(const std::string& address) {
    Endpoint& endpoint = endpoints_[address];
    KJ_IF_MAYBE (connection, endpoint.connection) {
      const uint64_t id = next_retired_id_++;
      retired_connections_[id] = kj::mv(*connection);
      endpoint.connection = nullptr;
      task_set_->add(io_->provider->getTimer()
                         .afterDelay(kRetiredConnectionLifetime)
                         .then([this, id] { retired_connections_.erase(id); }));
    }
  }

  template <typename T, typename SendRequest, typename ReadResponse>
  void CallOnLoop(const std::string& address,
                  base::Duration timeout,
                  CallCallback<T> callback,
                  SendRequest send_request,
                  ReadResponse read_response) {
    auto delivery = std::make_shared<Delivery>(Delivery::kNotSent);
    auto shared_callback =
        std::make_shared<CallCallback<T>>(std::move(callback));
    auto call = WaitForConnection(address).then(
        [this, address, delivery,
         send_request = std::move(send_request)]() mutable {
          KJ_IF_MAYBE (connection, endpoints_[address].connection) {
            *delivery = Delivery::kMaybeSent;
            return send_request((*connection)->peer);
          }
          kj::throwFatalException(
              KJ_EXCEPTION(DISCONNECTED, "the connection was closed"));
        });
    auto call_with_timeout =
        io_->provider->getTimer().timeoutAfter(ToKj(timeout), kj::mv(call));
    task_set_->add(call_with_timeout.then(
        [shared_callback, read_response = std::move(read_response)](
            auto&& response) { (*shared_callback)(read_response(response)); },
        [this, shared_callback, delivery, address](kj::Exception&& exception) {
          RetireConnection(address);
          (*shared_callback)(tl::make_unexpected(
              CallError{ToError(exception, address), *delivery}));
        }));
  }

  void taskFailed(kj::Exception&&) override {}

  Handler* handler_ = nullptr;  // Set before the thread starts.
  std::thread thread_;

  std::mutex mutex_;
  std::condition_variable state_changed_;
  // The following fields are guarded by `mutex_`.
  State state_ = State::kStarting;
  std::string start_error_;
  std::vector<std::function<void()>> posted_tasks_;
  kj::Own<kj::CrossThreadPromiseFulfiller<void>> wake_fulfiller_;

  // The following fields are used only on the loop's thread.
  kj::AsyncIoContext* io_ = nullptr;
  kj::TaskSet* task_set_ = nullptr;
  kj::Own<kj::PromiseFulfiller<void>> stop_fulfiller_;
  std::map<std::string, Endpoint> endpoints_;
  std::map<uint64_t, kj::Own<Connection>> retired_connections_;
  uint64_t next_retired_id_ = 0;
};

Network::Network(std::unique_ptr<Loop> loop) : loop_(std::move(loop)) {}

Network::~Network() = default;

std::unique_ptr<Network> Network::Create() {
  return std::unique_ptr<Network>(new Network(std::make_unique<Loop>()));
}

base::Result<void> Network::Listen(const std::string& address,
                                   Handler& handler) {
  return loop_->Start(address, handler);
}

void Network::Stop() {
  loop_->Stop();
}

void Network::Post(std::function<void()> task) {
  loop_->Post(std::move(task));
}

void Network::ExecuteLeaf(const std::string& address,
                          query::LeafRequest request,
                          CallCallback<query::LeafAnswer> callback) {
  const base::Duration timeout = request.time_left + kResponseGrace;
  loop_->Call<query::LeafAnswer>(
      address, timeout, std::move(callback),
      [request = std::move(request)](wire::Peer::Client& peer) {
        auto call = peer.executeLeafRequest();
        Encode(request, call.initRequest());
        return call.send();
      },
      [](auto& response) { return Decode(response.getAnswer()); });
}

void Network::Gossip(const std::string& address,
                     membership::GossipMessage message,
                     base::Duration timeout,
                     CallCallback<membership::GossipMessage> callback) {
  loop_->Call<membership::GossipMessage>(
      address, timeout, std::move(callback),
      [message = std::move(message)](wire::Peer::Client& peer) {
        auto call = peer.gossipRequest();
        Encode(message, call.initMessage());
        return call.send();
      },
      [](auto& response) { return Decode(response.getReply()); });
}

void Network::Probe(const std::string& address,
                    const std::string& target,
                    base::Duration timeout,
                    CallCallback<bool> callback) {
  loop_->Call<bool>(
      address, timeout, std::move(callback),
      [target, timeout](wire::Peer::Client& peer) {
        auto call = peer.probeRequest();
        call.setAddress(target.c_str());
        call.setTimeoutUs(timeout.count() / 2);
        return call.send();
      },
      [](auto& response) { return response.getReachable(); });
}

void Network::FetchContent(const std::string& address,
                           const std::string& digest,
                           base::Duration timeout,
                           CallCallback<Content> callback) {
  loop_->Call<Content>(
      address, timeout, std::move(callback),
      [digest](wire::Peer::Client& peer) {
        auto call = peer.fetchContentRequest();
        call.setDigest(digest.c_str());
        return call.send();
      },
      [](auto& response) {
        Content content;
        if (response.getFound())
          content.text = ToString(response.getContent());
        return content;
      });
}

void Network::RunBooking(const std::string& address,
                         query::BookingRun run,
                         CallCallback<query::BookingOutcome> callback) {
  const base::Duration timeout = run.time_left + kResponseGrace;
  loop_->Call<query::BookingOutcome>(
      address, timeout, std::move(callback),
      [run = std::move(run)](wire::Peer::Client& peer) {
        auto call = peer.runBookingRequest();
        Encode(run, call.initRun());
        return call.send();
      },
      [](auto& response) { return Decode(response.getOutcome()); });
}

void Network::ForwardBooking(const std::string& address,
                             const std::string& ticket,
                             query::Booking booking,
                             base::Duration time_left,
                             CallCallback<query::BookingOutcome> callback) {
  loop_->Call<query::BookingOutcome>(
      address, time_left + kResponseGrace, std::move(callback),
      [ticket, booking = std::move(booking),
       time_left](wire::Peer::Client& peer) {
        auto call = peer.forwardBookingRequest();
        call.setTicket(ticket.c_str());
        Encode(booking, call.initBooking());
        call.setTimeLeftUs(time_left.count());
        return call.send();
      },
      [](auto& response) { return Decode(response.getOutcome()); });
}

void Network::GrantCredit(const std::string& address,
                          limits::GrantRequest request,
                          base::Duration timeout,
                          CallCallback<limits::Grant> callback) {
  loop_->Call<limits::Grant>(
      address, timeout, std::move(callback),
      [request = std::move(request)](wire::Peer::Client& peer) {
        auto call = peer.grantCreditRequest();
        call.setAccount(request.account.c_str());
        call.setWanted(request.wanted);
        return call.send();
      },
      [](auto& response) { return limits::Grant{response.getAmount()}; });
}

void Network::HoldUsage(const std::string& address,
                        std::string records,
                        base::Duration timeout,
                        CallCallback<bool> callback) {
  loop_->Call<bool>(
      address, timeout, std::move(callback),
      [records = std::move(records)](wire::Peer::Client& peer) {
        auto call = peer.holdUsageRequest();
        call.setRecords(records.c_str());
        return call.send();
      },
      [](auto&) { return true; });
}

void Network::Ping(const std::string& address,
                   base::Duration timeout,
                   CallCallback<bool> callback) {
  loop_->Call<bool>(
      address, timeout, std::move(callback),
      [](wire::Peer::Client& peer) { return peer.pingRequest().send(); },
      [](auto&) { return true; });
}

}  // namespace peer
