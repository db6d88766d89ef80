// Implements the slots, the queue and the answers of a stand-in server.

#include "stand_in_server.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>
#include <numbers>
#include <stdexcept>
#include <utility>

#include "wire.h"

namespace soak {

namespace {

namespace wire = platform::wire;

// The logarithm of the work is normally distributed.
constexpr double kWorkSpread = 0.5;
// The longest work, as a multiple of the mean.
constexpr double kMaxWorkFactor = 6;
constexpr base::Duration kDefaultTimeAllowed = std::chrono::minutes(1);
constexpr uint64_t kStartTime = 1'790'000'000'000;

base::Duration ParseTimeAllowed(const http::Headers& headers) {
  const std::string_view text = http::FindHeader(headers, wire::kDeadlineMs);
  int64_t milliseconds = 0;
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), milliseconds);
  return parsed.ec == std::errc() ? std::chrono::milliseconds(milliseconds)
                                  : kDefaultTimeAllowed;
}

// Uses the method of Box and Muller.
double StandardNormal(base::Random& random) {
  return std::sqrt(-2 * std::log(1 - random.Fraction())) *
         std::cos(2 * std::numbers::pi * random.Fraction());
}

}  // namespace

struct StandInServer::Job {
  std::string request_id;
  http::Responder respond;
  base::Instant arrived;
  base::Instant deadline;
  bool is_running = false;
  bool is_done = false;
};

StandInServer::StandInServer(boost::asio::io_context& io,
                             ServerOptions options,
                             base::Random& random,
                             Recorder& recorder)
    : options_(std::move(options)),
      random_(random),
      recorder_(recorder),
      scheduler_(io) {
  auto server = http::Server::Create(
      io, options_.address, {},
      http::CancellableHandler([this](const http::Request& request,
                                      http::Responder respond,
                                      const http::CancellationPtr& cancel) {
        Handle(request, std::move(respond), cancel);
      }));
  if (!server)
    throw std::runtime_error(server.error().ToString());
  server_ = *std::move(server);
}

std::string StandInServer::NextEntry(bool is_leaving) {
  return nlohmann::json{{"service", options_.service},
                        {"address", options_.address},
                        {"zone", options_.availability_zone},
                        {"version", "v1"},
                        {"slots", options_.slots},
                        {"state", is_leaving ? "draining" : "ready"},
                        {"cold_remaining_ms", 0},
                        {"sequence", ++sequence_},
                        {"born", kStartTime}}
      .dump();
}

void StandInServer::Handle(const http::Request& request,
                           http::Responder respond,
                           const http::CancellationPtr& cancellation) {
  auto job = std::make_shared<Job>();
  job->request_id = http::FindHeader(request.headers, wire::kRequestId);
  job->respond = std::move(respond);
  job->arrived = scheduler_.Now();
  job->deadline = job->arrived + ParseTimeAllowed(request.headers);
  const std::string_view expected =
      http::FindHeader(request.headers, wire::kExpectInstance);
  if (!expected.empty() && expected != options_.instance) {
    Finish(job, RunEnd::kRefused, http::kStatusMisdirected);
    return;
  }
  if (running_ >= options_.slots && waiting_.size() >= options_.queue) {
    Finish(job, RunEnd::kRefused, http::kStatusUnavailable);
    return;
  }
  cancellation->OnCancelled([this, job] {
    std::erase(waiting_, job);
    Finish(job, RunEnd::kDropped, http::kStatusGatewayTimeout);
  });
  waiting_.push_back(job);
  StartNext();
}

void StandInServer::StartNext() {
  while (running_ < options_.slots && !waiting_.empty()) {
    const JobPtr job = waiting_.front();
    waiting_.pop_front();
    if (job->deadline <= scheduler_.Now())
      Finish(job, RunEnd::kRefused, http::kStatusUnavailable);
    else
      Begin(job);
  }
}

void StandInServer::Begin(const JobPtr& job) {
  job->is_running = true;
  ++running_;
  const base::Duration work = WorkTime();
  const base::Duration left = job->deadline - scheduler_.Now();
  const int status =
      work <= left ? http::kStatusOk : http::kStatusGatewayTimeout;
  scheduler_.After(std::min(work, left), [this, job, status] {
    Finish(job, RunEnd::kAnswered, status);
  });
}

void StandInServer::Finish(const JobPtr& job, RunEnd end, int status) {
  if (std::exchange(job->is_done, true))
    return;
  recorder_.Add(ServerRun{job->request_id, options_.instance, job->arrived,
                          scheduler_.Now(), end});
  if (job->is_running) {
    --running_;
    StartNext();
  }
  http::Response response = MakeResponse(*job, status);
  if (end == RunEnd::kRefused)
    response.headers.push_back({wire::kNotExecuted, "1"});
  job->respond(std::move(response));
}

base::Duration StandInServer::WorkTime() {
  const double factor =
      std::min(std::exp(StandardNormal(random_) * kWorkSpread), kMaxWorkFactor);
  return std::chrono::duration_cast<base::Duration>(options_.mean_work *
                                                    factor);
}

http::Response StandInServer::MakeResponse(const Job& job, int status) const {
  http::Response response;
  response.status = status;
  response.content_type = "application/octet-stream";
  response.headers = {
      {wire::kRequestId, job.request_id},
      {wire::kServerLoad, std::to_string(running_) + "," +
                              std::to_string(waiting_.size()) + "," +
                              std::to_string(options_.slots)}};
  if (status == http::kStatusOk || status == http::kStatusGatewayTimeout)
    response.headers.push_back(
        {wire::kServerStamp,
         options_.service + "." + options_.instance + "." + job.request_id});
  if (status == http::kStatusOk)
    response.body = std::string(options_.body_bytes, 'r');
  return response;
}

}  // namespace soak
