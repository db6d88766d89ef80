// Keeps usage safe: every second at a peer in the zone and one in another,
// and now and then, per availability zone, in the key-value service.

#ifndef LIBPLATFORM_USAGE_REPORTER_H_
#define LIBPLATFORM_USAGE_REPORTER_H_

#include <functional>
#include <memory>
#include <string>

#include "LibBase/scheduler.h"
#include "LibPlatform/key_value_store.h"
#include "LibUsage/usage_ledger.h"

namespace platform {

inline constexpr std::string_view kUsagePrefix = "usage/";

struct UsageReporterRules {
  std::string availability_zone;
  base::Duration push_period = std::chrono::seconds(1);
  base::Duration store_period = std::chrono::seconds(5);

  bool operator==(const UsageReporterRules&) const = default;
};

class UsageReporter : public std::enable_shared_from_this<UsageReporter> {
 public:
  using PushToPeers = std::function<void(const usage::UsageRecords&)>;

  // All references outlive the reporter.
  static std::shared_ptr<UsageReporter> Create(UsageReporterRules rules,
                                               base::Scheduler& scheduler,
                                               KeyValueStore& store,
                                               usage::UsageLedger& ledger,
                                               PushToPeers push,
                                               std::function<bool()> is_writer);

  void Start();

  // Pushes and writes final records; `done` is called whatever comes of it.
  void Finish(std::function<void()> done);

 private:
  UsageReporter(UsageReporterRules rules,
                base::Scheduler& scheduler,
                KeyValueStore& store,
                usage::UsageLedger& ledger,
                PushToPeers push,
                std::function<bool()> is_writer);

  void RunPush();
  void RunStore();
  void StoreAll(const usage::UsageRecords& records, std::function<void()> done);
  void StoreDay(const std::string& day,
                const usage::UsageRecords& records,
                std::function<void()> done);

  const UsageReporterRules rules_;
  base::Scheduler& scheduler_;
  KeyValueStore& store_;
  usage::UsageLedger& ledger_;
  const PushToPeers push_;
  const std::function<bool()> is_writer_;
};

// The key that holds a zone's records of a day.
std::string UsageStoreKey(const std::string& day,
                          const std::string& availability_zone);

}  // namespace platform

#endif  // LIBPLATFORM_USAGE_REPORTER_H_
