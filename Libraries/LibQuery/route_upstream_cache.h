// The services of routes with the servers that are registered for them now.

#ifndef LIBQUERY_ROUTE_UPSTREAM_CACHE_H_
#define LIBQUERY_ROUTE_UPSTREAM_CACHE_H_

#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "LibConfig/configuration.h"
#include "LibQuery/leaf_executor.h"
#include "LibUpstream/server_registry.h"

namespace query {

class RouteUpstreamCache {
 public:
  explicit RouteUpstreamCache(const upstream::ServerRegistry& registry)
      : registry_(registry) {}

  // One upstream of the named services, in their order. Kept until the
  // configuration or the registry changes.
  UpstreamPtr UpstreamFor(const config::ConfigurationPtr& configuration,
                          const std::vector<std::string>& services);

 private:
  UpstreamPtr Build(const config::Configuration& configuration,
                    const std::vector<std::string>& services) const;

  const upstream::ServerRegistry& registry_;
  std::mutex mutex_;
  // All guarded by `mutex_`.
  std::map<std::vector<std::string>, UpstreamPtr> built_;
  uint64_t revision_ = 0;    // Of the configuration that `built_` holds for.
  uint64_t generation_ = 0;  // Of the registry, likewise.
};

}  // namespace query

#endif  // LIBQUERY_ROUTE_UPSTREAM_CACHE_H_
