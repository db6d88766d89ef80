// What became of the attempts of one forwarded request, for its log line.

#ifndef LIBQUERY_ATTEMPT_RECORDER_H_
#define LIBQUERY_ATTEMPT_RECORDER_H_

#include <string>
#include <vector>

#include "LibQuery/delegation.h"
#include "LibQuery/leaf_message.h"
#include "LibQuery/service_progress.h"
#include "LibUpstream/server_table.h"

namespace query {

class AttemptRecorder {
 public:
  enum class Mode { kOff, kOn };
  // `started` is when the leaf request began.
  AttemptRecorder(Mode mode, base::Instant started)
      : mode_(mode), started_(started) {}

  // Attempts are numbered from 1 in the order in which they begin.
  void OnAttemptBegin(const std::string& service,
                      const Attempt& attempt,
                      AttemptKind kind,
                      const upstream::ServerView& view,
                      size_t candidates);
  void OnAttemptEnd(const Attempt& attempt,
                    base::Instant now,
                    std::string result);
  // Why the attempt was not repeated.
  void OnNotRetried(uint32_t attempt, std::string_view no_retry_reason);

  void OnDelegationBegin(const DelegatedWork& work);
  void OnDelegationEnd(const DelegatedWork& work,
                       base::Instant now,
                       std::string result);

  std::vector<AttemptRecord> TakeRecords();

 private:
  const Mode mode_;
  const base::Instant started_;
  std::vector<AttemptRecord> attempt_records_;
  std::vector<AttemptRecord> delegation_records_;
};

}  // namespace query

#endif  // LIBQUERY_ATTEMPT_RECORDER_H_
