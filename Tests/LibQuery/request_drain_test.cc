// Tests which requests a drain takes, and what it cancels.

#include "LibQuery/request_drain.h"

#include <doctest/doctest.h>

#include "Fakes/virtual_scheduler.h"

namespace query {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kRoute[] = "route";
constexpr int kManyRequests = 50;

class DrainFixture {
 public:
  base::Instant In(base::Duration time) const { return clock.Now() + time; }
  // Runs requests of the route that take this long.
  void RunRequests(int count, base::Duration duration) {
    for (int i = 0; i < count; ++i) {
      const auto id = drain.TryTake(kRoute, In(seconds(3)), [] {});
      REQUIRE(id);
      clock.RunFor(duration);
      drain.OnEnded(*id);
    }
  }
  bool Takes(const std::string& route, base::Duration time_left) {
    const auto id = drain.TryTake(route, In(time_left), [] {});
    if (id)
      drain.OnEnded(*id);
    return id.has_value();
  }

  fakes::VirtualScheduler clock;
  RequestDrain drain{clock};
};

TEST_CASE("a drain expects up to twice the longest recent duration") {
  DrainFixture fixture;
  CHECK(fixture.Takes(kRoute, seconds(3)));
  fixture.RunRequests(kManyRequests - 1, milliseconds(100));
  fixture.RunRequests(1, milliseconds(300));
  fixture.drain.Begin(fixture.In(seconds(2)));
  CHECK(fixture.Takes(kRoute, seconds(3)));
  CHECK(fixture.Takes("other", milliseconds(1999)));
  CHECK_FALSE(fixture.Takes("other", seconds(3)));
  fixture.clock.RunFor(milliseconds(1399));
  CHECK(fixture.Takes(kRoute, seconds(3)));
  fixture.clock.RunFor(milliseconds(2));
  CHECK_FALSE(fixture.Takes(kRoute, seconds(3)));
  CHECK(fixture.Takes(kRoute, milliseconds(500)));
  CHECK(fixture.drain.counts() == DrainCounts{2, 0});
}

TEST_CASE("a drain forgets old durations") {
  DrainFixture fixture;
  fixture.RunRequests(1, seconds(2));
  fixture.clock.RunFor(seconds(61));
  fixture.RunRequests(kManyRequests, milliseconds(10));
  fixture.drain.Begin(fixture.In(milliseconds(100)));
  CHECK(fixture.Takes(kRoute, seconds(3)));
}

TEST_CASE("a drain cancels at its end what still runs, and nothing else") {
  DrainFixture fixture;
  int cancelled = 0;
  const auto cancel = [&] { ++cancelled; };
  const auto ended =
      fixture.drain.TryTake(kRoute, fixture.In(seconds(9)), cancel);
  fixture.drain.TryTake(kRoute, fixture.In(seconds(9)), cancel);
  fixture.drain.Begin(fixture.In(seconds(5)));
  fixture.drain.OnEnded(*ended);
  fixture.clock.RunFor(milliseconds(4999));
  CHECK(cancelled == 0);
  fixture.clock.RunFor(milliseconds(2));
  CHECK(cancelled == 1);
  CHECK(fixture.drain.counts() == DrainCounts{0, 1});
}

}  // namespace
}  // namespace query
