// Records of attempts in the order of their numbers.

#include "LibQuery/attempt_log.h"

#include <algorithm>
#include <cassert>
#include <iterator>
#include <utility>

namespace query {

void AttemptLog::OnBegin(const std::string& service,
                         const Attempt& attempt,
                         AttemptKind kind,
                         const upstream::ServerView& view,
                         size_t candidates) {
  if (mode_ == Mode::kOff)
    return;
  AttemptRecord record;
  record.service = service;
  record.server = attempt.server;
  record.kind = kind;
  record.started = attempt.started - started_;
  record.outstanding = view.outstanding;
  record.expected_latency = view.latency;
  record.silence = view.silence;
  record.failure_share = view.failure_share;
  record.candidates = candidates;
  attempts_.push_back(std::move(record));
  assert(attempts_.size() == attempt.number);
}

void AttemptLog::OnEnd(const Attempt& attempt,
                       base::Instant now,
                       std::string result) {
  if (mode_ == Mode::kOff)
    return;
  AttemptRecord& record = attempts_[attempt.number - 1];
  record.took = now - attempt.started;
  record.result = std::move(result);
}

void AttemptLog::OnObstacle(uint32_t attempt,
                            std::string_view no_retry_reason) {
  if (mode_ == Mode::kOn)
    attempts_[attempt - 1].no_retry_reason = no_retry_reason;
}

void AttemptLog::OnHandedOn(const DelegatedWork& work) {
  AttemptRecord record;
  record.service = std::to_string(work.runs.size()) + " services";
  record.server = work.node_id;
  record.kind = AttemptKind::kDelegated;
  record.result = "handed on";
  delegated_.push_back(std::move(record));
}

void AttemptLog::OnHandedBack(const DelegatedWork& work,
                              base::Instant now,
                              std::string result) {
  const auto record =
      std::ranges::find(delegated_, work.node_id, &AttemptRecord::server);
  if (record == delegated_.end())
    return;  // The request has completed before.
  record->took = now - started_;
  record->result = std::move(result);
}

std::vector<AttemptRecord> AttemptLog::Take() {
  std::vector<AttemptRecord> all = std::exchange(delegated_, {});
  std::ranges::move(std::exchange(attempts_, {}), std::back_inserter(all));
  return all;
}

}  // namespace query
