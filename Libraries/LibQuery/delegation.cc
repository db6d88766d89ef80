// Greedy set cover over availability zones.

#include "LibQuery/delegation.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <string_view>
#include <utility>

#include "LibQuery/record_merge.h"

namespace query {

namespace {

// Services for which a call to another node pays: it costs about as many bytes
// as calls to two servers do.
constexpr size_t kLeastDelegated = 3;

// Of products of shares and counts.
constexpr double kRounding = 1e-9;

bool HasServerIn(const config::Service& service, const std::string& zone) {
  return std::ranges::find(service.servers, zone,
                           &config::Server::availability_zone) !=
         service.servers.end();
}

// The services without a server in `own_zone`, by zones that have one.
std::map<std::string, std::vector<size_t>> FarWorkByZone(
    const config::Upstream& upstream,
    const std::vector<ServiceShards>& work,
    const std::string& own_zone) {
  std::map<std::string, std::vector<size_t>> by_zone;
  for (size_t run = 0; run < work.size(); ++run) {
    if (work[run].service >= upstream.services.size())
      continue;
    const config::Service& service = upstream.services[work[run].service];
    if (HasServerIn(service, own_zone))
      continue;
    for (const config::Server& server : service.servers) {
      auto& runs = by_zone[server.availability_zone];
      if (runs.empty() || runs.back() != run)
        runs.push_back(run);
    }
  }
  return by_zone;
}

}  // namespace

std::vector<DelegatedWork> PlanDelegation(
    const config::Upstream& upstream,
    const std::vector<ServiceShards>& work,
    const std::string& own_zone,
    const std::function<std::string(const std::string&)>& node_in) {
  std::vector<DelegatedWork> plan;
  auto by_zone = FarWorkByZone(upstream, work, own_zone);
  while (!by_zone.empty()) {
    const auto most = std::ranges::max_element(
        by_zone, {}, [](const auto& entry) { return entry.second.size(); });
    const std::vector<size_t> taken = most->second;
    if (taken.size() < kLeastDelegated)
      break;
    const std::string node = node_in(most->first);
    by_zone.erase(most);
    if (node.empty())
      continue;
    for (auto& [zone, runs] : by_zone)
      std::erase_if(runs, [&](size_t run) {
        return std::ranges::binary_search(taken, run);
      });
    plan.push_back({node, taken});
  }
  return plan;
}

LeafRequest MakeDelegatedRequest(const LeafRequest& request,
                                 const DelegatedWork& work,
                                 base::Duration objective) {
  LeafRequest delegated = request;
  delegated.work.clear();
  std::ranges::transform(work.runs, std::back_inserter(delegated.work),
                         [&](size_t run) { return request.work[run]; });
  const auto all = static_cast<double>(request.work.size());
  const auto part = static_cast<double>(work.runs.size());
  const double spare =
      all - std::ceil(request.forward->min_answered_share * all - kRounding);
  delegated.forward->origin = RequestOrigin::kNode;
  delegated.forward->objective = objective;
  delegated.forward->min_answered_share = std::max(0.0, 1 - spare / part);
  return delegated;
}

bool IsAnswerToDelegated(const LeafAnswer& answer, const LeafRequest& request) {
  if (answer.request_id != request.request_id ||
      answer.version != request.version)
    return false;
  std::set<uint32_t> asked;
  for (const ServiceShards& work : request.work)
    asked.insert(work.service);
  return std::ranges::all_of(answer.parts, [&](const ForwardedPart& part) {
    return part.reply && asked.erase(part.service) == 1;
  });
}

void CompactParts(LeafAnswer& answer, size_t top_records) {
  std::vector<std::string_view> bodies;
  for (const ForwardedPart& part : answer.parts)
    bodies.push_back(part.reply->message.body);
  std::string records = MergeGreatestRecords(bodies, top_records);
  for (ForwardedPart& part : answer.parts) {
    auto reply = std::make_shared<upstream::ForwardedReply>();
    reply->signature = part.reply->signature;
    reply->message.body = std::exchange(records, {});
    part.reply = std::move(reply);
  }
}

}  // namespace query
