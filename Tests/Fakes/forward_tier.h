// Forwarding nodes, a store and scripted servers in virtual time.

#ifndef FAKES_FORWARD_TIER_H_
#define FAKES_FORWARD_TIER_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Fakes/fake_entry_store.h"
#include "Fakes/fake_network.h"
#include "LibNode/forward_core.h"

namespace fakes {

// How a server of a service answers its next calls.
struct ServerScript {
  base::Duration work = std::chrono::milliseconds(10);
  // Fails in place of an answer.
  std::optional<upstream::ShardFailure> failure = std::nullopt;
  bool never_answers = false;  // Never answers.
};

// Calls that reached servers, by instance.
using CallLog = std::vector<std::pair<std::string, std::string>>;

class ForwardTransport final : public upstream::Transport {
 public:
  ForwardTransport(std::map<std::string, ServerScript>& scripts,
                   CallLog& log,
                   base::Scheduler& scheduler)
      : scripts_(scripts), log_(log), scheduler_(scheduler) {}

  upstream::CallId Start(const upstream::ServerTarget& target,
                         const upstream::ShardCall& call,
                         base::Duration timeout,
                         upstream::ShardCallback callback) override;
  void Cancel(upstream::CallId call) override;
  void DropWaitingCalls(const std::string&) override {}

  int cancelled() const { return cancelled_; }
  uint64_t started() const { return next_id_ - 1; }

 private:
  std::map<std::string, ServerScript>& scripts_;
  CallLog& log_;
  base::Scheduler& scheduler_;
  uint64_t next_id_ = 1;
  int cancelled_ = 0;
};

class ForwardTier {
 public:
  explicit ForwardTier(int nodes);
  ~ForwardTier();

  // Writes a configuration of this version: one gather route /all/ over
  // services s0 to s(`services`-1), one route /one/ to s0, and one /split/ to
  // s0 and s1 with weights of 3 to 1.
  void PutConfiguration(uint64_t version, int services);
  void PutServer(const std::string& instance,
                 const std::string& service,
                 upstream::ServerPhase phase = upstream::ServerPhase::kServing);
  void RemoveServer(const std::string& instance);

  std::optional<query::ForwardAnswer> Ask(int node,
                                          const std::string& target,
                                          base::Duration time,
                                          base::Duration transit = {});
  void Restart(int node);
  void RunFor(base::Duration duration) { clock_.RunFor(duration); }

  node::ForwardCore& core(int node);
  FakeEntryState& store() { return store_; }
  std::map<std::string, ServerScript>& scripts() { return scripts_; }
  CallLog& log() { return log_; }
  ForwardTransport& transport(int node);
  Wires& wires() { return wires_; }
  static std::string PeerAddress(int node);
  static std::string NodeName(int node) { return "n" + std::to_string(node); }

  config::Repeatability repeatability = config::Repeatability::kIdempotent;

 private:
  struct Process;
  std::unique_ptr<Process> MakeProcess(int node);
  base::Result<config::Configuration> ReadConfiguration(
      std::string_view text) const;

  VirtualScheduler clock_;
  Wires wires_;
  FakeEntryState store_;
  std::map<std::string, ServerScript> scripts_;
  CallLog log_;
  uint64_t next_request_ = 1;
  uint64_t next_incarnation_ = 1;
  std::map<std::string, uint64_t> sequences_;  // Of servers' claims.
  std::vector<std::unique_ptr<Process>> processes_;
  std::vector<std::unique_ptr<Process>> ended_;
};

}  // namespace fakes

#endif  // FAKES_FORWARD_TIER_H_
