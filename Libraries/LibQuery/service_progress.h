// One service of a leaf request: the attempts made at its servers.

#ifndef LIBQUERY_SERVICE_PROGRESS_H_
#define LIBQUERY_SERVICE_PROGRESS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "LibBase/time.h"
#include "LibConfig/upstream.h"
#include "LibQuery/leaf_message.h"
#include "LibUpstream/transport.h"

namespace query {

struct Attempt {
  uint32_t number = 0;
  std::string server;  // As config::Server::identity.
  upstream::CallId call = upstream::CallId::kNone;
  base::Instant started;
  bool open = true;
  // Given up, since its connection must have gone silent.
  bool lost = false;
};

struct ServiceProgress {
  const ServiceShards* work = nullptr;
  const config::Service* service = nullptr;  // Null if unknown.
  std::string budget_account;                // Of the extra load.
  std::vector<Attempt> attempts;
  // Attempts that never reached a server, as far as this node can tell.
  int unsent_attempts = 0;
  bool hedged = false;
  bool delegated = false;  // Another node calls the servers now.
  std::optional<base::Instant>
      hedge_check_due;  // Of attempts that are still open.
  MissingReason last_failure = MissingReason::kNoServer;
  RunState run_state = RunState::kNotRun;
  bool done = false;

  // Delegated ones included.
  bool HasOpenAttempt() const;
  // Lost attempts tell nothing of a server.
  bool HasTried(const std::string& server) const;
  int sent() const {
    return static_cast<int>(attempts.size()) - unsent_attempts;
  }
};

MissingReason ToMissingReason(upstream::ShardFailure failure);

// Whether the server did no work for the attempt, so that another one is no
// extra load.
bool CausesNoLoad(upstream::ShardFailure failure);

// Whether the server can't have run the attempt.
bool ProvesNotRun(upstream::ShardFailure failure);

}  // namespace query

#endif  // LIBQUERY_SERVICE_PROGRESS_H_
