// Plans delegation as a greedy set cover over availability zones.

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

// Fewest services that are worth a call to another node: it costs about as many
// bytes as calls to two servers do.
constexpr size_t kMinDelegatedServices = 3;

// Tolerance for rounding errors in products of shares and counts.
constexpr double kRoundingTolerance = 1e-9;

bool HasServerInZone(const config::Service& service, const std::string& zone) {
  return std::ranges::find(service.servers, zone,
                           &config::Server::availability_zone) !=
         service.servers.end();
}

// Returns the indices of the services without a server in `own_zone`, by each
// zone that has one.
std::map<std::string, std::vector<size_t>> RemoteWorkByZone(
    const config::Upstream& upstream,
    const std::vector<ServiceShards>& work,
    const std::string& own_zone) {
  std::map<std::string, std::vector<size_t>> by_zone;
  for (size_t index = 0; index < work.size(); ++index) {
    if (work[index].service >= upstream.services.size())
      continue;
    const config::Service& service = upstream.services[work[index].service];
    if (HasServerInZone(service, own_zone))
      continue;
    for (const config::Server& server : service.servers) {
      auto& work_indices = by_zone[server.availability_zone];
      if (work_indices.empty() || work_indices.back() != index)
        work_indices.push_back(index);
    }
  }
  return by_zone;
}

}  // namespace

std::vector<DelegatedWork> PlanDelegation(
    const config::Upstream& upstream,
    const std::vector<ServiceShards>& work,
    const std::string& own_zone,
    const std::function<std::string(const std::string&)>& find_node_in_zone) {
  std::vector<DelegatedWork> plan;
  auto by_zone = RemoteWorkByZone(upstream, work, own_zone);
  while (!by_zone.empty()) {
    const auto most = std::ranges::max_element(
        by_zone, {}, [](const auto& entry) { return entry.second.size(); });
    const std::vector<size_t> taken = most->second;
    if (taken.size() < kMinDelegatedServices)
      break;
    const std::string node = find_node_in_zone(most->first);
    by_zone.erase(most);
    if (node.empty())
      continue;
    for (auto& [zone, work_indices] : by_zone)
      std::erase_if(work_indices, [&](size_t index) {
        return std::ranges::binary_search(taken, index);
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
  std::ranges::transform(work.work_indices, std::back_inserter(delegated.work),
                         [&](size_t index) { return request.work[index]; });
  const auto service_count = static_cast<double>(request.work.size());
  const auto delegated_count = static_cast<double>(work.work_indices.size());
  const double max_missing =
      service_count -
      std::ceil(request.forward->min_answered_share * service_count -
                kRoundingTolerance);
  delegated.forward->origin = RequestOrigin::kNode;
  delegated.forward->objective = objective;
  delegated.forward->min_answered_share =
      std::max(0.0, 1 - max_missing / delegated_count);
  return delegated;
}

bool IsValidDelegatedAnswer(const LeafAnswer& answer,
                            const LeafRequest& request) {
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
