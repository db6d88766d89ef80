// Messages between nodes, between nodes and servers, and between nodes and
// the key-value service, in virtual time and with faults.

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

// The scheduler of one node's process: while it is frozen, nothing of it
// runs; once it is killed, nothing does any more.
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
  std::vector<std::function<void()>> held_back_;
};

struct Process {
  ProcessScheduler* scheduler = nullptr;
  peer::Handler* handler = nullptr;
};

// Who listens where, and which ways are cut.
class Wires {
 public:
  explicit Wires(VirtualScheduler& clock) : clock_(clock) {}

  void Listen(const std::string& address, Process process) {
    processes_[address] = process;
  }
  // Null if nothing listens.
  Process* Find(const std::string& address);

  void Cut(const std::string& from, const std::string& to) {
    cuts_.emplace(from, to);
  }
  void Heal() { cuts_.clear(); }
  bool IsCut(const std::string& from, const std::string& to) const {
    return cuts_.contains({from, to});
  }

  VirtualScheduler& clock() { return clock_; }
  base::Duration delay = std::chrono::microseconds(500);  // One way.

 private:
  VirtualScheduler& clock_;
  std::map<std::string, Process> processes_;
  std::set<std::pair<std::string, std::string>> cuts_;
};

// peer::PeerClient of one process.
class FakePeerClient final : public peer::PeerClient {
 public:
  FakePeerClient(Wires& wires, std::string self, ProcessScheduler& scheduler)
      : wires_(wires), self_(std::move(self)), scheduler_(scheduler) {}

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

  uint64_t messages() const { return messages_; }
  uint64_t background_bytes() const { return background_bytes_; }

 private:
  template <typename T>
  using Serve =
      std::function<void(peer::Handler& handler, std::function<void(T)> reply)>;
  template <typename T>
  void Call(const std::string& address,
            base::Duration timeout,
            Serve<T> serve,
            peer::CallCallback<T> callback);

  Wires& wires_;
  const std::string self_;
  ProcessScheduler& scheduler_;
  uint64_t messages_ = 0;
  uint64_t background_bytes_ = 0;  // Of gossip, roughly as on the wire.
};

// Connections of one process to servers.
class FakeTransport final : public upstream::Transport,
                            public upstream::ReportSource,
                            public query::BookingTransport {
 public:
  using Servers = std::map<std::string, std::unique_ptr<FakeServer>>;

  FakeTransport(Wires& wires,
                Servers& servers,
                std::string self,
                ProcessScheduler& scheduler,
                base::Duration connect_cost)
      : wires_(wires),
        servers_(servers),
        self_(std::move(self)),
        scheduler_(scheduler),
        connect_cost_(connect_cost) {}
  ~FakeTransport() override;

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

  // Idle and busy connections go silent for good, each with this chance.
  void SilenceConnections(double share, base::Random& random);
  // Closes everything, as the kernel does when a process ends.
  void CloseAll();
  void KeepOnly(const std::set<std::string>& held);

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
    ConnectionPtr connection;  // Null while waiting.
  };
  struct Pool {
    std::vector<ConnectionPtr> idle;
    std::vector<ConnectionPtr> busy;
    std::vector<uint64_t> waiting;
    size_t open() const { return idle.size() + busy.size(); }
  };

  bool IsReachable(const std::string& address) const;
  void Dispatch(uint64_t id);
  void SendOn(uint64_t id, bool fresh);
  void Finish(uint64_t id, upstream::ShardOutcome outcome, bool reuse);
  void Release(const std::string& address,
               ConnectionPtr connection,
               bool reuse);
  void Close(const std::string& address, const ConnectionPtr& connection);

  Wires& wires_;
  Servers& servers_;
  const std::string self_;
  ProcessScheduler& scheduler_;
  const base::Duration connect_cost_;
  uint64_t next_id_ = 1;
  std::map<uint64_t, Call> calls_;
  std::map<std::string, Pool> pools_;
};

// The key-value service, and one process's way to it.
struct FakeStoreState {
  std::map<std::string, platform::StoredValue> values;
  uint64_t next_version = 1;
  bool outage = false;
  int lost_write_answers = 0;
  uint64_t reads = 0;
  uint64_t writes = 0;
  base::Duration delay = std::chrono::milliseconds(2);
  // Each answer takes up to this much longer, so that they may cross.
  base::Duration jitter{};
  base::SeededRandom random{1};

  base::Duration AnswerDelay() {
    const auto spread = static_cast<uint64_t>(jitter.count()) + 1;
    return delay + base::Duration(static_cast<int64_t>(random.Below(spread)));
  }
};

class FakeStore final : public platform::KeyValueStore {
 public:
  FakeStore(FakeStoreState& state,
            Wires& wires,
            std::string self,
            base::Scheduler& scheduler)
      : state_(state),
        wires_(wires),
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

  FakeStoreState& state_;
  Wires& wires_;
  const std::string self_;
  base::Scheduler& scheduler_;
};

inline constexpr char kStoreName[] = "store";

}  // namespace fakes

#endif  // FAKES_FAKE_NETWORK_H_
