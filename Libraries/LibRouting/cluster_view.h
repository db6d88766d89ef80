// The roles of the nodes, derived from the members and the configuration at one
// moment: which nodes hold connections to a service, which node owns an
// account, and which nodes do tasks for their availability zone, such as
// watching for changes and writing usage records.

#ifndef LIBROUTING_CLUSTER_VIEW_H_
#define LIBROUTING_CLUSTER_VIEW_H_

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "LibBase/random.h"
#include "LibConfig/configuration.h"
#include "LibMembership/member.h"
#include "LibRouting/holder_map.h"

namespace routing {

// A view never changes after its construction.
class ClusterView {
 public:
  ClusterView(std::string own_node_id,
              std::vector<membership::Member> members,
              config::ConfigurationPtr configuration,
              HolderRules rules);

  const membership::Member* FindMember(const std::string& node_id) const;
  const std::vector<membership::Member>& members() const { return members_; }
  const HolderMap& holders() const { return holders_; }
  const config::ConfigurationPtr& configuration() const {
    return configuration_;
  }

  // Returns the members that are alive and not suspected. A suspected member
  // may be frozen.
  std::vector<const membership::Member*> AliveMembers() const;
  size_t UsableMemberCount() const;
  // Returns the alive members of the zone, sorted by falling rendezvous score
  // for `key`.
  std::vector<const membership::Member*> RankAliveMembers(
      const std::string& availability_zone,
      const std::string& key) const;

  // Returns the usable member with the highest rendezvous score for `key`, or
  // null if no member is usable.
  const membership::Member* OwnerOf(const std::string& key) const;
  bool IsOwner(const std::string& key) const;

  // Returns whether this node is one of the `count` members of its availability
  // zone that do `task` for the zone.
  bool IsZoneAssignee(const std::string& task, size_t count) const;
  // As above, but considers only members for which `is_able` returns true.
  using MemberPredicate = std::function<bool(const membership::Member&)>;
  bool IsZoneAssignee(const std::string& task,
                      size_t count,
                      const MemberPredicate& is_able) const;
  // Returns the first member of this node's zone that does `task` for the zone,
  // or null if there is none.
  const membership::Member* ZoneAssignee(const std::string& task) const;
  // Returns the usable member of another zone with the highest rendezvous score
  // for `key`, or null if there is none.
  const membership::Member* RemoteZoneAssignee(const std::string& key) const;

  // Returns the share of an account that its owner may grant under this view:
  // all of it while the view has a majority of the planned nodes, else the
  // share of the planned nodes that are usable. The two sides of a network
  // partition together never exceed 1.5 times what is agreed.
  double GrantableFraction() const;

  // Returns the caller addresses of at most `count` members that are alive and
  // not suspected, in random order.
  std::vector<std::string> SampleCallerAddresses(size_t count,
                                                 base::Random& random) const;

 private:
  // Returns the usable members of this node's zone, sorted by falling
  // rendezvous score.
  std::vector<const membership::Member*> RankOwnZoneMembers(
      const std::string& task) const;

  const std::string own_node_id_;
  const std::vector<membership::Member> members_;
  const config::ConfigurationPtr configuration_;
  const HolderRules rules_;
  const HolderMap holders_;
  std::string own_zone_;  // Empty if this node is not among the members.
};

using ClusterViewPtr = std::shared_ptr<const ClusterView>;

// Holds the current view and replaces it on updates.
class ClusterViewController {
 public:
  ClusterViewController(std::string own_node_id, HolderRules rules);

  void Update(std::vector<membership::Member> members,
              config::ConfigurationPtr configuration);
  ClusterViewPtr Current();

 private:
  const std::string own_node_id_;
  const HolderRules rules_;
  std::mutex mutex_;
  ClusterViewPtr current_;  // Never null; guarded by `mutex_`.
};

}  // namespace routing

#endif  // LIBROUTING_CLUSTER_VIEW_H_
