// Protects usage records from the loss of a node: copies them every second to a
// peer in the node's availability zone and to one in another, and writes them
// at longer intervals, per availability zone, to the key-value service.

#ifndef LIBPLATFORM_USAGE_REPORTER_H_
#define LIBPLATFORM_USAGE_REPORTER_H_

#include <functional>
#include <memory>
#include <string>

#include "LibBase/scheduler.h"
#include "LibPlatform/key_value_store.h"
#include "LibUsage/usage_ledger.h"

namespace platform {

// The start of the keys of usage records; the day and the availability zone
// follow.
inline constexpr std::string_view kUsagePrefix = "usage/";

struct UsageReporterRules {
  std::string availability_zone;
  base::Duration copy_period = std::chrono::seconds(1);
  base::Duration write_period = std::chrono::seconds(5);

  bool operator==(const UsageReporterRules&) const = default;
};

class UsageReporter : public std::enable_shared_from_this<UsageReporter> {
 public:
  using SendCopies = std::function<void(const usage::UsageRecords&)>;

  // References must outlive the reporter. `is_writer` returns whether this node
  // writes the records of its availability zone to the key-value service.
  static std::shared_ptr<UsageReporter> Create(UsageReporterRules rules,
                                               base::Scheduler& scheduler,
                                               KeyValueStore& store,
                                               usage::UsageLedger& ledger,
                                               SendCopies send_copies,
                                               std::function<bool()> is_writer);

  void Start();

  // Sends copies of the final records to peers and writes them to the key-value
  // service. Calls `done` even if that fails.
  void Finish(std::function<void()> done);

 private:
  UsageReporter(UsageReporterRules rules,
                base::Scheduler& scheduler,
                KeyValueStore& store,
                usage::UsageLedger& ledger,
                SendCopies send_copies,
                std::function<bool()> is_writer);

  void SendCopiesPeriodically();
  void WritePeriodically();
  void WriteRecords(const usage::UsageRecords& records,
                    std::function<void()> done);
  void WriteRecordsOfDay(const std::string& day,
                         const usage::UsageRecords& records,
                         std::function<void()> done);

  const UsageReporterRules rules_;
  base::Scheduler& scheduler_;
  KeyValueStore& store_;
  usage::UsageLedger& ledger_;
  const SendCopies send_copies_;
  const std::function<bool()> is_writer_;
};

// Returns the key under which the key-value service holds the records of an
// availability zone and a day.
std::string UsageStoreKey(const std::string& day,
                          const std::string& availability_zone);

}  // namespace platform

#endif  // LIBPLATFORM_USAGE_REPORTER_H_
