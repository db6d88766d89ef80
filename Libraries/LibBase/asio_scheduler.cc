// Runs timers on Asio threads. The timers are kept under several locks, so that
// threads rarely wait for each other.

#include "LibBase/asio_scheduler.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <unordered_map>

#include "LibBase/lock_striped.h"

namespace base {

namespace {

using TimerMap =
    std::unordered_map<uint64_t, std::unique_ptr<boost::asio::steady_timer>>;

}  // namespace

struct AsioScheduler::State {
  explicit State(boost::asio::io_context& context) : io(context) {}

  boost::asio::io_context& io;
  std::atomic<uint64_t> next_id{1};
  LockStriped<TimerMap> timers;
};

AsioScheduler::AsioScheduler(boost::asio::io_context& io)
    : state_(std::make_shared<State>(io)) {}

AsioScheduler::~AsioScheduler() = default;

TimerId AsioScheduler::After(Duration delay, std::function<void()> task) {
  const uint64_t id = state_->next_id.fetch_add(1);
  auto timer = std::make_unique<boost::asio::steady_timer>(state_->io, delay);
  state_->timers.With(id, [&](TimerMap& timers) {
    auto& stored = *timers.emplace(id, std::move(timer)).first->second;
    stored.async_wait([state = state_, id, task = std::move(task)](auto error) {
      state->timers.With(id, [id](TimerMap& map) { map.erase(id); });
      if (!error)
        task();
    });
  });
  return TimerId{id};
}

void AsioScheduler::Post(std::function<void()> task) {
  boost::asio::post(state_->io, std::move(task));
}

void AsioScheduler::Cancel(TimerId timer) {
  const auto id = static_cast<uint64_t>(timer);
  state_->timers.With(id, [id](TimerMap& timers) { timers.erase(id); });
}

}  // namespace base
