// Merges the records of several services.

#ifndef LIBQUERY_RECORD_MERGE_H_
#define LIBQUERY_RECORD_MERGE_H_

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace query {

// Bytes of one record. A shorter remainder at a part's end is no record.
inline constexpr size_t kRecordBytes = 16;

// The greatest `count` records of all parts, greatest first, compared byte by
// byte. Equal records all count.
std::string MergeGreatestRecords(std::span<const std::string_view> parts,
                                 size_t count);

}  // namespace query

#endif  // LIBQUERY_RECORD_MERGE_H_
