// Usage merges in any order, and the reckoning's interval holds the truth.

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "LibUsage/reckoning.h"
#include "LibUsage/usage_ledger.h"

namespace {

usage::UsageLedger MakeLedger(const std::string& name) {
  return usage::UsageLedger(
      name, [](const std::string&, const std::string&) { return 100; });
}

TEST_CASE("lost, repeated and reordered reports change nothing") {
  CHECK(rc::check("merge is idempotent and commutative", [] {
    usage::UsageLedger ledger(
        "p1", [](const auto&, const auto&) { return uint64_t{10}; });
    std::vector<usage::UsageRecords> reports;
    const auto steps =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 50));
    uint64_t truth = 0;
    for (const int step : steps) {
      ledger.Add("2026-12-04", "p", "u", static_cast<uint64_t>(step), 1);
      truth += static_cast<uint64_t>(step) + 1;
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
    if (truth == 0)
      return;
    RC_ASSERT(rows.size() == 1U);
    RC_ASSERT(rows[0].least == truth);
    RC_ASSERT(rows[0].most == truth);
  }));
}

TEST_CASE("after a death the interval holds what was taken since the report") {
  auto ledger = MakeLedger("p1");
  ledger.Add("2026-12-04", "p", "u", 5, 1);
  const auto reported = ledger.OwnRecords();
  ledger.Add("2026-12-04", "p", "u", 40, 2);
  const auto rows = usage::Reckon(reported, {{"p", "u", 1, 20}}, 10);
  REQUIRE(rows.size() == 1);
  CHECK(rows[0].least <= 48);
  CHECK(rows[0].most >= 48);
  CHECK(rows[0].verdict == usage::Verdict::kUncertain);
}

TEST_CASE("records survive their text form") {
  auto ledger = MakeLedger("p1");
  ledger.Add("2026-12-04", "p \"quoted\"", "u", 5, 1);
  const auto records = ledger.FinalRecords();
  const auto parsed = usage::ParseRecords(usage::SerializeRecords(records));
  REQUIRE(parsed.has_value());
  CHECK(*parsed == records);
}

TEST_CASE("months have their days") {
  CHECK(usage::SecondsInMonth("2028-02") == 29 * 86'400);
  CHECK(!usage::SecondsInMonth("2026-13"));
  CHECK(!usage::SecondsInMonth("202612"));
}

}  // namespace
