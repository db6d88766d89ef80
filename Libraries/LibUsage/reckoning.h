// The monthly reckoning: who took what, and who took more than agreed.

#ifndef LIBUSAGE_RECKONING_H_
#define LIBUSAGE_RECKONING_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "LibUsage/usage_record.h"

namespace usage {

struct AgreedRate {
  std::string party;
  std::string upstream;
  double rate = 0;   // Sub-requests per second.
  double burst = 0;  // Sub-requests.

  bool operator==(const AgreedRate&) const = default;
};

enum class Verdict { kWithin, kOver, kUncertain };

struct ReckoningRow {
  std::string party;
  std::string upstream;
  uint64_t agreed = 0;  // Sub-requests in the month; 0 without agreement.
  uint64_t primary = 0;
  uint64_t extra = 0;
  // The truth lies from `least` to `most`: what is recorded, and what
  // processes that ended without a last record may have taken besides.
  uint64_t least = 0;
  uint64_t most = 0;
  Verdict verdict = Verdict::kWithin;

  bool operator==(const ReckoningRow&) const = default;
};

// Rows by party and upstream.
std::vector<ReckoningRow> Reckon(const UsageRecords& records,
                                 const std::vector<AgreedRate>& shares,
                                 uint64_t seconds);

// Nothing if `month` is not YYYY-MM.
std::optional<uint64_t> SecondsInMonth(std::string_view month);

std::string ToTable(const std::vector<ReckoningRow>& rows);
std::string ToCsv(const std::vector<ReckoningRow>& rows);
std::string ToJson(const std::vector<ReckoningRow>& rows);

}  // namespace usage

#endif  // LIBUSAGE_RECKONING_H_
