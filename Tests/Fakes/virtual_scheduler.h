// A scheduler in virtual time: tasks run in order of their instants, and those
// of one instant in the order in which they were added.

#ifndef FAKES_VIRTUAL_SCHEDULER_H_
#define FAKES_VIRTUAL_SCHEDULER_H_

#include <map>
#include <unordered_map>
#include <utility>

#include "LibBase/scheduler.h"

namespace fakes {

class VirtualScheduler final : public base::Scheduler {
 public:
  base::Instant Now() const override { return now_; }

  base::TimerId After(base::Duration delay,
                      std::function<void()> task) override {
    const uint64_t id = next_id_++;
    const base::Instant due = now_ + std::max(delay, base::Duration::zero());
    tasks_.emplace(Slot{due, id}, std::move(task));
    due_.emplace(id, due);
    return base::TimerId{id};
  }

  void Post(std::function<void()> task) override {
    After(base::Duration::zero(), std::move(task));
  }

  void Cancel(base::TimerId timer) override {
    const auto found = due_.find(static_cast<uint64_t>(timer));
    if (found == due_.end())
      return;
    tasks_.erase(Slot{found->second, found->first});
    due_.erase(found);
  }

  // Runs what is due within `duration`, then stands at its end.
  void RunFor(base::Duration duration) {
    const base::Instant end = now_ + duration;
    while (!tasks_.empty() && tasks_.begin()->first.first <= end)
      RunNext();
    now_ = end;
  }

  bool RunNext() {
    if (tasks_.empty())
      return false;
    const auto first = tasks_.begin();
    const std::function<void()> task = std::move(first->second);
    now_ = first->first.first;
    due_.erase(first->first.second);
    tasks_.erase(first);
    task();
    return true;
  }

 private:
  using Slot = std::pair<base::Instant, uint64_t>;

  base::Instant now_ = base::Instant(std::chrono::hours(1));
  uint64_t next_id_ = 1;
  std::map<Slot, std::function<void()>> tasks_;
  std::unordered_map<uint64_t, base::Instant> due_;
};

}  // namespace fakes

#endif  // FAKES_VIRTUAL_SCHEDULER_H_
