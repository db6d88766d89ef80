// Creates and starts leaf requests.

#include "LibQuery/leaf_executor.h"

#include <utility>

#include "LibQuery/leaf_execution.h"

namespace query {

LeafExecutor::LeafExecutor(LeafDependencies dependencies, LeafRules rules)
    : dependencies_(
          std::make_shared<const LeafDependencies>(std::move(dependencies))),
      rules_(rules) {}

RunningLeafRequestPtr LeafExecutor::Execute(UpstreamPtr upstream,
                                            LeafRequest request,
                                            LeafCallback callback) {
  auto execution = std::make_shared<LeafExecution>(
      dependencies_, rules_, std::move(upstream), std::move(request),
      std::move(callback));
  execution->Start();
  return execution;
}

}  // namespace query
