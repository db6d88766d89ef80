// A scheduler in virtual time. Tasks run in the order of their due times; tasks
// with the same due time run in the order in which they were added.

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
    tasks_.emplace(TaskKey{due, id}, std::move(task));
    due_times_.emplace(id, due);
    return base::TimerId{id};
  }

  void Post(std::function<void()> task) override {
    After(base::Duration::zero(), std::move(task));
  }

  void Cancel(base::TimerId timer) override {
    const auto found = due_times_.find(static_cast<uint64_t>(timer));
    if (found == due_times_.end())
      return;
    tasks_.erase(TaskKey{found->second, found->first});
    due_times_.erase(found);
  }

  // Runs the tasks due within `duration`, then sets the clock to its end.
  void RunFor(base::Duration duration) {
    const base::Instant end = now_ + duration;
    while (!tasks_.empty() && tasks_.begin()->first.first <= end)
      RunNext();
    now_ = end;
  }

  // Advances the clock to the next task and runs it. Returns false if there is
  // none.
  bool RunNext() {
    if (tasks_.empty())
      return false;
    const auto first = tasks_.begin();
    const std::function<void()> task = std::move(first->second);
    now_ = first->first.first;
    due_times_.erase(first->first.second);
    tasks_.erase(first);
    task();
    return true;
  }

 private:
  // The due time and the timer's id.
  using TaskKey = std::pair<base::Instant, uint64_t>;

  base::Instant now_ = base::Instant(std::chrono::hours(1));
  uint64_t next_id_ = 1;
  std::map<TaskKey, std::function<void()>> tasks_;
  std::unordered_map<uint64_t, base::Instant> due_times_;
};

}  // namespace fakes

#endif  // FAKES_VIRTUAL_SCHEDULER_H_
