// Finds routes by host and path, or by name.

#include "LibConfig/route_table.h"

#include <algorithm>

namespace config {

const Route* RouteTable::Find(std::string_view host,
                              std::string_view path) const {
  const Route* best = nullptr;
  for (const Route& route : routes) {
    const bool matches = route.host == host && path.starts_with(route.prefix);
    if (matches && (!best || route.prefix.size() > best->prefix.size()))
      best = &route;
  }
  return best;
}

const Route* RouteTable::FindByName(std::string_view name) const {
  const auto found = std::ranges::find(routes, name, &Route::name);
  return found == routes.end() ? nullptr : &*found;
}

}  // namespace config
