// The KJ event loop and its thread. Other threads post tasks to it.

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

// A call may end this long after its own time is over.
constexpr base::Duration kAnswerSlack = std::chrono::milliseconds(50);
// A replaced connection is kept so long for the calls that still run on it.
constexpr kj::Duration kRetiredLinkLife = 10 * kj::SECONDS;
constexpr kj::Duration kConnectTimeout = 500 * kj::MILLISECONDS;

kj::Duration ToKj(base::Duration duration) {
  return std::max<int64_t>(duration.count(), 0) * kj::MICROSECONDS;
}

base::Error ToError(const kj::Exception& exception, const std::string& peer) {
  const bool timeout = exception.getType() == kj::Exception::Type::OVERLOADED;
  return base::Error(
      timeout ? base::ErrorKind::kTimeout : base::ErrorKind::kUnavailable,
      "call to peer " + peer + ": " +
          std::string(exception.getDescription().cStr()),
      "check that the peer runs and can be reached");
}

// Lets a callback on another thread resolve a promise of this loop.
template <typename T>
struct CrossThread {
  kj::Promise<T> promise;
  std::function<void(T)> resolve;
};

template <typename T>
CrossThread<T> MakeCrossThread() {
  auto pair = kj::newPromiseAndCrossThreadFulfiller<T>();
  auto fulfiller =
      std::make_shared<kj::Own<kj::CrossThreadPromiseFulfiller<T>>>(
          kj::mv(pair.fulfiller));
  return {kj::mv(pair.promise),
          [fulfiller](T value) { (*fulfiller)->fulfill(kj::mv(value)); }};
}

class PeerServer final : public wire::Peer::Server {
 public:
  explicit PeerServer(Handler& handler) : handler_(handler) {}

  kj::Promise<void> executeLeaf(ExecuteLeafContext context) override {
    auto waiting = MakeCrossThread<query::LeafAnswer>();
    handler_.ExecuteLeaf(Decode(context.getParams().getRequest()),
                         waiting.resolve);
    return waiting.promise.then([context](query::LeafAnswer answer) mutable {
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
    auto waiting = MakeCrossThread<bool>();
    handler_.Probe(
        ToString(context.getParams().getAddress()),
        base::Duration(context.getParams().getTimeoutUs()),
        [resolve =
             waiting.resolve](GossipTransport::Reachability reachability) {
          resolve(reachability == GossipTransport::Reachability::kReachable);
        });
    return waiting.promise.then([context](bool reachable) mutable {
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
    auto waiting = MakeCrossThread<query::BookingOutcome>();
    handler_.RunBooking(Decode(context.getParams().getRun()), waiting.resolve);
    return waiting.promise.then([context](auto outcome) mutable {
      Encode(outcome, context.getResults().initOutcome());
    });
  }

  kj::Promise<void> forwardBooking(ForwardBookingContext context) override {
    auto waiting = MakeCrossThread<query::BookingOutcome>();
    const auto params = context.getParams();
    handler_.ForwardBooking(
        ToString(params.getTicket()), Decode(params.getBooking()),
        base::Duration(params.getTimeLeftUs()), waiting.resolve);
    return waiting.promise.then([context](auto outcome) mutable {
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
    Post([this] { stop_->fulfill(); });
    thread_.join();
  }

  // Runs the thread and returns once it listens or has failed to.
  base::Result<void> Start(const std::string& address, Handler& handler) {
    handler_ = &handler;
    thread_ = std::thread([this, address] { Run(address); });
    std::unique_lock lock(mutex_);
    started_.wait(lock, [this] { return state_ != State::kStarting; });
    if (state_ == State::kFailed)
      return base::Fail(base::ErrorKind::kUnavailable, start_error_,
                        "free the address or change it in the settings");
    return {};
  }

  void Post(std::function<void()> task) {
    const std::lock_guard lock(mutex_);
    tasks_.push_back(std::move(task));
    if (wake_.get() != nullptr)
      std::exchange(wake_, nullptr)->fulfill();
  }

  // Sends a request built by `prepare` and hands `read` its response.
  template <typename T, typename Prepare, typename Read>
  void Call(const std::string& address,
            base::Duration timeout,
            CallCallback<T> callback,
            Prepare prepare,
            Read read) {
    Post([this, address, timeout, callback = std::move(callback),
          prepare = std::move(prepare), read = std::move(read)]() mutable {
      CallOnLoop<T>(address, timeout, std::move(callback), std::move(prepare),
                    std::move(read));
    });
  }

 private:
  enum class State { kStarting, kListening, kFailed };

  struct Link {
    kj::Own<kj::AsyncIoStream> stream;
    kj::Own<capnp::TwoPartyClient> client;
    // NOTE: Asked for once: a bootstrap on a connection that has ended throws
    // where nothing can catch it, while calls on this fail as they should.
    wire::Peer::Client peer = nullptr;
  };
  struct Slot {
    kj::Maybe<kj::Own<Link>> link;
    std::vector<kj::Own<kj::PromiseFulfiller<void>>> waiting;
    bool connecting = false;
  };

  void Run(const std::string& address) {
    try {
      auto io = kj::setupAsyncIo();
      io_ = &io;
      kj::TaskSet tasks(*this);
      tasks_set_ = &tasks;
      auto stop = kj::newPromiseAndFulfiller<void>();
      stop_ = kj::mv(stop.fulfiller);
      auto parsed = io.provider->getNetwork()
                        .parseAddress(kj::StringPtr(address.c_str()))
                        .wait(io.waitScope);
      auto listener = parsed->listen();
      capnp::TwoPartyServer server(kj::heap<PeerServer>(*handler_));
      tasks.add(server.listen(*listener));
      tasks.add(DrainTasks());
      SetState(State::kListening, "");
      stop.promise.wait(io.waitScope);
      slots_.clear();
      retired_.clear();
    } catch (const kj::Exception& exception) {
      SetState(State::kFailed, "can't listen on " + address + ": " +
                                   exception.getDescription().cStr());
    }
  }

  void SetState(State state, std::string error) {
    const std::lock_guard lock(mutex_);
    state_ = state;
    start_error_ = std::move(error);
    started_.notify_all();
  }

  kj::Promise<void> DrainTasks() {
    std::vector<std::function<void()>> tasks;
    kj::Promise<void> next = kj::READY_NOW;
    {
      const std::lock_guard lock(mutex_);
      tasks.swap(tasks_);
      if (tasks.empty()) {
        auto pair = kj::newPromiseAndCrossThreadFulfiller<void>();
        wake_ = kj::mv(pair.fulfiller);
        next = kj::mv(pair.promise);
      }
    }
    for (const auto& task : tasks)
      task();
    return next.then([this] { return DrainTasks(); });
  }

  // Resolves once the slot's link stands.
  kj::Promise<void> Connected(const std::string& address) {
    Slot& slot = slots_[address];
    if (slot.link != nullptr)
      return kj::READY_NOW;
    auto pair = kj::newPromiseAndFulfiller<void>();
    slot.waiting.push_back(kj::mv(pair.fulfiller));
    if (!slot.connecting) {
      slot.connecting = true;
      tasks_set_->add(Connect(address));
    }
    return kj::mv(pair.promise);
  }

  kj::Promise<void> Connect(const std::string& address) {
    auto connecting = io_->provider->getNetwork()
                          .parseAddress(kj::StringPtr(address.c_str()))
                          .then([](kj::Own<kj::NetworkAddress> parsed) {
                            auto stream = parsed->connect();
                            return stream.attach(kj::mv(parsed));
                          });
    return io_->provider->getTimer()
        .timeoutAfter(kConnectTimeout, kj::mv(connecting))
        .then(
            [this, address](kj::Own<kj::AsyncIoStream> stream) {
              auto link = kj::heap<Link>();
              link->stream = kj::mv(stream);
              link->client = kj::heap<capnp::TwoPartyClient>(*link->stream);
              link->peer = link->client->bootstrap().castAs<wire::Peer>();
              Slot& slot = slots_[address];
              slot.link = kj::mv(link);
              slot.connecting = false;
              for (auto& waiter : std::exchange(slot.waiting, {}))
                waiter->fulfill();
            },
            [this, address](kj::Exception&& exception) {
              Slot& slot = slots_[address];
              slot.connecting = false;
              for (auto& waiter : std::exchange(slot.waiting, {}))
                waiter->reject(kj::cp(exception));
            });
  }

  // New calls take a new connection; calls on the old one may still end.
  void Retire(const std::string& address) {
    Slot& slot = slots_[address];
    KJ_IF_MAYBE (link, slot.link) {
      const uint64_t id = next_retired_++;
      retired_[id] = kj::mv(*link);
      slot.link = nullptr;
      tasks_set_->add(io_->provider->getTimer()
                          .afterDelay(kRetiredLinkLife)
                          .then([this, id] { retired_.erase(id); }));
    }
  }

  template <typename T, typename Prepare, typename Read>
  void CallOnLoop(const std::string& address,
                  base::Duration timeout,
                  CallCallback<T> callback,
                  Prepare prepare,
                  Read read) {
    auto delivery = std::make_shared<Delivery>(Delivery::kNotSent);
    auto shared = std::make_shared<CallCallback<T>>(std::move(callback));
    auto call = Connected(address).then(
        [this, address, delivery, prepare = std::move(prepare)]() mutable {
          KJ_IF_MAYBE (link, slots_[address].link) {
            *delivery = Delivery::kMaybeSent;
            return prepare((*link)->peer);
          }
          kj::throwFatalException(
              KJ_EXCEPTION(DISCONNECTED, "the connection was closed"));
        });
    auto timed =
        io_->provider->getTimer().timeoutAfter(ToKj(timeout), kj::mv(call));
    tasks_set_->add(timed.then(
        [shared, read = std::move(read)](auto&& response) {
          (*shared)(read(response));
        },
        [this, shared, delivery, address](kj::Exception&& exception) {
          Retire(address);
          (*shared)(tl::make_unexpected(
              CallError{ToError(exception, address), *delivery}));
        }));
  }

  void taskFailed(kj::Exception&&) override {}

  Handler* handler_ = nullptr;  // Set before the thread starts.
  std::thread thread_;

  std::mutex mutex_;
  std::condition_variable started_;
  // All guarded by `mutex_`.
  State state_ = State::kStarting;
  std::string start_error_;
  std::vector<std::function<void()>> tasks_;
  kj::Own<kj::CrossThreadPromiseFulfiller<void>> wake_;

  // All below only touched on the loop's thread.
  kj::AsyncIoContext* io_ = nullptr;
  kj::TaskSet* tasks_set_ = nullptr;
  kj::Own<kj::PromiseFulfiller<void>> stop_;
  std::map<std::string, Slot> slots_;
  std::map<uint64_t, kj::Own<Link>> retired_;
  uint64_t next_retired_ = 0;
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

void Network::ExecuteLeaf(const std::string& address,
                          query::LeafRequest request,
                          CallCallback<query::LeafAnswer> callback) {
  const base::Duration timeout = request.time_left + kAnswerSlack;
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
  const base::Duration timeout = run.time_left + kAnswerSlack;
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
      address, time_left + kAnswerSlack, std::move(callback),
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
