// Records are merged with the stored ones by maximum, so a lost response or a
// conflict is made up for by the write of the next period.

#include "LibPlatform/usage_reporter.h"

#include <map>
#include <utility>

#include "LibBase/log.h"

namespace platform {

std::string UsageStoreKey(const std::string& day,
                          const std::string& availability_zone) {
  return std::string(kUsagePrefix) + day + "/" + availability_zone;
}

std::shared_ptr<UsageReporter> UsageReporter::Create(
    UsageReporterRules rules,
    base::Scheduler& scheduler,
    KeyValueStore& store,
    usage::UsageLedger& ledger,
    SendCopies send_copies,
    std::function<bool()> is_writer) {
  return std::shared_ptr<UsageReporter>(
      new UsageReporter(std::move(rules), scheduler, store, ledger,
                        std::move(send_copies), std::move(is_writer)));
}

UsageReporter::UsageReporter(UsageReporterRules rules,
                             base::Scheduler& scheduler,
                             KeyValueStore& store,
                             usage::UsageLedger& ledger,
                             SendCopies send_copies,
                             std::function<bool()> is_writer)
    : rules_(std::move(rules)),
      scheduler_(scheduler),
      store_(store),
      ledger_(ledger),
      send_copies_(std::move(send_copies)),
      is_writer_(std::move(is_writer)) {}

void UsageReporter::Start() {
  SendCopiesPeriodically();
  WritePeriodically();
}

void UsageReporter::SendCopiesPeriodically() {
  send_copies_(ledger_.OwnRecords());
  scheduler_.After(rules_.copy_period, [weak = weak_from_this()] {
    if (const auto reporter = weak.lock())
      reporter->SendCopiesPeriodically();
  });
}

void UsageReporter::WritePeriodically() {
  if (is_writer_())
    WriteRecords(ledger_.AllRecords(), [] {});
  scheduler_.After(rules_.write_period, [weak = weak_from_this()] {
    if (const auto reporter = weak.lock())
      reporter->WritePeriodically();
  });
}

void UsageReporter::Finish(std::function<void()> done) {
  const usage::UsageRecords records = ledger_.FinalRecords();
  send_copies_(records);
  WriteRecords(records, std::move(done));
}

void UsageReporter::WriteRecords(const usage::UsageRecords& records,
                                 std::function<void()> done) {
  std::map<std::string, usage::UsageRecords> by_day;
  for (const auto& [key, counts] : records)
    by_day[key.day].emplace(key, counts);
  if (by_day.empty()) {
    done();
    return;
  }
  auto all_done = std::make_shared<std::function<void()>>(std::move(done));
  // NOTE: `done` is called when the last copy of `guard` is destroyed.
  auto guard =
      std::shared_ptr<void>(nullptr, [all_done](void*) { (*all_done)(); });
  for (const auto& [day, day_records] : by_day)
    WriteRecordsOfDay(day, day_records, [guard] {});
}

void UsageReporter::WriteRecordsOfDay(const std::string& day,
                                      const usage::UsageRecords& records,
                                      std::function<void()> done) {
  const std::string key = UsageStoreKey(day, rules_.availability_zone);
  store_.Get(key, [self = shared_from_this(), key, records,
                   done = std::move(done)](auto read) {
    if (!read) {
      base::Log(base::Event::kUsageWriteFailed,
                {{"reason", read.error().message()}});
      return;
    }
    usage::UsageRecords stored;
    uint64_t version = kAbsent;
    if (*read) {
      version = (*read)->version;
      if (auto parsed = usage::ParseRecords((*read)->value))
        stored = *std::move(parsed);
    }
    if (!usage::MergeRecords(records, stored))
      return;
    self->store_.CompareAndSwap(
        key, version, usage::SerializeRecords(stored),
        [done, key](base::Result<uint64_t> written) {
          if (written)
            base::Log(base::Event::kUsageWritten, {{"key", key}});
          else
            base::Log(base::Event::kUsageWriteFailed,
                      {{"reason", written.error().message()}});
        });
  });
}

}  // namespace platform
