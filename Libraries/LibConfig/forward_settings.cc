// Parses the settings of a forwarding node.

#include "LibConfig/forward_settings.h"

#include <nlohmann/json.hpp>

#include "LibConfig/json_object_reader.h"
#include "LibConfig/json_text.h"

namespace config {

namespace {

constexpr IntegerRange kHoldSeconds{1, 600};
constexpr IntegerRange kGraceSeconds{1, 600};
constexpr IntegerRange kGossipMs{20, 10'000};
constexpr IntegerRange kWindowSeconds{1, 600};
constexpr IntegerRange kRemoteCostMs{0, 10'000};
constexpr NumberRange kShare{0, 1};
constexpr NumberRange kSlack{0, 1e6};
constexpr double kDefaultShare = 0.05;
constexpr int64_t kDefaultWindowSeconds = 10;
constexpr int64_t kDefaultGossipMs = 200;

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
  settings.address_hold =
      std::chrono::seconds(reader.Integer("addressHoldSeconds", kHoldSeconds));
  settings.stop_grace =
      std::chrono::seconds(reader.Integer("stopGraceSeconds", kGraceSeconds));
  settings.gossip_period = std::chrono::milliseconds(
      reader.OptionalInteger("gossipPeriodMs", kGossipMs, kDefaultGossipMs));
  settings.remote_cost = std::chrono::milliseconds(
      reader.OptionalInteger("remoteCostMs", kRemoteCostMs, 0));
  settings.extra_load_share =
      reader.OptionalNumber("extraLoadShare", kShare, kDefaultShare);
  settings.extra_load_window = std::chrono::seconds(reader.OptionalInteger(
      "extraLoadWindowSeconds", kWindowSeconds, kDefaultWindowSeconds));
  settings.extra_load_slack =
      reader.OptionalNumber("extraLoadSlack", kSlack, 0);
  reader.RejectUnknownKeys();
  return parsed;
}

}  // namespace config
