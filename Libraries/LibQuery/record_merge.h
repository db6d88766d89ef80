// Merges the records of several services.

#ifndef LIBQUERY_RECORD_MERGE_H_
#define LIBQUERY_RECORD_MERGE_H_

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace query {

// Size of one record. A shorter remainder at the end of a part is ignored.
inline constexpr size_t kRecordBytes = 16;

// Returns the `count` greatest records of all parts, greatest first. Records
// are compared byte by byte; equal ones are all kept.
std::string MergeGreatestRecords(std::span<const std::string_view> parts,
                                 size_t count);

}  // namespace query

#endif  // LIBQUERY_RECORD_MERGE_H_
