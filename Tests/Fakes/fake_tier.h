// A whole tier of real node cores in virtual time, between fake servers, a
// fake key-value service and callers.

#ifndef FAKES_FAKE_TIER_H_
#define FAKES_FAKE_TIER_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Fakes/fake_network.h"
#include "Fakes/fake_server.h"
#include "LibBase/random.h"
#include "LibNode/node_core.h"

namespace fakes {

struct PartyTerms {
  std::string party;
  double rate = 1e6;
  double burst = 1e6;
  int concurrency = 100'000;
  double extra_load_share = 0.05;
  std::string prefer = "latency";
};

struct TierShape {
  int nodes = 4;
  int services = 6;
  int servers_per_service = 3;
  uint32_t shards_per_service = 2;
  int slots = 2;
  int connections = 25;
  base::Duration connect_cost = std::chrono::milliseconds(6);
  base::Duration gossip_period = std::chrono::milliseconds(200);
  int holders_per_service = 2;
  node::Policies policies;
  ServiceTime service_time;  // 2 ms if empty.
  std::vector<PartyTerms> parties = {{"party-a"}, {"party-b"}};
  base::Duration deadline = std::chrono::milliseconds(800);
};

// The upstream that all tests ask.
inline constexpr char kUpstream[] = "search";

class FakeTier {
 public:
  FakeTier(TierShape shape, uint64_t seed);
  ~FakeTier();

  // Publishes and runs until every node knows a whole index.
  void Start();

  // Publishes by the operators' steps; the accepted revision, if any.
  std::optional<uint64_t> Publish(const std::string& operator_name);

  void Kill(int node);
  // A new process on the host; kills the old one first.
  void Restart(int node);
  void Freeze(int node);
  void Resume(int node);
  // Orderly end: the node is killed once it has nothing left to finish.
  void Drain(int node);
  void CutNodes(int a, int b);
  void CutStore(int node, bool towards_store);
  void CutServer(int node, const std::string& address);
  void Heal() { wires_.Heal(); }
  void SetIndex(uint64_t version, uint32_t shards_per_service, bool keep_old);

  // A caller's exchange; `done` gets nothing if the connection breaks or no
  // answer comes within the caller's patience.
  using AnswerCallback = std::function<void(std::optional<http::Response>)>;
  void Ask(int node, http::Request request, AnswerCallback done);
  static http::Request QueryRequest(const std::string& party,
                                    const std::string& text,
                                    uint64_t least_revision = 0);
  static http::Request TicketRequest(const std::string& party);
  static http::Request BookingRequest(const std::string& party,
                                      const std::string& ticket,
                                      const std::string& key);

  bool IsRunning(int node) const;  // Alive and not frozen.
  bool IsAlive(int node) const;
  bool IsAccepting(int node) const;
  node::NodeCore& core(int node);
  FakePeerClient& peer_client(int node);
  FakeTransport& transport(int node);
  FakeTransport::Servers& servers() { return servers_; }
  std::vector<std::string> addresses() const;
  VirtualScheduler& clock() { return clock_; }
  base::Random& random() { return random_; }
  FakeStoreState& store() { return store_; }
  int node_count() const { return shape_.nodes; }
  // Shard counts of every index version there ever was.
  const std::map<uint64_t, uint32_t>& shard_counts() const {
    return shard_counts_;
  }

 private:
  struct ProcessOnHost;
  std::unique_ptr<ProcessOnHost> MakeProcess(int node);
  std::string Content(uint64_t publication) const;
  void AwaitEnd(int node);

  const TierShape shape_;
  VirtualScheduler clock_;
  base::SeededRandom random_;
  Wires wires_;
  FakeStoreState store_;
  FakeTransport::Servers servers_;
  std::vector<std::vector<std::string>> services_;  // Server addresses.
  std::map<uint64_t, uint32_t> shard_counts_;
  uint64_t next_incarnation_ = 1;
  uint64_t next_publication_ = 1;
  std::vector<std::unique_ptr<ProcessOnHost>> processes_;
  // Ended processes; tasks that they added may still be due.
  std::vector<std::unique_ptr<ProcessOnHost>> ended_;
};

}  // namespace fakes

#endif  // FAKES_FAKE_TIER_H_
