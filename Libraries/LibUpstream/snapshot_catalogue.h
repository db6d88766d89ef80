// Which index versions can be queried as a whole, from the servers' reports.

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

// Marks a shard that no server has reported.
inline constexpr uint32_t kNoService = UINT32_MAX;

// An index version with its shard map. Immutable.
struct Snapshot {
  uint64_t version = 0;
  // Index of the service that holds each shard, or kNoService.
  std::vector<uint32_t> service_of_shard;

  uint32_t shard_count() const {
    return static_cast<uint32_t>(service_of_shard.size());
  }
  bool operator==(const Snapshot&) const = default;
};

using SnapshotPtr = std::shared_ptr<const Snapshot>;

class SnapshotCatalogue {
 public:
  // `scheduler` outlives the catalogue.
  explicit SnapshotCatalogue(const base::Scheduler& scheduler)
      : scheduler_(scheduler) {}

  // Forgets servers that the configuration no longer lists.
  void SetConfiguration(config::ConfigurationPtr configuration);

  // Returns whether the report was newer than what was known.
  bool OnReport(const ServerReport& report);

  // The newest version that every shard has a serving server for; failing
  // that, the version with the most shards served. Null while none is known,
  // and shortly after a new configuration while none is whole: reports may
  // still be on their way.
  SnapshotPtr Newest(const std::string& upstream);

  std::vector<ServerReport> Reports();

 private:
  struct Place {
    std::string upstream;
    uint32_t service = 0;
  };
  struct Choice {
    SnapshotPtr snapshot;
    bool is_whole = false;
  };
  Choice Compute(const std::string& upstream) const;
  void LogIfChanged(const std::string& upstream, const Choice& choice);

  const base::Scheduler& scheduler_;
  std::mutex mutex_;
  // All guarded by `mutex_`.
  config::ConfigurationPtr configuration_;
  std::map<std::string, Place> places_;  // By server address.
  std::map<std::string, ServerReport> reports_;
  std::map<std::string, Choice> newest_;  // Absent entries are stale.
  std::map<std::string, uint64_t> logged_versions_;  // Last told, by upstream.
  base::Instant settled_at_;
};

}  // namespace upstream

#endif  // LIBUPSTREAM_SNAPSHOT_CATALOGUE_H_
