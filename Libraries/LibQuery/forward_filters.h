// Filters of forwarded requests. They set the configuration, the route and the
// deadline, and execute the request.

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

// Sets the configuration. Refuses requests while this node has none, or one
// without routes.
class ConfigurationFilter final : public ForwardFilter {
 public:
  // `current_configuration` returns null while there is none.
  explicit ConfigurationFilter(
      std::function<config::ConfigurationPtr()> current_configuration)
      : current_configuration_(std::move(current_configuration)) {}
  void Handle(ForwardContextPtr context, Next next) override;

 private:
  const std::function<config::ConfigurationPtr()> current_configuration_;
};

// Sets the route, and refuses requests that no route matches.
class RouteFilter final : public ForwardFilter {
 public:
  void Handle(ForwardContextPtr context, Next next) override;
};

// Sets the deadline: the earlier of the caller's and the route's. Refuses
// requests whose deadline has passed.
class ForwardDeadlineFilter final : public ForwardFilter {
 public:
  explicit ForwardDeadlineFilter(base::Scheduler& scheduler)
      : scheduler_(scheduler) {}
  void Handle(ForwardContextPtr context, Next next) override;

 private:
  base::Scheduler& scheduler_;
};

struct ForwardRules {
  // Hedges and retries that each primary sub-request allows.
  double extra_load_share = 0;
  // Time of a route's objective that is kept, in addition to the transit, for
  // merging and writing the answer.
  base::Duration answer_reserve = std::chrono::milliseconds(3);
  // Time of a deadline that is kept for the same purpose.
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
                         LeafExecutor& leaf_executor,
                         RouteUpstreamCache& upstream_cache);
  void Handle(ForwardContextPtr context, Next next) override;

 private:
  std::vector<std::string> ChooseServices(const config::Route& route);
  LeafRequest MakeLeafRequest(const ForwardContext& context,
                              size_t service_count) const;

  const ForwardRules rules_;
  base::Scheduler& scheduler_;
  base::Random& random_;
  LeafExecutor& leaf_executor_;
  RouteUpstreamCache& upstream_cache_;
};

// Makes the answer to a request of the route from the leaf's answer.
ForwardAnswer ToForwardAnswer(const config::Route& route, LeafAnswer answer);

}  // namespace query

#endif  // LIBQUERY_FORWARD_FILTERS_H_
