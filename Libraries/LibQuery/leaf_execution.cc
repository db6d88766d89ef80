// Attempts, hedges, retries and completion of one leaf request.

#include "LibQuery/leaf_execution.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "LibBase/log.h"

namespace query {

using upstream::CallEnd;
using upstream::ServerView;
using upstream::ShardCall;
using upstream::ShardFailure;
using upstream::ShardOutcome;

namespace {

// No work is delegated to other nodes if the request's objective is not longer
// than this.
constexpr base::Duration kMinDelegationObjective =
    std::chrono::milliseconds(15);

constexpr base::Duration kMinHedgeDelay = std::chrono::milliseconds(1);

}  // namespace

LeafExecution::LeafExecution(
    std::shared_ptr<const LeafDependencies> dependencies,
    const LeafRules& rules,
    UpstreamPtr upstream,
    LeafRequest request,
    LeafCallback callback)
    : dependencies_(std::move(dependencies)),
      rules_(rules),
      upstream_(std::move(upstream)),
      request_(std::move(request)),
      callback_(std::move(callback)),
      started_(dependencies_->scheduler.Now()),
      deadline_(started_ + request_.time_left),
      attempt_recorder_(request_.forward ? AttemptRecorder::Mode::kOn
                                         : AttemptRecorder::Mode::kOff,
                        started_) {}

void LeafExecution::Start() {
  std::vector<DelegatedWork> plan;
  Update([&] {
    PrepareServices();
    plan = PlanDelegatedWork();
    for (ServiceProgress& progress : services_) {
      if (!progress.delegated)
        StartPrimary(progress);
    }
    ArmTimers();
  });
  SendDelegatedWork(plan);
}

std::vector<DelegatedWork> LeafExecution::PlanDelegatedWork() {
  const bool may_delegate =
      dependencies_->delegation && upstream_ && request_.forward &&
      request_.forward->reply_use() == upstream::ReplyUse::kMerged &&
      request_.forward->origin == RequestOrigin::kCaller &&
      request_.forward->objective > kMinDelegationObjective;
  if (!may_delegate)
    return {};
  auto plan = PlanDelegation(
      *upstream_, request_.work, dependencies_->availability_zone,
      dependencies_->delegation->nodes, dependencies_->random);
  for (const DelegatedWork& work : plan) {
    for (const size_t index : work.work_indices)
      services_[index].delegated = true;
    attempt_recorder_.OnDelegationBegin(work);
  }
  return plan;
}

void LeafExecution::SendDelegatedWork(const std::vector<DelegatedWork>& plan) {
  if (plan.empty())
    return;
  const base::Duration objective =
      std::max(request_.forward->objective - rules_.delegation_reserve,
               request_.forward->objective / 2);
  for (const DelegatedWork& work : plan) {
    const LeafRequest delegated =
        MakeDelegatedRequest(request_, work, objective);
    dependencies_->delegation->leaf_client.Execute(
        work.node_id, delegated,
        [self = shared_from_this(), delegated, work](auto answer) {
          self->OnDelegatedAnswer(delegated, work, std::move(answer));
        });
  }
}

void LeafExecution::OnDelegatedAnswer(const LeafRequest& delegated_request,
                                      const DelegatedWork& work,
                                      base::Result<LeafAnswer> answer) {
  Update([&] {
    const bool is_valid =
        answer && IsValidDelegatedAnswer(*answer, delegated_request);
    attempt_recorder_.OnDelegationEnd(
        work, Now(),
        answer ? std::to_string(answer->parts.size()) + " answered in " +
                     std::to_string(answer->took.count()) + " us"
               : answer.error().message());
    const bool was_called = !is_valid || answer->load.sent() > 0;
    if (is_valid)
      AcceptDelegatedAnswer(*std::move(answer));
    for (const size_t index : work.work_indices) {
      if (services_[index].delegated)
        ReclaimService(services_[index], was_called);
    }
  });
}

void LeafExecution::AcceptDelegatedAnswer(LeafAnswer answer) {
  answer_.load = answer_.load + answer.load;
  for (ForwardedPart& part : answer.parts) {
    ServiceProgress& progress = *std::ranges::find_if(
        services_,
        [&](const auto& other) { return other.work->service == part.service; });
    if (!progress.delegated)
      continue;
    progress.delegated = false;
    answer_.parts.push_back(std::move(part));
    MarkDone(progress);
  }
}

void LeafExecution::ReclaimService(ServiceProgress& progress, bool was_called) {
  progress.delegated = false;
  if (!was_called) {
    StartPrimary(progress);
    return;
  }
  // NOTE: The other node may have used up the service's attempts.
  progress.run_state = RunState::kMayHaveRun;
  Abandon(progress, MissingReason::kTimeout);
}

void LeafExecution::Cancel() {
  Update([this] { AbandonAll(); });
}

void LeafExecution::Update(const std::function<void()>& change) {
  Completion completion;
  std::vector<upstream::CallId> calls_to_withdraw;
  {
    const std::lock_guard lock(mutex_);
    change();
    completion = CompleteIfDone();
    calls_to_withdraw = std::exchange(calls_to_withdraw_, {});
  }
  // NOTE: An answer at its objective leaves many calls behind. To withdraw them
  // first would make it late.
  completion.Run();
  for (const upstream::CallId call : calls_to_withdraw)
    dependencies_->transport.Cancel(call);
}

void LeafExecution::PrepareServices() {
  answer_.request_id = request_.request_id;
  answer_.version = request_.version;
  const std::string budget_account = request_.party + "/" + request_.upstream;
  for (const ServiceShards& work : request_.work) {
    ServiceProgress progress;
    progress.work = &work;
    if (upstream_ && work.service < upstream_->services.size())
      progress.service = &upstream_->services[work.service];
    progress.budget_account = request_.forward && progress.service
                                  ? progress.service->name
                                  : budget_account;
    services_.push_back(std::move(progress));
  }
  open_services_ = services_.size();
}

void LeafExecution::ArmTimers() {
  if (open_services_ == 0)
    return;
  deadline_timer_ = StartTimer(deadline_ - Now(), &LeafExecution::Cancel);
  if (request_.forward && request_.forward->objective.count() > 0)
    objective_timer_ =
        StartTimer(started_ + request_.forward->objective - Now(),
                   &LeafExecution::OnObjectiveReached);
  if (request_.forward &&
      request_.forward->repeatability == config::Repeatability::kOnce)
    return;
  const auto delay = HedgeDelay();
  if (!delay)
    return;
  for (ServiceProgress& progress : services_) {
    if (!progress.delegated)
      progress.hedge_check_due = Now() + *delay;
  }
  ArmHedgeCheckTimer();
}

void LeafExecution::ArmHedgeCheckTimer() {
  std::optional<base::Instant> next;
  for (const ServiceProgress& progress : services_) {
    if (!progress.done && progress.hedge_check_due &&
        (!next || *progress.hedge_check_due < *next))
      next = progress.hedge_check_due;
  }
  if (next)
    hedge_check_timer_ =
        StartTimer(*next - Now(), &LeafExecution::OnHedgeCheckDue);
}

void LeafExecution::StartPrimary(ServiceProgress& progress) {
  dependencies_->budget.OnPrimary(progress.budget_account,
                                  request_.extra_load_share);
  if (!StartAttempt(progress, AttemptKind::kPrimary))
    Abandon(progress, progress.last_failure);
}

bool LeafExecution::MayStartAttempt(const ServiceProgress& progress) const {
  const int limit =
      request_.forward ? request_.forward->max_attempts : rules_.max_attempts;
  return progress.sent() < limit && Now() < deadline_;
}

std::optional<size_t> LeafExecution::ChooseCallable(ServiceProgress& progress,
                                                    Candidates& candidates) {
  upstream::CallLimiter* limiter = dependencies_->call_limiter;
  auto wait = base::Duration::max();
  while (!candidates.servers.empty()) {
    const size_t choice = ChooseReplica(*dependencies_, rules_,
                                        upstream_->slots, candidates.views);
    const std::string& instance = candidates.servers[choice]->instance;
    if (!limiter || limiter->TryCall(instance, Now()))
      return choice;
    wait = std::min(wait, limiter->WaitFor(instance, Now()));
    const auto index = static_cast<ptrdiff_t>(choice);
    candidates.servers.erase(candidates.servers.begin() + index);
    candidates.views.erase(candidates.views.begin() + index);
  }
  progress.last_failure = MissingReason::kServerLimit;
  progress.held_back_for = wait;
  return std::nullopt;
}

bool LeafExecution::StartAttempt(ServiceProgress& progress, AttemptKind kind) {
  if (!MayStartAttempt(progress))
    return false;
  Candidates candidates = FindCandidates(*dependencies_, progress);
  if (candidates.servers.empty())
    return false;
  if (kind == AttemptKind::kHedge &&
      !dependencies_->budget.TrySpend(progress.budget_account))
    return false;
  const auto found = ChooseCallable(progress, candidates);
  if (!found)
    return false;
  const size_t choice = *found;
  const config::Server& chosen = *candidates.servers[choice];
  const ServerView& view = candidates.views[choice];
  answer_.load.Add(kind);
  Attempt attempt{next_attempt_number_++, chosen.identity(),
                  upstream::CallId::kNone, Now()};
  const ShardCall call{request_.request_id,
                       attempt.number,
                       request_.party,
                       request_.version,
                       request_.shard_count,
                       progress.work->shards,
                       request_.query,
                       request_.forward ? request_.forward->request : nullptr,
                       request_.forward ? request_.forward->reply_use()
                                        : upstream::ReplyUse::kRelayed};
  const upstream::ServerTarget target{
      chosen.address, dependencies_->max_connections_per_server(*upstream_),
      chosen.instance, chosen.incarnation};
  attempt_recorder_.OnAttemptBegin(progress.service->name, attempt, kind, view,
                                   candidates.servers.size());
  dependencies_->servers.OnCallStarted(attempt.server, Now());
  const size_t work_index = static_cast<size_t>(&progress - services_.data());
  attempt.call = dependencies_->transport.Start(
      target, call, deadline_ - Now(),
      [self = shared_from_this(), work_index, call](ShardOutcome outcome) {
        self->OnOutcome(work_index, call, std::move(outcome));
      });
  progress.attempts.push_back(std::move(attempt));
  return true;
}

void LeafExecution::OnOutcome(size_t work_index,
                              const ShardCall& call,
                              ShardOutcome outcome) {
  Update([&] {
    ServiceProgress& progress = services_[work_index];
    const auto attempt =
        std::ranges::find(progress.attempts, call.attempt, &Attempt::number);
    // An attempt that this node cancelled has been accounted for already.
    if (attempt == progress.attempts.end() || !attempt->open)
      return;
    attempt->open = false;
    const int status =
        outcome && outcome->forwarded ? outcome->forwarded->message.status : 0;
    outcome = CheckOutcome(progress, call, std::move(outcome));
    RecordEnd(*attempt, outcome, status);
    if (outcome)
      AcceptReply(progress, std::move(*outcome));
    else
      OnFailure(progress, *attempt, outcome.error());
  });
}

ShardOutcome LeafExecution::CheckOutcome(ServiceProgress& progress,
                                         const ShardCall& call,
                                         ShardOutcome outcome) {
  if (!outcome) {
    if (outcome.error() == ShardFailure::kNoConnection)
      ++progress.unsent_attempts;
    else if (!ProvesNotRun(outcome.error()))
      progress.run_state = RunState::kMayHaveRun;
    return outcome;
  }
  progress.run_state = RunState::kMayHaveRun;
  if (!upstream::IsAnswerTo(*outcome, call))
    return tl::make_unexpected(ShardFailure::kBroken);
  if (outcome->forwarded &&
      outcome->forwarded->verdict == upstream::ServerVerdict::kFailed) {
    answer_.failed_reply = outcome->forwarded;
    return tl::make_unexpected(ShardFailure::kFailed);
  }
  return outcome;
}

void LeafExecution::RecordEnd(const Attempt& attempt,
                              const ShardOutcome& outcome,
                              int status) {
  const base::Duration elapsed = Now() - attempt.started;
  attempt_recorder_.OnAttemptEnd(
      attempt, Now(),
      outcome ? "answered"
              : std::string(upstream::ShardFailureName(outcome.error())),
      status);
  dependencies_->servers.OnCallEnded(
      attempt.server, outcome ? CallEnd::kAnswered : CallEnd::kFailed, elapsed,
      Now());
  if (outcome) {
    dependencies_->hedge_policy.OnAnswer(request_.upstream, elapsed);
    if (outcome->forwarded && outcome->forwarded->load)
      dependencies_->hedge_policy.OnLoadReport(request_.upstream,
                                               *outcome->forwarded->load);
  } else if (outcome.error() == ShardFailure::kBroken)
    base::Log(base::Event::kServerProtocolError,
              {{"server", attempt.server}, {"request", request_.request_id}});
}

void LeafExecution::AcceptReply(ServiceProgress& progress,
                                upstream::ShardReply reply) {
  CancelAttempts(progress);
  std::ranges::move(reply.results, std::back_inserter(answer_.results));
  if (reply.forwarded)
    answer_.parts.push_back(
        {progress.work->service, std::move(reply.forwarded)});
  MarkDone(progress);
}

void LeafExecution::OnFailure(ServiceProgress& progress,
                              const Attempt& attempt,
                              ShardFailure failure) {
  // NOTE: Starting another attempt may reallocate `progress.attempts` and so
  // invalidate `attempt`.
  const uint32_t number = attempt.number;
  progress.last_failure = ToMissingReason(failure);
  if (failure == ShardFailure::kLeaving)
    dependencies_->on_leaving(attempt.server);
  if (failure == ShardFailure::kNoConnection ||
      failure == ShardFailure::kMisdirected)
    dependencies_->servers.OnUnreachable(attempt.server, Now());
  if (progress.HasOpenAttempt())
    return;
  const AttemptKind kind =
      NeedsNoBudget(failure) ? AttemptKind::kPrimary : AttemptKind::kRetry;
  // The failed attempt was counted but did no work. Its replacement is counted
  // instead.
  if (kind == AttemptKind::kPrimary)
    --answer_.load.primary;
  std::string_view no_retry_reason = TryReserveRetry(progress, failure);
  if (no_retry_reason.empty() && !StartAttempt(progress, kind))
    no_retry_reason = "no server left";
  if (no_retry_reason.empty())
    return;
  attempt_recorder_.OnNotRetried(number, no_retry_reason);
  Abandon(progress, progress.last_failure);
}

std::string_view LeafExecution::TryReserveRetry(const ServiceProgress& progress,
                                                ShardFailure failure) {
  const bool is_idempotent =
      !request_.forward ||
      request_.forward->repeatability == config::Repeatability::kIdempotent;
  if (!is_idempotent && progress.run_state != RunState::kNotRun)
    return "may have run";
  if (!MayStartAttempt(progress))
    return Now() < deadline_ ? "no attempt left" : "no time left";
  const bool is_allowed =
      NeedsNoBudget(failure) ||
      dependencies_->budget.TrySpend(progress.budget_account);
  return is_allowed ? "" : "no budget left";
}

// Every further server that a forwarded request reaches counts as extra load,
// even if the server before it refused the request.
bool LeafExecution::NeedsNoBudget(ShardFailure failure) const {
  return request_.forward ? failure == ShardFailure::kNoConnection
                          : CausesNoLoad(failure);
}

// Returns nothing until enough answers were seen to know the upstream's
// latency, unless the delay can be derived from the request's objective.
std::optional<base::Duration> LeafExecution::HedgeDelay() const {
  auto delay = dependencies_->hedge_policy.Delay(request_.upstream);
  if (!delay && request_.forward && request_.forward->objective.count() > 0)
    delay = std::chrono::duration_cast<base::Duration>(
        request_.forward->objective * rules_.fallback_hedge_share);
  // NOTE: The objective may have passed before the request began. Hedge checks
  // without a delay would follow each other without end.
  return delay ? std::optional(std::max(*delay, kMinHedgeDelay)) : std::nullopt;
}

bool LeafExecution::IsUpstreamSlow() const {
  const auto is_own = [](const ServiceProgress& progress) {
    return !progress.delegated;
  };
  const auto own = std::ranges::count_if(services_, is_own);
  const auto open =
      std::ranges::count_if(services_, [&](const ServiceProgress& progress) {
        return is_own(progress) && !progress.done;
      });
  const auto limit = static_cast<ptrdiff_t>(rules_.slow_upstream_share *
                                            static_cast<double>(own));
  return open > std::max<ptrdiff_t>(limit, 1);
}

void LeafExecution::OnHedgeCheckDue() {
  Update([this] {
    if (open_services_ > 0)
      HedgeOpenServices();
  });
}

void LeafExecution::HedgeOpenServices() {
  const bool is_upstream_slow = IsUpstreamSlow();
  const auto delay = HedgeDelay();
  for (ServiceProgress& progress : services_) {
    if (progress.done || !progress.hedge_check_due ||
        *progress.hedge_check_due > Now())
      continue;
    progress.hedge_check_due.reset();
    if (delay) {
      progress.hedge_check_due = Now() + *delay;
      if (ReplaceLost(progress, *delay))
        continue;
    }
    progress.hedged =
        progress.hedged ||
        (!is_upstream_slow && StartAttempt(progress, AttemptKind::kHedge));
  }
  ArmHedgeCheckTimer();
}

// An attempt is lost if its server has answered calls that began more than the
// usual latency after it: then its connection has gone silent, not the server.
// If only other servers of the request have answered such calls, the attempt
// counts as lost once half of its time has passed.
bool LeafExecution::IsLost(const Attempt& attempt,
                           base::Duration usual_latency) {
  const base::Instant overdue_since = attempt.started + usual_latency;
  const auto has_answered_later_call = [&](const Attempt& other) {
    return dependencies_->servers.View(other.server, Now())
               .newest_answered_start > overdue_since;
  };
  const bool is_half_over = Now() - attempt.started > deadline_ - Now();
  return has_answered_later_call(attempt) ||
         (is_half_over &&
          std::ranges::any_of(services_, [&](const auto& progress) {
            return std::ranges::any_of(progress.attempts,
                                       has_answered_later_call);
          }));
}

// There are only as many lost calls as connections that went silent, so that
// replacing them needs no budget if the upstream sets none. Forwarded requests
// have one: their lost calls are not replaced.
bool LeafExecution::ReplaceLost(ServiceProgress& progress,
                                base::Duration usual_latency) {
  if (request_.forward || Now() >= deadline_)
    return false;
  bool found = false;
  for (Attempt& attempt : progress.attempts) {
    if (!attempt.open || !IsLost(attempt, usual_latency))
      continue;
    found = true;
    attempt.lost = true;
    ++progress.unsent_attempts;
    progress.run_state = RunState::kMayHaveRun;
    CancelAttempt(attempt);
  }
  if (found && !progress.HasOpenAttempt() &&
      !StartAttempt(progress, AttemptKind::kRetry))
    Abandon(progress, MissingReason::kTimeout);
  return found;
}

void LeafExecution::OnObjectiveReached() {
  Update([this] { is_objective_reached_ = true; });
}

void LeafExecution::AbandonAll() {
  for (ServiceProgress& progress : services_) {
    if (!progress.done)
      Abandon(progress, MissingReason::kTimeout);
  }
}

void LeafExecution::Abandon(ServiceProgress& progress, MissingReason reason) {
  if (progress.HasOpenAttempt())
    progress.run_state = RunState::kMayHaveRun;
  CancelAttempts(progress);
  progress.delegated = false;
  if (reason == MissingReason::kServerLimit)
    answer_.retry_after = std::max(answer_.retry_after, progress.held_back_for);
  for (const uint32_t shard : progress.work->shards)
    answer_.missing.push_back({shard, reason});
  MarkDone(progress);
}

void LeafExecution::CancelAttempts(ServiceProgress& progress) {
  for (Attempt& attempt : progress.attempts) {
    if (attempt.open)
      CancelAttempt(attempt);
  }
}

void LeafExecution::CancelAttempt(Attempt& attempt) {
  attempt.open = false;
  attempt_recorder_.OnAttemptEnd(attempt, Now(), "abandoned");
  dependencies_->servers.OnCallEnded(attempt.server, CallEnd::kAbandoned,
                                     Now() - attempt.started, Now());
  calls_to_withdraw_.push_back(attempt.call);
}

void LeafExecution::MarkDone(ServiceProgress& progress) {
  assert(!progress.done);
  progress.done = true;
  --open_services_;
  if (progress.run_state == RunState::kMayHaveRun)
    answer_.run_state = RunState::kMayHaveRun;
}

bool LeafExecution::IsCoverageReached() const {
  return static_cast<double>(answer_.parts.size()) >=
         request_.forward->min_answered_share *
             static_cast<double>(services_.size());
}

LeafExecution::Completion LeafExecution::CompleteIfDone() {
  if (is_objective_reached_ && callback_ && open_services_ > 0 &&
      IsCoverageReached())
    AbandonAll();
  if (open_services_ > 0 || !callback_)
    return {};
  dependencies_->scheduler.Cancel(deadline_timer_);
  dependencies_->scheduler.Cancel(objective_timer_);
  dependencies_->scheduler.Cancel(hedge_check_timer_);
  answer_.attempts = attempt_recorder_.TakeRecords();
  answer_.took = Now() - started_;
  if (request_.forward && is_objective_reached_)
    answer_.objective_overrun = answer_.took - request_.forward->objective;
  return {std::exchange(callback_, nullptr), std::move(answer_)};
}

base::TimerId LeafExecution::StartTimer(base::Duration delay,
                                        void (LeafExecution::*action)()) {
  return dependencies_->scheduler.After(
      delay, [self = shared_from_this(), action] { (*self.*action)(); });
}

}  // namespace query
