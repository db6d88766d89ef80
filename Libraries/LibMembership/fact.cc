// Orders the versions of facts.

#include "LibMembership/fact.h"

#include <tuple>

namespace membership {

bool IsNewer(const FactVersion& version, const FactVersion& other) {
  if (version.era != 0 && other.era != 0 && version.era != other.era)
    return version.era > other.era;
  return std::tie(version.epoch, version.counter) >
         std::tie(other.epoch, other.counter);
}

}  // namespace membership
