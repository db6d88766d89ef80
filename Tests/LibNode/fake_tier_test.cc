// Tests of the fake tier: without faults it answers all requests.

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "Fakes/fake_tier.h"

namespace {

using nlohmann::json;

TEST_CASE("a tier without faults answers a query from every node") {
  fakes::FakeTier tier({}, 1);
  tier.Start();
  int answered = 0;
  for (int node = 0; node < tier.node_count(); ++node) {
    tier.SendRequest(node, fakes::FakeTier::QueryRequest("party-a", "q"),
                     [&](const auto& response) {
                       REQUIRE(response.has_value());
                       const json body = json::parse(response->body);
                       CAPTURE(response->body);
                       CHECK(body["outcome"] == "answered");
                       CHECK(body["missing"].empty());
                       CHECK(body["results"].size() == 12);
                       ++answered;
                     });
  }
  tier.clock().RunFor(std::chrono::seconds(1));
  CHECK(answered == tier.node_count());
}

TEST_CASE("a repeated booking runs once and is answered each time") {
  fakes::FakeTier tier({}, 2);
  tier.Start();
  std::string ticket;
  tier.SendRequest(0, fakes::FakeTier::TicketRequest("party-a"),
                   [&](const auto& response) {
                     REQUIRE(response.has_value());
                     ticket = json::parse(response->body)["ticket"];
                   });
  tier.clock().RunFor(std::chrono::seconds(1));
  int answered = 0;
  for (int node = 0; node < tier.node_count(); ++node) {
    tier.SendRequest(
        node, fakes::FakeTier::BookingRequest("party-a", ticket, "helmet"),
        [&](const auto& response) {
          REQUIRE(response.has_value());
          CAPTURE(response->body);
          CHECK(json::parse(response->body)["outcome"] == "answered");
          ++answered;
        });
  }
  tier.clock().RunFor(std::chrono::seconds(2));
  CHECK(answered == tier.node_count());
  int runs = 0;
  for (const auto& [address, server] : tier.servers()) {
    for (const auto& [run, count] : server->record().booking_runs)
      runs += count;
  }
  CHECK(runs == 1);
}

}  // namespace
