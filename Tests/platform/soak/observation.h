// What the clients and servers of a soak saw, as plain values.

#ifndef SOAK_OBSERVATION_H_
#define SOAK_OBSERVATION_H_

#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

#include "LibBase/time.h"

namespace soak {

// How one attempt of a client ended.
enum class AttemptEnd : uint8_t {
  kAnswered,      // With a complete answer.
  kClosed,        // The connection ended without a complete answer.
  kTimedOut,      // The client's time budget was over.
  kNotConnected,  // No connection was established.
};

// One attempt of a client at one address.
struct ClientAttempt {
  std::string request_id;
  std::string route;
  std::string address;
  base::Instant sent;  // When its last byte was sent.
  base::Instant ended;
  base::Duration time_allowed{};
  AttemptEnd end = AttemptEnd::kAnswered;
  int status = 0;  // 0 unless the attempt was answered.
  bool on_kept_connection = false;

  bool operator==(const ClientAttempt&) const = default;
};

// How the work of a server for one request ended.
enum class RunEnd : uint8_t { kAnswered, kDropped, kRefused };

struct ServerRun {
  std::string request_id;
  std::string instance;
  base::Instant arrived;
  base::Instant ended;
  RunEnd end = RunEnd::kAnswered;

  bool operator==(const ServerRun&) const = default;
};

// A SIGTERM to the host with this caller address.
struct PlannedStop {
  std::string address;
  base::Instant signalled;
  bool was_killed = false;  // It still ran at the end of its grace period.

  bool operator==(const PlannedStop&) const = default;
};

// A span in which hosts were killed or down without notice.
struct UnplannedOutage {
  base::Instant begin;
  base::Instant end;

  bool operator==(const UnplannedOutage&) const = default;
};

// A span in which the store answered no calls.
struct StoreOutage {
  base::Instant begin;
  base::Instant end;

  bool operator==(const StoreOutage&) const = default;
};

// A configuration that the store acknowledged. Each version has a route that no
// other version has.
struct PublishedVersion {
  uint64_t version = 0;
  base::Instant acknowledged;

  bool operator==(const PublishedVersion&) const = default;
};

// A request to a host on the route of one version, whose answer shows whether
// the version is in force there.
struct ConfigurationProbe {
  std::string address;
  uint64_t version = 0;
  base::Instant sent;
  base::Instant ended;
  int status = 0;  // 0 if there was no answer.

  bool operator==(const ConfigurationProbe&) const = default;
};

// A server's announcement, acknowledged by the store, that it is leaving.
struct ServerDeparture {
  std::string instance;
  base::Instant acknowledged;

  bool operator==(const ServerDeparture&) const = default;
};

struct Observation {
  std::vector<ClientAttempt> attempts;
  std::vector<ServerRun> runs;
  std::vector<PlannedStop> stops;
  std::vector<UnplannedOutage> outages;
  std::vector<StoreOutage> store_outages;
  std::vector<PublishedVersion> versions;  // In rising order.
  std::vector<ConfigurationProbe> probes;
  std::vector<ServerDeparture> departures;

  bool operator==(const Observation&) const = default;
};

// Collects an observation from several threads.
class Recorder {
 public:
  void Add(ClientAttempt attempt);
  void Add(ServerRun run);
  void Add(PlannedStop stop);
  void Add(UnplannedOutage outage);
  void Add(StoreOutage outage);
  void Add(PublishedVersion version);
  void Add(ConfigurationProbe probe);
  void Add(ServerDeparture departure);
  Observation Snapshot();

 private:
  std::mutex mutex_;
  Observation observation_;  // Guarded by `mutex_`.
};

}  // namespace soak

#endif  // SOAK_OBSERVATION_H_
