// Keeps the counters of this process and copies of those of other processes.

#include "LibUsage/usage_ledger.h"

#include <utility>

namespace usage {

UsageLedger::UsageLedger(std::string process_id,
                         HeadroomLookup look_up_headroom)
    : process_id_(std::move(process_id)),
      look_up_headroom_(std::move(look_up_headroom)) {}

void UsageLedger::Add(const std::string& day,
                      const std::string& party,
                      const std::string& upstream,
                      uint64_t primary,
                      uint64_t extra) {
  const std::lock_guard lock(mutex_);
  UsageCounts& counts = own_records_[{day, process_id_, party, upstream}];
  counts.primary += primary;
  counts.extra += extra;
}

UsageRecords UsageLedger::OwnRecords() {
  const std::lock_guard lock(mutex_);
  for (auto& [key, counts] : own_records_) {
    const uint64_t ceiling =
        counts.used() + look_up_headroom_(key.party, key.upstream);
    counts.ceiling = std::max(counts.ceiling, ceiling);
  }
  return own_records_;
}

UsageRecords UsageLedger::FinalRecords() {
  UsageRecords records = OwnRecords();
  for (auto& [key, counts] : records)
    counts.is_final = true;
  return records;
}

void UsageLedger::MergeRemoteRecords(const UsageRecords& records) {
  const std::lock_guard lock(mutex_);
  MergeRecords(records, remote_records_);
}

UsageRecords UsageLedger::AllRecords() {
  UsageRecords all = OwnRecords();
  const std::lock_guard lock(mutex_);
  MergeRecords(remote_records_, all);
  return all;
}

}  // namespace usage
