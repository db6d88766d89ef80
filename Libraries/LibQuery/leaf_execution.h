// The state of one leaf request, an event-driven machine under its own lock.

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
  // The callback with its answer, to be called without the lock.
  struct Completion {
    LeafCallback callback;
    LeafAnswer answer;
    void Run() {
      if (callback)
        callback(std::move(answer));
    }
  };

  // Changes the state under the lock, and completes if that ends the request.
  void Update(const std::function<void()>& change);
  void PrepareServices();
  // Hands on what other nodes are nearer to; called without the lock.
  void SendDelegatedWork(const std::vector<DelegatedWork>& plan);
  std::vector<DelegatedWork> PlanDelegatedWork();
  void OnDelegatedAnswer(const LeafRequest& delegated_request,
                         const DelegatedWork& work,
                         base::Result<LeafAnswer> answer);
  void AcceptDelegatedAnswer(LeafAnswer answer);
  // The service is called from here after all.
  void ReclaimService(ServiceProgress& progress, bool was_called);
  void ArmTimers();
  void ArmHedgeCheckTimer();
  void StartPrimary(ServiceProgress& progress);
  bool MayStartAttempt(const ServiceProgress& progress) const;
  // A hedge is taken from the budget; a retry has been.
  bool StartAttempt(ServiceProgress& progress, AttemptKind kind);
  void OnOutcome(size_t work_index,
                 const upstream::ShardCall& call,
                 upstream::ShardOutcome outcome);
  upstream::ShardOutcome CheckOutcome(ServiceProgress& progress,
                                      const upstream::ShardCall& call,
                                      upstream::ShardOutcome outcome);
  void RecordEnd(const Attempt& attempt, const upstream::ShardOutcome& outcome);
  void AcceptReply(ServiceProgress& progress, upstream::ShardReply reply);
  void OnFailure(ServiceProgress& progress,
                 const Attempt& attempt,
                 upstream::ShardFailure failure);
  std::string_view TryReserveRetry(const ServiceProgress& progress,
                                   upstream::ShardFailure failure);
  bool NeedsNoBudget(upstream::ShardFailure failure) const;
  std::optional<base::Duration> HedgeDelay() const;
  void OnHedgeCheckDue();
  bool IsLost(const Attempt& attempt, base::Duration usual_latency);
  // Sends the run's lost calls once more. Returns whether there were any.
  bool ReplaceLost(ServiceProgress& progress, base::Duration usual_latency);
  void OnObjectiveReached();
  void AbandonAll();
  void Abandon(ServiceProgress& progress, MissingReason reason);
  void CancelAttempts(ServiceProgress& progress);
  void CancelAttempt(Attempt& attempt);
  void MarkDone(ServiceProgress& progress);
  bool IsCoverageReached() const;
  Completion CompleteIfDone();
  base::TimerId After(base::Duration delay, void (LeafExecution::*action)());
  base::Instant Now() const { return dependencies_->scheduler.Now(); }

  const std::shared_ptr<const LeafDependencies> dependencies_;
  const LeafRules rules_;
  const UpstreamPtr upstream_;
  const LeafRequest request_;
  std::mutex mutex_;
  // All below guarded by `mutex_`.
  LeafCallback callback_;  // Empty once called.
  const base::Instant started_;
  const base::Instant deadline_;
  std::vector<ServiceProgress>
      services_;              // Never resized after PrepareServices.
  size_t open_services_ = 0;  // Runs that are not done.
  uint32_t next_attempt_number_ = 1;
  LeafAnswer answer_;
  AttemptRecorder attempt_recorder_;
  bool is_objective_reached_ = false;
  base::TimerId deadline_timer_ = base::TimerId::kNone;
  base::TimerId objective_timer_ = base::TimerId::kNone;
  base::TimerId hedge_check_timer_ = base::TimerId::kNone;
};

}  // namespace query

#endif  // LIBQUERY_LEAF_EXECUTION_H_
