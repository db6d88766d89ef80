// Tests how the registry merges claims that arrive late, twice and in any
// order.

#include "LibUpstream/server_registry.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>

namespace upstream {
namespace {

RegisteredServer MakeRegisteredServer(uint64_t incarnation, uint64_t sequence) {
  RegisteredServer server;
  server.instance = "i-1";
  server.service = "ledger";
  server.address = "10.0.0.1:80";
  server.availability_zone = "a";
  server.incarnation = incarnation;
  server.sequence = sequence;
  return server;
}

ServerClaim ServingClaim(uint64_t revision,
                         uint64_t incarnation,
                         uint64_t sequence) {
  return {"i-1", {revision}, MakeRegisteredServer(incarnation, sequence)};
}

ServerClaim LeavingClaim(uint64_t revision,
                         uint64_t incarnation,
                         uint64_t sequence) {
  ServerClaim claim = ServingClaim(revision, incarnation, sequence);
  claim.server->phase = ServerPhase::kLeaving;
  return claim;
}

ServerClaim RemovalClaim(uint64_t revision) {
  return {"i-1", {revision}, std::nullopt};
}

TEST_CASE("a registered server takes work") {
  ServerRegistry registry;
  CHECK(registry.Apply(ServingClaim(5, 1, 1)) == ClaimEffect::kServing);
  const auto servers = registry.ServersOf("ledger");
  REQUIRE(servers.size() == 1);
  CHECK(servers[0].identity() == "i-1");
  CHECK(registry.ServersOf("other").empty());
}

TEST_CASE("an instance that changes its service is a server of the new one") {
  ServerRegistry registry;
  registry.Apply(ServingClaim(5, 1, 1));
  ServerClaim moved = ServingClaim(6, 2, 1);
  moved.server->service = "search";
  moved.server->slots = 7;
  registry.Apply(moved);
  CHECK(registry.ServersOf("ledger").empty());
  CHECK(registry.SlotsOf("ledger") == 1);
  CHECK(registry.ServersOf("search").size() == 1);
  CHECK(registry.SlotsOf("search") == 7);
}

TEST_CASE("an incarnation that is leaving can't return") {
  ServerRegistry registry;
  registry.Apply(ServingClaim(5, 1, 1));
  CHECK(registry.Apply(LeavingClaim(6, 1, 2)) == ClaimEffect::kLeaving);
  registry.Apply(ServingClaim(7, 1, 3));
  CHECK(registry.ServersOf("ledger").empty());
  registry.Apply(RemovalClaim(8));
  registry.Apply(ServingClaim(9, 1, 4));
  CHECK(registry.ServersOf("ledger").empty());
  CHECK(registry.Apply(ServingClaim(10, 2, 1)) == ClaimEffect::kServing);
  CHECK(registry.ServersOf("ledger").size() == 1);
}

TEST_CASE("old claims have no effect") {
  ServerRegistry registry;
  registry.Apply(LeavingClaim(6, 1, 2));
  CHECK(registry.Apply(ServingClaim(5, 1, 1)) == ClaimEffect::kNone);
  CHECK(registry.Apply(ServingClaim(7, 1, 1)) == ClaimEffect::kNone);
  CHECK(registry.ServersOf("ledger").empty());
}

TEST_CASE("a removed server takes work once it registers again") {
  ServerRegistry registry;
  registry.Apply(ServingClaim(5, 1, 1));
  CHECK(registry.Apply(RemovalClaim(6)) == ClaimEffect::kLeaving);
  CHECK(registry.Apply(ServingClaim(7, 1, 9)) == ClaimEffect::kServing);
}

TEST_CASE("only claims of a known server that still warms up are progress") {
  ServerRegistry registry;
  const auto warming_claim = [](uint64_t revision, int warm_up_ms) {
    ServerClaim claim = ServingClaim(revision, 1, revision);
    claim.server->warm_up = std::chrono::milliseconds(warm_up_ms);
    return claim;
  };
  CHECK_FALSE(registry.IsWarmUpProgress(warming_claim(5, 3000)));
  registry.Apply(warming_claim(5, 3000));
  CHECK(registry.IsWarmUpProgress(warming_claim(6, 1800)));
  CHECK_FALSE(registry.IsWarmUpProgress(warming_claim(7, 0)));
  CHECK_FALSE(registry.IsWarmUpProgress(LeavingClaim(7, 1, 7)));
  ServerClaim moved = warming_claim(7, 1800);
  moved.server->address = "10.0.0.2:80";
  CHECK_FALSE(registry.IsWarmUpProgress(moved));
  CHECK_FALSE(registry.IsWarmUpProgress(RemovalClaim(8)));
  registry.Apply(RemovalClaim(8));
  CHECK_FALSE(registry.IsWarmUpProgress(warming_claim(9, 1800)));
}

TEST_CASE("a later era decides, whatever the revision numbers") {
  ServerRegistry registry;
  const auto in_era = [](uint64_t era, ServerClaim claim) {
    claim.revision.era = era;
    return claim;
  };
  registry.Apply(in_era(1, ServingClaim(9, 1, 1)));
  CHECK(registry.Apply(in_era(2, LeavingClaim(5, 1, 2))) ==
        ClaimEffect::kLeaving);
  CHECK(registry.Apply(in_era(1, ServingClaim(99, 2, 1))) ==
        ClaimEffect::kNone);
}

TEST_CASE("what a restored store says is corrected if more was known") {
  ServerRegistry registry;
  const auto restored = [](ServerClaim claim) {
    claim.revision.era = 2;
    return claim;
  };
  ServerClaim known = ServingClaim(9, 5, 3);
  known.revision.era = 1;
  registry.Apply(known);
  SUBCASE("of a server that has said more since") {
    const auto carried_over =
        registry.CarryOver(restored(ServingClaim(4, 5, 2)));
    REQUIRE(carried_over);
    CHECK(carried_over->server == known.server);
    CHECK(carried_over->correction == 1);
    registry.Apply(*carried_over);
    CHECK(registry.Apply(restored(ServingClaim(4, 5, 2))) ==
          ClaimEffect::kNone);
  }
  SUBCASE("of a server that has restarted since") {
    CHECK(registry.CarryOver(restored(ServingClaim(4, 4, 9))));
  }
  SUBCASE("of a server that was removed since") {
    ServerClaim removal = RemovalClaim(10);
    removal.revision.era = 1;
    registry.Apply(removal);
    const auto carried_over =
        registry.CarryOver(restored(ServingClaim(4, 5, 3)));
    REQUIRE(carried_over);
    CHECK_FALSE(carried_over->server);
    registry.Apply(*carried_over);
    CHECK(registry.ServersOf("ledger").empty());
    CHECK(registry.Apply(restored(ServingClaim(5, 5, 4))) ==
          ClaimEffect::kServing);
  }
  SUBCASE("but not if it says as much, or more") {
    CHECK_FALSE(registry.CarryOver(restored(ServingClaim(4, 5, 3))));
    CHECK_FALSE(registry.CarryOver(restored(ServingClaim(4, 5, 4))));
    CHECK_FALSE(registry.CarryOver(restored(ServingClaim(4, 6, 1))));
    CHECK_FALSE(registry.CarryOver(restored(RemovalClaim(4))));
  }
  SUBCASE("but not within an era") {
    known.server->sequence = 2;
    known.revision.number = 10;
    CHECK_FALSE(registry.CarryOver(known));
  }
}

TEST_CASE("an incarnation that said it is leaving in an answer can't return") {
  ServerRegistry registry;
  registry.Apply(ServingClaim(5, 1, 1));
  const uint64_t generation = registry.generation();
  CHECK(registry.ApplyAnnouncement({"i-1", 1}) == ClaimEffect::kLeaving);
  CHECK(registry.generation() > generation);
  CHECK(registry.IsAnnounced({"i-1", 1}));
  CHECK(registry.ServersOf("ledger").empty());
  CHECK(registry.ApplyAnnouncement({"i-1", 1}) == ClaimEffect::kNone);
  registry.Apply(ServingClaim(6, 1, 2));
  registry.Apply(RemovalClaim(7));
  registry.Apply(ServingClaim(8, 1, 3));
  CHECK(registry.ServersOf("ledger").empty());
  CHECK(registry.Apply(ServingClaim(9, 2, 1)) == ClaimEffect::kServing);
  CHECK(registry.ServersOf("ledger").size() == 1);
  // Whoever heard the earlier run says nothing of this one.
  CHECK(registry.ApplyAnnouncement({"i-1", 1}) == ClaimEffect::kNone);
  CHECK_FALSE(registry.IsAnnounced({"i-1", 2}));
  CHECK(registry.ServersOf("ledger").size() == 1);
}

TEST_CASE("claims and an announcement may arrive in any order") {
  std::array<uint64_t, 4> order = {0, 1, 2, 3};
  do {
    CAPTURE(order[0]);
    CAPTURE(order[1]);
    CAPTURE(order[2]);
    ServerRegistry registry;
    for (const uint64_t step : order) {
      if (step == 0)
        registry.ApplyAnnouncement({"i-1", 1});
      else
        registry.Apply(ServingClaim(step + 4, 1, step));
    }
    CHECK_FALSE(registry.TakesWork("i-1"));
    CHECK(registry.ServersOf("ledger").empty());
    CHECK(registry.RevisionOf("i-1") == base::StoreRevision{7});
  } while (std::ranges::next_permutation(order).found);
}

// The time of day may jump back on the server between two of its runs.
TEST_CASE("a run that began earlier than one that left gets work") {
  ServerRegistry registry;
  registry.Apply(ServingClaim(5, 9, 1));
  registry.ApplyAnnouncement({"i-1", 9});
  CHECK(registry.Apply(ServingClaim(6, 8, 1)) == ClaimEffect::kServing);
  CHECK(registry.ApplyAnnouncement({"i-1", 8}) == ClaimEffect::kLeaving);
  CHECK(registry.IsAnnounced({"i-1", 9}));
}

TEST_CASE("a server may say it is leaving before its claim is known") {
  ServerRegistry registry;
  CHECK(registry.ApplyAnnouncement({"i-1", 1}) == ClaimEffect::kNone);
  CHECK(registry.IsAnnounced({"i-1", 1}));
  registry.Apply(ServingClaim(5, 1, 1));
  CHECK(registry.ServersOf("ledger").empty());
  CHECK(registry.IsAnnounced({"i-1", 1}));
  CHECK(registry.Apply(ServingClaim(6, 2, 1)) == ClaimEffect::kServing);
}

TEST_CASE("announcements are equal after serializing and parsing") {
  for (const LeavingAnnouncement& announcement :
       {LeavingAnnouncement{"i-1", 0},
        LeavingAnnouncement{"a/b", UINT64_MAX}}) {
    const auto parsed = ParseAnnouncement(SerializeAnnouncement(announcement));
    REQUIRE(parsed);
    CHECK(*parsed == announcement);
  }
  for (const char* invalid : {"", "/", "i-1", "i-1/", "/1", "i-1/-1", "i-1/1x",
                              "i-1/ 1", "i-1/18446744073709551616"}) {
    CAPTURE(invalid);
    CHECK_FALSE(ParseAnnouncement(invalid));
  }
}

TEST_CASE("claims are equal after serializing and parsing") {
  for (const ServerClaim& claim : {LeavingClaim(6, 3, 2), RemovalClaim(9)}) {
    const auto parsed = ParseClaim(SerializeClaim(claim));
    REQUIRE(parsed);
    CHECK(*parsed == claim);
  }
  CHECK_FALSE(ParseClaim("{"));
  CHECK_FALSE(ParseClaim("{\"instance\":1}"));
}

}  // namespace
}  // namespace upstream
