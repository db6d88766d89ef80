// What follows from the members and the configuration at one moment: who
// holds what, who owns which account, who watches and who writes. Immutable.

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

class ClusterView {
 public:
  ClusterView(std::string self,
              std::vector<membership::Member> members,
              config::ConfigurationPtr configuration,
              HolderRules rules);

  const membership::Member* FindMember(const std::string& node_id) const;
  const std::vector<membership::Member>& members() const { return members_; }
  const HolderMap& holders() const { return holders_; }
  const config::ConfigurationPtr& configuration() const {
    return configuration_;
  }

  // Those that are not suspected: a suspected one may be frozen.
  std::vector<const membership::Member*> AliveMembers() const;
  size_t UsableMemberCount() const;

  // The usable member with the highest rendezvous score for `key`, or null.
  const membership::Member* OwnerOf(const std::string& key) const;
  bool IsOwner(const std::string& key) const;

  // Whether this node is among the `count` of its availability zone that do a
  // task for the zone.
  bool IsZoneDelegate(const std::string& task, size_t count) const;
  // As above, among the members that `is_able` holds for.
  using MemberTest = std::function<bool(const membership::Member&)>;
  bool IsZoneDelegate(const std::string& task,
                      size_t count,
                      const MemberTest& is_able) const;
  const membership::Member* ZoneDelegate(const std::string& task) const;
  // A usable member of another zone, by rendezvous; null if there is none.
  const membership::Member* RemoteZoneDelegate(const std::string& task) const;

  // The share of an account that an owner under this view may grant: all of
  // it with a majority of the planned nodes, else the visible share. Two
  // sides of a cut together never exceed 1.5 times what is agreed.
  double GrantableFraction() const;

  // Caller addresses of members that are alive and not suspected, in a random
  // order, at most `count`.
  std::vector<std::string> SampleCallerAddresses(size_t count,
                                                 base::Random& random) const;

 private:
  std::vector<const membership::Member*> RankZone(
      const std::string& task) const;

  const std::string self_;
  const std::vector<membership::Member> members_;
  const config::ConfigurationPtr configuration_;
  const HolderRules rules_;
  const HolderMap holders_;
  std::string zone_;  // Of self.
};

using ClusterViewPtr = std::shared_ptr<const ClusterView>;

// Holds the present view.
class ClusterViewController {
 public:
  ClusterViewController(std::string self, HolderRules rules);

  void Update(std::vector<membership::Member> members,
              config::ConfigurationPtr configuration);
  ClusterViewPtr Current();

 private:
  const std::string self_;
  const HolderRules rules_;
  std::mutex mutex_;
  ClusterViewPtr current_;  // Never null; guarded by `mutex_`.
};

}  // namespace routing

#endif  // LIBROUTING_CLUSTER_VIEW_H_
