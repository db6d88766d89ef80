// Limits the extra load that hedges and retries cause together.

#ifndef LIBUPSTREAM_EXTRA_LOAD_BUDGET_H_
#define LIBUPSTREAM_EXTRA_LOAD_BUDGET_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <unordered_map>

#include "LibBase/lock_striped.h"
#include "LibBase/scheduler.h"
#include "LibBase/time.h"

namespace upstream {

// Primary sub-requests earn a share of an extra one; hedges and retries spend
// what was earned. Each account has its own balance: here an account is a party
// and upstream or, for forwarded requests, a service.
class ExtraLoadBudget {
 public:
  virtual ~ExtraLoadBudget() = default;

  // Records a primary sub-request, which earns `share` of an extra one.
  virtual void OnPrimary(const std::string& account, double share) = 0;
  // Returns whether one more extra sub-request may be sent, and if so counts it
  // as sent.
  virtual bool TrySpend(const std::string& account) = 0;
};

// A token bucket for each account: it starts full with `burst` tokens, primary
// sub-requests add tokens, and each extra sub-request takes one.
class TokenExtraLoadBudget final : public ExtraLoadBudget {
 public:
  // `burst` is the number of extra sub-requests that may be sent before any has
  // been earned.
  explicit TokenExtraLoadBudget(double burst) : burst_(burst) {}

  void OnPrimary(const std::string& account, double share) override;
  bool TrySpend(const std::string& account) override;

 private:
  const double burst_;
  // The tokens that are missing from the full bucket of each account; never
  // below 0, so that no account saves up more than `burst_` tokens.
  base::LockStriped<std::unordered_map<std::string, double>> spent_tokens_;
};

struct WindowBudgetRules {
  // The limit holds for any span of this length.
  base::Duration window = std::chrono::seconds(10);
  // The number of extra sub-requests that all nodes together may send in a
  // window without primary ones.
  double slack = 0;

  bool operator==(const WindowBudgetRules&) const = default;
};

// Allows a share of the primary sub-requests of a sliding window, plus this
// node's part of a slack that all nodes share. Each node counts only its own
// sub-requests; what all nodes may spend adds up to the limit for all of them.
class WindowExtraLoadBudget final : public ExtraLoadBudget {
 public:
  // `count_nodes` returns the number of nodes that the slack is split among.
  WindowExtraLoadBudget(WindowBudgetRules rules,
                        base::Scheduler& scheduler,
                        std::function<size_t()> count_nodes);

  void OnPrimary(const std::string& account, double share) override;
  bool TrySpend(const std::string& account) override;

 private:
  // The counts for a part of the window. Slices bound the memory, which would
  // grow with the load if each sub-request were stored.
  struct Slice {
    int64_t slice_number = 0;
    double earned = 0;
    double spent = 0;
  };
  struct Account {
    // In rising order of `slice_number`; at most kSlicesPerWindow + 1.
    std::deque<Slice> slices;
    // The sums over `slices`.
    double earned = 0;
    double spent = 0;
  };
  Slice& CurrentSlice(Account& account);

  const WindowBudgetRules rules_;
  base::Scheduler& scheduler_;
  const std::function<size_t()> count_nodes_;
  // When the slack becomes available: one window after the start. A restarted
  // process can't know what its predecessor spent in the current window.
  const base::Instant slack_start_;
  base::LockStriped<std::unordered_map<std::string, Account>> accounts_;
};

}  // namespace upstream

#endif  // LIBUPSTREAM_EXTRA_LOAD_BUDGET_H_
