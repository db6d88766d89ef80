// The servers to which the next attempt for one service may be sent.

#ifndef LIBQUERY_CANDIDATES_H_
#define LIBQUERY_CANDIDATES_H_

#include <vector>

#include "LibQuery/leaf_executor.h"
#include "LibQuery/service_progress.h"

namespace query {

// Candidate servers and what is known of each; both have the same length.
struct Candidates {
  std::vector<const config::Server*> servers;
  std::vector<upstream::ServerView> views;
};

// Returns the servers that may get the next attempt; none if the service is
// unknown.
Candidates FindCandidates(const LeafDependencies& dependencies,
                          const ServiceProgress& progress);

// Returns an index into `views`, which must not be empty. `slots` is the number
// of slots that each server has.
size_t ChooseReplica(const LeafDependencies& dependencies,
                     const LeafRules& rules,
                     int slots,
                     const std::vector<upstream::ServerView>& views);

}  // namespace query

#endif  // LIBQUERY_CANDIDATES_H_
