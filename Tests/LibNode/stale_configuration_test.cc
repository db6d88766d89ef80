// Tests that disturbances of the store don't keep an old configuration in
// force.

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "Fakes/forward_tier.h"

namespace node {
namespace {

using fakes::ForwardTier;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kNodeCount = 4;
constexpr int kServiceCount = 4;
constexpr int kManyNodes = 40;
constexpr int kManyServers = 1200;

std::unique_ptr<ForwardTier> MakeTier() {
  return ForwardTier::CreateSettled(kNodeCount, kServiceCount);
}

// Bounds of the platform's rules: a configuration is in force this long after
// its acknowledgement, by nodes that were undisturbed for the stable time.
constexpr base::Duration kConfigurationBound = seconds(3);
constexpr base::Duration kStableTime = seconds(4);
// The delay between a disturbance and the change that follows it.
constexpr base::Duration kChangeDelay = milliseconds(100);
constexpr base::Duration kPhaseStep = milliseconds(250);

uint64_t RevisionInForce(ForwardTier& tier, int node) {
  return nlohmann::json::parse(tier.core(node).StateText())["revision"];
}

// Publishes a configuration shortly after a disturbance and checks it at the
// bound.
void CheckNextConfiguration(ForwardTier& tier) {
  static_assert(kChangeDelay + kConfigurationBound < kStableTime);
  tier.RunFor(kChangeDelay);
  tier.PutConfiguration(4, kServiceCount);
  tier.RunFor(kStableTime - kChangeDelay);
  for (int node = 0; node < kNodeCount; ++node)
    CHECK(RevisionInForce(tier, node) == 4);
}

TEST_CASE(
    "silent connections to the store keep no old configuration in force") {
  for (base::Duration phase{}; phase < seconds(5); phase += kPhaseStep) {
    CAPTURE(phase.count());
    const auto tier = MakeTier();
    tier->RunFor(phase);
    tier->store().SilenceOpenConnections();
    CheckNextConfiguration(*tier);
  }
}

TEST_CASE(
    "a silent store keeps no old configuration in force once it answers") {
  for (base::Duration outage = kPhaseStep; outage < seconds(12);
       outage += kPhaseStep) {
    CAPTURE(outage.count());
    const auto tier = MakeTier();
    tier->store().silent = true;
    tier->RunFor(outage);
    tier->store().silent = false;
    CheckNextConfiguration(*tier);
  }
}

// The load pattern: a new index starts hundreds of servers while operators
// publish. Two nodes of each zone read the store, and tell the others.
TEST_CASE("a configuration does not wait behind news of many servers") {
  const auto tier = ForwardTier::CreateSettled(kManyNodes, kServiceCount);
  for (int server = 0; server < kManyServers; ++server)
    tier->PutServer("new" + std::to_string(server), "s0");
  tier->PutConfiguration(4, kServiceCount);
  base::Duration in_force{};
  for (int node = 0; node < kManyNodes; ++node) {
    while (RevisionInForce(*tier, node) != 4 && in_force < kStableTime) {
      tier->RunFor(milliseconds(10));
      in_force += milliseconds(10);
    }
  }
  CAPTURE(in_force.count());
  CHECK(in_force <= kConfigurationBound);
}

}  // namespace
}  // namespace node
