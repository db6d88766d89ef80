// Hosts of the tier as real processes, started, stopped and killed as the
// platform does it.

#ifndef SOAK_FLEET_H_
#define SOAK_FLEET_H_

#include <sys/types.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "LibBase/time.h"
#include "observation.h"

namespace soak {

struct HostOptions {
  std::string name;
  std::string availability_zone;
  std::string ip;
  int first_port = 0;  // Four ports from here on are used.

  std::string peer_address() const { return Address(0); }
  std::string directory_address() const { return Address(1); }
  std::string caller_address() const { return Address(2); }
  std::string readiness_address() const { return Address(3); }
  bool operator==(const HostOptions&) const = default;

 private:
  std::string Address(int offset) const {
    return ip + ":" + std::to_string(first_port + offset);
  }
};

struct FleetOptions {
  std::string program;        // Path of the executable.
  std::string template_file;  // The settings template of the deploy file.
  std::string folder;         // For settings and logs.
  std::string store_address;
  int grace_seconds = 6;
  double processor_share = 1;  // Of each host.
  std::vector<HostOptions> hosts;

  bool operator==(const FleetOptions&) const = default;
};

// One process at a time. It is killed if the thread that started it ends.
class Host {
 public:
  Host(HostOptions options, std::string program, std::string folder);
  ~Host();

  void Start();
  void Signal(int signal);
  void Kill();
  // Returns whether no process runs.
  bool HasEnded();
  // Returns the time that the process has spent on a processor.
  base::Duration ProcessorTime();
  const HostOptions& options() const { return options_; }

 private:
  const HostOptions options_;
  const std::string program_;
  const std::string folder_;
  std::optional<pid_t> pid_;
};

// Lets a host use a share of a processor: once it has used up its quota of a
// period, it stands still for the rest of the period.
class ProcessorQuota {
 public:
  explicit ProcessorQuota(double share) : share_(share) {}
  void Tick(Host& host, base::Instant now);
  // Lets the host run without a limit from now on.
  void Lift(Host& host);

 private:
  double share_;
  base::Instant period_end_{};
  base::Duration used_before_{};  // Until the period began.
  bool is_stopped_ = false;
};

// All functions must be called on one thread.
class Fleet {
 public:
  // Writes the settings of all hosts.
  Fleet(const FleetOptions& options, Recorder& recorder);

  void StartAll();
  // Sends SIGTERM, unless the host is stopping or down already. Tick kills the
  // process after the grace period and starts another one.
  void Stop(size_t host);
  // Kills all hosts. Tick starts them again after `down`.
  void KillAll(base::Duration down);
  // Does what is due. Call it every few milliseconds.
  void Tick();
  // Lets all hosts use as much of a processor as they need.
  void LiftQuotas();
  // Returns whether no host is stopping or down.
  bool IsWhole() const;
  // Returns whether all hosts are ready before `wait` is over.
  bool WaitUntilReady(base::Duration wait);

  size_t size() const { return hosts_.size(); }
  Host& host(size_t index) { return *hosts_[index].host; }
  // How often a process ended that had not been told to.
  size_t unexpected_ends() const { return unexpected_ends_; }

 private:
  struct HostState {
    std::unique_ptr<Host> host;
    ProcessorQuota quota;
    std::optional<PlannedStop> stop;          // Set while the host is stopping.
    std::optional<base::Instant> restart_at;  // Set while the host is down.
  };

  void Tick(HostState& state, base::Instant now);

  const base::Duration grace_;
  Recorder& recorder_;
  std::vector<HostState> hosts_;
  size_t unexpected_ends_ = 0;
};

// Returns whether the host's readiness address answers 200.
bool IsReady(const HostOptions& host);

}  // namespace soak

#endif  // SOAK_FLEET_H_
