// Plans delegation as a greedy set cover over availability zones, and splits
// each zone's part into blocks.

#include "LibQuery/delegation.h"

#include <algorithm>
#include <cmath>
#include <iterator>
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

// Processor time that the sender of a leaf request needs for it, in calls to
// servers: docs/CAPACITY.md.
constexpr double kLeafRequestCost = 3.5;

// Each block has at least as many holders, so that it is not lost with one of
// them. More than the maximum would call each server too rarely to learn its
// latency.
constexpr size_t kMinHoldersPerBlock = 2;
constexpr size_t kMaxHoldersPerBlock = 4;

// Tolerance for rounding errors in products of shares and counts.
constexpr double kRoundingTolerance = 1e-9;

// Indices into the work of a request, in ascending order, by the zones that
// have a server of the service.
using WorkByZone = std::map<std::string, std::vector<size_t>>;

WorkByZone GroupByZone(const config::Upstream& upstream,
                       const std::vector<ServiceShards>& work) {
  WorkByZone by_zone;
  for (size_t index = 0; index < work.size(); ++index) {
    if (work[index].service >= upstream.services.size())
      continue;
    for (const auto& server : upstream.services[work[index].service].servers) {
      auto& work_indices = by_zone[server.availability_zone];
      if (work_indices.empty() || work_indices.back() != index)
        work_indices.push_back(index);
    }
  }
  return by_zone;
}

// Removes the zone and its work, also from all other zones. Returns the work.
std::vector<size_t> TakeZone(WorkByZone& by_zone, const std::string& zone) {
  const std::vector<size_t> taken = std::move(by_zone.extract(zone).mapped());
  for (auto& [other_zone, work_indices] : by_zone)
    std::erase_if(work_indices, [&](size_t index) {
      return std::ranges::binary_search(taken, index);
    });
  return taken;
}

// Returns the zone with the most work. Zones with the same amount are ranked
// differently by each node, so that their load is even.
std::string ZoneWithMostWork(const WorkByZone& by_zone,
                             const std::string& own_node_id) {
  const uint64_t node_hash = base::StableHash(own_node_id);
  return std::ranges::max_element(
             by_zone, {},
             [&](const auto& entry) {
               return std::pair(entry.second.size(),
                                base::StableHash(entry.first, node_hash));
             })
      ->first;
}

// Splits the work of one zone among the holders of its blocks.
class ZonePlanner {
 public:
  ZonePlanner(const config::Upstream& upstream,
              const std::vector<ServiceShards>& work,
              LeafNodes& nodes,
              base::Random& random)
      : upstream_(upstream), work_(work), nodes_(nodes), random_(random) {}

  // Adds the work at `work_indices` to `plan`, but for blocks that are too
  // small or have no holder other than this node.
  void Plan(const std::string& zone,
            const std::vector<size_t>& work_indices,
            std::vector<DelegatedWork>& plan) {
    const size_t block_count =
        BlockCount(work_indices.size(), nodes_.CountInZone(zone));
    // NOTE: Blocks are parts of the whole request, not of `work_indices`. A
    // service without a server in the zone would otherwise move the others to
    // other holders.
    for (size_t block = 0; block < block_count; ++block) {
      const auto first = std::ranges::lower_bound(
          work_indices, FirstIndexOf(block, block_count));
      const auto last = std::ranges::lower_bound(
          work_indices, FirstIndexOf(block + 1, block_count));
      if (last - first < static_cast<ptrdiff_t>(kMinDelegatedServices))
        continue;
      const std::string node = ChooseHolder(zone, block, block_count);
      if (!node.empty())
        AddTo(plan, node, {first, last});
    }
  }

 private:
  size_t FirstIndexOf(size_t block, size_t block_count) const {
    return (block * work_.size() + block_count - 1) / block_count;
  }

  // Returns an empty string if this node is a holder, or if there is none.
  std::string ChooseHolder(const std::string& zone,
                           size_t block,
                           size_t block_count) {
    const size_t holder_count =
        std::clamp(nodes_.CountInZone(zone) / block_count, kMinHoldersPerBlock,
                   kMaxHoldersPerBlock);
    const uint32_t first_service =
        work_[FirstIndexOf(block, block_count)].service;
    const auto holders = nodes_.HoldersOf(
        zone, upstream_.services[first_service].name, holder_count);
    const bool is_own =
        std::ranges::find(holders, nodes_.own_node_id()) != holders.end();
    return holders.empty() || is_own ? ""
                                     : holders[random_.Below(holders.size())];
  }

  static void AddTo(std::vector<DelegatedWork>& plan,
                    const std::string& node,
                    std::vector<size_t> work_indices) {
    const auto found = std::ranges::find(plan, node, &DelegatedWork::node_id);
    if (found == plan.end())
      plan.push_back({node, std::move(work_indices)});
    else
      std::ranges::move(work_indices, std::back_inserter(found->work_indices));
  }

  const config::Upstream& upstream_;
  const std::vector<ServiceShards>& work_;
  LeafNodes& nodes_;
  base::Random& random_;
};

}  // namespace

// With b blocks, the sender makes b leaf requests and each holder 1/b of the
// calls. The sum is least where both take the same time.
size_t BlockCount(size_t service_count, size_t node_count) {
  const auto blocks = static_cast<size_t>(std::lround(
      std::sqrt(static_cast<double>(service_count) / kLeafRequestCost)));
  return std::clamp<size_t>(
      blocks, 1, std::max<size_t>(node_count / kMinHoldersPerBlock, 1));
}

std::vector<DelegatedWork> PlanDelegation(
    const config::Upstream& upstream,
    const std::vector<ServiceShards>& work,
    const std::string& own_zone,
    LeafNodes& nodes,
    base::Random& random) {
  std::vector<DelegatedWork> plan;
  ZonePlanner planner(upstream, work, nodes, random);
  WorkByZone by_zone = GroupByZone(upstream, work);
  if (by_zone.contains(own_zone)) {
    const auto own_work = TakeZone(by_zone, own_zone);
    if (BlockCount(own_work.size(), nodes.CountInZone(own_zone)) > 1)
      planner.Plan(own_zone, own_work, plan);
  }
  while (!by_zone.empty()) {
    const std::string zone = ZoneWithMostWork(by_zone, nodes.own_node_id());
    if (by_zone[zone].size() < kMinDelegatedServices)
      break;
    if (nodes.CountInZone(zone) == 0)
      by_zone.erase(zone);
    else
      planner.Plan(zone, TakeZone(by_zone, zone), plan);
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
