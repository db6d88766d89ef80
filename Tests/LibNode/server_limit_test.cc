// Tests that the calls of all nodes together stay within the limits that
// servers name.

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

#include "Fakes/forward_tier.h"

namespace node {
namespace {

using fakes::ForwardTier;
using query::ForwardOutcome;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kNodeCount = 4;
constexpr int kManyNodes = 24;
constexpr int kServiceCount = 2;
constexpr double kLimit = 12;  // Calls a second.
// The platform's rule: so long after a server first named its limit, it gets in
// any such window no more than `kMaxExcess` times the limit, and the slack.
constexpr base::Duration kStableTime = seconds(4);
constexpr base::Duration kWindow = seconds(4);
constexpr double kMaxExcess = 1.5;
constexpr double kSlack = 5;
constexpr double kAllowed = kMaxExcess * kLimit * 4 + kSlack;
// Each request waits for its answer, so that this is the gap between requests.
constexpr base::Duration kGap = milliseconds(15);

std::unique_ptr<ForwardTier> MakeTier(int nodes) {
  return ForwardTier::CreateSettled(nodes, kServiceCount);
}

// Sends requests to the nodes for some time and counts the calls of servers.
class CallCounter {
 public:
  explicit CallCounter(ForwardTier& tier) : tier_(tier) {}

  // `next_node` returns the node that gets a request.
  void Run(base::Duration duration,
           const std::string& target,
           const std::function<int()>& next_node) {
    for (const base::Duration end = now_ + duration; now_ < end; now_ += kGap) {
      ++sent;
      tier_.log().clear();
      const auto answer = tier_.SendAndWait(next_node(), target, kGap);
      if (answer)
        ++outcomes[answer->outcome];
      if (answer && answer->outcome == ForwardOutcome::kNotRun)
        longest_wait = std::max(
            longest_wait, answer->retry_after.value_or(base::Duration::zero()));
      for (const auto& [server, request] : tier_.log())
        calls[server].push_back(now_);
    }
  }

  // Returns the most calls of the server in a window that begins at `start` or
  // later.
  size_t MostInWindow(const std::string& server, base::Duration start) {
    const auto& times = calls[server];
    size_t most = 0;
    for (auto first = times.begin(); first != times.end(); ++first) {
      if (*first < start)
        continue;
      const auto last = std::upper_bound(first, times.end(), *first + kWindow);
      most = std::max(most, static_cast<size_t>(last - first));
    }
    return most;
  }

  std::map<std::string, std::vector<base::Duration>> calls;
  std::map<ForwardOutcome, int> outcomes;
  int sent = 0;
  // That a refused caller was told.
  base::Duration longest_wait{};

 private:
  ForwardTier& tier_;
  base::Duration now_{};
};

std::function<int()> InTurn(int nodes) {
  return [nodes, next = 0]() mutable { return next++ % nodes; };
}

TEST_CASE("servers that name a limit get no more than it from all nodes") {
  for (const int nodes : {kNodeCount, kManyNodes}) {
    CAPTURE(nodes);
    const auto tier = MakeTier(nodes);
    for (const char* server : {"xs0", "ys0"})
      tier->scripts()[server].statement.max_request_rate = kLimit;
    CallCounter counter(*tier);
    counter.Run(seconds(16), "/one/x", InTurn(nodes));
    for (const char* server : {"xs0", "ys0"})
      CHECK(counter.MostInWindow(server, kStableTime) <= kAllowed);
    // The third server takes the rest.
    CHECK(counter.outcomes[ForwardOutcome::kRelayed] == counter.sent);
  }
}

TEST_CASE("a limit is used by the nodes whose callers need it") {
  const auto tier = MakeTier(kNodeCount);
  for (const char* server : {"xs0", "ys0", "zs0"})
    tier->scripts()[server].statement.max_request_rate = kLimit;
  CallCounter counter(*tier);
  counter.Run(seconds(16), "/one/x", [] { return 0; });
  for (const char* server : {"xs0", "ys0", "zs0"}) {
    CHECK(counter.MostInWindow(server, kStableTime) <= kAllowed);
    CHECK(counter.calls[server].size() >= 0.75 * kLimit * 16);
  }
  // The others are refused at once, and told when to come back.
  CHECK(counter.outcomes[ForwardOutcome::kNotRun] > 0);
  CHECK(counter.longest_wait > base::Duration::zero());
  CHECK(counter.longest_wait <= seconds(2) / kLimit);
  CHECK(counter.outcomes[ForwardOutcome::kRelayed] +
            counter.outcomes[ForwardOutcome::kNotRun] ==
        counter.sent);
}

TEST_CASE("a server is used as before once it names no limit any more") {
  const auto tier = MakeTier(kNodeCount);
  for (const char* server : {"xs0", "ys0", "zs0"})
    tier->scripts()[server].statement.max_request_rate = kLimit;
  CallCounter limited(*tier);
  limited.Run(seconds(8), "/one/x", InTurn(kNodeCount));
  for (const char* server : {"xs0", "ys0", "zs0"})
    tier->scripts()[server].statement = {};
  tier->RunFor(seconds(1));
  CallCounter unlimited(*tier);
  unlimited.Run(seconds(4), "/one/x", InTurn(kNodeCount));
  CHECK(unlimited.outcomes[ForwardOutcome::kNotRun] <= 8);
}

TEST_CASE("the limit holds while nodes restart") {
  const auto tier = MakeTier(kNodeCount);
  for (const char* server : {"xs0", "ys0"})
    tier->scripts()[server].statement.max_request_rate = kLimit;
  CallCounter counter(*tier);
  counter.Run(kStableTime, "/all/x", InTurn(kNodeCount));
  for (int node = 0; node < kNodeCount; ++node) {
    tier->Restart(node);
    counter.Run(seconds(2), "/all/x", InTurn(kNodeCount));
  }
  for (const char* server : {"xs0", "ys0"})
    CHECK(counter.MostInWindow(server, kStableTime) <= kAllowed);
}

}  // namespace
}  // namespace node
