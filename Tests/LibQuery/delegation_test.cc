// Tests which work is delegated to nodes in other zones, and their answers.

#include "LibQuery/delegation.h"

#include <doctest/doctest.h>

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

std::string NodeIn(const std::string& zone) {
  return "node-" + zone;
}

std::vector<DelegatedWork> Plan(
    const std::vector<std::vector<std::string>>& zones) {
  const config::Upstream upstream = MakeUpstream(zones);
  return PlanDelegation(upstream, AllWork(upstream), kOwnZone, NodeIn);
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
  CHECK(plan.front() == DelegatedWork{"node-b", {0, 2, 3, 4}});
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
  const config::Upstream upstream = MakeUpstream({{"b"}, {"b"}, {"b"}, {"b"}});
  CHECK(PlanDelegation(upstream, AllWork(upstream), kOwnZone, [](const auto&) {
          return std::string();
        }).empty());
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
