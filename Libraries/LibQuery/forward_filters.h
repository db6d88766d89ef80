// Filters of forwarded requests: configuration, route, deadline, execution.

#ifndef LIBQUERY_FORWARD_FILTERS_H_
#define LIBQUERY_FORWARD_FILTERS_H_

#include <functional>
#include <string>
#include <vector>

#include "LibBase/random.h"
#include "LibBase/scheduler.h"
#include "LibQuery/filter.h"
#include "LibQuery/forward_context.h"
#include "LibQuery/leaf_executor.h"
#include "LibQuery/route_upstream_cache.h"

namespace query {

using ForwardFilter = BasicFilter<ForwardContext>;
using ForwardFilterChain = BasicFilterChain<ForwardContext>;

// Refuses while this node knows no configuration.
class ConfigurationFilter final : public ForwardFilter {
 public:
  // `current` gives null while there is none.
  explicit ConfigurationFilter(
      std::function<config::ConfigurationPtr()> current)
      : current_(std::move(current)) {}
  void Handle(ForwardContextPtr context, Next next) override;

 private:
  const std::function<config::ConfigurationPtr()> current_;
};

// Finds the route.
class RouteFilter final : public ForwardFilter {
 public:
  void Handle(ForwardContextPtr context, Next next) override;
};

// Sets the deadline: the earlier of the caller's and the route's.
class ForwardDeadlineFilter final : public ForwardFilter {
 public:
  explicit ForwardDeadlineFilter(base::Scheduler& scheduler)
      : scheduler_(scheduler) {}
  void Handle(ForwardContextPtr context, Next next) override;

 private:
  base::Scheduler& scheduler_;
};

struct ForwardRules {
  // Extra sub-requests earned by each first one.
  double extra_load_share = 0;
  // Time kept of an objective, beside the transit, to merge and to write.
  base::Duration answer_reserve = std::chrono::milliseconds(3);
  // Time kept of a deadline, likewise.
  base::Duration deadline_reserve = std::chrono::milliseconds(10);

  bool operator==(const ForwardRules&) const = default;
};

// Sends the request to its services and merges their answers.
class ForwardExecutionFilter final : public ForwardFilter {
 public:
  // All references outlive the filter.
  ForwardExecutionFilter(ForwardRules rules,
                         base::Scheduler& scheduler,
                         base::Random& random,
                         LeafExecutor& leaf,
                         RouteUpstreamCache& upstreams);
  void Handle(ForwardContextPtr context, Next next) override;

 private:
  std::vector<std::string> ServicesOf(const config::Route& route);
  LeafRequest MakeRequest(const ForwardContext& context,
                          size_t service_count) const;

  const ForwardRules rules_;
  base::Scheduler& scheduler_;
  base::Random& random_;
  LeafExecutor& leaf_;
  RouteUpstreamCache& upstreams_;
};

// The answer that follows from what the leaf found.
ForwardAnswer ToForwardAnswer(const config::Route& route, LeafAnswer answer);

}  // namespace query

#endif  // LIBQUERY_FORWARD_FILTERS_H_
