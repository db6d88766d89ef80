// Caches the ranking of the nodes for each block until the members change.

#include "LibNode/cluster_leaf_nodes.h"

#include <algorithm>
#include <iterator>

namespace node {

void ClusterLeafNodes::UseCurrentView() {
  auto current = views_.Current();
  if (current == view_)
    return;
  view_ = std::move(current);
  ranked_nodes_.clear();
  node_counts_.clear();
  for (const membership::Member* member : view_->AliveMembers())
    ++node_counts_[member->availability_zone];
}

size_t ClusterLeafNodes::CountInZone(const std::string& availability_zone) {
  const std::lock_guard lock(mutex_);
  UseCurrentView();
  const auto found = node_counts_.find(availability_zone);
  return found == node_counts_.end() ? 0 : found->second;
}

std::vector<std::string> ClusterLeafNodes::HoldersOf(
    const std::string& availability_zone,
    const std::string& block_key,
    size_t count) {
  const std::lock_guard lock(mutex_);
  UseCurrentView();
  const auto [entry, is_new] =
      ranked_nodes_.try_emplace({availability_zone, block_key});
  std::vector<std::string>& ranked = entry->second;
  if (is_new)
    std::ranges::transform(
        view_->RankAliveMembers(availability_zone, block_key),
        std::back_inserter(ranked), &membership::Member::node_id);
  return {ranked.begin(), ranked.begin() + static_cast<ptrdiff_t>(
                                               std::min(count, ranked.size()))};
}

}  // namespace node
