// A simulated network in virtual time, with faults that tests inject. It
// carries messages between nodes, from nodes to servers, and from nodes to the
// key-value service.

#ifndef FAKES_FAKE_NETWORK_H_
#define FAKES_FAKE_NETWORK_H_

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Fakes/fake_server.h"
#include "Fakes/virtual_scheduler.h"
#include "LibBase/random.h"
#include "LibPeer/handler.h"
#include "LibPeer/peer_client.h"
#include "LibPlatform/key_value_store.h"
#include "LibQuery/booking_interfaces.h"
#include "LibUpstream/transport.h"

namespace fakes {

// The scheduler of one node's process. While the process is frozen, its tasks
// are deferred; once it is killed, they never run.
class ProcessScheduler final : public base::Scheduler {
 public:
  explicit ProcessScheduler(VirtualScheduler& clock) : clock_(clock) {}

  base::Instant Now() const override { return clock_.Now(); }
  base::TimerId After(base::Duration delay,
                      std::function<void()> task) override;
  void Post(std::function<void()> task) override {
    After(base::Duration::zero(), std::move(task));
  }
  void Cancel(base::TimerId timer) override { clock_.Cancel(timer); }

  void Freeze() { frozen_ = true; }
  void Resume();
  void Kill() { killed_ = true; }
  bool is_frozen() const { return frozen_; }
  bool is_killed() const { return killed_; }

 private:
  void Run(const std::function<void()>& task);

  VirtualScheduler& clock_;
  bool frozen_ = false;
  bool killed_ = false;
  std::vector<std::function<void()>> deferred_tasks_;
};

// A process that listens at an address.
struct ListeningProcess {
  ProcessScheduler* scheduler = nullptr;
  peer::Handler* handler = nullptr;
};

// Knows which process listens at which address and which links are cut.
class FakeNetwork {
 public:
  explicit FakeNetwork(VirtualScheduler& clock) : clock_(clock) {}

  void Listen(const std::string& address, ListeningProcess process) {
    processes_[address] = process;
  }
  // Returns null if no live process listens at the address.
  ListeningProcess* Find(const std::string& address);

  // Drops all messages from one address to the other, in this direction only.
  void Cut(const std::string& from, const std::string& to) {
    cuts_.emplace(from, to);
  }
  // Restores all links.
  void Heal() { cuts_.clear(); }
  bool IsCut(const std::string& from, const std::string& to) const {
    return cuts_.contains({from, to});
  }

  VirtualScheduler& clock() { return clock_; }
  base::Duration one_way_delay = std::chrono::microseconds(500);

 private:
  VirtualScheduler& clock_;
  std::map<std::string, ListeningProcess> processes_;
  std::set<std::pair<std::string, std::string>> cuts_;
};

// The client through which one node's process calls its peers.
class FakePeerClient final : public peer::PeerClient {
 public:
  FakePeerClient(FakeNetwork& network,
                 std::string self,
                 ProcessScheduler& scheduler)
      : network_(network), self_(std::move(self)), scheduler_(scheduler) {}

  void ExecuteLeaf(const std::string& address,
                   query::LeafRequest request,
                   peer::CallCallback<query::LeafAnswer> callback) override;
  void Gossip(const std::string& address,
              membership::GossipMessage message,
              base::Duration timeout,
              peer::CallCallback<membership::GossipMessage> callback) override;
  void Probe(const std::string& address,
             const std::string& target,
             base::Duration timeout,
             peer::CallCallback<bool> callback) override;
  void FetchContent(const std::string& address,
                    const std::string& digest,
                    base::Duration timeout,
                    peer::CallCallback<peer::Content> callback) override;
  void RunBooking(const std::string& address,
                  query::BookingRun run,
                  peer::CallCallback<query::BookingOutcome> callback) override;
  void ForwardBooking(
      const std::string& address,
      const std::string& ticket,
      query::Booking booking,
      base::Duration time_left,
      peer::CallCallback<query::BookingOutcome> callback) override;
  void GrantCredit(const std::string& address,
                   limits::GrantRequest request,
                   base::Duration timeout,
                   peer::CallCallback<limits::Grant> callback) override;
  void HoldUsage(const std::string& address,
                 std::string records,
                 base::Duration timeout,
                 peer::CallCallback<bool> callback) override;
  void Ping(const std::string& address,
            base::Duration timeout,
            peer::CallCallback<bool> callback) override;

  // The number of calls of all kinds.
  uint64_t call_count() const { return call_count_; }
  // Estimated size of the requests sent for gossip, probes, credit grants,
  // usage records and pings. Replies are not counted.
  uint64_t background_bytes() const { return background_bytes_; }

 private:
  // Serves the call in the process that is called.
  template <typename T>
  using Serve =
      std::function<void(peer::Handler& handler, std::function<void(T)> reply)>;
  template <typename T>
  void Call(const std::string& address,
            base::Duration timeout,
            Serve<T> serve,
            peer::CallCallback<T> callback);

  FakeNetwork& network_;
  const std::string self_;
  ProcessScheduler& scheduler_;
  uint64_t call_count_ = 0;
  uint64_t background_bytes_ = 0;
};

// The pooled connections of one process to servers.
class FakeTransport final : public upstream::Transport,
                            public upstream::ReportSource,
                            public query::BookingTransport {
 public:
  using Servers = std::map<std::string, std::unique_ptr<FakeServer>>;

  FakeTransport(FakeNetwork& network,
                Servers& servers,
                std::string self,
                ProcessScheduler& scheduler,
                base::Duration connect_time)
      : network_(network),
        servers_(servers),
        self_(std::move(self)),
        scheduler_(scheduler),
        connect_time_(connect_time) {}
  ~FakeTransport() override;

  void Prepare(const upstream::ServerTarget&) override {}
  upstream::CallId Start(const upstream::ServerTarget& target,
                         const upstream::ShardCall& call,
                         base::Duration timeout,
                         upstream::ShardCallback callback) override;
  void Cancel(upstream::CallId call) override;
  void DropWaitingCalls(const std::string& address) override;
  void FetchReport(const upstream::ServerTarget& target,
                   base::Duration timeout,
                   ReportCallback callback) override;
  void Send(const std::string& address,
            const query::BookingRun& run,
            std::function<bool()> may_send,
            query::BookingCallback callback) override;

  // Makes each open connection permanently silent with probability `share`: it
  // stays open but delivers nothing more.
  void SilenceConnections(double share, base::Random& random);
  // Closes all connections, as the kernel does when a process ends.
  void CloseAll();
  // Closes the idle connections to all servers whose address is not in `held`.
  void CloseIdleUnless(const std::set<std::string>& held);

 private:
  struct Connection {
    bool silent = false;
    bool open = true;
  };
  using ConnectionPtr = std::shared_ptr<Connection>;
  struct Call {
    upstream::ServerTarget target;
    upstream::ShardCall call;
    base::Instant deadline;
    upstream::ShardCallback callback;
    ConnectionPtr connection;  // Null while the call waits for one.
  };
  struct Pool {
    std::vector<ConnectionPtr> idle;
    std::vector<ConnectionPtr> busy;
    std::vector<uint64_t> waiting;  // Ids of the calls that wait.
    size_t open() const { return idle.size() + busy.size(); }
  };

  bool IsReachable(const std::string& address) const;
  // Sends the call on an idle or a new connection, or lets it wait for one.
  void Dispatch(uint64_t id);
  void SendCall(uint64_t id, bool is_new_connection);
  // Ends the call unless it has ended already. `reuse` tells whether its
  // connection may serve other calls.
  void Finish(uint64_t id, upstream::ShardOutcome outcome, bool reuse);
  void Release(const std::string& address,
               ConnectionPtr connection,
               bool reuse);
  void Close(const std::string& address, const ConnectionPtr& connection);

  FakeNetwork& network_;
  Servers& servers_;
  const std::string self_;
  ProcessScheduler& scheduler_;
  const base::Duration connect_time_;
  uint64_t next_id_ = 1;
  std::map<uint64_t, Call> calls_;
  std::map<std::string, Pool> pools_;
};

// The contents and faults of the key-value service, which all nodes share.
struct FakeKeyValueStoreState {
  std::map<std::string, platform::StoredValue> values;
  uint64_t next_version = 1;
  bool outage = false;  // All calls time out.
  // How many of the next writes take effect but are not acknowledged.
  int lost_write_answers = 0;
  uint64_t reads = 0;
  uint64_t writes = 0;
  base::Duration delay = std::chrono::milliseconds(2);  // Of each answer.
  // Maximum random addition to `delay`, so that answers may overtake each
  // other.
  base::Duration jitter{};
  base::SeededRandom random{1};

  base::Duration AnswerDelay() {
    const auto spread = static_cast<uint64_t>(jitter.count()) + 1;
    return delay + base::Duration(static_cast<int64_t>(random.Below(spread)));
  }
};

// The client through which one process calls the key-value service.
class FakeKeyValueStore final : public platform::KeyValueStore {
 public:
  FakeKeyValueStore(FakeKeyValueStoreState& state,
                    FakeNetwork& network,
                    std::string self,
                    base::Scheduler& scheduler)
      : state_(state),
        network_(network),
        self_(std::move(self)),
        scheduler_(scheduler) {}

  void Get(const std::string& key, ReadCallback callback) override;
  void Watch(const std::string& key,
             uint64_t above,
             base::Duration wait,
             ReadCallback callback) override;
  void CompareAndSwap(const std::string& key,
                      uint64_t expected,
                      const std::string& value,
                      WriteCallback callback) override;

 private:
  bool IsDown() const;
  std::optional<platform::StoredValue> Find(const std::string& key) const;

  FakeKeyValueStoreState& state_;
  FakeNetwork& network_;
  const std::string self_;
  base::Scheduler& scheduler_;
};

// The address of the key-value service in FakeNetwork.
inline constexpr char kStoreAddress[] = "store";

}  // namespace fakes

#endif  // FAKES_FAKE_NETWORK_H_
