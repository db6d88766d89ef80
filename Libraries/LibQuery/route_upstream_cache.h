// Builds upstreams from the services of routes and the servers that are
// currently registered for them.

#ifndef LIBQUERY_ROUTE_UPSTREAM_CACHE_H_
#define LIBQUERY_ROUTE_UPSTREAM_CACHE_H_

#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "LibBase/work_meter.h"
#include "LibConfig/configuration.h"
#include "LibQuery/leaf_executor.h"
#include "LibUpstream/server_registry.h"

namespace query {

// Keeps the built upstreams until the configuration or the registry changes.
class RouteUpstreamCache {
 public:
  // `work_meter` measures the building; null measures nothing.
  explicit RouteUpstreamCache(const upstream::ServerRegistry& registry,
                              base::WorkMeter* work_meter = nullptr)
      : registry_(registry), work_meter_(work_meter) {}

  // Returns an upstream that consists of the named services, in their order.
  UpstreamPtr UpstreamFor(const config::ConfigurationPtr& configuration,
                          const std::vector<std::string>& services);

 private:
  UpstreamPtr BuildUpstream(const config::Configuration& configuration,
                            const std::vector<std::string>& services) const;

  const upstream::ServerRegistry& registry_;
  base::WorkMeter* const work_meter_;
  std::mutex mutex_;
  // All members below are guarded by `mutex_`.
  std::map<std::vector<std::string>, UpstreamPtr> upstreams_by_services_;
  // The states that the upstreams were built from.
  uint64_t configuration_revision_ = 0;
  uint64_t registry_generation_ = 0;
};

}  // namespace query

#endif  // LIBQUERY_ROUTE_UPSTREAM_CACHE_H_
