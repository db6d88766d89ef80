// Budgets of extra load.

#include "LibUpstream/extra_load_budget.h"

#include <algorithm>
#include <utility>

namespace upstream {

namespace {

constexpr int64_t kSlices = 20;
// Of sums of shares that make up a whole sub-request.
constexpr double kRounding = 1e-6;

}  // namespace

void TokenExtraLoadBudget::OnPrimary(const std::string& account, double share) {
  spent_.With(account, [&](auto& accounts) {
    double& spent = accounts[account];
    spent = std::max(0.0, spent - share);
  });
}

bool TokenExtraLoadBudget::TrySpend(const std::string& account) {
  return spent_.With(account, [&](auto& accounts) {
    double& spent = accounts[account];
    if (spent + 1 > burst_)
      return false;
    spent += 1;
    return true;
  });
}

WindowExtraLoadBudget::WindowExtraLoadBudget(WindowBudgetRules rules,
                                             base::Scheduler& scheduler,
                                             std::function<size_t()> nodes)
    : rules_(rules),
      scheduler_(scheduler),
      nodes_(std::move(nodes)),
      slack_since_(scheduler.Now() + rules.window) {}

// NOTE: A slice is kept until all of it is older than the window: what was
// spent counts a little longer than it must. Earnings of the oldest slice are
// left out for the same reason.
WindowExtraLoadBudget::Slice& WindowExtraLoadBudget::CurrentSlice(
    Account& account) {
  const base::Duration width = rules_.window / kSlices;
  const int64_t number =
      scheduler_.Now().time_since_epoch().count() / width.count();
  while (!account.slices.empty() &&
         account.slices.front().number < number - kSlices) {
    account.earned -= account.slices.front().earned;
    account.spent -= account.slices.front().spent;
    account.slices.pop_front();
  }
  if (account.slices.empty() || account.slices.back().number != number)
    account.slices.push_back({number, 0, 0});
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
  const auto nodes = static_cast<double>(std::max<size_t>(nodes_(), 1));
  const double slack =
      scheduler_.Now() < slack_since_ ? 0 : rules_.slack / nodes;
  return accounts_.With(name, [&](auto& accounts) {
    Account& account = accounts[name];
    Slice& slice = CurrentSlice(account);
    const double stale = account.slices.front().number <= slice.number - kSlices
                             ? account.slices.front().earned
                             : 0;
    if (account.spent + 1 > account.earned - stale + slack + kRounding)
      return false;
    slice.spent += 1;
    account.spent += 1;
    return true;
  });
}

}  // namespace upstream
