// Executes one leaf request as an event-driven state machine that is guarded by
// its own mutex.

#ifndef LIBQUERY_LEAF_EXECUTION_H_
#define LIBQUERY_LEAF_EXECUTION_H_

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "LibQuery/attempt_recorder.h"
#include "LibQuery/candidates.h"
#include "LibQuery/leaf_executor.h"
#include "LibQuery/service_progress.h"

namespace query {

class LeafExecution final : public RunningLeafRequest,
                            public std::enable_shared_from_this<LeafExecution> {
 public:
  LeafExecution(std::shared_ptr<const LeafDependencies> dependencies,
                const LeafRules& rules,
                UpstreamPtr upstream,
                LeafRequest request,
                LeafCallback callback);

  void Start();

  // RunningLeafRequest:
  void Cancel() override;

 private:
  // The callback and its answer. Run is called without holding `mutex_`.
  struct Completion {
    LeafCallback callback;
    LeafAnswer answer;
    void Run() {
      if (callback)
        callback(std::move(answer));
    }
  };

  // Runs `change` under the lock, completes the request if nothing is open
  // after it, and then withdraws the calls that are no longer needed.
  void Update(const std::function<void()>& change);
  void PrepareServices();
  // Sends the planned work to other nodes; called without holding `mutex_`.
  void SendDelegatedWork(const std::vector<DelegatedWork>& plan);
  // Chooses the services that nodes in other availability zones call.
  std::vector<DelegatedWork> PlanDelegatedWork();
  void OnDelegatedAnswer(const LeafRequest& delegated_request,
                         const DelegatedWork& work,
                         base::Result<LeafAnswer> answer);
  void AcceptDelegatedAnswer(LeafAnswer answer);
  // Handles a delegated service that the other node did not answer: calls it
  // from this node, or abandons it if the other node may have called it.
  void ReclaimService(ServiceProgress& progress, bool was_called);
  void ArmTimers();
  void ArmHedgeCheckTimer();
  void StartPrimary(ServiceProgress& progress);
  bool MayStartAttempt(const ServiceProgress& progress) const;
  // Returns the index of the best candidate that takes another call now, and
  // removes the better ones that don't. Returns nothing if none does.
  std::optional<size_t> ChooseCallable(ServiceProgress& progress,
                                       Candidates& candidates);
  // Sends the service's shards to a server that was not tried yet. Returns
  // whether it did. Takes a hedge from the budget; the caller takes a retry
  // from it.
  bool StartAttempt(ServiceProgress& progress, AttemptKind kind);
  void OnOutcome(size_t work_index,
                 const upstream::ShardCall& call,
                 upstream::ShardOutcome outcome);
  // Turns an invalid reply or a server's own error into a failure.
  upstream::ShardOutcome CheckOutcome(ServiceProgress& progress,
                                      const upstream::ShardCall& call,
                                      upstream::ShardOutcome outcome);
  // `status` is that of the server's reply, or 0.
  void RecordEnd(const Attempt& attempt,
                 const upstream::ShardOutcome& outcome,
                 int status);
  void AcceptReply(ServiceProgress& progress, upstream::ShardReply reply);
  void OnFailure(ServiceProgress& progress,
                 const Attempt& attempt,
                 upstream::ShardFailure failure);
  // Takes a retry from the budget if the failed attempt may be repeated and
  // needs budget. Returns an empty string if it may be repeated, otherwise the
  // reason why not.
  std::string_view TryReserveRetry(const ServiceProgress& progress,
                                   upstream::ShardFailure failure);
  bool NeedsNoBudget(upstream::ShardFailure failure) const;
  std::optional<base::Duration> HedgeDelay() const;
  // Whether so many of the services that this node calls are open that the
  // upstream as a whole must be slow. No hedges are sent then.
  bool IsUpstreamSlow() const;
  void OnHedgeCheckDue();
  // Replaces lost calls and hedges the services that are still open.
  void HedgeOpenServices();
  bool IsLost(const Attempt& attempt, base::Duration usual_latency);
  // Sends one call in place of the service's lost calls. Returns whether any
  // call was lost.
  bool ReplaceLost(ServiceProgress& progress, base::Duration usual_latency);
  void OnObjectiveReached();
  void AbandonAll();
  // Gives up the service: cancels its attempts and reports its shards as
  // missing.
  void Abandon(ServiceProgress& progress, MissingReason reason);
  void CancelAttempts(ServiceProgress& progress);
  // Ends the attempt. Its call is withdrawn at the end of Update.
  void CancelAttempt(Attempt& attempt);
  void MarkDone(ServiceProgress& progress);
  // Whether enough services have answered for the request to complete at its
  // objective.
  bool IsCoverageReached() const;
  // Abandons the open services if the objective has passed and enough services
  // have answered. Returns the completion to run if no service is open.
  Completion CompleteIfDone();
  base::TimerId StartTimer(base::Duration delay,
                           void (LeafExecution::*action)());
  base::Instant Now() const { return dependencies_->scheduler.Now(); }

  const std::shared_ptr<const LeafDependencies> dependencies_;
  const LeafRules rules_;
  const UpstreamPtr upstream_;
  const LeafRequest request_;
  std::mutex mutex_;
  // `mutex_` guards all members below.
  LeafCallback callback_;  // Empty once called.
  const base::Instant started_;
  const base::Instant deadline_;
  // One for each entry of `request_.work`. Not resized after PrepareServices,
  // since callbacks keep indices into it.
  std::vector<ServiceProgress> services_;
  size_t open_services_ = 0;  // Services that are not done.
  uint32_t next_attempt_number_ = 1;
  LeafAnswer answer_;
  AttemptRecorder attempt_recorder_;
  std::vector<upstream::CallId> calls_to_withdraw_;
  bool is_objective_reached_ = false;
  base::TimerId deadline_timer_ = base::TimerId::kNone;
  base::TimerId objective_timer_ = base::TimerId::kNone;
  base::TimerId hedge_check_timer_ = base::TimerId::kNone;
};

}  // namespace query

#endif  // LIBQUERY_LEAF_EXECUTION_H_
