// Records the attempts at one forwarded request and their results for its log
// line.

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
  // `status` is AttemptRecord::status.
  void OnAttemptEnd(const Attempt& attempt,
                    base::Instant now,
                    std::string result,
                    int status = 0);
  // Sets why the failed attempt was not retried.
  void OnNotRetried(uint32_t attempt_number, std::string_view no_retry_reason);

  void OnDelegationBegin(const DelegatedWork& work);
  void OnDelegationEnd(const DelegatedWork& work,
                       base::Instant now,
                       std::string result);

  // Returns all records and forgets them: delegated attempts first, then the
  // others in the order of their numbers.
  std::vector<AttemptRecord> TakeRecords();

 private:
  const Mode mode_;
  const base::Instant started_;
  std::vector<AttemptRecord> attempt_records_;
  std::vector<AttemptRecord> delegation_records_;
};

}  // namespace query

#endif  // LIBQUERY_ATTEMPT_RECORDER_H_
