// Implements the extra load budgets: a token bucket and a sliding window.

#include "LibUpstream/extra_load_budget.h"

#include <algorithm>
#include <utility>

namespace upstream {

namespace {

constexpr int64_t kSlicesPerWindow = 20;
// Allows for the rounding error of sums of shares that amount to a whole
// sub-request.
constexpr double kRoundingTolerance = 1e-6;

}  // namespace

void TokenExtraLoadBudget::OnPrimary(const std::string& account, double share) {
  spent_tokens_.With(account, [&](auto& accounts) {
    double& spent = accounts[account];
    spent = std::max(0.0, spent - share);
  });
}

bool TokenExtraLoadBudget::TrySpend(const std::string& account) {
  return spent_tokens_.With(account, [&](auto& accounts) {
    double& spent = accounts[account];
    if (spent + 1 > burst_)
      return false;
    spent += 1;
    return true;
  });
}

WindowExtraLoadBudget::WindowExtraLoadBudget(
    WindowBudgetRules rules,
    base::Scheduler& scheduler,
    std::function<size_t()> count_nodes)
    : rules_(rules),
      scheduler_(scheduler),
      count_nodes_(std::move(count_nodes)),
      slack_start_(scheduler.Now() + rules.window) {}

// NOTE: A slice is kept until all of it is older than the window, so that
// spending counts for slightly longer than the window. Earnings must not count
// for longer than the window, so TrySpend leaves out what the oldest slice
// earned.
WindowExtraLoadBudget::Slice& WindowExtraLoadBudget::CurrentSlice(
    Account& account) {
  const base::Duration slice_length = rules_.window / kSlicesPerWindow;
  const int64_t slice_number =
      scheduler_.Now().time_since_epoch().count() / slice_length.count();
  while (!account.slices.empty() && account.slices.front().slice_number <
                                        slice_number - kSlicesPerWindow) {
    account.earned -= account.slices.front().earned;
    account.spent -= account.slices.front().spent;
    account.slices.pop_front();
  }
  if (account.slices.empty() ||
      account.slices.back().slice_number != slice_number)
    account.slices.push_back({slice_number, 0, 0});
  return account.slices.back();
}

void WindowExtraLoadBudget::OnPrimary(const std::string& name, double share) {
  accounts_.With(name, [&](auto& accounts) {
    Account& account = accounts[name];
    CurrentSlice(account).earned += share;
    account.earned += share;
  });
}

bool WindowExtraLoadBudget::TrySpend(const std::string& name) {
  const auto node_count =
      static_cast<double>(std::max<size_t>(count_nodes_(), 1));
  const double slack =
      scheduler_.Now() < slack_start_ ? 0 : rules_.slack / node_count;
  return accounts_.With(name, [&](auto& accounts) {
    Account& account = accounts[name];
    Slice& slice = CurrentSlice(account);
    const double expired_earnings =
        account.slices.front().slice_number <=
                slice.slice_number - kSlicesPerWindow
            ? account.slices.front().earned
            : 0;
    if (account.spent + 1 >
        account.earned - expired_earnings + slack + kRoundingTolerance)
      return false;
    slice.spent += 1;
    account.spent += 1;
    return true;
  });
}

}  // namespace upstream
