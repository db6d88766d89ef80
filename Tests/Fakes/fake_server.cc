// Implements the simulated server of an upstream.

#include "Fakes/fake_server.h"

#include <algorithm>
#include <utility>

namespace fakes {

using upstream::ShardFailure;
using upstream::ShardOutcome;

namespace {

constexpr size_t kMaxQueuedPerSlot = 32;

}  // namespace

std::string ItemsOf(uint64_t version,
                    uint32_t shard,
                    const std::string& query) {
  return "\"" + std::to_string(version) + "/" + std::to_string(shard) + "/" +
         query + "\"";
}

FakeServer::FakeServer(VirtualScheduler& scheduler,
                       base::Random& random,
                       std::string address,
                       int slots,
                       int connection_limit,
                       ServiceTime service_time)
    : scheduler_(scheduler),
      random_(random),
      address_(std::move(address)),
      slots_(slots),
      connection_limit_(connection_limit),
      service_time_(std::move(service_time)) {}

bool FakeServer::Connect() {
  if (faults.dead || connections_ >= connection_limit_)
    return false;
  ++connections_;
  record_.most_connections = std::max(record_.most_connections, connections_);
  return true;
}

void FakeServer::SetHeld(std::vector<upstream::HeldIndex> held) {
  held_ = std::move(held);
  ++sequence_;
}

void FakeServer::SetLeaving(bool leaving) {
  leaving_known_since_.reset();
  faults.leaving = leaving;
  ++sequence_;
}

void FakeServer::StartNewProcess() {
  ++incarnation_;
  leaving_known_since_.reset();
  faults = {};
  queue_.clear();
  running_ = 0;
}

// Called for each call that arrives while the server is leaving.
void FakeServer::RecordCallWhileLeaving() {
  const base::Instant now = scheduler_.Now();
  if (!leaving_known_since_)
    leaving_known_since_ = now;
  if (now - *leaving_known_since_ > kLeavingGrace)
    ++record_.calls_after_leaving_grace;
}

upstream::ServerReport FakeServer::Report() {
  const bool leaving = faults.leaving && !faults.denies_leaving;
  if (leaving && !leaving_known_since_)
    leaving_known_since_ = scheduler_.Now();
  return {address_, incarnation_, sequence_,
          leaving ? upstream::ServerPhase::kLeaving
                  : upstream::ServerPhase::kServing,
          held_};
}

ShardOutcome FakeServer::Answer(const upstream::ShardCall& call) {
  auto held =
      std::ranges::find(held_, call.version, &upstream::HeldIndex::version);
  if (faults.answers_newest_version && !held_.empty())
    held = std::ranges::max_element(held_, {}, &upstream::HeldIndex::version);
  if (held == held_.end())
    return tl::make_unexpected(ShardFailure::kVersionGone);
  upstream::ShardReply reply{
      call.request_id, call.attempt, held->version, held->shard_count, {}};
  const bool is_mismatched = faults.mismatched_answers > 0;
  for (const uint32_t shard : call.shards)
    reply.results.push_back(
        {shard, ItemsOf(held->version, shard,
                        is_mismatched ? "another query" : call.query)});
  if (is_mismatched) {
    --faults.mismatched_answers;
    reply.request_id += "x";
  }
  if (faults.incomplete_answers > 0) {
    --faults.incomplete_answers;
    reply.results.pop_back();
  }
  return reply;
}

void FakeServer::RunShards(const upstream::ShardCall& call,
                           base::Instant deadline,
                           std::function<void(ShardOutcome)> done) {
  if (faults.dead)
    return;
  if (faults.leaving) {
    RecordCallWhileLeaving();
    done(tl::make_unexpected(ShardFailure::kLeaving));
    return;
  }
  Enqueue({deadline, incarnation_,
           [this, call, done] {
             ++record_.shard_calls;
             record_.queries.insert(call.query);
             done(Answer(call));
           },
           [done] { done(tl::make_unexpected(ShardFailure::kOverloaded)); }});
}

void FakeServer::RunBooking(const std::string& run_id,
                            base::Instant deadline,
                            std::function<void(query::BookingOutcome)> done) {
  if (faults.dead)
    return;
  const auto refuse = [done](base::ErrorKind kind) {
    done(query::BookingOutcome::NotRun(base::Error(
        kind, "the server refused the booking", "try another server")));
  };
  if (faults.leaving) {
    RecordCallWhileLeaving();
    refuse(base::ErrorKind::kCancelled);
    return;
  }
  Enqueue({deadline, incarnation_,
           [this, run_id, done] {
             ++record_.booking_runs[run_id];
             if (faults.resets_after_booking) {
               done(query::BookingOutcome::Unknown(base::Error(
                   base::ErrorKind::kUnavailable, "the connection was reset",
                   "query the outcome")));
               return;
             }
             done(query::BookingOutcome::Answered("\"" + run_id + "\""));
           },
           [refuse] { refuse(base::ErrorKind::kOverloaded); }});
}

void FakeServer::Enqueue(Work work) {
  if (queue_.size() >= kMaxQueuedPerSlot * static_cast<size_t>(slots_)) {
    ++record_.shed;
    work.reject();
    return;
  }
  queue_.push_back(std::move(work));
  StartQueuedWork();
}

void FakeServer::StartQueuedWork() {
  while (running_ < slots_ && !queue_.empty() && !faults.stalled) {
    Work work = std::move(queue_.front());
    queue_.pop_front();
    if (scheduler_.Now() >= work.deadline) {
      ++record_.shed;
      work.reject();
      continue;
    }
    ++running_;
    const auto time = std::chrono::duration_cast<base::Duration>(
        service_time_(random_) * faults.service_time_factor);
    scheduler_.After(time, [this, work = std::move(work)] {
      if (work.incarnation != incarnation_ || faults.dead)
        return;
      --running_;
      work.run();
      StartQueuedWork();
    });
  }
}

}  // namespace fakes
