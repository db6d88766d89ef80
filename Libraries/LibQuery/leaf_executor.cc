// The state of one leaf request, an event-driven machine under its own lock.

#include "LibQuery/leaf_executor.h"

#include <algorithm>
#include <cassert>
#include <mutex>
#include <optional>
#include <ranges>
#include <utility>

#include "LibBase/log.h"

namespace query {

namespace {

using upstream::CallEnd;
using upstream::CallId;
using upstream::ServerView;
using upstream::ShardCall;
using upstream::ShardFailure;
using upstream::ShardOutcome;

enum class AttemptKind { kPrimary, kHedge, kRetry };

struct Attempt {
  uint32_t number = 0;
  std::string address;
  CallId call = CallId::kNone;
  base::Instant started;
  bool open = true;
};

// One service of the request.
struct ServiceRun {
  const ServiceShards* work = nullptr;
  const config::Service* service = nullptr;  // Null if unknown.
  std::vector<Attempt> attempts;
  MissingReason last_failure = MissingReason::kNoServer;
  bool done = false;
};

MissingReason ToMissingReason(ShardFailure failure) {
  switch (failure) {
    case ShardFailure::kLeaving:
      return MissingReason::kNoServer;
    case ShardFailure::kOverloaded:
      return MissingReason::kOverloaded;
    case ShardFailure::kVersionGone:
      return MissingReason::kVersionGone;
    case ShardFailure::kNoConnection:
      return MissingReason::kNoConnection;
    case ShardFailure::kTimeout:
    case ShardFailure::kCancelled:
      return MissingReason::kTimeout;
    case ShardFailure::kBroken:
      return MissingReason::kBrokenAnswer;
  }
  return MissingReason::kTimeout;
}

// Whether the server did no work for the attempt, so that another one is no
// extra load.
bool IsFreeToRepeat(ShardFailure failure) {
  return failure == ShardFailure::kLeaving ||
         failure == ShardFailure::kVersionGone ||
         failure == ShardFailure::kNoConnection;
}

class LeafExecution : public std::enable_shared_from_this<LeafExecution> {
 public:
  LeafExecution(std::shared_ptr<const LeafDependencies> dependencies,
                const LeafRules& rules,
                config::ConfigurationPtr configuration,
                LeafRequest request,
                LeafCallback callback)
      : dependencies_(std::move(dependencies)),
        rules_(rules),
        configuration_(std::move(configuration)),
        request_(std::move(request)),
        callback_(std::move(callback)),
        deadline_(dependencies_->scheduler.Now() + request_.time_left),
        account_(request_.party + "/" + request_.upstream) {}

  void Start() {
    Completion completion;
    {
      const std::lock_guard lock(mutex_);
      PrepareRuns();
      for (ServiceRun& run : runs_)
        StartPrimary(run);
      ArmTimers();
      completion = CompleteIfDone();
    }
    completion.Run();
  }

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

  void PrepareRuns() {
    upstream_ = configuration_->FindUpstream(request_.upstream);
    answer_.request_id = request_.request_id;
    answer_.version = request_.version;
    for (const ServiceShards& work : request_.work) {
      ServiceRun run;
      run.work = &work;
      if (upstream_ && work.service < upstream_->services.size())
        run.service = &upstream_->services[work.service];
      runs_.push_back(std::move(run));
    }
    open_runs_ = runs_.size();
  }

  void ArmTimers() {
    deadline_timer_ = After(deadline_ - Now(), &LeafExecution::OnDeadline);
    const auto delay = dependencies_->hedges.Delay(request_.upstream);
    if (!delay || open_runs_ == 0)
      return;
    hedge_delay_ = *delay;
    hedge_timer_ = After(hedge_delay_, &LeafExecution::OnHedgeDue);
  }

  void StartPrimary(ServiceRun& run) {
    dependencies_->budget.OnPrimary(account_, request_.extra_load_share);
    if (!StartAttempt(run, AttemptKind::kPrimary))
      Abandon(run, MissingReason::kNoServer);
  }

  // Servers of the run that may get another attempt, best knowledge first.
  std::vector<ServerView> Candidates(const ServiceRun& run) {
    std::vector<ServerView> usable;
    std::vector<ServerView> unreachable;
    if (!run.service)
      return usable;
    for (const config::Server& server : run.service->servers) {
      const bool tried =
          std::ranges::any_of(run.attempts, [&](const Attempt& attempt) {
            return attempt.address == server.address;
          });
      ServerView view = dependencies_->servers.View(server.address, Now());
      if (tried || view.is_leaving)
        continue;
      (view.is_unreachable ? unreachable : usable).push_back(std::move(view));
    }
    return usable.empty() ? unreachable : usable;
  }

  size_t ChooseReplica(const std::vector<ServerView>& candidates) {
    if (rules_.replica_choice == ReplicaChoice::kRandom)
      return upstream::RandomReplicaPolicy().Choose(candidates,
                                                    dependencies_->random);
    return upstream::LeastExpectedWaitPolicy(upstream_->slots)
        .Choose(candidates, dependencies_->random);
  }

  bool StartAttempt(ServiceRun& run, AttemptKind kind) {
    const base::Duration time_left = deadline_ - Now();
    const std::vector<ServerView> candidates = Candidates(run);
    if (candidates.empty() || time_left <= base::Duration::zero() ||
        run.attempts.size() >= static_cast<size_t>(rules_.max_attempts))
      return false;
    const ServerView& chosen = candidates[ChooseReplica(candidates)];
    Count(kind);
    Attempt attempt{next_attempt_++, chosen.address, CallId::kNone, Now()};
    const ShardCall call{request_.request_id,  attempt.number,
                         request_.party,       request_.version,
                         request_.shard_count, run.work->shards,
                         request_.query};
    const upstream::ServerTarget target{
        chosen.address,
        routing::ConnectionsPerNode(upstream_->connections, rules_.holders)};
    dependencies_->servers.OnCallStarted(chosen.address);
    const size_t run_index = static_cast<size_t>(&run - runs_.data());
    attempt.call = dependencies_->transport.Start(
        target, call, time_left,
        [self = shared_from_this(), run_index, call](ShardOutcome outcome) {
          self->OnOutcome(run_index, call, std::move(outcome));
        });
    run.attempts.push_back(std::move(attempt));
    return true;
  }

  void Count(AttemptKind kind) {
    switch (kind) {
      case AttemptKind::kPrimary:
        ++answer_.load.primary;
        break;
      case AttemptKind::kHedge:
        ++answer_.load.hedges;
        break;
      case AttemptKind::kRetry:
        ++answer_.load.retries;
        break;
    }
  }

  void OnOutcome(size_t run_index,
                 const ShardCall& call,
                 ShardOutcome outcome) {
    Completion completion;
    {
      const std::lock_guard lock(mutex_);
      ServiceRun& run = runs_[run_index];
      const auto attempt =
          std::ranges::find(run.attempts, call.attempt, &Attempt::number);
      // An attempt that was closed here has been accounted for already.
      if (attempt == run.attempts.end() || !attempt->open)
        return;
      attempt->open = false;
      if (outcome && !upstream::IsAnswerTo(*outcome, call))
        outcome = tl::make_unexpected(ShardFailure::kBroken);
      NoteEnd(*attempt, outcome);
      if (outcome)
        Accept(run, std::move(*outcome));
      else
        OnFailure(run, *attempt, outcome.error());
      completion = CompleteIfDone();
    }
    completion.Run();
  }

  void NoteEnd(const Attempt& attempt, const ShardOutcome& outcome) {
    const base::Duration elapsed = Now() - attempt.started;
    dependencies_->servers.OnCallEnded(
        attempt.address, outcome ? CallEnd::kAnswered : CallEnd::kFailed,
        elapsed, Now());
    if (outcome)
      dependencies_->hedges.OnAnswer(request_.upstream, elapsed);
    else if (outcome.error() == ShardFailure::kBroken)
      base::Log(
          base::Event::kServerProtocolError,
          {{"server", attempt.address}, {"request", request_.request_id}});
  }

  void Accept(ServiceRun& run, upstream::ShardReply reply) {
    CloseAttempts(run);
    std::ranges::move(reply.results, std::back_inserter(answer_.results));
    Finish(run);
  }

  void OnFailure(ServiceRun& run,
                 const Attempt& attempt,
                 ShardFailure failure) {
    run.last_failure = ToMissingReason(failure);
    if (failure == ShardFailure::kLeaving)
      dependencies_->on_leaving(attempt.address);
    if (failure == ShardFailure::kNoConnection)
      dependencies_->servers.OnUnreachable(attempt.address, Now());
    const bool another_runs = std::ranges::any_of(run.attempts, &Attempt::open);
    if (another_runs)
      return;
    const bool may_repeat =
        IsFreeToRepeat(failure) || dependencies_->budget.TrySpend(account_);
    const AttemptKind kind =
        IsFreeToRepeat(failure) ? AttemptKind::kPrimary : AttemptKind::kRetry;
    // A call that did no work was counted and is now replaced.
    if (kind == AttemptKind::kPrimary)
      --answer_.load.primary;
    if (!may_repeat || !StartAttempt(run, kind))
      Abandon(run, run.last_failure);
  }

  // Hedges the services still open, unless so many are that the upstream as a
  // whole must be slow.
  void OnHedgeDue() {
    const std::lock_guard lock(mutex_);
    if (open_runs_ == 0)
      return;
    const auto limit = static_cast<size_t>(rules_.slow_upstream_share *
                                           static_cast<double>(runs_.size()));
    if (open_runs_ > std::max<size_t>(limit, 1)) {
      hedge_timer_ = After(hedge_delay_, &LeafExecution::OnHedgeDue);
      return;
    }
    for (ServiceRun& run : runs_) {
      if (run.done || Candidates(run).empty())
        continue;
      if (!dependencies_->budget.TrySpend(account_))
        return;
      StartAttempt(run, AttemptKind::kHedge);
    }
  }

  void OnDeadline() {
    Completion completion;
    {
      const std::lock_guard lock(mutex_);
      for (ServiceRun& run : runs_) {
        if (!run.done)
          Abandon(run, MissingReason::kTimeout);
      }
      completion = CompleteIfDone();
    }
    completion.Run();
  }

  void Abandon(ServiceRun& run, MissingReason reason) {
    CloseAttempts(run);
    for (const uint32_t shard : run.work->shards)
      answer_.missing.push_back({shard, reason});
    Finish(run);
  }

  void CloseAttempts(ServiceRun& run) {
    for (Attempt& attempt : run.attempts) {
      if (!attempt.open)
        continue;
      attempt.open = false;
      dependencies_->servers.OnCallEnded(attempt.address, CallEnd::kAbandoned,
                                         Now() - attempt.started, Now());
      dependencies_->transport.Cancel(attempt.call);
    }
  }

  void Finish(ServiceRun& run) {
    assert(!run.done);
    run.done = true;
    --open_runs_;
  }

  Completion CompleteIfDone() {
    if (open_runs_ > 0 || !callback_)
      return {};
    dependencies_->scheduler.Cancel(deadline_timer_);
    dependencies_->scheduler.Cancel(hedge_timer_);
    return {std::exchange(callback_, nullptr), std::move(answer_)};
  }

  base::TimerId After(base::Duration delay, void (LeafExecution::*action)()) {
    return dependencies_->scheduler.After(
        delay, [self = shared_from_this(), action] { (*self.*action)(); });
  }

  base::Instant Now() const { return dependencies_->scheduler.Now(); }

  const std::shared_ptr<const LeafDependencies> dependencies_;
  const LeafRules rules_;
  const config::ConfigurationPtr configuration_;
  const LeafRequest request_;
  std::mutex mutex_;
  // All below guarded by `mutex_`.
  LeafCallback callback_;  // Empty once called.
  const base::Instant deadline_;
  const std::string account_;
  const config::Upstream* upstream_ = nullptr;
  std::vector<ServiceRun> runs_;  // Never resized after PrepareRuns.
  size_t open_runs_ = 0;          // Runs that are not done.
  uint32_t next_attempt_ = 1;
  LeafAnswer answer_;
  base::Duration hedge_delay_{};
  base::TimerId deadline_timer_ = base::TimerId::kNone;
  base::TimerId hedge_timer_ = base::TimerId::kNone;
};

}  // namespace

LeafExecutor::LeafExecutor(LeafDependencies dependencies, LeafRules rules)
    : dependencies_(
          std::make_shared<const LeafDependencies>(std::move(dependencies))),
      rules_(rules) {}

void LeafExecutor::Execute(config::ConfigurationPtr configuration,
                           LeafRequest request,
                           LeafCallback callback) {
  std::make_shared<LeafExecution>(dependencies_, rules_,
                                  std::move(configuration), std::move(request),
                                  std::move(callback))
      ->Start();
}

}  // namespace query
