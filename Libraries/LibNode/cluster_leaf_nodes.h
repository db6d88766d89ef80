// Chooses the holders of blocks of services from the current members.

#ifndef LIBNODE_CLUSTER_LEAF_NODES_H_
#define LIBNODE_CLUSTER_LEAF_NODES_H_

#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "LibQuery/delegation.h"
#include "LibRouting/cluster_view.h"

namespace node {

// Suspected members may be frozen and take no delegated work.
class ClusterLeafNodes final : public query::LeafNodes {
 public:
  // `views` outlives this object.
  ClusterLeafNodes(std::string own_node_id,
                   routing::ClusterViewController& views)
      : own_node_id_(std::move(own_node_id)), views_(views) {}

  // query::LeafNodes:
  const std::string& own_node_id() const override { return own_node_id_; }
  size_t CountInZone(const std::string& availability_zone) override;
  std::vector<std::string> HoldersOf(const std::string& availability_zone,
                                     const std::string& block_key,
                                     size_t count) override;

 private:
  // Drops what was derived from an older view. Requires `mutex_` to be held.
  void UseCurrentView();

  const std::string own_node_id_;
  routing::ClusterViewController& views_;
  std::mutex mutex_;
  // All guarded by `mutex_`.
  routing::ClusterViewPtr view_;
  std::map<std::string, size_t> node_counts_;  // By zone; derived from `view_`.
  // The ids of all nodes of a zone, ranked for a block, by zone and block key.
  // Derived from `view_` when they are first asked for.
  std::map<std::pair<std::string, std::string>, std::vector<std::string>>
      ranked_nodes_;
};

}  // namespace node

#endif  // LIBNODE_CLUSTER_LEAF_NODES_H_
