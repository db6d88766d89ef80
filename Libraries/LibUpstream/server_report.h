// The state that a server reports of itself. Reports lag, so a report is
// trusted for which index versions exist, and its load only as a hint.

#ifndef LIBUPSTREAM_SERVER_REPORT_H_
#define LIBUPSTREAM_SERVER_REPORT_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "LibBase/error.h"

namespace upstream {

enum class ServerPhase : uint8_t { kServing, kLeaving };

// An index version that a server holds, with its shards of that version.
struct HeldIndex {
  uint64_t version = 0;
  uint32_t shard_count = 0;  // Of the whole upstream in this version.
  std::vector<uint32_t> shards;

  bool operator==(const HeldIndex&) const = default;
};

struct ServerReport {
  std::string address;
  uint64_t incarnation = 0;  // Higher for each start of the server process.
  uint64_t sequence = 0;     // Raised with every change of the report.
  ServerPhase phase = ServerPhase::kServing;
  std::vector<HeldIndex> held;

  // Returns whether the server made this report after `other`.
  bool IsNewerThan(const ServerReport& other) const {
    return incarnation != other.incarnation ? incarnation > other.incarnation
                                            : sequence > other.sequence;
  }
  bool operator==(const ServerReport&) const = default;
};

std::string SerializeReport(const ServerReport& report);
base::Result<ServerReport> ParseReport(std::string_view text);

}  // namespace upstream

#endif  // LIBUPSTREAM_SERVER_REPORT_H_
