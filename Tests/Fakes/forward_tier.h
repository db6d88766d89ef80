// Nodes that forward requests by routes, in virtual time, with a fake store and
// scripted servers.

#ifndef FAKES_FORWARD_TIER_H_
#define FAKES_FORWARD_TIER_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Fakes/fake_entry_store.h"
#include "Fakes/fake_network.h"
#include "LibNode/forward_core.h"

namespace fakes {

// How a server answers its next calls.
struct ServerScript {
  base::Duration service_time = std::chrono::milliseconds(10);
  // If set, calls fail with this instead of being answered.
  std::optional<upstream::ShardFailure> failure = std::nullopt;
  bool never_answers = false;
  // What it says of itself in its answers.
  upstream::ServerStatement statement = {};
};

// The calls that reached servers, in order: the server's instance and the
// request's id.
using CallLog = std::vector<std::pair<std::string, std::string>>;

// The transport of one node; answers calls as the servers' scripts say.
class ForwardTransport final : public upstream::Transport,
                               public upstream::StatementSource {
 public:
  ForwardTransport(std::map<std::string, ServerScript>& scripts,
                   CallLog& log,
                   base::Scheduler& scheduler)
      : scripts_(scripts), log_(log), scheduler_(scheduler) {}

  void Prepare(const upstream::ServerTarget& target) override {
    prepared_.insert(target.instance);
  }
  upstream::CallId Start(const upstream::ServerTarget& target,
                         const upstream::ShardCall& call,
                         base::Duration timeout,
                         upstream::ShardCallback callback) override;
  void Cancel(upstream::CallId call) override;
  void DropWaitingCalls(const std::string&) override {}
  void SetStatementListener(upstream::StatementListener& listener) override {
    listener_ = &listener;
  }

  int cancelled() const { return cancelled_; }
  uint64_t started() const { return next_id_ - 1; }
  // The servers to which connections were opened in advance.
  const std::set<std::string>& prepared() const { return prepared_; }

 private:
  std::map<std::string, ServerScript>& scripts_;
  CallLog& log_;
  base::Scheduler& scheduler_;
  upstream::StatementListener* listener_ = nullptr;
  uint64_t next_id_ = 1;
  int cancelled_ = 0;
  std::set<std::string> prepared_;
};

class ForwardTier {
 public:
  explicit ForwardTier(int nodes);
  ~ForwardTier();

  // Returns a tier in which all nodes have had time to learn the configuration
  // of revision 3 and the servers: xNAME, yNAME and zNAME of each service NAME.
  // Discards the log.
  static std::unique_ptr<ForwardTier> CreateSettled(int nodes, int services);

  // Writes a configuration with this revision to the store. Its gather route
  // /all/ covers the services s0 to s(`services`-1), its route /one/ leads to
  // s0, and its route /split/ to s0 and s1 with weights of 3 to 1.
  void PutConfiguration(uint64_t revision, int services);
  // Registers a server in the store, or writes its registration anew.
  void PutServer(const std::string& instance,
                 const std::string& service,
                 upstream::ServerPhase phase = upstream::ServerPhase::kServing);
  void RemoveServer(const std::string& instance);
  // Registers a new run of the instance.
  void StartServerAgain(const std::string& instance,
                        const std::string& service);

  // Sends a request for `target` to a node, runs for `time` and returns the
  // answer, if it came within that time. `transit` is how long the request took
  // to reach the node.
  std::optional<query::ForwardAnswer> SendAndWait(int node,
                                                  const std::string& target,
                                                  base::Duration time,
                                                  base::Duration transit = {});
  // Kills the node's process and starts a new one.
  void Restart(int node);
  // Stops all work of the node's process until it is resumed.
  void Freeze(int node);
  void Resume(int node);
  void RunFor(base::Duration duration) { clock_.RunFor(duration); }
  base::Instant Now() const { return clock_.Now(); }

  node::ForwardCore& core(int node);
  FakeEntryStoreState& store() { return store_; }
  std::map<std::string, ServerScript>& scripts() { return scripts_; }
  CallLog& log() { return log_; }
  ForwardTransport& transport(int node);
  FakeNetwork& network() { return network_; }
  static std::string PeerAddress(int node);
  static std::string NodeName(int node) { return "n" + std::to_string(node); }

  // How often the requests of the route /one/ may be run. Applies to
  // configurations that nodes read after it is set.
  config::Repeatability repeatability = config::Repeatability::kIdempotent;

 private:
  struct NodeProcess;
  std::unique_ptr<NodeProcess> MakeProcess(int node);
  base::Result<config::Configuration> ParseConfiguration(
      std::string_view text) const;

  VirtualScheduler clock_;
  FakeNetwork network_;
  FakeEntryStoreState store_;
  std::map<std::string, ServerScript> scripts_;
  CallLog log_;
  uint64_t next_request_id_ = 1;
  uint64_t next_incarnation_ = 1;
  // The last sequence number of each server's registration, by instance.
  std::map<std::string, uint64_t> sequences_;
  // The present incarnation of each server, by instance.
  std::map<std::string, uint64_t> incarnations_;
  std::vector<std::unique_ptr<NodeProcess>> processes_;
  // Ended processes are kept, since tasks that they added may still be due.
  std::vector<std::unique_ptr<NodeProcess>> ended_processes_;
};

}  // namespace fakes

#endif  // FAKES_FORWARD_TIER_H_
