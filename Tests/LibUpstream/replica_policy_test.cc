// Tests which replica the least expected wait policy chooses.

#include "LibUpstream/replica_policy.h"

#include <doctest/doctest.h>

#include <vector>

#include "LibUpstream/server_table.h"

namespace upstream {
namespace {

using std::chrono::milliseconds;

constexpr int kSlots = 2;
constexpr base::Duration kRemoteCost = milliseconds(15);
constexpr int kChoices = 2000;
// All but the few choices that random exploration takes.
constexpr int kNearlyAll = kChoices * 99 / 100;

ServerView MakeView(base::Duration latency) {
  ServerView view;
  view.latency = latency;
  return view;
}

int CountChoicesOfFirst(const std::vector<ServerView>& views) {
  base::SeededRandom random(1);
  const LeastExpectedWaitPolicy policy(kSlots, kRemoteCost);
  int first = 0;
  for (int i = 0; i < kChoices; ++i)
    first += policy.Choose(views, random) == 0 ? 1 : 0;
  return first;
}

TEST_CASE("a server in the node's own zone is preferred") {
  std::vector<ServerView> views = {MakeView(milliseconds(8)),
                                   MakeView(milliseconds(8))};
  views[1].is_remote = true;
  CHECK(CountChoicesOfFirst(views) >= kNearlyAll);
}

TEST_CASE(
    "a server in the node's own zone with a long queue is not preferred") {
  std::vector<ServerView> views = {MakeView(milliseconds(8)),
                                   MakeView(milliseconds(8))};
  views[0].outstanding = 3 * kSlots;
  views[1].is_remote = true;
  CHECK(CountChoicesOfFirst(views) <= kChoices - kNearlyAll);
}

TEST_CASE("a server that stops answering is avoided until it answers") {
  ServerTable table;
  const base::Instant start{};
  for (const char* server : {"a", "b"}) {
    table.OnCallStarted(server, start);
    table.OnCallEnded(server, CallEnd::kAnswered, milliseconds(8),
                      start + milliseconds(8));
  }
  table.OnCallStarted("a", start + milliseconds(10));
  const auto views_at = [&](base::Duration after) {
    const base::Instant now = start + after;
    return std::vector<ServerView>{table.View("a", now), table.View("b", now)};
  };
  CHECK(CountChoicesOfFirst(views_at(milliseconds(60))) <=
        kChoices - kNearlyAll);
  table.OnCallEnded("a", CallEnd::kAnswered, milliseconds(8),
                    start + milliseconds(61));
  CHECK(views_at(milliseconds(70))[0].silence == base::Duration::zero());
}

TEST_CASE("a server that refuses calls quickly is not preferred") {
  ServerTable table;
  const base::Instant start{};
  for (int i = 0; i < 10; ++i) {
    table.OnCallStarted("refuses", start);
    table.OnCallEnded("refuses",
                      i % 2 == 0 ? CallEnd::kFailed : CallEnd::kAnswered,
                      milliseconds(1), start);
    table.OnCallStarted("answers", start);
    table.OnCallEnded("answers", CallEnd::kAnswered, milliseconds(20), start);
  }
  const auto views_at = [&](base::Duration after) {
    return std::vector<ServerView>{table.View("refuses", start + after),
                                   table.View("answers", start + after)};
  };
  CHECK(CountChoicesOfFirst(views_at(milliseconds(10))) <=
        kChoices - kNearlyAll);
  // NOTE: By then the other server must be known to be slower.
  const base::Duration later = std::chrono::seconds(30);
  table.OnCallStarted("answers", start + later - milliseconds(20));
  table.OnCallEnded("answers", CallEnd::kAnswered, milliseconds(20),
                    start + later);
  CHECK(CountChoicesOfFirst(views_at(later)) >= kNearlyAll);
}

TEST_CASE("abandoned calls are followed by trials at growing intervals") {
  ServerTable table;
  const base::Instant start{};
  table.OnCallStarted("silent", start);
  table.OnCallEnded("silent", CallEnd::kAbandoned, milliseconds(80),
                    start + milliseconds(80));
  const auto silence_at = [&](base::Duration after) {
    return table.View("silent", start + after).silence;
  };
  CHECK(silence_at(milliseconds(100)) == milliseconds(80));
  CHECK(silence_at(milliseconds(170)) == base::Duration::zero());
  table.OnCallStarted("silent", start + milliseconds(170));
  CHECK(silence_at(milliseconds(200)) == milliseconds(200));
  CHECK(silence_at(milliseconds(400)) == base::Duration::zero());
}

}  // namespace
}  // namespace upstream
