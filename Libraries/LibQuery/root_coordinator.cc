// The state of one root query, an event-driven machine under its own lock.

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

constexpr base::Duration kMaxAnswerReserve = std::chrono::milliseconds(20);

// Work of one leaf, and who has been asked for it.
struct Part {
  std::vector<ServiceShards> work;
  std::vector<std::string> asked;           // Node ids, in order.
  std::map<std::string, LeafRequest> open;  // By request id.
  bool done = false;
};

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
        "name shards below " + std::to_string(snapshot.shard_count()));
  return shards;
}

class RootExecution : public std::enable_shared_from_this<RootExecution> {
 public:
  RootExecution(std::shared_ptr<const RootDependencies> dependencies,
                const RootRules& rules,
                RootRequest request,
                SnapshotPtr snapshot,
                std::vector<uint32_t> shards,
                int restarts_left,
                LoadCount earlier_load,
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
      Split();
      for (size_t part = 0; part < parts_.size(); ++part)
        Ask(part);
      deadline_timer_ = After(request_.deadline - Now(),
                              [](auto& self) { self.OnDeadline(); });
      completion = CompleteIfDone();
    }
    Run(std::move(completion));
  }

 private:
  struct Completion {
    RootCoordinator::Callback callback;
    RootAnswer answer;
  };

  // Groups the shards by service and the services by leaf.
  void Split() {
    holders_ = dependencies_->holders();
    std::map<uint32_t, std::vector<uint32_t>> by_service;
    for (const uint32_t shard : shards_) {
      const uint32_t service = snapshot_->service_of_shard[shard];
      if (service == upstream::kNoService)
        answer_.missing.push_back({shard, MissingReason::kNoServer});
      else
        by_service[service].push_back(shard);
    }
    // Services with the same holders go together, so that any of the holders
    // can take over the whole part.
    std::map<std::vector<std::string>, Part> by_holders;
    for (auto& [service, shards] : by_service) {
      const auto& nodes = holders_->HoldersOf(request_.upstream, service);
      if (nodes.empty())
        Miss(shards, MissingReason::kLeafUnreachable);
      else
        by_holders[nodes].work.push_back({service, std::move(shards)});
    }
    for (auto& [nodes, part] : by_holders) {
      part.asked.push_back(ChooseLeaf(part.work.front().service, {}));
      parts_.push_back(std::move(part));
    }
    open_parts_ = parts_.size();
  }

  // This node if it holds the service, else the best holder not yet asked.
  std::string ChooseLeaf(uint32_t service,
                         const std::vector<std::string>& but) {
    const auto& holders = holders_->HoldersOf(request_.upstream, service);
    const auto is_free = [&](const std::string& node) {
      return std::ranges::find(but, node) == but.end();
    };
    if (is_free(dependencies_->node_id) &&
        std::ranges::find(holders, dependencies_->node_id) != holders.end())
      return dependencies_->node_id;
    const auto found = std::ranges::find_if(holders, is_free);
    return found == holders.end() ? std::string() : *found;
  }

  void Ask(size_t index) {
    Part& part = parts_[index];
    LeafRequest leaf{request_.request_id + "-" + std::to_string(next_leaf_++),
                     request_.party,
                     request_.upstream,
                     snapshot_->version,
                     snapshot_->shard_count(),
                     part.work,
                     request_.query,
                     LeafTime(),
                     request_.extra_load_share};
    part.open.emplace(leaf.request_id, leaf);
    const std::string node = part.asked.back();
    dependencies_->leaves.Execute(
        node, leaf,
        [self = shared_from_this(), index, id = leaf.request_id](auto answer) {
          self->OnLeaf(index, id, std::move(answer));
        });
    if (node == dependencies_->node_id)
      return;  // NOTE: Our own leaf is as alive as we are.
    const auto patience = std::chrono::duration_cast<base::Duration>(
        leaf.time_left * rules_.leaf_patience);
    CheckLeafAfter(patience, index, node);
  }

  void CheckLeafAfter(base::Duration patience,
                      size_t index,
                      const std::string& node) {
    After(patience, [patience, index, node](auto& self) {
      self.CheckLeaf(patience, index, node);
    });
  }

  void CheckLeaf(base::Duration patience,
                 size_t index,
                 const std::string& node) {
    {
      const std::lock_guard lock(mutex_);
      if (parts_[index].done || !callback_)
        return;
    }
    dependencies_->leaves.CheckLiveness(
        node, rules_.liveness_timeout,
        [self = shared_from_this(), patience, index,
         node](LeafClient::Liveness liveness) {
          if (liveness == LeafClient::Liveness::kSilent)
            self->OnLeafSilent(index);
          else
            self->CheckLeafAfter(patience, index, node);
        });
  }

  // Leaves answer a little before the deadline, so that what they have by
  // then still reaches the caller.
  base::Duration LeafTime() const {
    const base::Duration left = request_.deadline - Now();
    return left - std::min<base::Duration>(left / 10, kMaxAnswerReserve);
  }

  void OnLeafSilent(size_t index) {
    const std::lock_guard lock(mutex_);
    Part& part = parts_[index];
    if (part.done || !callback_)
      return;
    // The silent leaf may have sent its calls; they are sent again.
    if (AskAnother(index))
      answer_.load.retries += part.work.size();
  }

  // Gives the part's work to the next holder. Returns false if none is left.
  bool AskAnother(size_t index) {
    Part& part = parts_[index];
    const std::string next = ChooseLeaf(part.work.front().service, part.asked);
    if (next.empty())
      return false;
    part.asked.push_back(next);
    Ask(index);
    return true;
  }

  void OnLeaf(size_t index,
              const std::string& id,
              base::Result<LeafAnswer> answer) {
    Completion completion;
    {
      const std::lock_guard lock(mutex_);
      Part& part = parts_[index];
      const auto request = part.open.find(id);
      if (request == part.open.end() || !callback_)
        return;
      const bool valid = answer && IsAnswerTo(*answer, request->second);
      part.open.erase(request);
      if (part.done)
        return;
      if (valid)
        Accept(part, std::move(*answer));
      else if (!AskAnother(index) && part.open.empty())
        Abandon(part, MissingReason::kLeafUnreachable);
      completion = CompleteIfDone();
    }
    Run(std::move(completion));
  }

  void Accept(Part& part, LeafAnswer answer) {
    std::ranges::move(answer.results, std::back_inserter(answer_.results));
    std::ranges::copy(answer.missing, std::back_inserter(answer_.missing));
    answer_.load = answer_.load + answer.load;
    Finish(part);
  }

  void Abandon(Part& part, MissingReason reason) {
    for (const ServiceShards& work : part.work)
      Miss(work.shards, reason);
    Finish(part);
  }

  void Miss(const std::vector<uint32_t>& shards, MissingReason reason) {
    for (const uint32_t shard : shards)
      answer_.missing.push_back({shard, reason});
  }

  void Finish(Part& part) {
    part.done = true;
    --open_parts_;
  }

  void OnDeadline() {
    Completion completion;
    {
      const std::lock_guard lock(mutex_);
      for (Part& part : parts_) {
        if (!part.done)
          Abandon(part, MissingReason::kTimeout);
      }
      completion = CompleteIfDone();
    }
    Run(std::move(completion));
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

  // Answers, or runs the query again where the snapshot went away under it.
  void Run(Completion completion) {
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
    RootRequest again = request_;
    again.request_id += "r";
    std::make_shared<RootExecution>(dependencies_, rules_, std::move(again),
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
  const std::vector<uint32_t> shards_;  // Asked for, sorted, each once.
  const int restarts_left_;
  std::mutex mutex_;
  // All below guarded by `mutex_`.
  RootCoordinator::Callback callback_;  // Empty once called.
  std::shared_ptr<const routing::HolderMap> holders_;
  std::vector<Part> parts_;  // Never resized after Split.
  size_t open_parts_ = 0;    // Parts that are not done.
  uint32_t next_leaf_ = 1;
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
                   "ask again in a second, or another entry host"));
    return;
  }
  auto shards = SelectShards(request, *snapshot);
  if (!shards) {
    callback(tl::make_unexpected(std::move(shards).error()));
    return;
  }
  std::make_shared<RootExecution>(
      dependencies_, rules_, std::move(request), snapshot, *std::move(shards),
      rules_.max_restarts, LoadCount(), std::move(callback))
      ->Start();
}

}  // namespace query
