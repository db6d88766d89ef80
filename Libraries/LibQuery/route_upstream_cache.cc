// Builds and caches upstreams of route services.

#include "LibQuery/route_upstream_cache.h"

#include <algorithm>
#include <limits>
#include <optional>

namespace query {

UpstreamPtr RouteUpstreamCache::UpstreamFor(
    const config::ConfigurationPtr& configuration,
    const std::vector<std::string>& services) {
  const uint64_t generation = registry_.generation();
  const std::lock_guard lock(mutex_);
  if (generation != registry_generation_ ||
      configuration->revision != configuration_revision_) {
    upstreams_by_services_.clear();
    registry_generation_ = generation;
    configuration_revision_ = configuration->revision;
  }
  UpstreamPtr& upstream = upstreams_by_services_[services];
  if (!upstream)
    upstream = BuildUpstream(*configuration, services);
  return upstream;
}

UpstreamPtr RouteUpstreamCache::BuildUpstream(
    const config::Configuration& configuration,
    const std::vector<std::string>& services) const {
  std::optional<base::WorkMeter::Span> span;
  if (work_meter_)
    span.emplace(*work_meter_, "build_upstream");
  config::Upstream upstream;
  upstream.connections = std::numeric_limits<int>::max();
  upstream.slots = std::numeric_limits<int>::max();
  for (const std::string& name : services) {
    const auto service_terms = configuration.routes->services.find(name);
    const int connections =
        service_terms == configuration.routes->services.end()
            ? 1
            : service_terms->second.max_connections;
    upstream.connections = std::min(upstream.connections, connections);
    upstream.slots = std::min(upstream.slots, registry_.SlotsOf(name));
    upstream.services.push_back({name, registry_.ServersOf(name)});
  }
  return std::make_shared<const config::Upstream>(std::move(upstream));
}

}  // namespace query
