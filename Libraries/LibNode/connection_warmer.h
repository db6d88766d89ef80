// Opens connections in advance to the servers that this node is going to call.
// Otherwise the first queries after a start, and each first hedge to a server,
// wait for the server to accept a connection.

#ifndef LIBNODE_CONNECTION_WARMER_H_
#define LIBNODE_CONNECTION_WARMER_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "LibBase/scheduler.h"
#include "LibConfig/configuration.h"
#include "LibQuery/delegation.h"
#include "LibQuery/route_upstream_cache.h"
#include "LibUpstream/transport.h"

namespace node {

// Used by one task at a time.
class ConnectionWarmer {
 public:
  using MaxConnections = std::function<int(const config::Upstream&)>;

  // All references outlive the warmer.
  ConnectionWarmer(std::string own_zone,
                   query::LeafNodes& nodes,
                   query::RouteUpstreamCache& upstream_cache,
                   MaxConnections max_connections,
                   upstream::Transport& transport,
                   base::Scheduler& scheduler);

  // Opens a few of the connections that are missing. Call it at short
  // intervals.
  void Run(const config::ConfigurationPtr& configuration);

 private:
  // Returns all servers of the services that this node calls. Those whose turn
  // was longest ago are at the end, among them those of this node's zone.
  std::vector<upstream::ServerTarget> FindTargets(
      const config::ConfigurationPtr& configuration);

  const std::string own_zone_;
  query::LeafNodes& nodes_;
  query::RouteUpstreamCache& upstream_cache_;
  const MaxConnections max_connections_;
  upstream::Transport& transport_;
  base::Scheduler& scheduler_;
  std::vector<upstream::ServerTarget> pending_targets_;
  // When each server of the last search had its turn, by address. Servers
  // without an entry had none.
  std::map<std::string, base::Instant> last_turns_;
  base::Instant next_search_;  // When targets are searched for again.
};

}  // namespace node

#endif  // LIBNODE_CONNECTION_WARMER_H_
