// Keeps the records of attempts in the order of the attempts' numbers.

#include "LibQuery/attempt_recorder.h"

#include <algorithm>
#include <cassert>
#include <iterator>
#include <utility>

namespace query {

void AttemptRecorder::OnAttemptBegin(const std::string& service,
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
  attempt_records_.push_back(std::move(record));
  assert(attempt_records_.size() == attempt.number);
}

void AttemptRecorder::OnAttemptEnd(const Attempt& attempt,
                                   base::Instant now,
                                   std::string result,
                                   int status) {
  if (mode_ == Mode::kOff)
    return;
  AttemptRecord& record = attempt_records_[attempt.number - 1];
  record.took = now - attempt.started;
  record.result = std::move(result);
  record.status = status;
}

void AttemptRecorder::OnNotRetried(uint32_t attempt_number,
                                   std::string_view no_retry_reason) {
  if (mode_ == Mode::kOn)
    attempt_records_[attempt_number - 1].no_retry_reason = no_retry_reason;
}

void AttemptRecorder::OnDelegationBegin(const DelegatedWork& work) {
  AttemptRecord record;
  record.service = std::to_string(work.work_indices.size()) + " services";
  record.server = work.node_id;
  record.kind = AttemptKind::kDelegated;
  record.result = "pending";
  delegation_records_.push_back(std::move(record));
}

void AttemptRecorder::OnDelegationEnd(const DelegatedWork& work,
                                      base::Instant now,
                                      std::string result) {
  const auto record = std::ranges::find(delegation_records_, work.node_id,
                                        &AttemptRecord::server);
  if (record == delegation_records_.end())
    return;  // The request has already completed.
  record->took = now - started_;
  record->result = std::move(result);
}

std::vector<AttemptRecord> AttemptRecorder::TakeRecords() {
  std::vector<AttemptRecord> all = std::exchange(delegation_records_, {});
  std::ranges::move(std::exchange(attempt_records_, {}),
                    std::back_inserter(all));
  return all;
}

}  // namespace query
