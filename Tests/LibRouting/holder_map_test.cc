// The holders of connections: few services change their holders when a node is
// lost, and no server's connection limit is exceeded even if nodes see
// different members.

#include <doctest/doctest.h>

#include <map>
#include <set>

#include "LibRouting/cluster_view.h"

namespace {

std::vector<membership::Member> MakeMembers(int count) {
  std::vector<membership::Member> members;
  for (int i = 0; i < count; ++i) {
    membership::Member member;
    member.node_id = "n" + std::to_string(i);
    member.availability_zone = "z" + std::to_string(i % 3);
    members.push_back(member);
  }
  return members;
}

config::Upstream MakeUpstream(size_t services) {
  config::Upstream upstream;
  upstream.name = "u";
  upstream.services.resize(services);
  return upstream;
}

TEST_CASE("each service has two holders in different zones") {
  const routing::HolderRules rules{2, 30};
  const std::vector upstreams = {MakeUpstream(300)};
  const auto members = MakeMembers(30);
  const routing::HolderMap map(upstreams, members, rules);
  for (size_t service = 0; service < 300; ++service) {
    const auto& holders = map.HoldersOf("u", service);
    REQUIRE(holders.size() == 2);
    const int first = std::stoi(holders[0].substr(1));
    const int second = std::stoi(holders[1].substr(1));
    CHECK(first % 3 != second % 3);
  }
  CHECK(map.HoldersOf("u", 300).empty());
  CHECK(map.HoldersOf("v", 0).empty());
}

TEST_CASE("the loss of a node changes only the holders of its services") {
  const routing::HolderRules rules{2, 30};
  const std::vector upstreams = {MakeUpstream(300)};
  auto members = MakeMembers(30);
  const routing::HolderMap before(upstreams, members, rules);
  members[7].state = membership::MemberState::kDead;
  const routing::HolderMap after(upstreams, members, rules);
  for (size_t service = 0; service < 300; ++service) {
    if (!before.IsHolder("n7", "u", service))
      CHECK(before.HoldersOf("u", service) == after.HoldersOf("u", service));
    CHECK(!after.IsHolder("n7", "u", service));
  }
}

TEST_CASE("holders under two views together stay within the connection limit") {
  const routing::HolderRules rules{2, 4};
  for (const int limit : {4, 25, 30, 40, 110})
    CHECK(4 * routing::ConnectionsPerNode(limit, rules) <= limit);
}

TEST_CASE("without a majority only a share of an account can be granted") {
  auto members = MakeMembers(4);
  const auto configuration = std::make_shared<config::Configuration>();
  const routing::HolderRules rules{2, 4};
  CHECK(routing::ClusterView("n0", members, configuration, rules)
            .GrantableFraction() == 1.0);
  members[1].state = membership::MemberState::kDead;
  members[2].state = membership::MemberState::kDead;
  CHECK(routing::ClusterView("n0", members, configuration, rules)
            .GrantableFraction() == 0.5);
}

}  // namespace
