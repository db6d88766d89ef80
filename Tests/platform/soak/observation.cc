// Collects what clients and servers saw.

#include "observation.h"

#include <utility>

namespace soak {

void Recorder::Add(ClientAttempt attempt) {
  const std::lock_guard lock(mutex_);
  observation_.attempts.push_back(std::move(attempt));
}

void Recorder::Add(ServerRun run) {
  const std::lock_guard lock(mutex_);
  observation_.runs.push_back(std::move(run));
}

void Recorder::Add(PlannedStop stop) {
  const std::lock_guard lock(mutex_);
  observation_.stops.push_back(std::move(stop));
}

void Recorder::Add(UnplannedOutage outage) {
  const std::lock_guard lock(mutex_);
  observation_.outages.push_back(outage);
}

void Recorder::Add(StoreOutage outage) {
  const std::lock_guard lock(mutex_);
  observation_.store_outages.push_back(outage);
}

void Recorder::Add(PublishedVersion version) {
  const std::lock_guard lock(mutex_);
  observation_.versions.push_back(version);
}

void Recorder::Add(ConfigurationProbe probe) {
  const std::lock_guard lock(mutex_);
  observation_.probes.push_back(std::move(probe));
}

void Recorder::Add(ServerDeparture departure) {
  const std::lock_guard lock(mutex_);
  observation_.departures.push_back(std::move(departure));
}

Observation Recorder::Snapshot() {
  const std::lock_guard lock(mutex_);
  return observation_;
}

}  // namespace soak
