// Tests that the greatest records of several parts are merged.

#include "LibQuery/record_merge.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

namespace query {
namespace {

std::string Record(unsigned char first) {
  std::string record(kRecordBytes, 'x');
  record[0] = static_cast<char>(first);
  return record;
}

std::string Merge(const std::vector<std::string>& parts, size_t count) {
  const std::vector<std::string_view> views(parts.begin(), parts.end());
  return MergeGreatestRecords(views, count);
}

TEST_CASE("bytes compare as unsigned, and equal records are all kept") {
  const std::vector<std::string> parts = {Record(1) + Record(200),
                                          Record(200) + Record(127)};
  CHECK(Merge(parts, 3) == Record(200) + Record(200) + Record(127));
}

TEST_CASE("a remainder shorter than a record is ignored") {
  CHECK(Merge({Record(9) + "short"}, 5) == Record(9));
  CHECK(Merge({"", "short"}, 5).empty());
}

TEST_CASE("the result equals the start of all records in sorted order") {
  CHECK(rc::check([] {
    const auto bytes =
        *rc::gen::container<std::vector<std::vector<unsigned char>>>(
            rc::gen::container<std::vector<unsigned char>>(
                rc::gen::arbitrary<unsigned char>()));
    const auto count = *rc::gen::inRange<size_t>(0, 20);
    std::vector<std::string> parts;
    std::vector<std::string> records;
    for (const auto& firsts : bytes) {
      std::string part;
      for (const unsigned char first : firsts) {
        part += Record(first);
        records.push_back(Record(first));
      }
      parts.push_back(part);
    }
    std::ranges::sort(records, std::greater<>());
    records.resize(std::min(records.size(), count));
    std::string expected;
    for (const std::string& record : records)
      expected += record;
    RC_ASSERT(Merge(parts, count) == expected);
  }));
}

}  // namespace
}  // namespace query
