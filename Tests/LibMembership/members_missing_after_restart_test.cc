// Guards against hosts that did not find each other after a restart of all:
// comparisons of facts sent the same page of other facts each time.

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "LibMembership/gossip_cluster.h"
#include "LibMembership/member_codec.h"
#include "LibMembership/membership_controller.h"

namespace membership {
namespace {

using std::chrono::seconds;

// As many as large installations have, and servers of three index versions.
constexpr size_t kNodes = 118;
constexpr size_t kSeeds = 3;
constexpr size_t kClaims = 1113;
constexpr size_t kClaimBytes = 230;
// The time in which a change has to reach all nodes.
constexpr base::Duration kSpreadTime = seconds(5);
// A comparison of unequal tables is one page to each side.
constexpr size_t kMaxPageBytes = MembershipRules().max_sync_bytes;

std::vector<Fact> MakeClaims(const std::string& prefix) {
  std::vector<Fact> claims;
  for (size_t i = 0; i < kClaims; ++i)
    claims.push_back({"claim/" + prefix + std::to_string(i),
                      {1, 0},
                      std::string(kClaimBytes, 'x')});
  return claims;
}

void AddAll(FactTable& table, const std::vector<Fact>& facts) {
  for (const Fact& fact : facts)
    table.AddIfNewer(fact, FactTable::Spread::kNone);
}

// Dead members are known like others, but not asked.
std::vector<Fact> MakeDeadMembers() {
  std::vector<Fact> facts;
  for (size_t i = 0; i < kNodes; ++i) {
    Member member = MakeMember("m" + std::to_string(i));
    member.state = MemberState::kDead;
    facts.push_back(ToFact(member));
  }
  return facts;
}

size_t SizeInBytes(const std::vector<Fact>& facts) {
  size_t bytes = 0;
  for (const Fact& fact : facts)
    bytes += fact.key.size() + fact.value.size();
  return bytes;
}

// Lets node 0 compare its facts with node 1 until they are equal, and returns
// how often.
size_t CompareUntilEqual(GossipCluster& cluster, size_t max_comparisons) {
  for (size_t i = 0; i < max_comparisons; ++i) {
    if (cluster.facts(0).CurrentBucketHashes() ==
        cluster.facts(1).CurrentBucketHashes())
      return i;
    cluster.controller(0).Synchronize([] {});
  }
  return max_comparisons;
}

TEST_CASE(
    "after a restart of all, hosts that know many servers find each other") {
  GossipCluster cluster(kNodes, kSeeds);
  const auto claims = MakeClaims("");
  // Each host has read the store at another moment.
  for (size_t node = 0; node < kNodes; ++node) {
    for (size_t i = 0; i < kClaims; ++i) {
      if ((i + node) % 10 != 0)
        cluster.facts(node).AddIfNewer(claims[i], FactTable::Spread::kNone);
    }
  }
  cluster.Start();
  cluster.scheduler.RunFor(kSpreadTime);
  CHECK(cluster.CountNodesWithAllMembers() == kNodes);
  CHECK(cluster.CountNodesWith(kNodes + kClaims) == kNodes);
}

TEST_CASE("members that only one side knows are found among many equal facts") {
  GossipCluster cluster(2, 2);
  cluster.StartAndSettle();
  const auto claims = MakeClaims("");
  const auto members = MakeDeadMembers();
  for (size_t node = 0; node < 2; ++node)
    AddAll(cluster.facts(node), claims);
  for (size_t i = 0; i < kNodes; ++i)
    cluster.facts(i % 2).AddIfNewer(members[i], FactTable::Spread::kNone);
  CHECK(CompareUntilEqual(cluster, 10) <= 1);
  // NOTE: What is equal isn't sent, whatever buckets it is in.
  CHECK(cluster.sent_fact_bytes <= SizeInBytes(members));
  CHECK(cluster.sent_comparison_bytes <
        (kClaims + kNodes) * sizeof(FactSummary));
}

TEST_CASE("wholly different facts become equal, members first") {
  GossipCluster cluster(2, 2);
  cluster.StartAndSettle();
  const auto first = MakeClaims("first");
  const auto second = MakeClaims("second");
  AddAll(cluster.facts(0), first);
  AddAll(cluster.facts(1), second);
  const auto members = MakeDeadMembers();
  AddAll(cluster.facts(1), members);
  cluster.controller(0).Synchronize([] {});
  CHECK(cluster.facts(0).WithPrefix(kMemberFactPrefix).size() ==
        kNodes + cluster.node_count());

  const size_t pages = SizeInBytes(first) / kMaxPageBytes + 2;
  CHECK(CompareUntilEqual(cluster, 4 * pages) <= pages);
  CHECK(cluster.sent_fact_bytes <=
        SizeInBytes(first) + SizeInBytes(second) + SizeInBytes(members));
}

TEST_CASE(
    "a host that knows nothing learns its peers with the first comparison") {
  GossipCluster cluster(2, 2);
  cluster.StartAndSettle();
  AddAll(cluster.facts(1), MakeClaims(""));
  AddAll(cluster.facts(1), MakeDeadMembers());
  cluster.controller(0).Synchronize([] {});
  CHECK(cluster.facts(0).WithPrefix(kMemberFactPrefix).size() ==
        kNodes + cluster.node_count());
}

}  // namespace
}  // namespace membership
