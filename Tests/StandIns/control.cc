// Implements the control interface of the stand-ins.

#include "StandIns/control.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace standins {

using nlohmann::json;

namespace {

constexpr uint32_t kShardsPerService = 4;
constexpr uint64_t kFirstVersion = 1;

base::Duration Milliseconds(const json& body, const char* key) {
  return std::chrono::milliseconds(body.value(key, int64_t{0}));
}

bool Matches(const UpstreamServer& server, const std::string& match) {
  return match.empty() || server.upstream() == match ||
         server.availability_zone() == match || server.address() == match;
}

}  // namespace

upstream::HeldIndex HeldIndexFor(size_t service,
                                 size_t service_count,
                                 uint32_t shards_per_service,
                                 uint64_t version) {
  upstream::HeldIndex held;
  held.version = version;
  held.shard_count = static_cast<uint32_t>(service_count) * shards_per_service;
  // Shards are interleaved, so that neighbours in the index are held by
  // different services.
  for (uint32_t i = 0; i < shards_per_service; ++i)
    held.shards.push_back(static_cast<uint32_t>(service) +
                          i * static_cast<uint32_t>(service_count));
  return held;
}

base::Result<std::unique_ptr<Control>> Control::Create(
    boost::asio::io_context& io,
    config::Configuration configuration,
    const StandInAddresses& addresses) {
  auto control =
      std::unique_ptr<Control>(new Control(std::move(configuration)));
  TRY_VOID(control->Start(io, addresses));
  return control;
}

base::Result<void> Control::Start(boost::asio::io_context& io,
                                  const StandInAddresses& addresses) {
  for (const config::Upstream& upstream : configuration_.upstreams) {
    for (size_t i = 0; i < upstream.services.size(); ++i) {
      for (const config::Server& server : upstream.services[i].servers)
        servers_.push_back(TRY(UpstreamServer::Create(
            io, upstream, server,
            {HeldIndexFor(i, upstream.services.size(), kShardsPerService,
                          kFirstVersion)})));
    }
  }
  store_ = TRY(KeyValueService::Create(io, addresses.store));
  host_list_ = TRY(http::Server::Create(
      io, addresses.host_list, {},
      [this](const http::Request&, const http::Responder& respond) {
        http::Response response;
        {
          const std::lock_guard lock(mutex_);
          response.body = hosts_;
        }
        respond(std::move(response));
      }));
  control_ = TRY(http::Server::Create(
      io, addresses.control, {},
      [this](const http::Request& request, const http::Responder& respond) {
        respond(Handle(request));
      }));
  return {};
}

http::Response Control::Handle(const http::Request& request) {
  http::Response response;
  response.body = "{}";
  if (request.target == "/servers") {
    SetServers(request.body);
  } else if (request.target == "/index") {
    SetIndex(request.body);
  } else if (request.target == "/store") {
    SetStore(request.body);
  } else if (request.target == "/hosts") {
    const std::lock_guard lock(mutex_);
    hosts_ = request.body;
  } else if (request.target == "/records") {
    response.body = RecordsText();
  } else {
    response.status = http::kStatusNotFound;
  }
  return response;
}

void Control::SetServers(const std::string& text) {
  const json body = json::parse(text);
  for (const auto& server : servers_) {
    if (!Matches(*server, body.value("match", "")))
      continue;
    ServerFaults faults;
    faults.leaving = body.value("leaving", false);
    faults.denies_leaving = body.value("liesAboutLeaving", false);
    faults.service_time_factor = body.value("straggle", 1.0);
    faults.silent_requests = body.value("silentRequests", 0);
    faults.mismatched_answers = body.value("foreignAnswers", 0);
    faults.booking_delay = Milliseconds(body, "bookingDelayMs");
    server->SetFaults(faults);
    if (body.contains("serviceMs"))
      server->SetServiceTime(Milliseconds(body, "serviceMs"));
  }
}

void Control::SetIndex(const std::string& text) {
  const json body = json::parse(text);
  const auto name = body.at("upstream").get<std::string>();
  const auto version = body.at("version").get<uint64_t>();
  const auto per_service = body.value("shardsPerService", kShardsPerService);
  const config::Upstream* upstream = configuration_.FindUpstream(name);
  if (!upstream)
    return;
  const size_t count = upstream->services.size();
  for (const auto& server : servers_) {
    for (size_t i = 0; i < count; ++i) {
      for (const config::Server& listed : upstream->services[i].servers) {
        if (listed.address != server->address())
          continue;
        std::vector<upstream::HeldIndex> held;
        if (body.value("keepOld", false))
          held.push_back(
              HeldIndexFor(i, count, kShardsPerService, version - 1));
        held.push_back(HeldIndexFor(i, count, per_service, version));
        server->SetHeld(std::move(held));
      }
    }
  }
}

void Control::SetStore(const std::string& text) {
  const json body = json::parse(text);
  StoreFaults faults;
  faults.outage = body.value("outage", false);
  faults.answer_delay = Milliseconds(body, "slowMs");
  faults.lost_write_answers = body.value("loseWriteAnswers", 0);
  store_->SetFaults(faults);
}

std::string Control::RecordsText() {
  json list = json::array();
  for (const auto& server : servers_) {
    const ServerRecords records = server->records();
    list.push_back({{"address", server->address()},
                    {"upstream", server->upstream()},
                    {"shardCalls", records.shard_calls},
                    {"callsAfterLeaving", records.calls_after_leaving},
                    {"refusedWhileLeaving", records.refused_while_leaving},
                    {"shed", records.shed},
                    {"mostConnections", records.most_connections},
                    {"bookingRuns", records.booking_runs}});
  }
  const StoreCounts counts = store_->counts();
  return json{{"servers", list},
              {"storeReads", counts.reads},
              {"storeWrites", counts.writes}}
      .dump();
}

}  // namespace standins
