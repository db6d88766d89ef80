// Usage records merge in any order, and the bounds of the reckoning enclose the
// real number of sub-requests.

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "LibUsage/reckoning.h"
#include "LibUsage/usage_ledger.h"

namespace {

usage::UsageLedger MakeLedger(const std::string& process_id) {
  return usage::UsageLedger(
      process_id, [](const std::string&, const std::string&) { return 100; });
}

TEST_CASE("lost, repeated and reordered reports change nothing") {
  CHECK(rc::check("merge is idempotent and commutative", [] {
    usage::UsageLedger ledger(
        "p1", [](const auto&, const auto&) { return uint64_t{10}; });
    std::vector<usage::UsageRecords> reports;
    const auto steps =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 50));
    uint64_t real_count = 0;
    for (const int step : steps) {
      ledger.Add("2026-12-04", "p", "u", static_cast<uint64_t>(step), 1);
      real_count += static_cast<uint64_t>(step) + 1;
      reports.push_back(ledger.OwnRecords());
    }
    usage::UsageRecords merged;
    const int deliveries = *rc::gen::inRange(0, 40);
    for (int i = 0; i < deliveries && !reports.empty(); ++i)
      usage::MergeRecords(reports[static_cast<size_t>(*rc::gen::inRange(
                              0, static_cast<int>(reports.size())))],
                          merged);
    usage::MergeRecords(ledger.FinalRecords(), merged);
    const auto rows = usage::Reckon(merged, {}, 1);
    if (real_count == 0)
      return;
    RC_ASSERT(rows.size() == 1U);
    RC_ASSERT(rows[0].min_used == real_count);
    RC_ASSERT(rows[0].max_used == real_count);
  }));
}

TEST_CASE("bounds include what a dead process used since its last report") {
  auto ledger = MakeLedger("p1");
  ledger.Add("2026-12-04", "p", "u", 5, 1);
  const auto reported = ledger.OwnRecords();
  ledger.Add("2026-12-04", "p", "u", 40, 2);
  const auto rows = usage::Reckon(reported, {{"p", "u", 1, 20}}, 10);
  REQUIRE(rows.size() == 1);
  CHECK(rows[0].min_used <= 48);
  CHECK(rows[0].max_used >= 48);
  CHECK(rows[0].verdict == usage::Verdict::kUncertain);
}

TEST_CASE("serialized records parse to equal records") {
  auto ledger = MakeLedger("p1");
  ledger.Add("2026-12-04", "p \"quoted\"", "u", 5, 1);
  const auto records = ledger.FinalRecords();
  const auto parsed = usage::ParseRecords(usage::SerializeRecords(records));
  REQUIRE(parsed.has_value());
  CHECK(*parsed == records);
}

TEST_CASE("SecondsInMonth knows leap years and rejects other texts") {
  CHECK(usage::SecondsInMonth("2028-02") == 29 * 86'400);
  CHECK(!usage::SecondsInMonth("2026-13"));
  CHECK(!usage::SecondsInMonth("202612"));
}

}  // namespace
