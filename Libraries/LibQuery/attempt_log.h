// What became of the attempts of one forwarded request, for its log line.

#ifndef LIBQUERY_ATTEMPT_LOG_H_
#define LIBQUERY_ATTEMPT_LOG_H_

#include <string>
#include <vector>

#include "LibQuery/delegation.h"
#include "LibQuery/leaf_message.h"
#include "LibQuery/service_progress.h"
#include "LibUpstream/server_table.h"

namespace query {

class AttemptLog {
 public:
  enum class Mode { kOff, kOn };
  // `started` is when the leaf request began.
  AttemptLog(Mode mode, base::Instant started)
      : mode_(mode), started_(started) {}

  // Attempts are numbered from 1 in the order in which they begin.
  void OnBegin(const std::string& service,
               const Attempt& attempt,
               AttemptKind kind,
               const upstream::ServerView& view,
               size_t candidates);
  void OnEnd(const Attempt& attempt, base::Instant now, std::string result);
  // Why the attempt was not repeated.
  void OnObstacle(uint32_t attempt, std::string_view no_retry_reason);

  void OnHandedOn(const DelegatedWork& work);
  void OnHandedBack(const DelegatedWork& work,
                    base::Instant now,
                    std::string result);

  std::vector<AttemptRecord> Take();

 private:
  const Mode mode_;
  const base::Instant started_;
  std::vector<AttemptRecord> attempts_;
  std::vector<AttemptRecord> delegated_;
};

}  // namespace query

#endif  // LIBQUERY_ATTEMPT_LOG_H_
