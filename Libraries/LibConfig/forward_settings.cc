// Parses the settings of a forwarding node.

#include "LibConfig/forward_settings.h"

#include <nlohmann/json.hpp>

#include "LibConfig/json_object_reader.h"
#include "LibConfig/json_text.h"

namespace config {

namespace {

constexpr IntegerRange kAddressHoldSecondsRange{1, 600};
constexpr IntegerRange kStopGraceSecondsRange{1, 600};
constexpr IntegerRange kGossipPeriodMsRange{20, 10'000};
constexpr IntegerRange kExtraLoadWindowSecondsRange{1, 600};
constexpr IntegerRange kRemoteCostMsRange{0, 10'000};
constexpr NumberRange kShareRange{0, 1};
constexpr NumberRange kExtraLoadSlackRange{0, 1e6};
constexpr double kDefaultExtraLoadShare = 0.05;
constexpr int64_t kDefaultExtraLoadWindowSeconds = 10;
constexpr int64_t kDefaultGossipPeriodMs = 200;

}  // namespace

ParsedForwardNodeSettings ParseForwardNodeSettings(std::string_view text,
                                                   const std::string& file) {
  ParsedForwardNodeSettings parsed;
  const auto document = ParseJsonWithComments(text, file, parsed.issues);
  if (!parsed.issues.empty())
    return parsed;
  JsonObjectReader reader(document, file, "", parsed.issues);
  ForwardNodeSettings& settings = parsed.settings;
  settings.node_id = reader.String("nodeId");
  settings.availability_zone = reader.String("availabilityZone");
  settings.caller_address = reader.Address("callerAddress");
  settings.readiness_address = reader.Address("readinessAddress");
  settings.directory_address = reader.Address("directoryAddress");
  settings.operator_address = reader.Address("operatorAddress");
  settings.peer_address = reader.Address("peerAddress");
  settings.store_address = reader.Address("storeAddress");
  settings.peer_seeds = reader.Addresses("peerSeeds");
  settings.address_hold = std::chrono::seconds(
      reader.Integer("addressHoldSeconds", kAddressHoldSecondsRange));
  settings.stop_grace = std::chrono::seconds(
      reader.Integer("stopGraceSeconds", kStopGraceSecondsRange));
  settings.gossip_period = std::chrono::milliseconds(reader.OptionalInteger(
      "gossipPeriodMs", kGossipPeriodMsRange, kDefaultGossipPeriodMs));
  settings.remote_cost = std::chrono::milliseconds(
      reader.OptionalInteger("remoteCostMs", kRemoteCostMsRange, 0));
  settings.extra_load_share = reader.OptionalNumber(
      "extraLoadShare", kShareRange, kDefaultExtraLoadShare);
  settings.extra_load_window = std::chrono::seconds(reader.OptionalInteger(
      "extraLoadWindowSeconds", kExtraLoadWindowSecondsRange,
      kDefaultExtraLoadWindowSeconds));
  settings.extra_load_slack =
      reader.OptionalNumber("extraLoadSlack", kExtraLoadSlackRange, 0);
  reader.RejectUnknownKeys();
  return parsed;
}

}  // namespace config
