// Parses the settings of a node.

#include "LibConfig/settings.h"

#include <nlohmann/json.hpp>

#include "LibConfig/json_object_reader.h"
#include "LibConfig/json_text.h"

namespace config {

namespace {

constexpr IntegerRange kPlannedNodesRange{1, 100'000};
constexpr IntegerRange kHoldersPerServiceRange{1, 64};
constexpr IntegerRange kThreadsRange{1, 256};
constexpr IntegerRange kDurationMsRange{100, 600'000};
constexpr IntegerRange kGossipPeriodMsRange{20, 10'000};

constexpr std::string_view kNodeIdCharacters =
    "abcdefghijklmnopqrstuvwxyz0123456789-";

base::Duration ReadMilliseconds(JsonObjectReader& reader,
                                std::string_view key,
                                IntegerRange range,
                                int64_t default_ms) {
  return std::chrono::milliseconds(
      reader.OptionalInteger(key, range, default_ms));
}

}  // namespace

ParsedSettings ParseSettings(std::string_view text, const std::string& file) {
  ParsedSettings parsed;
  const auto document = ParseJsonWithComments(text, file, parsed.issues);
  if (!parsed.issues.empty())
    return parsed;
  JsonObjectReader reader(document, file, "", parsed.issues);
  Settings& settings = parsed.settings;
  settings.node_id = reader.String("nodeId");
  settings.availability_zone = reader.String("availabilityZone");
  settings.caller_address = reader.Address("callerAddress");
  settings.operator_address = reader.Address("operatorAddress");
  settings.peer_address = reader.Address("peerAddress");
  settings.store_address = reader.Address("storeAddress");
  settings.host_list_address = reader.Address("hostListAddress");
  settings.peer_seeds = reader.Addresses("peerSeeds");
  settings.planned_nodes =
      static_cast<int>(reader.Integer("plannedNodes", kPlannedNodesRange));
  settings.holders_per_service = static_cast<int>(
      reader.OptionalInteger("holdersPerService", kHoldersPerServiceRange, 2));
  settings.threads =
      static_cast<int>(reader.OptionalInteger("threads", kThreadsRange, 2));
  settings.address_hold =
      ReadMilliseconds(reader, "addressHoldMs", kDurationMsRange, 3000);
  settings.drain_duration =
      ReadMilliseconds(reader, "drainMs", kDurationMsRange, 5000);
  settings.gossip_period =
      ReadMilliseconds(reader, "gossipPeriodMs", kGossipPeriodMsRange, 200);
  if (settings.address_hold >= settings.drain_duration)
    reader.Report("drainMs", "is not longer than addressHoldMs",
                  "set drainMs higher than addressHoldMs, since a stopping "
                  "node must serve callers that still hold its address");
  if (settings.node_id.find_first_not_of(kNodeIdCharacters) !=
      std::string::npos)
    reader.Report("nodeId", "is '" + settings.node_id + "'",
                  "use lower-case letters, digits and hyphens");
  reader.RejectUnknownKeys();
  return parsed;
}

}  // namespace config
