// Counts what this process takes, and keeps what other processes report.

#ifndef LIBUSAGE_USAGE_LEDGER_H_
#define LIBUSAGE_USAGE_LEDGER_H_

#include <functional>
#include <mutex>
#include <string>

#include "LibUsage/usage_record.h"

namespace usage {

// Sub-requests that a party may at most take of an upstream until this
// process has reported twice more.
using HeadroomOf = std::function<uint64_t(const std::string& party,
                                          const std::string& upstream)>;

class UsageLedger {
 public:
  UsageLedger(std::string incarnation, HeadroomOf headroom_of);

  void Add(const std::string& day,
           const std::string& party,
           const std::string& upstream,
           uint64_t primary,
           uint64_t extra);

  // Own records with ceilings raised by the headroom.
  UsageRecords OwnRecords();
  // Own records that promise that nothing more will be taken.
  UsageRecords FinalRecords();

  // Keeps records of other processes.
  void MergeRemoteRecords(const UsageRecords& records);
  // Everything known, own and held.
  UsageRecords AllRecords();

 private:
  const std::string incarnation_;
  const HeadroomOf headroom_of_;
  std::mutex mutex_;
  UsageRecords own_;   // Guarded by `mutex_`.
  UsageRecords held_;  // Guarded by `mutex_`.
};

}  // namespace usage

#endif  // LIBUSAGE_USAGE_LEDGER_H_
