// Implements the stand-in for one server of an upstream.

#include "StandIns/upstream_server.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

#include "LibBase/random.h"

namespace standins {

using nlohmann::json;

namespace {

constexpr base::Duration kServiceTime = std::chrono::milliseconds(2);
constexpr size_t kMaxQueuedPerSlot = 16;

http::Response Refusal(std::string reason) {
  http::Response response;
  response.status = http::kStatusUnavailable;
  response.headers.push_back({"Shard-Refusal", std::move(reason)});
  response.body = "{}";
  return response;
}

uint64_t UnixMilliseconds() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

base::Duration TimeLeftOf(const http::Request& request) {
  const json body = json::parse(request.body, nullptr, false);
  return base::Duration(body.is_object() ? body.value("timeLeftUs", int64_t{0})
                                         : 0);
}

}  // namespace

std::string ItemsOf(const std::string& upstream,
                    uint64_t version,
                    uint32_t shard,
                    const std::string& query) {
  const uint64_t document =
      base::StableHash(upstream + "/" + std::to_string(version) + "/" +
                       std::to_string(shard) + "/" + query);
  return json::array({{{"document", document % 1'000'000}, {"query", query}}})
      .dump();
}

base::Result<std::unique_ptr<UpstreamServer>> UpstreamServer::Create(
    boost::asio::io_context& io,
    const config::Upstream& upstream,
    const config::Server& server,
    std::vector<upstream::HeldIndex> held) {
  auto stand_in = std::unique_ptr<UpstreamServer>(
      new UpstreamServer(io, upstream, server, std::move(held)));
  http::ServerLimits limits;
  limits.max_connections = static_cast<size_t>(upstream.connections);
  limits.accept_delay = upstream.new_connection_cost;
  stand_in->server_ = TRY(http::Server::Create(
      io, server.address, limits,
      [self = stand_in.get()](http::Request request,
                              const http::Responder& respond) {
        self->Handle(std::move(request), respond);
      }));
  return stand_in;
}

UpstreamServer::UpstreamServer(boost::asio::io_context& io,
                               const config::Upstream& upstream,
                               const config::Server& server,
                               std::vector<upstream::HeldIndex> held)
    : address_(server.address),
      upstream_(upstream.name),
      availability_zone_(server.availability_zone),
      slots_(upstream.slots),
      scheduler_(io),
      incarnation_(UnixMilliseconds()),
      service_time_(kServiceTime),
      held_(std::move(held)) {}

void UpstreamServer::SetFaults(const ServerFaults& faults) {
  const std::lock_guard lock(mutex_);
  faults_ = faults;
  ++sequence_;
}

ServerFaults UpstreamServer::faults() {
  const std::lock_guard lock(mutex_);
  return faults_;
}

void UpstreamServer::SetServiceTime(base::Duration time) {
  const std::lock_guard lock(mutex_);
  service_time_ = time;
}

void UpstreamServer::SetHeld(std::vector<upstream::HeldIndex> held) {
  const std::lock_guard lock(mutex_);
  held_ = std::move(held);
  ++sequence_;
}

ServerRecords UpstreamServer::records() {
  const std::lock_guard lock(mutex_);
  return records_;
}

http::Response UpstreamServer::ReportAnswer() {
  const bool leaving = faults_.leaving && !faults_.denies_leaving;
  http::Response response;
  response.body =
      upstream::SerializeReport({address_, incarnation_, sequence_,
                                 leaving ? upstream::ServerPhase::kLeaving
                                         : upstream::ServerPhase::kServing,
                                 held_});
  return response;
}

void UpstreamServer::Handle(http::Request request,
                            const http::Responder& respond) {
  http::Response response;
  {
    const std::lock_guard lock(mutex_);
    records_.most_connections = std::max<uint64_t>(records_.most_connections,
                                                   server_->open_connections());
    if (request.target == "/status") {
      response = ReportAnswer();
    } else if (faults_.silent_requests > 0) {
      --faults_.silent_requests;
      return;
    } else if (faults_.leaving) {
      ++records_.refused_while_leaving;
      response = Refusal("leaving");
    } else if (queue_.size() >=
               kMaxQueuedPerSlot * static_cast<size_t>(slots_)) {
      ++records_.shed;
      response = Refusal("overloaded");
    } else {
      const base::Instant deadline = scheduler_.Now() + TimeLeftOf(request);
      queue_.push_back({std::move(request), respond, deadline});
      StartQueuedWork();
      return;
    }
  }
  respond(std::move(response));
}

// Called with the lock held.
void UpstreamServer::StartQueuedWork() {
  while (running_ < slots_ && !queue_.empty()) {
    QueuedRequest work = std::move(queue_.front());
    queue_.pop_front();
    if (scheduler_.Now() >= work.deadline) {
      ++records_.shed;
      scheduler_.After({}, [work] { work.respond(Refusal("overloaded")); });
      continue;
    }
    ++running_;
    const auto time = std::chrono::duration_cast<base::Duration>(
        service_time_ * faults_.service_time_factor);
    scheduler_.After(time, [this, work = std::move(work)] { Finish(work); });
  }
}

void UpstreamServer::Finish(const QueuedRequest& work) {
  http::Response response;
  base::Duration delay{};
  {
    const std::lock_guard lock(mutex_);
    --running_;
    const bool is_booking = work.request.target == "/bookings";
    response =
        is_booking ? BookingAnswer(work.request) : ShardAnswer(work.request);
    if (is_booking)
      delay = faults_.booking_delay;
    StartQueuedWork();
  }
  if (delay == base::Duration::zero())
    work.respond(std::move(response));
  else
    scheduler_.After(delay,
                     [respond = work.respond, response] { respond(response); });
}

// Called with the lock held.
http::Response UpstreamServer::ShardAnswer(const http::Request& request) {
  const json call = json::parse(request.body, nullptr, false);
  if (!call.is_object())
    return {http::kStatusBadRequest};
  const auto held = std::ranges::find(held_, call.at("version").get<uint64_t>(),
                                      &upstream::HeldIndex::version);
  if (held == held_.end())
    return Refusal("version_gone");
  ++records_.shard_calls;
  if (faults_.leaving)
    ++records_.calls_after_leaving;
  json results = json::array();
  for (const json& shard : call.at("shards"))
    results.push_back(
        {{"shard", shard},
         {"items",
          json::parse(ItemsOf(upstream_, held->version, shard.get<uint32_t>(),
                              call.at("query").get<std::string>()))}});
  json answer = {{"requestId", call.at("requestId")},
                 {"attempt", call.at("attempt")},
                 {"version", held->version},
                 {"shardCount", held->shard_count},
                 {"results", std::move(results)}};
  if (faults_.mismatched_answers > 0) {
    --faults_.mismatched_answers;
    answer["requestId"] = "of-another-request";
  }
  http::Response response;
  response.body = answer.dump();
  return response;
}

// Called with the lock held.
http::Response UpstreamServer::BookingAnswer(const http::Request& request) {
  const json call = json::parse(request.body, nullptr, false);
  if (!call.is_object())
    return {http::kStatusBadRequest};
  const auto run_id = call.at("runId").get<std::string>();
  ++records_.booking_runs[run_id];
  http::Response response;
  response.body = json{{"runId", run_id},
                       {"result",
                        {{"confirmedBy", address_},
                         {"key", call.at("key")},
                         {"body", call.at("body")}}}}
                      .dump();
  return response;
}

}  // namespace standins
