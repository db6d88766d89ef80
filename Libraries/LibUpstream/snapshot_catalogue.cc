// Snapshots are recomputed when a report or the configuration changes.

#include "LibUpstream/snapshot_catalogue.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "LibBase/log.h"

namespace upstream {

namespace {

// The shards of one version as far as reports show them.
struct Candidate {
  uint32_t shard_count = 0;
  std::map<uint32_t, uint32_t> service_of_shard;
  std::map<uint32_t, uint32_t> serving;  // Shards with a serving server.

  bool is_whole() const { return serving.size() == shard_count; }
};

constexpr uint32_t kMaxShards = 1'000'000;
// Within this time the reports of all servers reach a node.
constexpr base::Duration kSettleTime = std::chrono::seconds(3);

Snapshot ToSnapshot(uint64_t version, const Candidate& candidate) {
  Snapshot snapshot{version,
                    std::vector<uint32_t>(candidate.shard_count, kNoService)};
  for (const auto& [shard, service] : candidate.service_of_shard)
    snapshot.service_of_shard[shard] = service;
  return snapshot;
}

}  // namespace

void SnapshotCatalogue::SetConfiguration(
    config::ConfigurationPtr configuration) {
  const std::lock_guard lock(mutex_);
  configuration_ = std::move(configuration);
  places_.clear();
  for (const config::Upstream& upstream : configuration_->upstreams) {
    for (uint32_t service = 0; service < upstream.services.size(); ++service) {
      for (const config::Server& server : upstream.services[service].servers)
        places_[server.address] = {upstream.name, service};
    }
  }
  std::erase_if(reports_, [&](const auto& entry) {
    return !places_.contains(entry.first);
  });
  newest_.clear();
  settled_at_ = scheduler_.Now() + kSettleTime;
}

bool SnapshotCatalogue::OnReport(const ServerReport& report) {
  const std::lock_guard lock(mutex_);
  const auto place = places_.find(report.address);
  if (place == places_.end())
    return false;
  const auto known = reports_.find(report.address);
  if (known != reports_.end() && !report.IsNewerThan(known->second))
    return false;
  reports_.insert_or_assign(report.address, report);
  newest_.erase(place->second.upstream);
  return true;
}

SnapshotPtr SnapshotCatalogue::Newest(const std::string& upstream) {
  const std::lock_guard lock(mutex_);
  const auto [entry, inserted] = newest_.try_emplace(upstream);
  if (inserted) {
    entry->second = Compute(upstream);
    LogIfChanged(upstream, entry->second);
  }
  if (!entry->second.is_whole && scheduler_.Now() < settled_at_)
    return nullptr;
  return entry->second.snapshot;
}

void SnapshotCatalogue::LogIfChanged(const std::string& upstream,
                                     const Choice& choice) {
  const uint64_t version = choice.snapshot ? choice.snapshot->version : 0;
  if (std::exchange(logged_versions_[upstream], version) != version)
    base::Log(base::Event::kSnapshotChanged,
              {{"upstream", upstream}, {"version", std::to_string(version)}});
}

SnapshotCatalogue::Choice SnapshotCatalogue::Compute(
    const std::string& upstream) const {
  std::map<uint64_t, Candidate> candidates;
  for (const auto& [address, report] : reports_) {
    const Place& place = places_.at(address);
    if (place.upstream != upstream)
      continue;
    for (const HeldIndex& held : report.held) {
      Candidate& candidate = candidates[held.version];
      if (held.shard_count > kMaxShards)
        continue;
      candidate.shard_count = std::max(candidate.shard_count, held.shard_count);
      for (const uint32_t shard : held.shards) {
        if (shard >= held.shard_count)
          continue;
        candidate.service_of_shard[shard] = place.service;
        if (report.phase == ServerPhase::kServing)
          candidate.serving[shard] = place.service;
      }
    }
  }
  std::optional<uint64_t> best;
  for (const auto& [version, candidate] : candidates) {
    const bool better =
        !best || candidate.is_whole() ||
        (!candidates[*best].is_whole() &&
         candidate.serving.size() >= candidates[*best].serving.size());
    if (better && candidate.shard_count > 0)
      best = version;
  }
  if (!best)
    return {};
  return {std::make_shared<Snapshot>(ToSnapshot(*best, candidates[*best])),
          candidates[*best].is_whole()};
}

std::vector<ServerReport> SnapshotCatalogue::Reports() {
  const std::lock_guard lock(mutex_);
  std::vector<ServerReport> reports;
  for (const auto& [address, report] : reports_)
    reports.push_back(report);
  return reports;
}

}  // namespace upstream
