// The number of sub-requests that one process sent to one upstream for one
// party on one day.

#ifndef LIBUSAGE_USAGE_RECORD_H_
#define LIBUSAGE_USAGE_RECORD_H_

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "LibBase/error.h"

namespace usage {

struct UsageKey {
  std::string day;         // `YYYY-MM-DD`, in UTC.
  std::string process_id;  // Identifies the process; unique across all nodes.
  std::string party;
  std::string upstream;

  auto operator<=>(const UsageKey&) const = default;
};

// Counters of sub-requests. They only grow, so records are merged by taking the
// maximum of each counter: writing a record twice, or an old record late,
// changes nothing.
struct UsageCounts {
  uint64_t primary = 0;
  uint64_t extra = 0;  // Hedges and retries.
  // The counted sub-requests plus those that the process could still use before
  // its next reports. The real number lies between primary + extra and this
  // value, also if the process ended abruptly.
  uint64_t ceiling = 0;
  // Set in the last record of an orderly shutdown: the process sent no
  // sub-request after it.
  bool is_final = false;

  uint64_t used() const { return primary + extra; }
  uint64_t upper_bound() const { return is_final ? used() : ceiling; }
  bool operator==(const UsageCounts&) const = default;
};

using UsageRecords = std::map<UsageKey, UsageCounts>;

UsageCounts MergeCounts(const UsageCounts& a, const UsageCounts& b);
// Merges `source` into `target`; returns whether `target` changed.
bool MergeRecords(const UsageRecords& source, UsageRecords& target);

std::string SerializeRecords(const UsageRecords& records);
base::Result<UsageRecords> ParseRecords(std::string_view text);

// Returns the current day in UTC, as YYYY-MM-DD.
std::string CurrentDay();

}  // namespace usage

#endif  // LIBUSAGE_USAGE_RECORD_H_
