// A transport that records calls; the test answers each one explicitly.

#ifndef FAKES_SCRIPTED_TRANSPORT_H_
#define FAKES_SCRIPTED_TRANSPORT_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "LibUpstream/transport.h"

namespace fakes {

class ScriptedTransport final : public upstream::Transport {
 public:
  struct Call {
    std::string address;
    upstream::ShardCall call;
    base::Duration timeout{};
    upstream::ShardCallback callback;  // Empty once answered or cancelled.
    bool cancelled = false;
  };

  void Prepare(const upstream::ServerTarget&) override {}

  upstream::CallId Start(const upstream::ServerTarget& target,
                         const upstream::ShardCall& call,
                         base::Duration timeout,
                         upstream::ShardCallback callback) override {
    calls.push_back({target.address, call, timeout, std::move(callback)});
    return upstream::CallId{calls.size()};
  }

  void Cancel(upstream::CallId id) override {
    Call& call = calls.at(static_cast<size_t>(id) - 1);
    call.cancelled = true;
    call.callback = nullptr;
  }

  void DropWaitingCalls(const std::string&) override {}

  // Answers the call at `index` with one result for each of its shards.
  void Answer(size_t index) {
    const upstream::ShardCall call = calls.at(index).call;
    upstream::ShardReply reply{
        call.request_id, call.attempt, call.version, call.shard_count, {}};
    for (const uint32_t shard : call.shards)
      reply.results.push_back({shard, "[]"});
    End(index, std::move(reply));
  }

  // Answers the forwarded call at `index` with an empty success.
  void AnswerForwarded(size_t index) {
    const upstream::ShardCall call = calls.at(index).call;
    upstream::ShardReply reply{
        call.request_id, call.attempt, call.version, call.shard_count, {}};
    reply.forwarded = std::make_shared<upstream::ForwardedReply>();
    End(index, std::move(reply));
  }

  // Ends the call at `index` with `outcome` unless it has ended or was
  // cancelled.
  void End(size_t index, upstream::ShardOutcome outcome) {
    if (auto callback = std::exchange(calls.at(index).callback, nullptr))
      callback(std::move(outcome));
  }

  std::vector<Call> calls;  // In the order in which they were started.
};

}  // namespace fakes

#endif  // FAKES_SCRIPTED_TRANSPORT_H_
