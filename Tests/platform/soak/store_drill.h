// Drills of the store: it is away for a moment and comes back, perhaps from a
// copy of its contents that is some seconds old.

#ifndef SOAK_STORE_DRILL_H_
#define SOAK_STORE_DRILL_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "LibBase/asio_scheduler.h"
#include "observation.h"
#include "stand_in_server.h"
#include "stand_in_store.h"

namespace soak {

// What the store loses.
enum class StoreLoss : uint8_t {
  kNothing,
  kConfigurationAndServers,
  kServers,
};

struct DrillPlan {
  std::string name;
  StoreLoss loss = StoreLoss::kNothing;
  // Whether the lost revisions have all been given out again when the hosts
  // reach the store, so that no watch of theirs is refused.
  bool is_reissued = false;
  // Whether a server announces, among the lost changes, that it is leaving.
  bool is_departure_lost = false;
  int outages = 1;

  bool operator==(const DrillPlan&) const = default;
};

// Returns nothing if no drill has the name.
std::optional<DrillPlan> FindDrillPlan(const std::string& name);
std::vector<std::string> DrillPlanNames();

struct NextConfiguration {
  uint64_t version = 0;
  std::string text;

  bool operator==(const NextConfiguration&) const = default;
};

// Plays one drill: changes, the outage, and the changes after it, which the
// hosts must follow.
class StoreDrill : public std::enable_shared_from_this<StoreDrill> {
 public:
  // References must outlive the tasks of the io_context. Each call of
  // `next_configuration` returns a higher version.
  StoreDrill(boost::asio::io_context& io,
             DrillPlan plan,
             StandInStore& store,
             std::vector<StandInServer*> servers,
             std::function<NextConfiguration()> next_configuration,
             Recorder& recorder);

  // Must be called on the thread of the io_context.
  void Start();

  // How long a drill takes.
  base::Duration duration() const;

 private:
  void ScheduleOutage(base::Duration begin);
  void ScheduleLaterChanges(base::Duration begin);
  void At(base::Duration delay, std::function<void(StoreDrill&)> step);
  void PublishNext();
  void PublishLastAgain();
  void ChangeServers();
  void WriteChangedServers();
  // Makes changes before a host can reach the store again.
  void ReissueRevisions();
  void LetServerLeave(size_t server);
  void WriteEntry(size_t server);
  void WriteEntriesAgain();

  const DrillPlan plan_;
  base::AsioScheduler scheduler_;
  StandInStore& store_;
  const std::vector<StandInServer*> servers_;
  const std::function<NextConfiguration()> next_configuration_;
  Recorder& recorder_;
  StandInStore::Contents copy_;
  NextConfiguration last_configuration_;
  std::vector<bool> has_left_;  // By server.
  base::Instant outage_begin_{};
};

}  // namespace soak

#endif  // SOAK_STORE_DRILL_H_
