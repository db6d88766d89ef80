// Plays a scenario against real processes of the tier.

#ifndef SOAK_SOAK_H_
#define SOAK_SOAK_H_

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "LibBase/random.h"
#include "client.h"
#include "fleet.h"
#include "io_thread.h"
#include "observation.h"
#include "prober.h"
#include "scenario.h"
#include "soak_options.h"
#include "stand_in_server.h"
#include "stand_in_store.h"
#include "store_drill.h"

namespace soak {

class Soak {
 public:
  Soak(const SoakOptions& options,
       Deployment deployment,
       StopPlan plan,
       std::optional<DrillPlan> drill);
  ~Soak();

  // Plays the scenario to its end. Returns false if the hosts did not become
  // ready at the start.
  bool Play();

  Observation Seen() { return recorder_.Snapshot(); }
  size_t unexpected_ends() const { return fleet_->unexpected_ends(); }
  // Returns the names of the hosts that are not ready.
  std::vector<std::string> UnreadyHosts();

 private:
  std::string NextServerAddress();
  void CreateServers();
  void CreateFleet();
  void StartClients();
  void PutConfiguration();
  NextConfiguration MakeNextConfiguration();
  // Plays a drill of the store, once.
  void PlayDrill();
  // Returns the directories of all hosts, those of the zone first.
  std::vector<std::string> DirectoriesFor(const std::string& zone);
  void PlayRound();
  void TickFor(base::Duration duration);
  void TickUntil(const std::function<bool()>& is_done);
  // Sends SIGHUP to some host and puts a new configuration into force, if that
  // is due.
  void Disturb();

  const SoakOptions options_;
  const Deployment deployment_;
  const StopPlan plan_;
  const std::optional<DrillPlan> drill_plan_;
  base::SeededRandom random_;
  Recorder recorder_;
  // Declared before the objects that use them, and stopped before these are
  // destroyed.
  IoThread server_thread_;
  IoThread client_thread_;
  const std::string store_address_;
  int next_server_port_;
  std::atomic<uint64_t> version_ = 0;
  size_t next_host_ = 0;
  size_t outages_ = 0;
  base::Instant next_disturbance_{};
  FleetOptions fleet_options_;
  std::unique_ptr<StandInStore> store_;
  std::vector<std::unique_ptr<StandInServer>> servers_;
  std::vector<std::shared_ptr<Client>> clients_;
  std::unique_ptr<Prober> prober_;
  std::shared_ptr<StoreDrill> drill_;
  std::unique_ptr<Fleet> fleet_;
};

}  // namespace soak

#endif  // SOAK_SOAK_H_
