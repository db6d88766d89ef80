// Tests which work is delegated to nodes in other zones, and their answers.

#include "LibQuery/delegation.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace query {
namespace {

constexpr char kOwnZone[] = "own";

// Makes one service for each list, with one server in each zone of the list.
config::Upstream MakeUpstream(
    const std::vector<std::vector<std::string>>& zones) {
  config::Upstream upstream;
  for (const auto& list : zones) {
    config::Service service;
    service.name = "s" + std::to_string(upstream.services.size());
    for (const std::string& zone : list)
      service.servers.push_back({"10.0.0.1:80", zone, ""});
    upstream.services.push_back(std::move(service));
  }
  return upstream;
}

std::vector<ServiceShards> AllWork(const config::Upstream& upstream) {
  std::vector<ServiceShards> work;
  for (uint32_t service = 0; service < upstream.services.size(); ++service)
    work.push_back({service, {service}});
  return work;
}

// Zones with the same number of nodes each. Node i of a zone is called like
// "b-i", this node "own-0". Block k in the order of the calls has the nodes
// from k * `count` on as its holders.
class FakeLeafNodes final : public LeafNodes {
 public:
  explicit FakeLeafNodes(size_t nodes_per_zone)
      : nodes_per_zone_(nodes_per_zone) {}

  const std::string& own_node_id() const override { return own_node_id_; }
  size_t CountInZone(const std::string&) override { return nodes_per_zone_; }
  std::vector<std::string> HoldersOf(const std::string& zone,
                                     const std::string& block_key,
                                     size_t count) override {
    block_keys.push_back(block_key);
    std::vector<std::string> holders;
    for (size_t i = 0; i < std::min(count, nodes_per_zone_); ++i)
      holders.push_back(zone + "-" +
                        std::to_string(next_node_++ % nodes_per_zone_));
    return holders;
  }

  std::vector<std::string> block_keys;  // Of all calls.

 private:
  const std::string own_node_id_ = std::string(kOwnZone) + "-0";
  const size_t nodes_per_zone_;
  size_t next_node_ = 0;
};

std::vector<DelegatedWork> Plan(
    const std::vector<std::vector<std::string>>& zones,
    LeafNodes& nodes) {
  const config::Upstream upstream = MakeUpstream(zones);
  base::SeededRandom random(1);
  return PlanDelegation(upstream, AllWork(upstream), kOwnZone, nodes, random);
}

std::vector<DelegatedWork> Plan(
    const std::vector<std::vector<std::string>>& zones) {
  FakeLeafNodes nodes(1);
  return Plan(zones, nodes);
}

std::vector<size_t> AllIndices(const std::vector<DelegatedWork>& plan) {
  std::vector<size_t> indices;
  for (const DelegatedWork& work : plan)
    std::ranges::copy(work.work_indices, std::back_inserter(indices));
  std::ranges::sort(indices);
  return indices;
}

ForwardedPart MakePart(uint32_t service, const std::string& records) {
  auto reply = std::make_shared<upstream::ForwardedReply>();
  reply->signature = "signature " + std::to_string(service);
  reply->message.body = records;
  return {service, std::move(reply)};
}

std::string Record(char byte) {
  return std::string(16, byte);
}

TEST_CASE("services with a server in the own zone are not delegated") {
  CHECK(Plan({{"own", "b"}, {"own"}, {"b", "own"}, {"own"}}).empty());
}

TEST_CASE(
    "remote services go to the zone that has servers of the most of them") {
  const auto plan = Plan({{"b", "c"}, {"own"}, {"b"}, {"c", "b"}, {"b", "c"}});
  REQUIRE(plan.size() == 1);
  CHECK(plan.front() == DelegatedWork{"b-0", {0, 2, 3, 4}});
}

TEST_CASE("each service is delegated only once") {
  const auto plan =
      Plan({{"b"}, {"b"}, {"b"}, {"b", "c"}, {"c"}, {"c"}, {"c"}});
  REQUIRE(plan.size() == 2);
  CHECK(plan[0].work_indices.size() + plan[1].work_indices.size() == 7);
}

TEST_CASE("too few remote services in a zone are not delegated") {
  CHECK(Plan({{"b"}, {"c"}, {"b"}, {"c"}}).empty());
}

TEST_CASE("nothing is delegated to a zone without a node") {
  FakeLeafNodes nodes(0);
  CHECK(Plan({{"b"}, {"b"}, {"b"}, {"b"}}, nodes).empty());
}

// The load pattern: queries of 90 services at a rate of less than one a second
// and node, whose calls one after the other would take half of the objective.
constexpr size_t kManyServices = 90;
constexpr size_t kManyNodes = 24;

TEST_CASE("the calls of a large query are split among the nodes of the zone") {
  FakeLeafNodes nodes(kManyNodes);
  const auto plan =
      Plan(std::vector<std::vector<std::string>>(kManyServices, {"b", "own"}),
           nodes);
  const size_t blocks = BlockCount(kManyServices, kManyNodes);
  CHECK(blocks == 5);
  // Node own-0 is a holder of the first block, and calls its servers itself.
  REQUIRE(plan.size() == blocks - 1);
  CHECK(AllIndices(plan).size() == kManyServices - kManyServices / blocks);
  for (const DelegatedWork& work : plan) {
    CHECK(work.node_id.starts_with("own-"));
    CHECK(work.work_indices.size() == kManyServices / blocks);
  }
}

TEST_CASE("remote work is split if the other zone has enough nodes") {
  FakeLeafNodes nodes(kManyNodes);
  const auto plan =
      Plan(std::vector<std::vector<std::string>>(kManyServices, {"b"}), nodes);
  CHECK(plan.size() == 5);
  CHECK(AllIndices(plan).size() == kManyServices);
}

TEST_CASE("a lost server moves no other service to another holder") {
  FakeLeafNodes nodes(kManyNodes);
  std::vector<std::vector<std::string>> zones(kManyServices, {"own"});
  Plan(zones, nodes);
  const auto block_keys = std::exchange(nodes.block_keys, {});
  zones[3] = {"b"};
  Plan(zones, nodes);
  CHECK(nodes.block_keys == block_keys);
}

TEST_CASE("a node holds the services that its zone does not delegate") {
  FakeLeafNodes nodes(kManyNodes);
  const config::Upstream upstream = MakeUpstream(
      std::vector<std::vector<std::string>>(kManyServices, {"b", "own"}));
  // Node own-0 is a holder of the first block.
  const auto held = HeldServices(upstream, kOwnZone, nodes);
  REQUIRE(held.size() == kManyServices / 5);
  CHECK(held.front() == 0);
  FakeLeafNodes few_nodes(2);
  CHECK(HeldServices(upstream, kOwnZone, few_nodes).size() == kManyServices);
  CHECK(HeldServices(MakeUpstream({}), kOwnZone, nodes).empty());
}

TEST_CASE("a zone with few nodes is not split") {
  CHECK(BlockCount(kManyServices, 3) == 1);
  CHECK(BlockCount(10, kManyNodes) == 2);
  CHECK(BlockCount(3, kManyNodes) == 1);
  CHECK(BlockCount(0, 0) == 1);
}

TEST_CASE("services without a server are not delegated") {
  CHECK(Plan({{}, {}, {}, {}}).empty());
}

TEST_CASE("delegated work may lack as many services as the whole request") {
  LeafRequest request;
  request.work.resize(20);
  request.forward = ForwardOptions{};
  request.forward->min_answered_share = 0.9;
  const auto min_answered_share = [&](size_t service_count) {
    return MakeDelegatedRequest(
               request, {"node", std::vector<size_t>(service_count, 0)}, {})
        .forward->min_answered_share;
  };
  CHECK(min_answered_share(8) == 0.75);
  CHECK(min_answered_share(2) == 0);
}

TEST_CASE("the greatest records of all parts are put into the first part") {
  LeafAnswer answer;
  answer.parts = {MakePart(3, Record('a') + Record('d')),
                  MakePart(4, Record('c')), MakePart(5, Record('d') + "short")};
  CompactParts(answer, 3);
  REQUIRE(answer.parts.size() == 3);
  CHECK(answer.parts[0].reply->message.body ==
        Record('d') + Record('d') + Record('c'));
  CHECK(answer.parts[1].reply->message.body.empty());
  CHECK(answer.parts[2].reply->signature == "signature 5");
}

TEST_CASE("an answer with parts that were not requested is invalid") {
  LeafRequest request;
  request.request_id = "r";
  request.version = 2;
  request.work = {{3, {3}}, {4, {4}}};
  LeafAnswer answer;
  answer.request_id = "r";
  answer.version = 2;
  answer.parts = {MakePart(4, "")};
  CHECK(IsValidDelegatedAnswer(answer, request));
  answer.parts.push_back(MakePart(4, ""));
  CHECK_FALSE(IsValidDelegatedAnswer(answer, request));
  answer.parts = {MakePart(5, "")};
  CHECK_FALSE(IsValidDelegatedAnswer(answer, request));
  answer.parts.clear();
  answer.version = 1;
  CHECK_FALSE(IsValidDelegatedAnswer(answer, request));
}

}  // namespace
}  // namespace query
