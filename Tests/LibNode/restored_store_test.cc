// Tests of forwarding nodes whose store comes back from an older copy of its
// contents.

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "Fakes/forward_tier.h"

namespace node {
namespace {

using fakes::FakeEntryStoreState;
using fakes::ForwardTier;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kNodeCount = 4;
constexpr int kServiceCount = 4;
constexpr base::Duration kOutage = seconds(1);
// Bounds of the platform's rules. Changes must have taken effect this long
// after the store is back.
constexpr base::Duration kStableTime = seconds(4);
constexpr base::Duration kRewriteDelay = milliseconds(150);
// Changes that are lost and not written again.
constexpr int kLostChanges = 30;

std::unique_ptr<ForwardTier> MakeTier() {
  return ForwardTier::CreateSettled(kNodeCount, kServiceCount);
}

uint64_t RevisionInForce(ForwardTier& tier, int node) {
  return nlohmann::json::parse(tier.core(node).StateText())["revision"];
}

void CheckRevisionInForce(ForwardTier& tier, uint64_t revision) {
  for (int node = 0; node < kNodeCount; ++node)
    CHECK(RevisionInForce(tier, node) == revision);
}

void ChangeOtherServer(ForwardTier& tier, int times) {
  for (int i = 0; i < times; ++i)
    tier.PutServer("zs3", "s3");
}

// Waits until the nodes know what was written, and takes the store away.
void LoseStore(ForwardTier& tier) {
  tier.RunFor(milliseconds(800));
  tier.store().outage = true;
  tier.RunFor(kOutage);
}

void RestoreStore(ForwardTier& tier, const FakeEntryStoreState& copy) {
  tier.store().RestoreFrom(copy);
  tier.store().outage = false;
}

TEST_CASE("a restored store hides no configuration with a lower revision") {
  const auto tier = MakeTier();
  const FakeEntryStoreState copy = tier->store();
  ChangeOtherServer(*tier, kLostChanges);
  tier->PutConfiguration(4, kServiceCount);
  LoseStore(*tier);
  CheckRevisionInForce(*tier, 4);
  RestoreStore(*tier, copy);
  tier->RunFor(kRewriteDelay);
  CheckRevisionInForce(*tier, 4);
  tier->PutConfiguration(4, kServiceCount);
  tier->PutConfiguration(5, kServiceCount);
  tier->RunFor(kStableTime);
  CheckRevisionInForce(*tier, 5);
}

// A watch from the last revision is answered, since the store has it again, but
// it tells nothing of what was written before.
TEST_CASE(
    "a restored store hides no change at a revision that hosts have seen") {
  const auto tier = MakeTier();
  const FakeEntryStoreState copy = tier->store();
  ChangeOtherServer(*tier, kLostChanges);
  tier->RunFor(seconds(2));
  tier->store().outage = true;
  tier->RunFor(kOutage);
  RestoreStore(*tier, copy);
  tier->PutConfiguration(5, kServiceCount);
  ChangeOtherServer(*tier, kLostChanges - 1);
  REQUIRE(tier->store().revision == copy.revision + kLostChanges);
  tier->RunFor(kStableTime);
  CheckRevisionInForce(*tier, 5);
}

TEST_CASE("an answer of an earlier era has no effect") {
  const auto tier = MakeTier();
  tier->store().outage = true;
  tier->RunFor(kOutage);
  RestoreStore(*tier, FakeEntryStoreState(tier->store()));
  tier->RunFor(kStableTime);
  // A replica of the store that has not heard of the restore.
  tier->store().era = 1;
  tier->PutConfiguration(5, kServiceCount);
  tier->RunFor(kStableTime);
  CheckRevisionInForce(*tier, 3);
  tier->store().era = 2;
  tier->PutConfiguration(6, kServiceCount);
  tier->RunFor(kStableTime);
  CheckRevisionInForce(*tier, 6);
}

}  // namespace
}  // namespace node
