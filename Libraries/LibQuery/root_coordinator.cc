// Runs root queries. Each query is a state machine that is driven by events and
// protected by its own lock.

#include "LibQuery/root_coordinator.h"

#include <algorithm>
#include <cassert>
#include <map>
#include <mutex>
#include <set>
#include <utility>

#include "LibBase/log.h"

namespace query {

namespace {

using upstream::SnapshotPtr;

// The longest time kept free between the leaves' deadline and the caller's.
constexpr base::Duration kMaxAnswerReserve = std::chrono::milliseconds(20);

// The services of a query that one leaf handles, and the leaves that were asked
// to do so.
struct QueryPart {
  std::vector<ServiceShards> work;
  std::vector<std::string> asked_nodes;  // Node ids; the latest is last.
  std::map<std::string, LeafRequest> open_requests;  // By request id.
  bool done = false;
};

// Returns the requested shards, sorted and without duplicates, or an error if
// one of them is not in the snapshot.
base::Result<std::vector<uint32_t>> SelectShards(
    const RootRequest& request,
    const upstream::Snapshot& snapshot) {
  std::vector<uint32_t> shards = request.shards;
  if (!request.key.empty()) {
    shards = {ShardOfKey(request.key, snapshot.shard_count())};
  } else if (shards.empty()) {
    for (uint32_t shard = 0; shard < snapshot.shard_count(); ++shard)
      shards.push_back(shard);
  }
  std::ranges::sort(shards);
  shards.erase(std::unique(shards.begin(), shards.end()), shards.end());
  if (!shards.empty() && shards.back() >= snapshot.shard_count())
    return base::Fail(
        base::ErrorKind::kNotFound,
        "shard " + std::to_string(shards.back()) + " does not exist",
        "request only shards below " + std::to_string(snapshot.shard_count()));
  return shards;
}

// Runs one query on one snapshot.
class RootExecution : public std::enable_shared_from_this<RootExecution> {
 public:
  RootExecution(std::shared_ptr<const RootDependencies> dependencies,
                const RootRules& rules,
                RootRequest request,
                SnapshotPtr snapshot,
                std::vector<uint32_t> shards,
                int restarts_left,
                SubRequestCounts earlier_load,
                RootCoordinator::Callback callback)
      : dependencies_(std::move(dependencies)),
        rules_(rules),
        request_(std::move(request)),
        snapshot_(std::move(snapshot)),
        shards_(std::move(shards)),
        restarts_left_(restarts_left),
        callback_(std::move(callback)) {
    answer_.load = earlier_load;
  }

  void Start() {
    Completion completion;
    {
      const std::lock_guard lock(mutex_);
      answer_.version = snapshot_->version;
      answer_.shard_count = snapshot_->shard_count();
      SplitIntoParts();
      for (size_t part = 0; part < parts_.size(); ++part)
        SendToLeaf(part);
      deadline_timer_ = After(request_.deadline - Now(),
                              [](auto& self) { self.OnDeadline(); });
      completion = CompleteIfDone();
    }
    AnswerOrRestart(std::move(completion));
  }

 private:
  // The answer of a complete query; `callback` is empty if the query is not
  // complete.
  struct Completion {
    RootCoordinator::Callback callback;
    RootAnswer answer;
  };

  // Groups the shards by service, and the services by their holders.
  void SplitIntoParts() {
    holders_ = dependencies_->holders();
    std::map<uint32_t, std::vector<uint32_t>> by_service;
    for (const uint32_t shard : shards_) {
      const uint32_t service = snapshot_->service_of_shard[shard];
      if (service == upstream::kNoService)
        answer_.missing.push_back({shard, MissingReason::kNoServer});
      else
        by_service[service].push_back(shard);
    }
    // A part contains only services with the same holders, so that each of
    // these holders can take over the whole part.
    std::map<std::vector<std::string>, QueryPart> by_holders;
    for (auto& [service, shards] : by_service) {
      const auto& nodes = holders_->HoldersOf(request_.upstream, service);
      if (nodes.empty())
        AddMissing(shards, MissingReason::kLeafUnreachable);
      else
        by_holders[nodes].work.push_back({service, std::move(shards)});
    }
    for (auto& [nodes, part] : by_holders) {
      part.asked_nodes.push_back(ChooseLeaf(part.work.front().service, {}));
      parts_.push_back(std::move(part));
    }
    open_parts_ = parts_.size();
  }

  // Returns this node if it is a holder of the service, otherwise the best
  // holder. Skips `excluded` nodes; returns an empty string if none is left.
  std::string ChooseLeaf(uint32_t service,
                         const std::vector<std::string>& excluded) {
    const auto& holders = holders_->HoldersOf(request_.upstream, service);
    const auto is_eligible = [&](const std::string& node) {
      return std::ranges::find(excluded, node) == excluded.end();
    };
    if (is_eligible(dependencies_->node_id) &&
        std::ranges::find(holders, dependencies_->node_id) != holders.end())
      return dependencies_->node_id;
    const auto found = std::ranges::find_if(holders, is_eligible);
    return found == holders.end() ? std::string() : *found;
  }

  void SendToLeaf(size_t part_index) {
    QueryPart& part = parts_[part_index];
    LeafRequest leaf_request{
        request_.request_id + "-" + std::to_string(next_leaf_request_number_++),
        request_.party,
        request_.upstream,
        snapshot_->version,
        snapshot_->shard_count(),
        part.work,
        request_.query,
        LeafTimeLeft(),
        request_.extra_load_share};
    part.open_requests.emplace(leaf_request.request_id, leaf_request);
    const std::string node = part.asked_nodes.back();
    dependencies_->leaf_client.Execute(
        node, leaf_request,
        [self = shared_from_this(), part_index,
         id = leaf_request.request_id](auto answer) {
          self->OnLeafAnswer(part_index, id, std::move(answer));
        });
    if (node == dependencies_->node_id)
      return;  // NOTE: A leaf in this process needs no liveness check.
    const auto check_interval = std::chrono::duration_cast<base::Duration>(
        leaf_request.time_left * rules_.liveness_check_share);
    CheckLeafAfter(check_interval, part_index, node);
  }

  void CheckLeafAfter(base::Duration check_interval,
                      size_t part_index,
                      const std::string& node) {
    After(check_interval, [check_interval, part_index, node](auto& self) {
      self.CheckLeaf(check_interval, part_index, node);
    });
  }

  // Asks the node whether it is alive. If not, sends the part to the next
  // holder; otherwise checks again after `check_interval`.
  void CheckLeaf(base::Duration check_interval,
                 size_t part_index,
                 const std::string& node) {
    {
      const std::lock_guard lock(mutex_);
      if (parts_[part_index].done || !callback_)
        return;
    }
    dependencies_->leaf_client.CheckLiveness(
        node, rules_.liveness_timeout,
        [self = shared_from_this(), check_interval, part_index,
         node](LeafClient::Liveness liveness) {
          if (liveness == LeafClient::Liveness::kSilent)
            self->OnLeafSilent(part_index);
          else
            self->CheckLeafAfter(check_interval, part_index, node);
        });
  }

  // Returns the time that a leaf has. It ends a little before the deadline, so
  // that the results which the leaf has by then still reach the caller.
  base::Duration LeafTimeLeft() const {
    const base::Duration left = request_.deadline - Now();
    return left - std::min<base::Duration>(left / 10, kMaxAnswerReserve);
  }

  void OnLeafSilent(size_t part_index) {
    const std::lock_guard lock(mutex_);
    QueryPart& part = parts_[part_index];
    if (part.done || !callback_)
      return;
    // The silent leaf may have sent its calls already. The next holder sends
    // them again, which counts as retries.
    if (AskNextHolder(part_index))
      answer_.load.retries += part.work.size();
  }

  // Sends the part's work to the next holder. Returns false if none is left.
  bool AskNextHolder(size_t part_index) {
    QueryPart& part = parts_[part_index];
    const std::string next =
        ChooseLeaf(part.work.front().service, part.asked_nodes);
    if (next.empty())
      return false;
    part.asked_nodes.push_back(next);
    SendToLeaf(part_index);
    return true;
  }

  void OnLeafAnswer(size_t part_index,
                    const std::string& id,
                    base::Result<LeafAnswer> answer) {
    Completion completion;
    {
      const std::lock_guard lock(mutex_);
      QueryPart& part = parts_[part_index];
      const auto request = part.open_requests.find(id);
      if (request == part.open_requests.end() || !callback_)
        return;
      const bool valid = answer && IsAnswerTo(*answer, request->second);
      part.open_requests.erase(request);
      if (part.done)
        return;
      if (valid)
        AddAnswer(part, std::move(*answer));
      else if (!AskNextHolder(part_index) && part.open_requests.empty())
        Abandon(part, MissingReason::kLeafUnreachable);
      completion = CompleteIfDone();
    }
    AnswerOrRestart(std::move(completion));
  }

  void AddAnswer(QueryPart& part, LeafAnswer answer) {
    std::ranges::move(answer.results, std::back_inserter(answer_.results));
    std::ranges::copy(answer.missing, std::back_inserter(answer_.missing));
    answer_.load = answer_.load + answer.load;
    Finish(part);
  }

  // Completes the part with all its shards missing.
  void Abandon(QueryPart& part, MissingReason reason) {
    for (const ServiceShards& work : part.work)
      AddMissing(work.shards, reason);
    Finish(part);
  }

  void AddMissing(const std::vector<uint32_t>& shards, MissingReason reason) {
    for (const uint32_t shard : shards)
      answer_.missing.push_back({shard, reason});
  }

  void Finish(QueryPart& part) {
    part.done = true;
    --open_parts_;
  }

  void OnDeadline() {
    Completion completion;
    {
      const std::lock_guard lock(mutex_);
      for (QueryPart& part : parts_) {
        if (!part.done)
          Abandon(part, MissingReason::kTimeout);
      }
      completion = CompleteIfDone();
    }
    AnswerOrRestart(std::move(completion));
  }

  Completion CompleteIfDone() {
    if (open_parts_ > 0 || !callback_)
      return {};
    dependencies_->scheduler.Cancel(deadline_timer_);
    std::ranges::sort(answer_.results, {}, &upstream::ShardResult::shard);
    std::ranges::sort(answer_.missing);
    assert(answer_.results.size() + answer_.missing.size() == shards_.size());
    return {std::exchange(callback_, nullptr), std::move(answer_)};
  }

  // Calls the callback of a complete query. If servers no longer had the
  // snapshot, there is a newer one, and time and restarts are left, runs the
  // query on the newer one instead.
  void AnswerOrRestart(Completion completion) {
    if (!completion.callback)
      return;
    const bool version_gone = std::ranges::any_of(
        completion.answer.missing, [](const MissingShard& missing) {
          return missing.reason == MissingReason::kVersionGone;
        });
    const SnapshotPtr newest =
        dependencies_->snapshots.Newest(request_.upstream);
    const bool can_restart = version_gone && restarts_left_ > 0 && newest &&
                             newest->version > snapshot_->version &&
                             Now() < request_.deadline;
    auto shards = can_restart ? SelectShards(request_, *newest)
                              : base::Result<std::vector<uint32_t>>();
    if (!can_restart || !shards) {
      completion.callback(std::move(completion.answer));
      return;
    }
    RootRequest restarted = request_;
    restarted.request_id += "r";
    std::make_shared<RootExecution>(dependencies_, rules_, std::move(restarted),
                                    newest, *std::move(shards),
                                    restarts_left_ - 1, completion.answer.load,
                                    std::move(completion.callback))
        ->Start();
  }

  base::TimerId After(base::Duration delay,
                      std::function<void(RootExecution&)> action) {
    return dependencies_->scheduler.After(
        delay, [self = shared_from_this(), action = std::move(action)] {
          action(*self);
        });
  }

  base::Instant Now() const { return dependencies_->scheduler.Now(); }

  const std::shared_ptr<const RootDependencies> dependencies_;
  const RootRules rules_;
  const RootRequest request_;
  const SnapshotPtr snapshot_;
  const std::vector<uint32_t> shards_;  // Sorted, without duplicates.
  const int restarts_left_;
  std::mutex mutex_;
  // All members below are guarded by `mutex_`.
  RootCoordinator::Callback callback_;  // Empty after it was called.
  std::shared_ptr<const routing::HolderMap> holders_;
  std::vector<QueryPart> parts_;  // Never resized after SplitIntoParts.
  size_t open_parts_ = 0;         // Parts that are not done.
  uint32_t next_leaf_request_number_ = 1;
  RootAnswer answer_;
  base::TimerId deadline_timer_ = base::TimerId::kNone;
};

}  // namespace

double RootAnswer::coverage() const {
  const size_t asked = results.size() + missing.size();
  return asked == 0
             ? 1.0
             : static_cast<double>(results.size()) / static_cast<double>(asked);
}

uint32_t ShardOfKey(const std::string& key, uint32_t shard_count) {
  return static_cast<uint32_t>(base::StableHash(key) % shard_count);
}

RootCoordinator::RootCoordinator(RootDependencies dependencies, RootRules rules)
    : dependencies_(
          std::make_shared<const RootDependencies>(std::move(dependencies))),
      rules_(rules) {}

void RootCoordinator::Execute(RootRequest request, Callback callback) {
  const SnapshotPtr snapshot =
      dependencies_->snapshots.Newest(request.upstream);
  if (!snapshot) {
    callback(
        base::Fail(base::ErrorKind::kUnavailable,
                   "no index version of '" + request.upstream + "' is known",
                   "retry after a second, or use another entry host"));
    return;
  }
  auto shards = SelectShards(request, *snapshot);
  if (!shards) {
    callback(tl::make_unexpected(std::move(shards).error()));
    return;
  }
  std::make_shared<RootExecution>(
      dependencies_, rules_, std::move(request), snapshot, *std::move(shards),
      rules_.max_restarts, SubRequestCounts(), std::move(callback))
      ->Start();
}

}  // namespace query
