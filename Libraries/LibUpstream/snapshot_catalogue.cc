// Recomputes snapshots when a report or the configuration changes.

#include "LibUpstream/snapshot_catalogue.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "LibBase/log.h"

namespace upstream {

namespace {

// The shards of one version that are known from reports.
struct Candidate {
  uint32_t shard_count = 0;
  std::map<uint32_t, uint32_t> service_of_shard;
  // The subset of `service_of_shard` that has a serving server.
  std::map<uint32_t, uint32_t> serving_shards;

  bool is_complete() const { return serving_shards.size() == shard_count; }
};

constexpr uint32_t kMaxShardCount = 1'000'000;
// The reports of all servers reach a node within this time after it gets a new
// configuration.
constexpr base::Duration kReportSettleTime = std::chrono::seconds(3);

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
  service_by_address_.clear();
  for (const config::Upstream& upstream : configuration_->upstreams) {
    for (uint32_t service = 0; service < upstream.services.size(); ++service) {
      for (const config::Server& server : upstream.services[service].servers)
        service_by_address_[server.address] = {upstream.name, service};
    }
  }
  std::erase_if(reports_, [&](const auto& entry) {
    return !service_by_address_.contains(entry.first);
  });
  choices_.clear();
  reports_settled_at_ = scheduler_.Now() + kReportSettleTime;
}

bool SnapshotCatalogue::OnReport(const ServerReport& report) {
  const std::lock_guard lock(mutex_);
  const auto served = service_by_address_.find(report.address);
  if (served == service_by_address_.end())
    return false;
  const auto known = reports_.find(report.address);
  if (known != reports_.end() && !report.IsNewerThan(known->second))
    return false;
  reports_.insert_or_assign(report.address, report);
  choices_.erase(served->second.upstream);
  return true;
}

SnapshotPtr SnapshotCatalogue::Newest(const std::string& upstream) {
  const std::lock_guard lock(mutex_);
  const auto [entry, inserted] = choices_.try_emplace(upstream);
  if (inserted) {
    entry->second = Choose(upstream);
    LogIfChanged(upstream, entry->second);
  }
  if (!entry->second.is_complete && scheduler_.Now() < reports_settled_at_)
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

SnapshotCatalogue::Choice SnapshotCatalogue::Choose(
    const std::string& upstream) const {
  std::map<uint64_t, Candidate> candidates;
  for (const auto& [address, report] : reports_) {
    const ServedService& served = service_by_address_.at(address);
    if (served.upstream != upstream)
      continue;
    for (const HeldIndex& held : report.held) {
      Candidate& candidate = candidates[held.version];
      if (held.shard_count > kMaxShardCount)
        continue;
      candidate.shard_count = std::max(candidate.shard_count, held.shard_count);
      for (const uint32_t shard : held.shards) {
        if (shard >= held.shard_count)
          continue;
        candidate.service_of_shard[shard] = served.service;
        if (report.phase == ServerPhase::kServing)
          candidate.serving_shards[shard] = served.service;
      }
    }
  }
  std::optional<uint64_t> best;
  for (const auto& [version, candidate] : candidates) {
    const bool better = !best || candidate.is_complete() ||
                        (!candidates[*best].is_complete() &&
                         candidate.serving_shards.size() >=
                             candidates[*best].serving_shards.size());
    if (better && candidate.shard_count > 0)
      best = version;
  }
  if (!best)
    return {};
  return {std::make_shared<Snapshot>(ToSnapshot(*best, candidates[*best])),
          candidates[*best].is_complete()};
}

std::vector<ServerReport> SnapshotCatalogue::Reports() {
  const std::lock_guard lock(mutex_);
  std::vector<ServerReport> reports;
  for (const auto& [address, report] : reports_)
    reports.push_back(report);
  return reports;
}

}  // namespace upstream
