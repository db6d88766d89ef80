// Tests lost, failed and cancelled calls of leaf requests, and delegation to
// other nodes.

#include "LibQuery/leaf_executor.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <optional>

#include "Fakes/scripted_transport.h"
#include "Fakes/virtual_scheduler.h"
#include "LibBase/log.h"
#include "LibQuery/forward_log.h"

namespace query {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::Duration kUsualLatency = milliseconds(10);
constexpr base::Duration kTimeLeft = milliseconds(800);
constexpr int kMeasuredAnswers = 100;  // Enough to know the usual latency.

// Records requests to other nodes; a test answers them through `callbacks`.
class FakeLeafClient final : public LeafClient {
 public:
  void Execute(const std::string&,
               const LeafRequest& request,
               Callback callback) override {
    requests.push_back(request);
    callbacks.push_back(std::move(callback));
  }
  void CheckLiveness(const std::string&,
                     base::Duration,
                     LivenessCallback) override {}

  std::vector<LeafRequest> requests;
  std::vector<Callback> callbacks;
};

// Each zone has one node.
class FakeLeafNodes final : public LeafNodes {
 public:
  const std::string& own_node_id() const override { return own_node_id_; }
  size_t CountInZone(const std::string&) override { return 1; }
  std::vector<std::string> HoldersOf(const std::string&,
                                     const std::string&,
                                     size_t) override {
    return {"peer"};
  }

 private:
  const std::string own_node_id_ = "self";
};

// A leaf executor for an upstream with `services` services of three servers
// each.
class LeafFixture {
 public:
  explicit LeafFixture(uint32_t services, std::string own_zone = "zone")
      : LeafFixture(Options{services, std::move(own_zone)}) {}

  struct Options {
    uint32_t services = 1;
    std::string own_zone = "zone";
    // Services, after the others, with servers in other zones only.
    uint32_t remote_services = 0;
    // Where the third server of each service is.
    std::string third_server_zone = "zone";
    // Without extra load, a call that is sent again must need no budget.
    double extra_load = 0;
    int measured_answers = kMeasuredAnswers;
    LeafRules rules = {};
  };
  explicit LeafFixture(const Options& options)
      : own_zone_(options.own_zone),
        budget_(options.extra_load),
        rules_(options.rules) {
    const uint32_t services = options.services + options.remote_services;
    base::DisableLog();
    upstream_->name = "search";
    upstream_->slots = 2;
    for (uint32_t service = 0; service < services; ++service) {
      config::Service entry;
      entry.name = "s" + std::to_string(service);
      const bool is_remote = service >= options.services;
      for (const char* server : {"a", "b", "c"})
        entry.servers.push_back(
            {entry.name + server, is_remote ? "elsewhere" : "zone", ""});
      if (!is_remote)
        entry.servers.back().availability_zone = options.third_server_zone;
      upstream_->services.push_back(std::move(entry));
    }
    for (int i = 0; i < options.measured_answers; ++i)
      hedge_policy_.OnAnswer("search", kUsualLatency);
  }

  // Starts a request for one shard of each service, and calls `on_answer` when
  // it completes.
  RunningLeafRequestPtr Execute(
      std::optional<ForwardOptions> options = std::nullopt,
      std::function<void()> on_answer = [] {}) {
    LeafRequest request;
    request.request_id = "r" + std::to_string(next_request_++);
    request.upstream = "search";
    request.version = 1;
    request.shard_count = static_cast<uint32_t>(upstream_->services.size());
    for (uint32_t service = 0; service < request.shard_count; ++service)
      request.work.push_back({service, {service}});
    request.time_left = kTimeLeft;
    request.forward = std::move(options);
    answer.reset();
    return executor_.Execute(upstream_, std::move(request),
                             [this, on_answer](LeafAnswer given) {
                               answer = given;
                               on_answer();
                             });
  }

  fakes::VirtualScheduler scheduler;
  fakes::ScriptedTransport transport;
  FakeLeafClient leaf_client;
  std::optional<LeafAnswer> answer;  // Of the last request.

 private:
  const std::string own_zone_;
  std::shared_ptr<config::Upstream> upstream_ =
      std::make_shared<config::Upstream>();
  base::SeededRandom random_{1};
  FakeLeafNodes leaf_nodes_;
  upstream::ServerTable servers_;
  upstream::QuantileHedgePolicy hedge_policy_{0.99};
  upstream::TokenExtraLoadBudget budget_;
  const LeafRules rules_;
  LeafExecutor executor_{
      {scheduler, random_, transport, servers_, hedge_policy_, budget_,
       [](const std::string&) {}, [](const config::Upstream&) { return 4; },
       own_zone_, DelegationDependencies{leaf_client, leaf_nodes_}},
      rules_};
  int next_request_ = 0;
};

TEST_CASE("a call on a silent connection is resent without a budget") {
  LeafFixture leaf(4);
  leaf.Execute();
  REQUIRE(leaf.transport.calls.size() == 4);
  leaf.scheduler.RunFor(kUsualLatency);
  for (size_t call = 1; call < 4; ++call)
    leaf.transport.Answer(call);
  // Later requests are answered, so that the upstream as a whole is not slow.
  leaf.scheduler.RunFor(3 * kUsualLatency);
  for (int request = 0; request < 10; ++request) {
    const size_t next = leaf.transport.calls.size();
    leaf.Execute();
    leaf.scheduler.RunFor(kUsualLatency);
    for (size_t call = next; call < next + 4; ++call)
      leaf.transport.Answer(call);
  }
  const size_t sent = leaf.transport.calls.size();
  leaf.scheduler.RunFor(kTimeLeft / 2);
  REQUIRE(leaf.transport.calls.size() == sent + 1);
  const auto& again = leaf.transport.calls.back();
  CHECK(again.call.request_id == leaf.transport.calls.front().call.request_id);
  CHECK(leaf.transport.calls.front().cancelled);
  leaf.transport.Answer(sent);
  CHECK(leaf.answer->missing.empty());
}

TEST_CASE("no call counts as lost while the upstream answers nothing") {
  LeafFixture leaf(4);
  leaf.Execute();
  leaf.scheduler.RunFor(kTimeLeft);
  CHECK(leaf.transport.calls.size() == 4);
  CHECK(leaf.answer->missing.size() == 4);
}

TEST_CASE("a forwarded call is not resent beyond the budget") {
  LeafFixture leaf(1);
  ForwardOptions options;
  options.request = std::make_shared<upstream::ForwardedRequest>();
  options.max_attempts = 3;
  leaf.Execute(options);
  leaf.scheduler.RunFor(3 * kUsualLatency);
  leaf.Execute();
  leaf.scheduler.RunFor(kUsualLatency);
  leaf.transport.Answer(1);
  leaf.transport.End(
      0, tl::make_unexpected(upstream::ShardFailure::kConnectionLost));
  CHECK(leaf.transport.calls.size() == 2);
  REQUIRE(leaf.answer);
  CHECK(leaf.answer->attempts.front().no_retry_reason == "no budget left");
}

TEST_CASE(
    "a request that may run only once is not resent after a lost connection") {
  LeafFixture leaf(1);
  ForwardOptions options;
  options.request = std::make_shared<upstream::ForwardedRequest>();
  options.repeatability = config::Repeatability::kOnce;
  options.max_attempts = 3;
  leaf.Execute(options);
  leaf.transport.End(
      0, tl::make_unexpected(upstream::ShardFailure::kConnectionLost));
  CHECK(leaf.transport.calls.size() == 1);
  REQUIRE(leaf.answer);
  CHECK(leaf.answer->run_state == RunState::kMayHaveRun);
  CHECK(leaf.answer->attempts.front().no_retry_reason == "may have run");
}

ForwardOptions MergedOptions() {
  ForwardOptions options;
  options.request = std::make_shared<upstream::ForwardedRequest>();
  options.max_attempts = 2;
  options.objective = milliseconds(80);
  options.min_answered_share = 0.5;
  options.top_records = 5;
  return options;
}

// The signed reply of a server, with a status below 500, to the call at
// `index`.
upstream::ShardReply ReplyWithStatus(const LeafFixture& leaf,
                                     size_t index,
                                     int status,
                                     upstream::ServerVerdict verdict) {
  const upstream::ShardCall& call = leaf.transport.calls.at(index).call;
  auto forwarded = std::make_shared<upstream::ForwardedReply>();
  forwarded->signature = "s";
  forwarded->verdict = verdict;
  forwarded->message.status = status;
  return {call.request_id,  call.attempt, call.version,
          call.shard_count, {},           forwarded};
}

TEST_CASE("attempts are recorded and counted with their replies' status") {
  using upstream::ServerVerdict;
  LeafFixture leaf(LeafFixture::Options{.extra_load = 10});
  leaf.Execute(MergedOptions());
  leaf.transport.End(0, ReplyWithStatus(leaf, 0, 404, ServerVerdict::kFailed));
  REQUIRE(leaf.transport.calls.size() == 2);
  leaf.transport.End(1,
                     ReplyWithStatus(leaf, 1, 201, ServerVerdict::kSucceeded));
  REQUIRE(leaf.answer);
  REQUIRE(leaf.answer->attempts.size() == 2);
  CHECK(DescribeAttempt(leaf.answer->attempts[0])
            .find("failed with status 404") != std::string::npos);
  CHECK(DescribeAttempt(leaf.answer->attempts[1])
            .find("answered with status 201") != std::string::npos);
  base::Metrics metrics;
  CountUnusualStatuses(leaf.answer->attempts, metrics);
  const std::string text = metrics.ToPrometheusText();
  CHECK(text.find("status=\"404\",result=\"failed\"} 1") != std::string::npos);
  CHECK(text.find("status=\"201\",result=\"answered\"} 1") !=
        std::string::npos);
}

// A query over one shard was taken for a request to one service.
TEST_CASE("a call says that its reply is merged also if there is one shard") {
  for (const uint32_t services : {1, 2}) {
    CAPTURE(services);
    LeafFixture leaf(services);
    leaf.Execute(MergedOptions());
    for (const auto& sent : leaf.transport.calls)
      CHECK(sent.call.reply_use == upstream::ReplyUse::kMerged);
    ForwardOptions relayed = MergedOptions();
    relayed.top_records.reset();
    const size_t first = leaf.transport.calls.size();
    leaf.Execute(relayed);
    CHECK(leaf.transport.calls.at(first).call.reply_use ==
          upstream::ReplyUse::kRelayed);
  }
}

TEST_CASE("a part that failed is asked of another server, within the budget") {
  LeafFixture leaf(LeafFixture::Options{.extra_load = 1});
  ForwardOptions options = MergedOptions();
  options.min_answered_share = 1;
  leaf.Execute(options);
  leaf.transport.End(
      0, ReplyWithStatus(leaf, 0, 404, upstream::ServerVerdict::kFailed));
  REQUIRE(leaf.transport.calls.size() == 2);
  CHECK(leaf.transport.calls[0].address != leaf.transport.calls[1].address);
  leaf.transport.End(
      1, ReplyWithStatus(leaf, 1, 404, upstream::ServerVerdict::kFailed));
  REQUIRE(leaf.answer);
  CHECK(leaf.answer->parts.empty());
  CHECK(leaf.answer->load.retries == 1);
  CHECK(leaf.answer->run_state == RunState::kMayHaveRun);
  REQUIRE(leaf.answer->missing.size() == 1);
  CHECK(leaf.answer->missing.front().reason == MissingReason::kBrokenAnswer);
}

TEST_CASE(
    "services that another node refused to call are called from this node") {
  LeafFixture leaf(4, "far");
  leaf.Execute(MergedOptions());
  REQUIRE(leaf.leaf_client.requests.size() == 1);
  const LeafRequest& delegated = leaf.leaf_client.requests.front();
  CHECK(delegated.work.size() == 4);
  CHECK(delegated.forward->objective < milliseconds(80));
  CHECK(delegated.forward->min_answered_share == 0.5);
  CHECK(leaf.transport.calls.empty());
  leaf.leaf_client.callbacks.front()(
      MakeAllMissingAnswer(delegated, MissingReason::kVersionGone));
  CHECK(leaf.transport.calls.size() == 4);
}

TEST_CASE("services that a silent node may have called are not called again") {
  LeafFixture leaf(4, "far");
  leaf.Execute(MergedOptions());
  leaf.scheduler.RunFor(kTimeLeft);
  CHECK(leaf.transport.calls.empty());
  REQUIRE(leaf.answer);
  CHECK(leaf.answer->missing.size() == 4);
  CHECK(leaf.answer->run_state == RunState::kMayHaveRun);
}

TEST_CASE(
    "an answer holds another node's parts and lists the services it lacks") {
  LeafFixture leaf(4, "far");
  leaf.Execute(MergedOptions());
  LeafAnswer given = MakeAllMissingAnswer(leaf.leaf_client.requests.front(),
                                          MissingReason::kTimeout);
  given.load.primary = 4;
  for (uint32_t service = 0; service < 3; ++service)
    given.parts.push_back(
        {service, std::make_shared<upstream::ForwardedReply>()});
  leaf.leaf_client.callbacks.front()(given);
  REQUIRE(leaf.answer);
  CHECK(leaf.answer->parts.size() == 3);
  REQUIRE(leaf.answer->missing.size() == 1);
  CHECK(leaf.answer->missing.front().shard == 3);
  CHECK(leaf.answer->load.primary == 4);
}

// The load pattern: most of a query's services are called by other nodes, and
// one of the few servers that this node calls pauses.
TEST_CASE("services that other nodes call don't keep this node from hedging") {
  LeafFixture leaf(LeafFixture::Options{
      .services = 4, .remote_services = 12, .extra_load = 10});
  leaf.Execute(MergedOptions());
  REQUIRE(leaf.leaf_client.requests.size() == 1);
  REQUIRE(leaf.transport.calls.size() == 4);
  leaf.scheduler.RunFor(kUsualLatency);
  for (size_t call = 0; call < 3; ++call)
    leaf.transport.AnswerForwarded(call);
  leaf.scheduler.RunFor(kUsualLatency);
  CHECK(leaf.transport.calls.size() == 5);
}

// The load pattern: a query is answered at its objective while many of its
// calls are open.
TEST_CASE(
    "an answer goes out before the calls it leaves behind are withdrawn") {
  LeafFixture leaf(8);
  leaf.Execute(MergedOptions(), [&] {
    CHECK(std::ranges::none_of(leaf.transport.calls,
                               &fakes::ScriptedTransport::Call::cancelled));
  });
  for (size_t call = 0; call < 4; ++call)
    leaf.transport.AnswerForwarded(call);
  leaf.scheduler.RunFor(milliseconds(80));
  REQUIRE(leaf.answer);
  CHECK(std::ranges::count_if(leaf.transport.calls,
                              &fakes::ScriptedTransport::Call::cancelled) == 4);
}

TEST_CASE("a request whose objective has passed is hedged at a bounded rate") {
  LeafFixture leaf(LeafFixture::Options{.measured_answers = 0});
  ForwardOptions options = MergedOptions();
  options.objective = base::Duration(1);
  options.min_answered_share = 1;
  leaf.Execute(options);
  size_t steps = 0;
  while (!leaf.answer && steps < 1000 && leaf.scheduler.RunNext())
    ++steps;
  CHECK(leaf.answer);
}

TEST_CASE("work delegated by another node is not delegated again") {
  LeafFixture leaf(4, "far");
  ForwardOptions options = MergedOptions();
  options.origin = RequestOrigin::kNode;
  leaf.Execute(options);
  CHECK(leaf.leaf_client.requests.empty());
  CHECK(leaf.transport.calls.size() == 4);
}

TEST_CASE("cancelling a request cancels all its calls") {
  LeafFixture leaf(3);
  const RunningLeafRequestPtr request = leaf.Execute();
  request->Cancel();
  REQUIRE(leaf.answer);
  CHECK(leaf.answer->missing.size() == 3);
  for (const auto& call : leaf.transport.calls)
    CHECK(call.cancelled);
}

TEST_CASE("a call gets no more time than the request has left") {
  LeafFixture leaf(1);
  leaf.Execute();
  leaf.scheduler.RunFor(milliseconds(300));
  leaf.transport.End(
      0, tl::make_unexpected(upstream::ShardFailure::kNoConnection));
  REQUIRE(leaf.transport.calls.size() == 2);
  CHECK(leaf.transport.calls[0].timeout == kTimeLeft);
  CHECK(leaf.transport.calls[1].timeout == kTimeLeft - milliseconds(300));
}

}  // namespace
}  // namespace query
