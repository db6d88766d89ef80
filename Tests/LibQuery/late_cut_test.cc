// Guards against answers that were cut off after their objective, by the time
// that the node had needed to begin the request.

#include <doctest/doctest.h>

#include <memory>
#include <optional>
#include <string>

#include "Fakes/virtual_scheduler.h"
#include "LibBase/work_meter.h"
#include "LibQuery/forward_filters.h"

namespace query {
namespace {

using std::chrono::milliseconds;

constexpr base::Duration kObjective = milliseconds(40);
constexpr base::Duration kTransit = milliseconds(2);
constexpr size_t kServices = 4;
constexpr base::Duration kBuildTime = milliseconds(5);
constexpr base::Duration kStartTime = milliseconds(1);  // Of each call.

// A clock that a measured task moves on.
class BuildClock final : public base::Scheduler {
 public:
  explicit BuildClock(fakes::VirtualScheduler& scheduler)
      : scheduler_(scheduler) {}

  base::Instant Now() const override {
    scheduler_.RunFor(kBuildTime / 2);  // At the begin and the end of a task.
    return scheduler_.Now();
  }
  base::TimerId After(base::Duration, std::function<void()>) override {
    return base::TimerId::kNone;
  }
  void Post(std::function<void()>) override {}
  void Cancel(base::TimerId) override {}

 private:
  fakes::VirtualScheduler& scheduler_;
};

// Servers that never answer. To send them a call takes time.
class SlowTransport final : public upstream::Transport {
 public:
  explicit SlowTransport(fakes::VirtualScheduler& scheduler)
      : scheduler_(scheduler) {}

  void Prepare(const upstream::ServerTarget&) override {}
  upstream::CallId Start(const upstream::ServerTarget&,
                         const upstream::ShardCall&,
                         base::Duration,
                         upstream::ShardCallback) override {
    scheduler_.RunFor(kStartTime);
    return upstream::CallId{++call_count_};
  }
  void Cancel(upstream::CallId) override {}
  void DropWaitingCalls(const std::string&) override {}

 private:
  fakes::VirtualScheduler& scheduler_;
  uint64_t call_count_ = 0;
};

config::ConfigurationPtr MakeConfiguration() {
  config::Route route;
  route.name = "search";
  route.host = "example.org";
  route.prefix = "/";
  route.gather = config::GatherOptions{{}, 5, 0};
  for (size_t i = 0; i < kServices; ++i)
    route.gather->services.push_back("s" + std::to_string(i));
  route.repeatability = config::Repeatability::kIdempotent;
  route.timeout = milliseconds(250);
  route.objective = kObjective;
  config::RouteTable routes;
  routes.routes.push_back(std::move(route));
  config::Configuration configuration;
  configuration.routes =
      std::make_shared<const config::RouteTable>(std::move(routes));
  return std::make_shared<const config::Configuration>(
      std::move(configuration));
}

TEST_CASE("the time to begin a request does not delay its cut") {
  fakes::VirtualScheduler scheduler;
  base::SeededRandom random(1);
  SlowTransport transport(scheduler);
  base::Metrics metrics;
  const BuildClock clock(scheduler);
  base::WorkMeter work_meter(clock, metrics);
  upstream::ServerRegistry registry;
  for (size_t i = 0; i < kServices; ++i) {
    const std::string instance = "i" + std::to_string(i);
    registry.Apply(
        {instance,
         {1},
         upstream::RegisteredServer{instance, "s" + std::to_string(i),
                                    instance + ":80", "zone"}});
  }
  RouteUpstreamCache upstream_cache(registry, &work_meter);
  upstream::ServerTable servers;
  upstream::QuantileHedgePolicy hedge_policy(0.99);
  upstream::TokenExtraLoadBudget budget(0);
  LeafExecutor executor({scheduler, random, transport, servers, hedge_policy,
                         budget, [](const std::string&) {},
                         [](const config::Upstream&) { return 4; }, "zone"},
                        {});
  const ForwardRules rules;
  ForwardExecutionFilter filter(rules, scheduler, random, executor,
                                upstream_cache);

  auto context = std::make_shared<ForwardContext>();
  context->request = std::make_shared<upstream::ForwardedRequest>();
  context->configuration = MakeConfiguration();
  context->route = &context->configuration->routes->routes.front();
  context->arrival = scheduler.Now();
  context->transit = kTransit;
  context->deadline = scheduler.Now() + context->route->timeout;
  std::optional<base::Duration> took;
  context->respond = [&, arrival = context->arrival](const ForwardAnswer&) {
    took = scheduler.Now() - arrival;
  };
  filter.Handle(context, [](const ForwardContextPtr&) {});
  scheduler.RunFor(context->route->timeout);
  REQUIRE(took);
  CHECK(*took == kObjective - kTransit - rules.answer_reserve);
}

}  // namespace
}  // namespace query
