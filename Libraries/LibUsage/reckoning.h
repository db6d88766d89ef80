// The monthly reckoning: sums the sub-requests that each party used of each
// upstream and compares them with the agreement.

#ifndef LIBUSAGE_RECKONING_H_
#define LIBUSAGE_RECKONING_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "LibUsage/usage_record.h"

namespace usage {

// The agreed use of one upstream by one party.
struct AgreedRate {
  std::string party;
  std::string upstream;
  double rate = 0;   // Sub-requests per second.
  double burst = 0;  // Number of sub-requests.

  bool operator==(const AgreedRate&) const = default;
};

// How the number of used sub-requests compares with the agreed one. kUncertain
// means that the agreed number lies between the bounds of the used one.
enum class Verdict { kWithin, kOver, kUncertain };

struct ReckoningRow {
  std::string party;
  std::string upstream;
  // Number of sub-requests in the month; 0 without an agreement.
  uint64_t agreed = 0;
  uint64_t primary = 0;
  uint64_t extra = 0;  // Hedges and retries.
  // Bounds of the number of used sub-requests. `min_used` counts what is
  // recorded; `max_used` adds what processes that ended without a final record
  // may have used in addition.
  uint64_t min_used = 0;
  uint64_t max_used = 0;
  Verdict verdict = Verdict::kWithin;

  bool operator==(const ReckoningRow&) const = default;
};

// Returns one row for each party and upstream, sorted by both. The agreed
// numbers are those for a period of `seconds`.
std::vector<ReckoningRow> Reckon(const UsageRecords& records,
                                 const std::vector<AgreedRate>& agreed_rates,
                                 uint64_t seconds);

// Returns nothing if `month` is not a month in the form YYYY-MM.
std::optional<uint64_t> SecondsInMonth(std::string_view month);

std::string ToTable(const std::vector<ReckoningRow>& rows);
std::string ToCsv(const std::vector<ReckoningRow>& rows);
std::string ToJson(const std::vector<ReckoningRow>& rows);

}  // namespace usage

#endif  // LIBUSAGE_RECKONING_H_
