// What one process took of one upstream for one party on one day.

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
  std::string day;          // `YYYY-MM-DD`, in UTC.
  std::string incarnation;  // Unique among all processes of all nodes.
  std::string party;
  std::string upstream;

  auto operator<=>(const UsageKey&) const = default;
};

// Counters of sub-requests. They only grow, so records merge by maximum:
// writing one twice, or an old one late, changes nothing.
struct UsageCounts {
  uint64_t primary = 0;
  uint64_t extra = 0;
  // What the process had reserved at most, so that the truth lies between
  // primary + extra and this also after its death.
  uint64_t ceiling = 0;
  // Set by the last record of an orderly end: nothing was taken after it.
  bool is_final = false;

  uint64_t taken() const { return primary + extra; }
  uint64_t upper_bound() const { return is_final ? taken() : ceiling; }
  bool operator==(const UsageCounts&) const = default;
};

using UsageRecords = std::map<UsageKey, UsageCounts>;

UsageCounts MergeCounts(const UsageCounts& a, const UsageCounts& b);
// Merges `source` into `target`; returns whether `target` changed.
bool MergeRecords(const UsageRecords& source, UsageRecords& target);

std::string SerializeRecords(const UsageRecords& records);
base::Result<UsageRecords> ParseRecords(std::string_view text);

// The present day in UTC.
std::string CurrentDay();

}  // namespace usage

#endif  // LIBUSAGE_USAGE_RECORD_H_
