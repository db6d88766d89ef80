// Claims of servers that arrive late, twice and in any order.

#include "LibUpstream/server_registry.h"

#include <doctest/doctest.h>

namespace upstream {
namespace {

RegisteredServer MakeServer(uint64_t incarnation, uint64_t sequence) {
  RegisteredServer server;
  server.instance = "i-1";
  server.service = "ledger";
  server.address = "10.0.0.1:80";
  server.availability_zone = "a";
  server.incarnation = incarnation;
  server.sequence = sequence;
  return server;
}

ServerClaim Serving(uint64_t revision,
                    uint64_t incarnation,
                    uint64_t sequence) {
  return {"i-1", revision, MakeServer(incarnation, sequence)};
}

ServerClaim Leaving(uint64_t revision,
                    uint64_t incarnation,
                    uint64_t sequence) {
  ServerClaim claim = Serving(revision, incarnation, sequence);
  claim.server->phase = ServerPhase::kLeaving;
  return claim;
}

ServerClaim Removed(uint64_t revision) {
  return {"i-1", revision, std::nullopt};
}

TEST_CASE("a registered server serves") {
  ServerRegistry registry;
  CHECK(registry.Apply(Serving(5, 1, 1)) == ClaimEffect::kServing);
  const auto servers = registry.ServersOf("ledger");
  REQUIRE(servers.size() == 1);
  CHECK(servers[0].identity() == "i-1");
  CHECK(registry.ServersOf("other").empty());
}

TEST_CASE("leaving is sticky for an incarnation") {
  ServerRegistry registry;
  registry.Apply(Serving(5, 1, 1));
  CHECK(registry.Apply(Leaving(6, 1, 2)) == ClaimEffect::kLeaving);
  registry.Apply(Serving(7, 1, 3));
  CHECK(registry.ServersOf("ledger").empty());
  registry.Apply(Removed(8));
  registry.Apply(Serving(9, 1, 4));
  CHECK(registry.ServersOf("ledger").empty());
  CHECK(registry.Apply(Serving(10, 2, 1)) == ClaimEffect::kServing);
  CHECK(registry.ServersOf("ledger").size() == 1);
}

TEST_CASE("old claims change nothing") {
  ServerRegistry registry;
  registry.Apply(Leaving(6, 1, 2));
  CHECK(registry.Apply(Serving(5, 1, 1)) == ClaimEffect::kNone);
  CHECK(registry.Apply(Serving(7, 1, 1)) == ClaimEffect::kNone);
  CHECK(registry.ServersOf("ledger").empty());
}

TEST_CASE("a server that was removed and speaks again serves again") {
  ServerRegistry registry;
  registry.Apply(Serving(5, 1, 1));
  CHECK(registry.Apply(Removed(6)) == ClaimEffect::kLeaving);
  CHECK(registry.Apply(Serving(7, 1, 9)) == ClaimEffect::kServing);
}

TEST_CASE("claims survive the way to a peer") {
  for (const ServerClaim& claim : {Leaving(6, 3, 2), Removed(9)}) {
    const auto parsed = ParseClaim(SerializeClaim(claim));
    REQUIRE(parsed);
    CHECK(*parsed == claim);
  }
  CHECK_FALSE(ParseClaim("{"));
  CHECK_FALSE(ParseClaim("{\"instance\":1}"));
}

}  // namespace
}  // namespace upstream
