// Tests of the split of a server's limit, with the time and the peers given.

#include "LibUpstream/server_limiter.h"

#include <doctest/doctest.h>

#include "LibBase/log.h"

namespace upstream {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kServer[] = "i-1";
constexpr base::Duration kStep = milliseconds(10);
constexpr base::Duration kTickPeriod = milliseconds(100);

class LimiterFixture {
 public:
  LimiterFixture() { base::DisableLog(); }

  void State(std::optional<double> limit) {
    limiter.OnLimit(kServer, now, limit, now);
  }

  // Wants to call the server at each step and returns how often it could.
  int CallFor(base::Duration duration) {
    int calls = 0;
    for (const base::Instant end = now + duration; now < end; now += kStep) {
      calls += limiter.TryCall(kServer, now) ? 1 : 0;
      if ((now - base::Instant()) % kTickPeriod == base::Duration::zero())
        limiter.Tick(now, [this](const std::string& node) {
          return node != unusable_node;
        });
    }
    return calls;
  }

  ServerLimiter limiter;
  base::Instant now{seconds(100)};
  std::string unusable_node;
};

TEST_CASE("a server that names no limit is called freely") {
  LimiterFixture fixture;
  CHECK(fixture.CallFor(seconds(1)) == 100);
  fixture.State(std::nullopt);
  CHECK(fixture.CallFor(seconds(1)) == 100);
}

TEST_CASE("a node that is alone uses the whole limit") {
  LimiterFixture fixture;
  fixture.State(20);
  const int calls = fixture.CallFor(seconds(10));
  CHECK(calls >= 195);
  CHECK(calls <= 205);
}

TEST_CASE("nodes of the same demand get the same share") {
  LimiterFixture fixture;
  fixture.State(20);
  fixture.CallFor(seconds(4));
  const DemandLevel own = fixture.limiter.AnnouncedLevel(kServer);
  REQUIRE(own);
  fixture.limiter.OnPeerDemand(kServer, "n2", own);
  fixture.CallFor(kTickPeriod);
  const int calls = fixture.CallFor(seconds(10));
  CHECK(calls >= 97);
  CHECK(calls <= 103);
  // Its share is free again once it has no demand, or is gone.
  fixture.unusable_node = "n2";
  CHECK(fixture.CallFor(seconds(10)) >= 190);
  fixture.unusable_node = "";
  fixture.limiter.OnPeerDemand(kServer, "n2", std::nullopt);
  CHECK(fixture.CallFor(seconds(10)) >= 195);
}

TEST_CASE("a change of the limit applies at once") {
  LimiterFixture fixture;
  fixture.State(50);
  fixture.CallFor(seconds(2));
  fixture.State(10);
  CHECK(fixture.CallFor(seconds(4)) <= 1.5 * 10 * 4 + 5);
  fixture.State(std::nullopt);
  CHECK(fixture.CallFor(seconds(1)) == 100);
}

TEST_CASE("an answer that is older than the limit does not end it") {
  LimiterFixture fixture;
  const base::Instant asked_before = fixture.now;
  fixture.now += seconds(1);
  fixture.State(10);
  fixture.limiter.OnLimit(kServer, asked_before, std::nullopt, fixture.now);
  CHECK(fixture.limiter.limited_server_count() == 1);
}

TEST_CASE("a server that takes nothing is asked now and then") {
  LimiterFixture fixture;
  fixture.State(0);
  const int calls = fixture.CallFor(seconds(20));
  CHECK(calls > 0);
  // The platform's rule allows 5 calls in 4 s.
  CHECK(calls <= 20 / 4 * 5);
  CHECK(fixture.limiter.WaitFor(kServer, fixture.now) <= seconds(2));
}

TEST_CASE("a limit beyond all demand limits nothing") {
  LimiterFixture fixture;
  fixture.State(1e308);
  fixture.CallFor(seconds(1));
  CHECK(fixture.CallFor(seconds(1)) == 100);
}

TEST_CASE("demand levels of other nodes are checked") {
  CHECK(ParseDemandLevel("5").value() == DemandLevel(5));
  CHECK(ParseDemandLevel(SerializeDemandLevel(std::nullopt)).value() ==
        DemandLevel());
  for (const char* invalid : {"", "17", "-4", "5x", "1e3", "99999999999"}) {
    CAPTURE(invalid);
    CHECK_FALSE(ParseDemandLevel(invalid));
  }
}

}  // namespace
}  // namespace upstream
