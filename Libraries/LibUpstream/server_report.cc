// Converts server reports to and from JSON.

#include "LibUpstream/server_report.h"

#include <nlohmann/json.hpp>

namespace upstream {

using nlohmann::json;

std::string SerializeReport(const ServerReport& report) {
  json held = json::array();
  for (const HeldIndex& index : report.held)
    held.push_back({{"version", index.version},
                    {"shardCount", index.shard_count},
                    {"shards", index.shards}});
  return json{{"address", report.address},
              {"incarnation", report.incarnation},
              {"sequence", report.sequence},
              {"leaving", report.phase == ServerPhase::kLeaving},
              {"held", held}}
      .dump();
}

base::Result<ServerReport> ParseReport(std::string_view text) {
  try {
    const json document = json::parse(text);
    ServerReport report;
    report.address = document.at("address").get<std::string>();
    report.incarnation = document.at("incarnation").get<uint64_t>();
    report.sequence = document.at("sequence").get<uint64_t>();
    report.phase = document.at("leaving").get<bool>() ? ServerPhase::kLeaving
                                                      : ServerPhase::kServing;
    for (const json& held : document.at("held"))
      report.held.push_back({held.at("version").get<uint64_t>(),
                             held.at("shardCount").get<uint32_t>(),
                             held.at("shards").get<std::vector<uint32_t>>()});
    return report;
  } catch (const json::exception& error) {
    return base::Fail(
        base::ErrorKind::kProtocol,
        std::string("server report is not valid: ") + error.what(),
        "run a server version that this node supports");
  }
}

}  // namespace upstream
