// Merges usage records and converts them to and from JSON.

#include "LibUsage/usage_record.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <ctime>
#include <nlohmann/json.hpp>

namespace usage {

using nlohmann::json;

UsageCounts MergeCounts(const UsageCounts& a, const UsageCounts& b) {
  return {std::max(a.primary, b.primary), std::max(a.extra, b.extra),
          std::max(a.ceiling, b.ceiling), a.is_final || b.is_final};
}

bool MergeRecords(const UsageRecords& source, UsageRecords& target) {
  bool changed = false;
  for (const auto& [key, counts] : source) {
    UsageCounts& kept = target[key];
    const UsageCounts merged = MergeCounts(kept, counts);
    changed = changed || merged != kept;
    kept = merged;
  }
  return changed;
}

std::string SerializeRecords(const UsageRecords& records) {
  json rows = json::array();
  for (const auto& [key, counts] : records)
    rows.push_back({key.day, key.process_id, key.party, key.upstream,
                    counts.primary, counts.extra, counts.ceiling,
                    counts.is_final});
  return rows.dump();
}

base::Result<UsageRecords> ParseRecords(std::string_view text) {
  try {
    UsageRecords records;
    for (const json& row : json::parse(text)) {
      const UsageKey key{
          row.at(0).get<std::string>(), row.at(1).get<std::string>(),
          row.at(2).get<std::string>(), row.at(3).get<std::string>()};
      records[key] = {row.at(4).get<uint64_t>(), row.at(5).get<uint64_t>(),
                      row.at(6).get<uint64_t>(), row.at(7).get<bool>()};
    }
    return records;
  } catch (const json::exception& error) {
    return base::Fail(base::ErrorKind::kProtocol,
                      std::string("invalid usage records: ") + error.what(),
                      "find out which program wrote them");
  }
}

std::string CurrentDay() {
  const std::time_t now =
      std::chrono::system_clock::to_time_t(std::chrono::system_clock::now());
  std::tm parts{};
  gmtime_r(&now, &parts);
  std::array<char, 16> text{};
  std::strftime(text.data(), text.size(), "%Y-%m-%d", &parts);
  return text.data();
}

}  // namespace usage
