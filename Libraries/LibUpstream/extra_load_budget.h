// What extra load hedges and retries may cause together.

#ifndef LIBUPSTREAM_EXTRA_LOAD_BUDGET_H_
#define LIBUPSTREAM_EXTRA_LOAD_BUDGET_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <unordered_map>

#include "LibBase/scheduler.h"
#include "LibBase/sharded.h"
#include "LibBase/time.h"

namespace upstream {

class ExtraLoadBudget {
 public:
  virtual ~ExtraLoadBudget() = default;

  // A first sub-request, which earns `share` of an extra one.
  virtual void OnPrimary(const std::string& account, double share) = 0;
  // Whether one more extra sub-request may be sent; counts it if so.
  virtual bool TrySpend(const std::string& account) = 0;
};

// A share of the primary sub-requests, with a burst, for each account.
class TokenExtraLoadBudget final : public ExtraLoadBudget {
 public:
  // `burst` extra sub-requests may be spent before any was earned.
  explicit TokenExtraLoadBudget(double burst) : burst_(burst) {}

  void OnPrimary(const std::string& account, double share) override;
  bool TrySpend(const std::string& account) override;

 private:
  const double burst_;
  // Tokens spent below the initial burst; at most `burst_` remain unused.
  base::Sharded<std::unordered_map<std::string, double>> spent_;
};

struct WindowBudgetRules {
  // Any span of this length counts.
  base::Duration window = std::chrono::seconds(10);
  // Extra sub-requests in a window that need no primary ones, of all nodes.
  double slack = 0;

  bool operator==(const WindowBudgetRules&) const = default;
};

// A share of the primary sub-requests of a sliding window, plus this node's
// part of a slack that all nodes share. Nodes count their own sub-requests
// only: the sum of what they may spend keeps to the limit over all.
class WindowExtraLoadBudget final : public ExtraLoadBudget {
 public:
  // `nodes` tells among how many nodes the slack is split.
  WindowExtraLoadBudget(WindowBudgetRules rules,
                        base::Scheduler& scheduler,
                        std::function<size_t()> nodes);

  void OnPrimary(const std::string& account, double share) override;
  bool TrySpend(const std::string& account) override;

 private:
  // Counts of a part of the window, so that memory does not grow with load.
  struct Slice {
    int64_t number = 0;
    double earned = 0;
    double spent = 0;
  };
  struct Account {
    std::deque<Slice> slices;  // Rising numbers, at most kSlices + 1.
    double earned = 0;         // Sums over `slices`.
    double spent = 0;
  };
  Slice& CurrentSlice(Account& account);

  const WindowBudgetRules rules_;
  base::Scheduler& scheduler_;
  const std::function<size_t()> nodes_;
  // A process that was restarted can't know what its predecessor spent in the
  // present window, so that the slack counts from the second window on.
  const base::Instant slack_since_;
  base::Sharded<std::unordered_map<std::string, Account>> accounts_;
};

}  // namespace upstream

#endif  // LIBUPSTREAM_EXTRA_LOAD_BUDGET_H_
