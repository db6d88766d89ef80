// Filters of forwarded requests, and the answers they give.

#include "LibQuery/forward_filters.h"

#include <algorithm>
#include <numeric>
#include <utility>

#include "LibQuery/record_merge.h"

namespace query {

using base::ErrorKind;

namespace {

// The delay after which a refused caller may retry. It lasts a few service
// times, after which a server whose queue was full may have room again.
constexpr base::Duration kRetryAfter = std::chrono::milliseconds(50);

base::Error MakeMissingError(const LeafAnswer& answer) {
  const MissingReason reason = answer.missing.empty()
                                   ? MissingReason::kTimeout
                                   : answer.missing.front().reason;
  return base::Error(
      ErrorKind::kUnavailable,
      std::to_string(answer.missing.size()) +
          " services gave no answer: " + std::string(MissingReasonName(reason)),
      "retry; check the servers of the route's services");
}

ForwardAnswer Merge(const config::GatherOptions& options,
                    const LeafAnswer& answer) {
  ForwardAnswer result;
  result.outcome = ForwardOutcome::kMerged;
  result.merged.missing_services =
      options.services.size() - answer.parts.size();
  std::vector<std::string_view> bodies;
  for (const ForwardedPart& part : answer.parts) {
    result.merged.signatures.push_back(part.reply->signature);
    bodies.push_back(part.reply->message.body);
  }
  result.merged.records = MergeGreatestRecords(bodies, options.top_records);
  return result;
}

}  // namespace

void ConfigurationFilter::Handle(ForwardContextPtr context, Next next) {
  context->configuration = current_configuration_();
  if (!context->configuration || !context->configuration->routes) {
    context->Refuse(ForwardOutcome::kNotRun, ErrorKind::kUnavailable,
                    "this node has no configuration yet",
                    "retry in a moment, or use another node");
    return;
  }
  next(std::move(context));
}

void RouteFilter::Handle(ForwardContextPtr context, Next next) {
  const upstream::ForwardedRequest& request = *context->request;
  context->route = context->configuration->routes->Find(
      request.host, http::Path(request.message.target));
  if (!context->route) {
    context->Refuse(ForwardOutcome::kNoRoute, ErrorKind::kNotFound,
                    "no route for " + request.host + request.message.target,
                    "check the host and path, or publish a route for them");
    return;
  }
  next(std::move(context));
}

void ForwardDeadlineFilter::Handle(ForwardContextPtr context, Next next) {
  const base::Duration timeout = context->route->timeout;
  context->deadline =
      context->arrival +
      std::min(context->time_allowed.value_or(timeout), timeout);
  if (context->deadline <= scheduler_.Now()) {
    context->Refuse(ForwardOutcome::kNotRun, ErrorKind::kTimeout,
                    "the deadline has passed", "allow more time");
    return;
  }
  next(std::move(context));
}

ForwardExecutionFilter::ForwardExecutionFilter(
    ForwardRules rules,
    base::Scheduler& scheduler,
    base::Random& random,
    LeafExecutor& leaf_executor,
    RouteUpstreamCache& upstream_cache)
    : rules_(rules),
      scheduler_(scheduler),
      random_(random),
      leaf_executor_(leaf_executor),
      upstream_cache_(upstream_cache) {}

// Returns all services of a gather route, or else one service that is chosen at
// random by weight.
std::vector<std::string> ForwardExecutionFilter::ChooseServices(
    const config::Route& route) {
  if (route.gather)
    return route.gather->services;
  const uint64_t total_weight = std::accumulate(
      route.services.begin(), route.services.end(), uint64_t{0},
      [](uint64_t sum, const auto& target) { return sum + target.weight; });
  uint64_t random_weight = random_.Below(std::max<uint64_t>(total_weight, 1));
  for (const config::WeightedService& target : route.services) {
    if (random_weight < target.weight)
      return {target.service};
    random_weight -= target.weight;
  }
  return {route.services.front().service};
}

LeafRequest ForwardExecutionFilter::MakeLeafRequest(
    const ForwardContext& context,
    size_t service_count) const {
  const config::Route& route = *context.route;
  const base::Instant now = scheduler_.Now();
  LeafRequest request;
  request.request_id = context.request->id;
  request.upstream = route.name;
  request.version = context.configuration->revision;
  request.shard_count = static_cast<uint32_t>(service_count);
  for (uint32_t service = 0; service < service_count; ++service)
    request.work.push_back({service, {service}});
  request.time_left =
      std::max<base::Duration>(context.deadline - rules_.deadline_reserve - now,
                               (context.deadline - now) / 2);
  request.extra_load_share = rules_.extra_load_share;
  request.forward =
      ForwardOptions{context.request, route.repeatability, route.max_attempts};
  if (route.gather) {
    request.forward->objective =
        std::max(context.arrival + route.objective - context.transit -
                     rules_.answer_reserve - now,
                 base::Duration(1));
    request.forward->min_answered_share = route.gather->min_answered_share;
    request.forward->top_records = route.gather->top_records;
  }
  return request;
}

void ForwardExecutionFilter::Handle(ForwardContextPtr context, Next) {
  const std::vector<std::string> services = ChooseServices(*context->route);
  // NOTE: This may take long. The times in the leaf request count from when it
  // is made.
  const UpstreamPtr upstream =
      upstream_cache_.UpstreamFor(context->configuration, services);
  const RunningLeafRequestPtr run = leaf_executor_.Execute(
      upstream, MakeLeafRequest(*context, services.size()),
      [context](LeafAnswer answer) {
        context->load = answer.load;
        context->attempts = std::move(answer.attempts);
        context->missing = answer.missing;
        context->execution_took = answer.took;
        context->objective_overrun = answer.objective_overrun;
        context->respond(ToForwardAnswer(*context->route, std::move(answer)));
      });
  if (context->cancellation)
    context->cancellation->OnCancelled([run] { run->Cancel(); });
}

ForwardAnswer ToForwardAnswer(const config::Route& route, LeafAnswer answer) {
  if (route.gather) {
    const double min_parts = route.gather->min_answered_share *
                             static_cast<double>(route.gather->services.size());
    if (!answer.parts.empty() &&
        static_cast<double>(answer.parts.size()) >= min_parts)
      return Merge(*route.gather, answer);
  } else if (!answer.parts.empty() || answer.failed_reply) {
    ForwardAnswer relayed;
    relayed.outcome = ForwardOutcome::kRelayed;
    relayed.reply =
        answer.parts.empty() ? answer.failed_reply : answer.parts.front().reply;
    return relayed;
  }
  const bool is_unknown = answer.run_state == RunState::kMayHaveRun;
  ForwardAnswer failed = ForwardAnswer::Failed(
      is_unknown ? ForwardOutcome::kUnknown : ForwardOutcome::kNotRun,
      MakeMissingError(answer));
  failed.retry_after = std::max(kRetryAfter, answer.retry_after);
  return failed;
}

}  // namespace query
