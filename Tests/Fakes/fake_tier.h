// A whole tier in virtual time: real node cores, fake servers, a fake key-value
// service and callers.

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

// What a party's agreement grants and expects.
struct PartyTerms {
  std::string party;
  double sub_requests_per_second = 1e6;
  double burst = 1e6;
  int concurrency = 100'000;
  double extra_load_share = 0.05;
  std::string prefer = "latency";
};

// The size and the settings of a tier.
struct TierShape {
  int nodes = 4;
  int services = 6;
  int servers_per_service = 3;
  uint32_t shards_per_service = 2;
  int slots = 2;         // Of each server.
  int connections = 25;  // Maximum that each server accepts.
  // The time that it takes to open a connection to a server.
  base::Duration connect_time = std::chrono::milliseconds(6);
  base::Duration gossip_period = std::chrono::milliseconds(200);
  int holders_per_service = 2;
  node::Policies policies;
  ServiceTime service_time;  // 2 ms if empty.
  std::vector<PartyTerms> parties = {{"party-a"}, {"party-b"}};
  base::Duration time_allowed = std::chrono::milliseconds(800);  // Per request.
};

// The name of the tier's only upstream.
inline constexpr char kUpstream[] = "search";

class FakeTier {
 public:
  FakeTier(TierShape shape, uint64_t seed);
  ~FakeTier();

  // Publishes a configuration, starts all nodes and runs for as long as they
  // need to learn of a complete index version.
  void Start();

  // Publishes a configuration with the steps of the publish command. Returns
  // the revision that was accepted, if any.
  std::optional<uint64_t> Publish(const std::string& operator_name);

  void Kill(int node);
  // Kills the node's process and starts a new one on the host.
  void Restart(int node);
  // Stops the node's process until Resume, as SIGSTOP does.
  void Freeze(int node);
  void Resume(int node);
  // Shuts the node down in order: it announces that it leaves, goes on
  // answering for the drain time, finishes what it has accepted, reports its
  // usage, and is killed.
  void Drain(int node);
  // Drops the messages between two nodes in both directions.
  void CutNodes(int a, int b);
  // Drops a node's messages to the store, or the store's messages to it. Every
  // call then times out, and no write takes effect.
  void CutStore(int node, bool towards_store);
  // Makes a server unreachable for a node.
  void CutServer(int node, const std::string& address);
  // Restores all links that were cut.
  void Heal() { network_.Heal(); }
  // Gives all servers an index version. `keep_old` lets them go on serving the
  // version before it.
  void SetIndex(uint64_t version, uint32_t shards_per_service, bool keep_old);

  using AnswerCallback = std::function<void(std::optional<http::Response>)>;
  // Sends a caller's request to a node. `done` gets nothing if the node does
  // not accept connections or the caller's timeout passes.
  void SendRequest(int node, http::Request request, AnswerCallback done);
  static http::Request QueryRequest(const std::string& party,
                                    const std::string& text,
                                    uint64_t least_revision = 0);
  static http::Request TicketRequest(const std::string& party);
  static http::Request BookingRequest(const std::string& party,
                                      const std::string& ticket,
                                      const std::string& key);

  bool IsRunning(int node) const;  // Alive and not frozen.
  bool IsAlive(int node) const;
  // Whether the node accepts connections of callers.
  bool IsAccepting(int node) const;
  node::NodeCore& core(int node);
  FakePeerClient& peer_client(int node);
  FakeTransport& transport(int node);
  FakeTransport::Servers& servers() { return servers_; }
  std::vector<std::string> addresses() const;
  VirtualScheduler& clock() { return clock_; }
  base::Random& random() { return random_; }
  FakeKeyValueStoreState& store() { return store_; }
  int node_count() const { return shape_.nodes; }
  // Returns the shard count of every index version that was ever set.
  const std::map<uint64_t, uint32_t>& shard_counts() const {
    return shard_counts_;
  }

 private:
  struct NodeProcess;
  std::unique_ptr<NodeProcess> MakeProcess(int node);
  // Returns the configuration's files as a JSON object from path to text.
  std::string Content(uint64_t publication) const;
  // Waits until the node has no exchange and no request left, lets it report
  // its usage, and kills it.
  void FinishWhenIdle(int node);

  const TierShape shape_;
  VirtualScheduler clock_;
  base::SeededRandom random_;
  FakeNetwork network_;
  FakeKeyValueStoreState store_;
  FakeTransport::Servers servers_;
  std::vector<std::vector<std::string>> services_;  // Addresses of servers.
  std::map<uint64_t, uint32_t> shard_counts_;
  uint64_t next_incarnation_ = 1;
  uint64_t next_publication_ = 1;
  std::vector<std::unique_ptr<NodeProcess>> processes_;
  // Ended processes are kept, since tasks that they added may still be due.
  std::vector<std::unique_ptr<NodeProcess>> ended_processes_;
};

}  // namespace fakes

#endif  // FAKES_FAKE_TIER_H_
