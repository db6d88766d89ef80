// Progress of one service within a leaf request: the attempts at its servers.

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
  // Given up because its connection must have gone silent.
  bool lost = false;
};

// State of the shards that a leaf request asks of one service.
struct ServiceProgress {
  const ServiceShards* work = nullptr;
  const config::Service* service = nullptr;  // Null if unknown.
  std::string budget_account;                // In the extra-load budget.
  std::vector<Attempt> attempts;
  // Number of attempts that never reached a server, as far as this node can
  // tell.
  int unsent_attempts = 0;
  bool hedged = false;
  bool delegated = false;  // Another node calls the servers now.
  // When the open attempts are checked next: lost ones are replaced, slow ones
  // are hedged.
  std::optional<base::Instant> hedge_check_due;
  MissingReason last_failure = MissingReason::kNoServer;
  // How long the servers that were held back last are not to be called.
  base::Duration held_back_for{};
  RunState run_state = RunState::kNotRun;
  bool done = false;

  // Whether an attempt is open or another node calls the servers.
  bool HasOpenAttempt() const;
  // Whether an attempt was made at the server. Lost attempts don't count, since
  // they say nothing about the server.
  bool HasTried(const std::string& server) const;
  // Number of attempts that may have reached a server.
  int sent() const {
    return static_cast<int>(attempts.size()) - unsent_attempts;
  }
};

// Returns why shards are missing if the last attempt at them failed like this.
MissingReason ToMissingReason(upstream::ShardFailure failure);

// Whether the server did no work for the failed attempt, so that another
// attempt is no extra load.
bool CausesNoLoad(upstream::ShardFailure failure);

// Whether the failure proves that the server did not run the attempt.
bool ProvesNotRun(upstream::ShardFailure failure);

}  // namespace query

#endif  // LIBQUERY_SERVICE_PROGRESS_H_
