// Finds the servers of a service that were not tried yet, and chooses one.

#include "LibQuery/candidates.h"

#include <utility>

namespace query {

using upstream::ServerView;

// Skips servers that were tried or are leaving. Returns unreachable servers
// only if no other server is left.
Candidates FindCandidates(const LeafDependencies& dependencies,
                          const ServiceProgress& progress) {
  Candidates usable;
  Candidates unreachable;
  if (!progress.service)
    return usable;
  const base::Instant now = dependencies.scheduler.Now();
  for (const config::Server& server : progress.service->servers) {
    ServerView view = dependencies.servers.View(server.identity(), now);
    if (progress.HasTried(server.identity()) || view.is_leaving)
      continue;
    view.is_remote = !dependencies.availability_zone.empty() &&
                     server.availability_zone != dependencies.availability_zone;
    Candidates& list = view.is_unreachable ? unreachable : usable;
    list.servers.push_back(&server);
    list.views.push_back(std::move(view));
  }
  return usable.servers.empty() ? unreachable : usable;
}

size_t ChooseReplica(const LeafDependencies& dependencies,
                     const LeafRules& rules,
                     int slots,
                     const std::vector<ServerView>& views) {
  if (rules.replica_choice == ReplicaChoice::kRandom)
    return upstream::RandomReplicaPolicy().Choose(views, dependencies.random);
  return upstream::LeastExpectedWaitPolicy(slots, rules.remote_cost)
      .Choose(views, dependencies.random);
}

}  // namespace query
