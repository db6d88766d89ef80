// Sums usage records and compares the sums with the agreements.

#include "LibUsage/reckoning.h"

#include <charconv>
#include <chrono>
#include <cmath>
#include <iomanip>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>

namespace usage {

using nlohmann::json;

namespace {

constexpr uint64_t kSecondsPerDay = 86'400;
// Widths of the columns of the table, in characters.
constexpr int kNameWidth = 22;
constexpr int kNumberWidth = 14;

using RowKey = std::pair<std::string, std::string>;  // Party and upstream.

Verdict VerdictOf(const ReckoningRow& row) {
  if (row.min_used > row.agreed)
    return Verdict::kOver;
  return row.max_used > row.agreed ? Verdict::kUncertain : Verdict::kWithin;
}

std::string_view VerdictName(Verdict verdict) {
  switch (verdict) {
    case Verdict::kWithin:
      return "within";
    case Verdict::kOver:
      return "over";
    case Verdict::kUncertain:
      return "uncertain";
  }
  return "uncertain";
}

ReckoningRow& FindOrAddRow(std::map<RowKey, ReckoningRow>& rows,
                           const std::string& party,
                           const std::string& upstream) {
  ReckoningRow& row = rows[{party, upstream}];
  row.party = party;
  row.upstream = upstream;
  return row;
}

}  // namespace

std::vector<ReckoningRow> Reckon(const UsageRecords& records,
                                 const std::vector<AgreedRate>& agreed_rates,
                                 uint64_t seconds) {
  std::map<RowKey, ReckoningRow> rows;
  for (const auto& [key, counts] : records) {
    ReckoningRow& row = FindOrAddRow(rows, key.party, key.upstream);
    row.primary += counts.primary;
    row.extra += counts.extra;
    row.min_used += counts.used();
    row.max_used += std::max(counts.used(), counts.upper_bound());
  }
  for (const AgreedRate& agreed : agreed_rates)
    FindOrAddRow(rows, agreed.party, agreed.upstream).agreed =
        static_cast<uint64_t>(std::floor(
            agreed.rate * static_cast<double>(seconds) + agreed.burst));
  std::vector<ReckoningRow> result;
  for (auto& [key, row] : rows) {
    row.verdict = VerdictOf(row);
    result.push_back(std::move(row));
  }
  return result;
}

std::optional<uint64_t> SecondsInMonth(std::string_view month) {
  int year = 0;
  unsigned number = 0;
  const char* data = month.data();
  if (month.size() != 7 || month[4] != '-' ||
      std::from_chars(data, data + 4, year).ptr != data + 4 ||
      std::from_chars(data + 5, data + 7, number).ptr != data + 7)
    return std::nullopt;
  const std::chrono::year_month_day_last last{
      std::chrono::year(year),
      std::chrono::month_day_last(std::chrono::month(number))};
  if (!last.ok())
    return std::nullopt;
  return static_cast<unsigned>(last.day()) * kSecondsPerDay;
}

std::string ToTable(const std::vector<ReckoningRow>& rows) {
  std::ostringstream text;
  const auto name = [&](const auto& value) {
    text << std::left << std::setw(kNameWidth) << value;
  };
  const auto number = [&](const auto& value) {
    text << std::right << std::setw(kNumberWidth) << value;
  };
  name("party");
  name("upstream");
  for (const auto* title :
       {"agreed", "primary", "extra", "least", "most", "verdict"})
    number(title);
  text << "\n";
  for (const ReckoningRow& row : rows) {
    name(row.party);
    name(row.upstream);
    for (const uint64_t value :
         {row.agreed, row.primary, row.extra, row.min_used, row.max_used})
      number(value);
    number(VerdictName(row.verdict));
    text << "\n";
  }
  return text.str();
}

std::string ToCsv(const std::vector<ReckoningRow>& rows) {
  std::ostringstream text;
  text << "party,upstream,agreed,primary,extra,least,most,verdict\n";
  for (const ReckoningRow& row : rows)
    text << std::quoted(row.party, '"', '"') << ","
         << std::quoted(row.upstream, '"', '"') << "," << row.agreed << ","
         << row.primary << "," << row.extra << "," << row.min_used << ","
         << row.max_used << "," << VerdictName(row.verdict) << "\n";
  return text.str();
}

std::string ToJson(const std::vector<ReckoningRow>& rows) {
  json list = json::array();
  for (const ReckoningRow& row : rows)
    list.push_back({{"party", row.party},
                    {"upstream", row.upstream},
                    {"agreed", row.agreed},
                    {"primary", row.primary},
                    {"extra", row.extra},
                    {"least", row.min_used},
                    {"most", row.max_used},
                    {"verdict", VerdictName(row.verdict)}});
  return list.dump();
}

}  // namespace usage
