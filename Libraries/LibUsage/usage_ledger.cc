// Counters of this process and copies of others'.

#include "LibUsage/usage_ledger.h"

#include <utility>

namespace usage {

UsageLedger::UsageLedger(std::string incarnation, HeadroomOf headroom_of)
    : incarnation_(std::move(incarnation)),
      headroom_of_(std::move(headroom_of)) {}

void UsageLedger::Add(const std::string& day,
                      const std::string& party,
                      const std::string& upstream,
                      uint64_t primary,
                      uint64_t extra) {
  const std::lock_guard lock(mutex_);
  UsageCounts& counts = own_[{day, incarnation_, party, upstream}];
  counts.primary += primary;
  counts.extra += extra;
}

UsageRecords UsageLedger::OwnRecords() {
  const std::lock_guard lock(mutex_);
  for (auto& [key, counts] : own_) {
    const uint64_t ceiling =
        counts.taken() + headroom_of_(key.party, key.upstream);
    counts.ceiling = std::max(counts.ceiling, ceiling);
  }
  return own_;
}

UsageRecords UsageLedger::FinalRecords() {
  UsageRecords records = OwnRecords();
  for (auto& [key, counts] : records)
    counts.is_final = true;
  return records;
}

void UsageLedger::MergeRemoteRecords(const UsageRecords& records) {
  const std::lock_guard lock(mutex_);
  MergeRecords(records, held_);
}

UsageRecords UsageLedger::AllRecords() {
  UsageRecords all = OwnRecords();
  const std::lock_guard lock(mutex_);
  MergeRecords(held_, all);
  return all;
}

}  // namespace usage
