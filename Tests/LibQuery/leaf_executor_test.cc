// Leaf requests whose calls get lost, end or are cancelled.

#include "LibQuery/leaf_executor.h"

#include <doctest/doctest.h>

#include <optional>

#include "Fakes/scripted_transport.h"
#include "Fakes/virtual_scheduler.h"
#include "LibBase/log.h"

namespace query {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::Duration kUsualLatency = milliseconds(10);
constexpr base::Duration kTime = milliseconds(800);
constexpr int kManyAnswers = 100;  // Enough to know the usual latency.

// Nodes that do work for others as a test says.
class FakeLeaves final : public LeafClient {
 public:
  void Execute(const std::string&,
               const LeafRequest& request,
               Callback callback) override {
    asked.push_back(request);
    callbacks.push_back(std::move(callback));
  }
  void CheckLiveness(const std::string&,
                     base::Duration,
                     LivenessCallback) override {}

  std::vector<LeafRequest> asked;
  std::vector<Callback> callbacks;
};

// One upstream with `services` services of three servers each.
class Leaf {
 public:
  explicit Leaf(uint32_t services, std::string own_zone = "zone")
      : own_zone_(std::move(own_zone)) {
    base::DisableLog();
    upstream_->name = "search";
    upstream_->slots = 2;
    for (uint32_t service = 0; service < services; ++service) {
      config::Service entry;
      entry.name = "s" + std::to_string(service);
      for (const char* server : {"a", "b", "c"})
        entry.servers.push_back({entry.name + server, "zone", ""});
      upstream_->services.push_back(std::move(entry));
    }
    for (int i = 0; i < kManyAnswers; ++i)
      hedges_.OnAnswer("search", kUsualLatency);
  }

  // Sends one call for each service.
  RunningLeafRequestPtr Execute(
      std::optional<ForwardOptions> terms = std::nullopt) {
    LeafRequest request;
    request.request_id = "r" + std::to_string(next_request_++);
    request.upstream = "search";
    request.version = 1;
    request.shard_count = static_cast<uint32_t>(upstream_->services.size());
    for (uint32_t service = 0; service < request.shard_count; ++service)
      request.work.push_back({service, {service}});
    request.time_left = kTime;
    request.forward = std::move(terms);
    answer.reset();
    return executor_.Execute(upstream_, std::move(request),
                             [this](LeafAnswer given) { answer = given; });
  }

  fakes::VirtualScheduler scheduler;
  fakes::ScriptedTransport transport;
  FakeLeaves leaves;
  std::optional<LeafAnswer> answer;  // Of the last request.

 private:
  const std::string own_zone_;
  std::shared_ptr<config::Upstream> upstream_ =
      std::make_shared<config::Upstream>();
  base::SeededRandom random_{1};
  upstream::ServerTable servers_;
  upstream::QuantileHedgePolicy hedges_{0.99};
  // No extra load at all: what is sent again needs no budget.
  upstream::TokenExtraLoadBudget budget_{0};
  LeafExecutor executor_{
      {scheduler, random_, transport, servers_, hedges_, budget_,
       [](const std::string&) {}, [](const config::Upstream&) { return 4; },
       own_zone_,
       DelegationDependencies{
           leaves, [](const std::string&) { return std::string("peer"); }}},
      {}};
  int next_request_ = 0;
};

TEST_CASE("a call on a silent connection is sent again without a budget") {
  Leaf leaf(4);
  leaf.Execute();
  REQUIRE(leaf.transport.calls.size() == 4);
  leaf.scheduler.RunFor(kUsualLatency);
  for (size_t call = 1; call < 4; ++call)
    leaf.transport.Answer(call);
  // What is asked later is answered, so that the upstream is not to blame.
  leaf.scheduler.RunFor(3 * kUsualLatency);
  for (int request = 0; request < 10; ++request) {
    const size_t next = leaf.transport.calls.size();
    leaf.Execute();
    leaf.scheduler.RunFor(kUsualLatency);
    for (size_t call = next; call < next + 4; ++call)
      leaf.transport.Answer(call);
  }
  const size_t sent = leaf.transport.calls.size();
  leaf.scheduler.RunFor(kTime / 2);
  REQUIRE(leaf.transport.calls.size() == sent + 1);
  const auto& again = leaf.transport.calls.back();
  CHECK(again.call.request_id == leaf.transport.calls.front().call.request_id);
  CHECK(leaf.transport.calls.front().cancelled);
  leaf.transport.Answer(sent);
  CHECK(leaf.answer->missing.empty());
}

TEST_CASE("while an upstream answers nothing no call is taken for lost") {
  Leaf leaf(4);
  leaf.Execute();
  leaf.scheduler.RunFor(kTime);
  CHECK(leaf.transport.calls.size() == 4);
  CHECK(leaf.answer->missing.size() == 4);
}

TEST_CASE("a forwarded call is not sent again beyond the budget") {
  Leaf leaf(1);
  ForwardOptions terms;
  terms.request = std::make_shared<upstream::ForwardedRequest>();
  terms.max_attempts = 3;
  leaf.Execute(terms);
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

TEST_CASE("a request that must run once is not sent again after it was lost") {
  Leaf leaf(1);
  ForwardOptions terms;
  terms.request = std::make_shared<upstream::ForwardedRequest>();
  terms.repeatability = config::Repeatability::kOnce;
  terms.max_attempts = 3;
  leaf.Execute(terms);
  leaf.transport.End(
      0, tl::make_unexpected(upstream::ShardFailure::kConnectionLost));
  CHECK(leaf.transport.calls.size() == 1);
  REQUIRE(leaf.answer);
  CHECK(leaf.answer->run_state == RunState::kMayHaveRun);
  CHECK(leaf.answer->attempts.front().no_retry_reason == "may have run");
}

ForwardOptions MergedTerms() {
  ForwardOptions terms;
  terms.request = std::make_shared<upstream::ForwardedRequest>();
  terms.max_attempts = 2;
  terms.objective = milliseconds(80);
  terms.min_answered_share = 0.5;
  terms.top_records = 5;
  return terms;
}

TEST_CASE("what a node refused to do for another is called from here") {
  Leaf leaf(4, "far");
  leaf.Execute(MergedTerms());
  REQUIRE(leaf.leaves.asked.size() == 1);
  const LeafRequest& asked = leaf.leaves.asked.front();
  CHECK(asked.work.size() == 4);
  CHECK(asked.forward->objective < milliseconds(80));
  CHECK(asked.forward->min_answered_share == 0.5);
  CHECK(leaf.transport.calls.empty());
  leaf.leaves.callbacks.front()(
      MakeAllMissingAnswer(asked, MissingReason::kVersionGone));
  CHECK(leaf.transport.calls.size() == 4);
}

TEST_CASE("what a silent node may have called is not called once more") {
  Leaf leaf(4, "far");
  leaf.Execute(MergedTerms());
  leaf.scheduler.RunFor(kTime);
  CHECK(leaf.transport.calls.empty());
  REQUIRE(leaf.answer);
  CHECK(leaf.answer->missing.size() == 4);
  CHECK(leaf.answer->run_state == RunState::kMayHaveRun);
}

TEST_CASE("parts of another node and own parts make up one answer") {
  Leaf leaf(4, "far");
  leaf.Execute(MergedTerms());
  LeafAnswer given =
      MakeAllMissingAnswer(leaf.leaves.asked.front(), MissingReason::kTimeout);
  given.load.primary = 4;
  for (uint32_t service = 0; service < 3; ++service)
    given.parts.push_back(
        {service, std::make_shared<upstream::ForwardedReply>()});
  leaf.leaves.callbacks.front()(given);
  REQUIRE(leaf.answer);
  CHECK(leaf.answer->parts.size() == 3);
  REQUIRE(leaf.answer->missing.size() == 1);
  CHECK(leaf.answer->missing.front().shard == 3);
  CHECK(leaf.answer->load.primary == 4);
}

TEST_CASE("work for another node is not handed on") {
  Leaf leaf(4, "far");
  ForwardOptions terms = MergedTerms();
  terms.origin = RequestOrigin::kNode;
  leaf.Execute(terms);
  CHECK(leaf.leaves.asked.empty());
  CHECK(leaf.transport.calls.size() == 4);
}

TEST_CASE("cancelling ends all calls at once") {
  Leaf leaf(3);
  const RunningLeafRequestPtr run = leaf.Execute();
  run->Cancel();
  REQUIRE(leaf.answer);
  CHECK(leaf.answer->missing.size() == 3);
  for (const auto& call : leaf.transport.calls)
    CHECK(call.cancelled);
}

TEST_CASE("a server gets no more time than is left") {
  Leaf leaf(1);
  leaf.Execute();
  leaf.scheduler.RunFor(milliseconds(300));
  leaf.transport.End(
      0, tl::make_unexpected(upstream::ShardFailure::kNoConnection));
  REQUIRE(leaf.transport.calls.size() == 2);
  CHECK(leaf.transport.calls[0].timeout == kTime);
  CHECK(leaf.transport.calls[1].timeout == kTime - milliseconds(300));
}

}  // namespace
}  // namespace query
