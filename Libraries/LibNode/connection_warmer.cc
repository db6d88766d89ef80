// Goes through the servers at intervals, a few at a time.

#include "LibNode/connection_warmer.h"

#include <algorithm>
#include <set>
#include <utility>

namespace node {

namespace {

// A host of a small share of a core can't open many connections at once without
// delaying requests.
constexpr size_t kTargetsPerRun = 8;
constexpr base::Duration kSearchPeriod = std::chrono::seconds(2);
// A node that has just started does not know its peers yet, and would open
// connections to the servers of all services.
constexpr base::Duration kFirstSearchDelay = std::chrono::seconds(1);

}  // namespace

ConnectionWarmer::ConnectionWarmer(std::string own_zone,
                                   query::LeafNodes& nodes,
                                   query::RouteUpstreamCache& upstream_cache,
                                   MaxConnections max_connections,
                                   upstream::Transport& transport,
                                   base::Scheduler& scheduler)
    : own_zone_(std::move(own_zone)),
      nodes_(nodes),
      upstream_cache_(upstream_cache),
      max_connections_(std::move(max_connections)),
      transport_(transport),
      scheduler_(scheduler),
      next_search_(scheduler.Now() + kFirstSearchDelay) {}

void ConnectionWarmer::Run(const config::ConfigurationPtr& configuration) {
  if (!configuration->routes)
    return;
  const base::Instant now = scheduler_.Now();
  // NOTE: What is left of the last search may be outdated: other nodes may have
  // become the holders.
  if (now >= next_search_) {
    pending_targets_ = FindTargets(configuration);
    next_search_ = now + kSearchPeriod;
  }
  const size_t count = std::min(kTargetsPerRun, pending_targets_.size());
  for (size_t i = 0; i < count; ++i) {
    transport_.Prepare(pending_targets_.back());
    last_turns_[pending_targets_.back().address] = now;
    pending_targets_.pop_back();
  }
}

std::vector<upstream::ServerTarget> ConnectionWarmer::FindTargets(
    const config::ConfigurationPtr& configuration) {
  std::vector<upstream::ServerTarget> targets;
  std::set<std::string> found_addresses;
  std::set<std::string> local_addresses;
  for (const config::Route& route : configuration->routes->routes) {
    if (!route.gather)
      continue;
    const auto upstream =
        upstream_cache_.UpstreamFor(configuration, route.gather->services);
    const int max_connections = max_connections_(*upstream);
    for (const size_t service :
         query::HeldServices(*upstream, own_zone_, nodes_)) {
      for (const config::Server& server : upstream->services[service].servers) {
        if (server.availability_zone == own_zone_)
          local_addresses.insert(server.address);
        if (found_addresses.insert(server.address).second)
          targets.push_back({server.address, max_connections, server.instance,
                             server.incarnation});
      }
    }
  }
  std::erase_if(last_turns_, [&](const auto& turn) {
    return !found_addresses.contains(turn.first);
  });
  std::ranges::stable_sort(
      targets, std::greater<>(), [&](const upstream::ServerTarget& target) {
        const auto turn = last_turns_.find(target.address);
        return std::pair(
            turn == last_turns_.end() ? base::Instant() : turn->second,
            !local_addresses.contains(target.address));
      });
  return targets;
}

}  // namespace node
