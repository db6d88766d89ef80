// Attempts at the servers of one service, and what their failures mean.

#include "LibQuery/service_progress.h"

#include <algorithm>

namespace query {

using upstream::ShardFailure;

bool ServiceProgress::HasOpenAttempt() const {
  return delegated || std::ranges::any_of(attempts, &Attempt::open);
}

bool ServiceProgress::HasTried(const std::string& server) const {
  return std::ranges::any_of(attempts, [&](const Attempt& attempt) {
    return attempt.server == server && !attempt.lost;
  });
}

MissingReason ToMissingReason(ShardFailure failure) {
  switch (failure) {
    case ShardFailure::kLeaving:
    case ShardFailure::kMisdirected:
      return MissingReason::kNoServer;
    case ShardFailure::kOverloaded:
      return MissingReason::kOverloaded;
    case ShardFailure::kVersionGone:
      return MissingReason::kVersionGone;
    case ShardFailure::kNoConnection:
    case ShardFailure::kConnectionLost:
      return MissingReason::kNoConnection;
    case ShardFailure::kTimeout:
    case ShardFailure::kCancelled:
      return MissingReason::kTimeout;
    case ShardFailure::kBroken:
    case ShardFailure::kFailed:
      return MissingReason::kBrokenAnswer;
  }
  return MissingReason::kTimeout;
}

bool CausesNoLoad(ShardFailure failure) {
  return failure == ShardFailure::kLeaving ||
         failure == ShardFailure::kVersionGone ||
         failure == ShardFailure::kNoConnection;
}

bool ProvesNotRun(ShardFailure failure) {
  return CausesNoLoad(failure) || failure == ShardFailure::kMisdirected ||
         failure == ShardFailure::kOverloaded;
}

}  // namespace query
