// Partially sorts views of the parts' records.

#include "LibQuery/record_merge.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace query {

std::string MergeGreatestRecords(std::span<const std::string_view> parts,
                                 size_t count) {
  std::vector<std::string_view> records;
  for (const std::string_view part : parts) {
    for (size_t at = 0; at + kRecordBytes <= part.size(); at += kRecordBytes)
      records.push_back(part.substr(at, kRecordBytes));
  }
  const size_t kept = std::min(count, records.size());
  const auto middle = records.begin() + static_cast<std::ptrdiff_t>(kept);
  // NOTE: string_view compares bytes as unsigned values.
  std::ranges::partial_sort(records, middle, std::greater<>());
  std::string merged;
  merged.reserve(kept * kRecordBytes);
  std::for_each(records.begin(), middle,
                [&](std::string_view record) { merged += record; });
  return merged;
}

}  // namespace query
