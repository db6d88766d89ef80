// A stopping node must not take requests that it can't answer before its
// process is killed, and must answer all others.

#include <doctest/doctest.h>

#include "Fakes/forward_tier.h"

namespace node {
namespace {

using fakes::ForwardTier;
using query::ForwardOutcome;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kNodeCount = 4;
constexpr int kServiceCount = 4;
// Enough for the node to know how long requests take.
constexpr int kManyRequests = 60;
constexpr base::Duration kDrainTime = seconds(5);
constexpr base::Duration kServiceTime = milliseconds(10);
// The timeout of the tier's routes.
constexpr base::Duration kTimeout = milliseconds(400);

class StopFixture {
 public:
  explicit StopFixture(config::Repeatability repeatability) {
    tier->repeatability = repeatability;
    tier->PutConfiguration(5, kServiceCount);
    tier->RunFor(seconds(2));
  }

  // Has the node answer requests, so that it knows how long they take.
  void ServeMany(const std::string& target) {
    for (int i = 0; i < kManyRequests; ++i)
      REQUIRE(tier->SendAndWait(0, target, kServiceTime * 2));
  }
  // Lets the node begin its drain, and runs until `time_left` of it are left.
  void StopAndRunUntil(base::Duration time_left) {
    tier->core(0).BeginDrain(tier->Now() + kDrainTime);
    tier->RunFor(kDrainTime - time_left);
    tier->log().clear();
  }
  void SilenceServers() {
    for (const char* server : {"xs0", "ys0", "zs0"})
      tier->scripts()[server].never_answers = true;
  }

  std::unique_ptr<ForwardTier> tier =
      ForwardTier::CreateSettled(kNodeCount, kServiceCount);
};

// A request that had been passed on was cut off by the end of the process.
TEST_CASE("a stopping node refuses a request that would outlast the process") {
  StopFixture fixture(config::Repeatability::kOnce);
  fixture.StopAndRunUntil(milliseconds(200));
  const auto answer = fixture.tier->SendAndWait(0, "/one/x", milliseconds(1));
  REQUIRE(answer);
  CHECK(answer->outcome == ForwardOutcome::kNotRun);
  CHECK(answer->retry_after == base::Duration::zero());
  CHECK(fixture.tier->log().empty());
  CHECK(fixture.tier->core(0).drain_counts().refused == 1);
}

TEST_CASE("a stopping node takes a request whose deadline is before its end") {
  StopFixture fixture(config::Repeatability::kOnce);
  fixture.StopAndRunUntil(kTimeout + milliseconds(10));
  const auto answer = fixture.tier->SendAndWait(0, "/one/x", kServiceTime * 2);
  REQUIRE(answer);
  CHECK(answer->outcome == ForwardOutcome::kRelayed);
}

TEST_CASE("a stopping node takes requests that have been short lately") {
  StopFixture fixture(config::Repeatability::kIdempotent);
  fixture.ServeMany("/one/x");
  fixture.StopAndRunUntil(kServiceTime * 3);
  const auto answer = fixture.tier->SendAndWait(0, "/one/x", kServiceTime * 2);
  REQUIRE(answer);
  CHECK(answer->outcome == ForwardOutcome::kRelayed);
}

TEST_CASE("a stopping node answers what it has taken before the process ends") {
  StopFixture fixture(config::Repeatability::kOnce);
  fixture.ServeMany("/one/x");
  fixture.SilenceServers();
  fixture.StopAndRunUntil(milliseconds(100));
  const auto answer = fixture.tier->SendAndWait(0, "/one/x", milliseconds(101));
  REQUIRE(answer);
  CHECK(answer->outcome == ForwardOutcome::kUnknown);
  CHECK(fixture.tier->core(0).drain_counts().cancelled == 1);
  CHECK(fixture.tier->core(0).running_request_count() == 0);
}

TEST_CASE("a stopping node merges the answers that are in before it ends") {
  StopFixture fixture(config::Repeatability::kIdempotent);
  fixture.ServeMany("/all/x");
  fixture.SilenceServers();
  fixture.StopAndRunUntil(milliseconds(40));
  const auto answer = fixture.tier->SendAndWait(0, "/all/x", milliseconds(41));
  REQUIRE(answer);
  CHECK(answer->outcome == ForwardOutcome::kMerged);
  CHECK(answer->merged.missing_services == 1);
}

}  // namespace
}  // namespace node
