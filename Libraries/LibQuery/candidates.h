// The servers to which one service's next attempt may go.

#ifndef LIBQUERY_CANDIDATES_H_
#define LIBQUERY_CANDIDATES_H_

#include <vector>

#include "LibQuery/leaf_executor.h"
#include "LibQuery/service_progress.h"

namespace query {

// Both equally long.
struct Candidates {
  std::vector<const config::Server*> servers;
  std::vector<upstream::ServerView> views;
};

Candidates FindCandidates(const LeafDependencies& dependencies,
                          const ServiceProgress& progress);

// Index into `views`, which is not empty; each server has `slots`.
size_t ChooseReplica(const LeafDependencies& dependencies,
                     const LeafRules& rules,
                     int slots,
                     const std::vector<upstream::ServerView>& views);

}  // namespace query

#endif  // LIBQUERY_CANDIDATES_H_
