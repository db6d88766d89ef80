// Counts the sub-requests that this process sends, and keeps the usage records
// that other processes report.

#ifndef LIBUSAGE_USAGE_LEDGER_H_
#define LIBUSAGE_USAGE_LEDGER_H_

#include <functional>
#include <mutex>
#include <string>

#include "LibUsage/usage_record.h"

namespace usage {

// Returns the largest number of sub-requests that a party can use of an
// upstream until this process has reported its usage two more times.
using HeadroomLookup = std::function<uint64_t(const std::string& party,
                                              const std::string& upstream)>;

class UsageLedger {
 public:
  UsageLedger(std::string process_id, HeadroomLookup look_up_headroom);

  // Adds to the counters of this process.
  void Add(const std::string& day,
           const std::string& party,
           const std::string& upstream,
           uint64_t primary,
           uint64_t extra);

  // Returns the records of this process. Raises each ceiling to the counted
  // sub-requests plus the headroom.
  UsageRecords OwnRecords();
  // Returns the records of this process, marked as final: the process must not
  // count anything after this call.
  UsageRecords FinalRecords();

  // Merges records of other processes into those already known.
  void MergeRemoteRecords(const UsageRecords& records);
  // Returns the records of this process and of the other processes.
  UsageRecords AllRecords();

 private:
  const std::string process_id_;
  const HeadroomLookup look_up_headroom_;
  std::mutex mutex_;
  UsageRecords own_records_;     // Guarded by `mutex_`.
  UsageRecords remote_records_;  // Guarded by `mutex_`.
};

}  // namespace usage

#endif  // LIBUSAGE_USAGE_LEDGER_H_
