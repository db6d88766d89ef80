// Determines from the servers' reports which index versions can be queried on
// all their shards.

#ifndef LIBUPSTREAM_SNAPSHOT_CATALOGUE_H_
#define LIBUPSTREAM_SNAPSHOT_CATALOGUE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "LibBase/scheduler.h"
#include "LibConfig/configuration.h"
#include "LibUpstream/server_report.h"

namespace upstream {

// Stands for the service of a shard that no server has reported.
inline constexpr uint32_t kNoService = UINT32_MAX;

// An index version and the service of each of its shards. Immutable.
struct Snapshot {
  uint64_t version = 0;
  // For each shard, the index of the service that holds it, or kNoService.
  std::vector<uint32_t> service_of_shard;

  uint32_t shard_count() const {
    return static_cast<uint32_t>(service_of_shard.size());
  }
  bool operator==(const Snapshot&) const = default;
};

using SnapshotPtr = std::shared_ptr<const Snapshot>;

// Chooses the snapshot to query for each upstream. Safe from any thread.
class SnapshotCatalogue {
 public:
  // `scheduler` must outlive the catalogue.
  explicit SnapshotCatalogue(const base::Scheduler& scheduler)
      : scheduler_(scheduler) {}

  // Removes the reports of servers that the configuration no longer lists.
  void SetConfiguration(config::ConfigurationPtr configuration);

  // Stores a report. Returns whether it is from a configured server and newer
  // than the stored one.
  bool OnReport(const ServerReport& report);

  // Returns the newest version for which every shard has a serving server. If
  // there is none, returns the version with the most shards served. Returns
  // null while no version is known, and also shortly after a new configuration
  // while no version is complete, because reports may not have arrived yet.
  SnapshotPtr Newest(const std::string& upstream);

  // Returns the newest report of each server.
  std::vector<ServerReport> Reports();

 private:
  // The service that a server belongs to.
  struct ServedService {
    std::string upstream;
    uint32_t service = 0;  // Index into config::Upstream::services.
  };
  struct Choice {
    SnapshotPtr snapshot;
    bool is_complete = false;  // Whether every shard has a serving server.
  };
  // Chooses the snapshot from the stored reports; callers hold `mutex_`.
  Choice Choose(const std::string& upstream) const;
  void LogIfChanged(const std::string& upstream, const Choice& choice);

  const base::Scheduler& scheduler_;
  std::mutex mutex_;
  // All guarded by `mutex_`.
  config::ConfigurationPtr configuration_;
  std::map<std::string, ServedService> service_by_address_;
  std::map<std::string, ServerReport> reports_;  // By server address.
  std::map<std::string, Choice> choices_;  // By upstream; computed when absent.
  std::map<std::string, uint64_t> logged_versions_;  // By upstream.
  base::Instant reports_settled_at_;
};

}  // namespace upstream

#endif  // LIBUPSTREAM_SNAPSHOT_CATALOGUE_H_
