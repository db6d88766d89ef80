// Implements the stand-in for the key-value service.

#include "StandIns/key_value_service.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace standins {

namespace {

constexpr size_t kMaxValueBytes = size_t{1024} * 1024;
constexpr std::string_view kKeyPath = "/kv/";
constexpr std::string_view kLeasePath = "/leases/";

uint64_t NumberParameter(const std::string& target, std::string_view name) {
  return std::strtoull(http::QueryParameter(target, name).c_str(), nullptr, 10);
}

std::string KeyFromTarget(const std::string& target) {
  return std::string(http::Path(target).substr(kKeyPath.size()));
}

}  // namespace

base::Result<std::unique_ptr<KeyValueService>> KeyValueService::Create(
    boost::asio::io_context& io,
    const std::string& address) {
  auto service = std::unique_ptr<KeyValueService>(new KeyValueService(io));
  http::ServerLimits limits;
  limits.max_body_bytes = kMaxValueBytes;
  service->server_ = TRY(http::Server::Create(
      io, address, limits,
      [self = service.get()](const http::Request& request,
                             const http::Responder& respond) {
        self->Handle(request, respond);
      }));
  return service;
}

void KeyValueService::SetFaults(const StoreFaults& faults) {
  const std::lock_guard lock(mutex_);
  faults_ = faults;
}

StoreCounts KeyValueService::counts() {
  const std::lock_guard lock(mutex_);
  return counts_;
}

// Called with the lock held. The answer therefore goes through the scheduler,
// not directly to `respond`. There is no answer during an outage.
void KeyValueService::Answer(const http::Responder& respond,
                             http::Response response) {
  if (faults_.outage)
    return;
  scheduler_.After(
      faults_.answer_delay,
      [respond, response = std::move(response)] { respond(response); });
}

http::Response KeyValueService::ValueAnswer(const std::string& key) {
  http::Response response;
  const auto found = entries_.find(key);
  if (found == entries_.end()) {
    response.status = http::kStatusNotFound;
    return response;
  }
  response.body = found->second.value;
  response.headers.push_back(
      {"Store-Version", std::to_string(found->second.version)});
  return response;
}

void KeyValueService::Handle(const http::Request& request,
                             const http::Responder& respond) {
  const std::lock_guard lock(mutex_);
  ExpireLeases();
  if (request.target.starts_with(kLeasePath))
    TakeOrRenewLease(request, respond);
  else if (!request.target.starts_with(kKeyPath))
    Answer(respond, {http::kStatusNotFound});
  else if (request.method == "PUT")
    Write(request, respond);
  else
    Read(request, respond);
}

void KeyValueService::Read(const http::Request& request,
                           const http::Responder& respond) {
  ++counts_.reads;
  const std::string key = KeyFromTarget(request.target);
  const uint64_t wait_ms = NumberParameter(request.target, "waitMs");
  const uint64_t above = NumberParameter(request.target, "above");
  const auto found = entries_.find(key);
  const bool is_newer =
      found != entries_.end() && found->second.version > above;
  if (wait_ms == 0 || is_newer || faults_.outage) {
    Answer(respond, ValueAnswer(key));
    return;
  }
  const auto wait = std::chrono::milliseconds(wait_ms);
  watchers_.push_back({key, above, scheduler_.Now() + wait, respond});
  scheduler_.After(wait, [this] {
    const std::lock_guard lock(mutex_);
    AnswerWatches(true);
  });
}

void KeyValueService::AnswerWatches(bool include_expired) {
  const base::Instant now = scheduler_.Now();
  std::erase_if(watchers_, [&](const Watcher& watcher) {
    const auto found = entries_.find(watcher.key);
    const bool newer =
        found != entries_.end() && found->second.version > watcher.above;
    const bool expired = include_expired && watcher.deadline <= now;
    if (newer || expired)
      Answer(watcher.respond, ValueAnswer(watcher.key));
    return newer || expired;
  });
}

void KeyValueService::Write(const http::Request& request,
                            const http::Responder& respond) {
  if (faults_.outage)
    return;
  ++counts_.writes;
  const std::string key = KeyFromTarget(request.target);
  const uint64_t expected = NumberParameter(request.target, "expected");
  const auto found = entries_.find(key);
  const uint64_t version = found == entries_.end() ? 0 : found->second.version;
  if (version != expected) {
    Answer(respond, {http::kStatusConflict});
    return;
  }
  entries_[key] = {request.body, next_version_++,
                   http::QueryParameter(request.target, "lease")};
  AnswerWatches(false);
  if (faults_.lost_write_answers > 0) {
    --faults_.lost_write_answers;
    return;
  }
  http::Response response;
  response.headers.push_back(
      {"Store-Version", std::to_string(entries_[key].version)});
  Answer(respond, std::move(response));
}

// PUT /leases/NAME?ttlMs=N takes a lease or extends it.
void KeyValueService::TakeOrRenewLease(const http::Request& request,
                                       const http::Responder& respond) {
  if (faults_.outage)
    return;
  ++counts_.writes;
  const std::string name(http::Path(request.target).substr(kLeasePath.size()));
  const auto ttl =
      std::chrono::milliseconds(NumberParameter(request.target, "ttlMs"));
  leases_[name] = scheduler_.Now() + ttl;
  Answer(respond, {});
}

// Removes expired leases, and the keys whose lease has expired or was never
// taken.
void KeyValueService::ExpireLeases() {
  const base::Instant now = scheduler_.Now();
  std::erase_if(leases_,
                [&](const auto& lease) { return lease.second <= now; });
  std::erase_if(entries_, [&](const auto& entry) {
    return !entry.second.lease.empty() && !leases_.contains(entry.second.lease);
  });
}

}  // namespace standins
