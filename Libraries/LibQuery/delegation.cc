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

// Splits the services of a request into blocks, in one zone.
//
// NOTE: The blocks depend only on the services of the request and on the zone,
// not on which of them are delegated there. All nodes then agree on the holders
// of a service, and a lost server moves no other service to another holder.
class ZoneBlocks {
 public:
  // `zone_service_count` is the number of services with a server in the zone.
  ZoneBlocks(const config::Upstream& upstream,
             const std::vector<ServiceShards>& work,
             const std::string& zone,
             size_t zone_service_count,
             LeafNodes& nodes)
      : upstream_(upstream),
        work_(work),
        zone_(zone),
        nodes_(nodes),
        node_count_(nodes.CountInZone(zone)),
        count_(BlockCount(zone_service_count, node_count_)) {}

  size_t count() const { return count_; }

  size_t FirstIndexOf(size_t block) const {
    return (block * work_.size() + count_ - 1) / count_;
  }

  // Returns the part of `work_indices` that is in the block.
  std::vector<size_t> PartOf(size_t block,
                             const std::vector<size_t>& work_indices) const {
    return {std::ranges::lower_bound(work_indices, FirstIndexOf(block)),
            std::ranges::lower_bound(work_indices, FirstIndexOf(block + 1))};
  }

  std::vector<std::string> HoldersOf(size_t block) const {
    const size_t holder_count = std::clamp(
        node_count_ / count_, kMinHoldersPerBlock, kMaxHoldersPerBlock);
    const uint32_t first_service = work_[FirstIndexOf(block)].service;
    return nodes_.HoldersOf(zone_, upstream_.services[first_service].name,
                            holder_count);
  }

  bool IsOwn(size_t block) const {
    const auto holders = HoldersOf(block);
    return std::ranges::find(holders, nodes_.own_node_id()) != holders.end();
  }

 private:
  const config::Upstream& upstream_;
  const std::vector<ServiceShards>& work_;
  const std::string zone_;
  LeafNodes& nodes_;
  const size_t node_count_;
  const size_t count_;
};

// Adds the work at `work_indices` to `plan`, but for blocks that are too small
// to be delegated, or have no holder other than this node.
void PlanZone(const ZoneBlocks& blocks,
              const std::vector<size_t>& work_indices,
              LeafNodes& nodes,
              base::Random& random,
              std::vector<DelegatedWork>& plan) {
  for (size_t block = 0; block < blocks.count(); ++block) {
    const auto part = blocks.PartOf(block, work_indices);
    const auto holders = blocks.HoldersOf(block);
    const bool is_own =
        std::ranges::find(holders, nodes.own_node_id()) != holders.end();
    if (part.size() < kMinDelegatedServices || holders.empty() || is_own)
      continue;
    const std::string& node = holders[random.Below(holders.size())];
    const auto planned = std::ranges::find(plan, node, &DelegatedWork::node_id);
    if (planned == plan.end())
      plan.push_back({node, part});
    else
      std::ranges::copy(part, std::back_inserter(planned->work_indices));
  }
}

std::vector<ServiceShards> WorkOfAllServices(const config::Upstream& upstream) {
  std::vector<ServiceShards> work;
  for (uint32_t service = 0; service < upstream.services.size(); ++service)
    work.push_back({service, {service}});
  return work;
}

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
  WorkByZone by_zone = GroupByZone(upstream, work);
  std::map<std::string, size_t> service_counts;
  for (const auto& [zone, work_indices] : by_zone)
    service_counts[zone] = work_indices.size();
  const auto blocks_of = [&](const std::string& zone) {
    return ZoneBlocks(upstream, work, zone, service_counts[zone], nodes);
  };
  if (by_zone.contains(own_zone)) {
    const auto own_work = TakeZone(by_zone, own_zone);
    const ZoneBlocks blocks = blocks_of(own_zone);
    if (blocks.count() > 1)
      PlanZone(blocks, own_work, nodes, random, plan);
  }
  while (!by_zone.empty()) {
    const std::string zone = ZoneWithMostWork(by_zone, nodes.own_node_id());
    if (by_zone[zone].size() < kMinDelegatedServices)
      break;
    if (nodes.CountInZone(zone) == 0)
      by_zone.erase(zone);
    else
      PlanZone(blocks_of(zone), TakeZone(by_zone, zone), nodes, random, plan);
  }
  return plan;
}

std::vector<size_t> HeldServices(const config::Upstream& upstream,
                                 const std::string& own_zone,
                                 LeafNodes& nodes) {
  const auto work = WorkOfAllServices(upstream);
  const WorkByZone by_zone = GroupByZone(upstream, work);
  const auto own = by_zone.find(own_zone);
  const std::vector<size_t> own_work =
      own == by_zone.end() ? std::vector<size_t>() : own->second;
  const ZoneBlocks blocks(upstream, work, own_zone, own_work.size(), nodes);
  std::vector<size_t> held;
  for (size_t block = 0; block < blocks.count(); ++block) {
    if (blocks.count() > 1 && blocks.IsOwn(block))
      std::ranges::copy(blocks.PartOf(block, own_work),
                        std::back_inserter(held));
  }
  if (blocks.count() == 1)
    std::ranges::transform(work, std::back_inserter(held),
                           &ServiceShards::service);
  return held;
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
