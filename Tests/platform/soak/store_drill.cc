// The moments follow the report of the incident: changes up to the outage, an
// outage of a second, and changes one and eight seconds after it.

#include "store_drill.h"

#include <algorithm>
#include <array>
#include <utility>

#include "wire.h"

namespace soak {

namespace wire = platform::wire;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// Before the outage.
constexpr base::Duration kLeadTime = milliseconds(1500);
constexpr base::Duration kCopyAge = milliseconds(1400);
constexpr base::Duration kServerChanges = seconds(1);
constexpr base::Duration kPublication = milliseconds(500);
constexpr base::Duration kOutage = seconds(1);
constexpr base::Duration kOutagePeriod = seconds(8);
// After the return.
constexpr base::Duration kFirstRewrite = milliseconds(150);
constexpr base::Duration kServerRewrite = milliseconds(900);
constexpr base::Duration kFirstLaterChange = seconds(1);
constexpr base::Duration kSecondLaterChange = seconds(8);
constexpr base::Duration kEnd = seconds(14);
// Servers that change their entries several times, as servers do that warm up.
// Only their last entries are written again.
constexpr int kChangedServers = 4;
constexpr int kChangesPerServer = 7;
// The changes that are lost: those of these servers, a departure and a
// configuration.
constexpr int kLostChanges = kChangedServers * kChangesPerServer + 2;
// Indices of the servers that leave, and of the first that changes its entry.
constexpr size_t kLostDeparture = 0;
constexpr size_t kEarlyDeparture = 1;
constexpr std::array<size_t, 2> kLaterDepartures = {2, 3};
constexpr size_t kFirstChangedServer = 1;

const std::array kPlans = std::to_array<DrillPlan>({
    {"restart", StoreLoss::kNothing},
    {"older-copy", StoreLoss::kConfigurationAndServers, false, true},
    {"reissued", StoreLoss::kConfigurationAndServers, true, true},
    {"servers-lost", StoreLoss::kServers, false, true},
    {"twice", StoreLoss::kConfigurationAndServers, false, true, 2},
});

}  // namespace

std::optional<DrillPlan> FindDrillPlan(const std::string& name) {
  const auto found = std::ranges::find(kPlans, name, &DrillPlan::name);
  return found == kPlans.end() ? std::nullopt : std::optional(*found);
}

std::vector<std::string> DrillPlanNames() {
  std::vector<std::string> names;
  std::ranges::transform(kPlans, std::back_inserter(names), &DrillPlan::name);
  return names;
}

StoreDrill::StoreDrill(boost::asio::io_context& io,
                       DrillPlan plan,
                       StandInStore& store,
                       std::vector<StandInServer*> servers,
                       std::function<NextConfiguration()> next_configuration,
                       Recorder& recorder)
    : plan_(std::move(plan)),
      scheduler_(io),
      store_(store),
      servers_(std::move(servers)),
      next_configuration_(std::move(next_configuration)),
      recorder_(recorder),
      has_left_(servers_.size(), false) {}

base::Duration StoreDrill::duration() const {
  return kLeadTime + kOutagePeriod * (plan_.outages - 1) + kOutage + kEnd;
}

void StoreDrill::Start() {
  for (int outage = 0; outage < plan_.outages; ++outage)
    ScheduleOutage(kLeadTime + kOutagePeriod * outage);
  ScheduleLaterChanges(kLeadTime + kOutagePeriod * (plan_.outages - 1) +
                       kOutage);
}

void StoreDrill::At(base::Duration delay,
                    std::function<void(StoreDrill&)> step) {
  scheduler_.After(delay, [self = shared_from_this(), step = std::move(step)] {
    step(*self);
  });
}

void StoreDrill::ScheduleOutage(base::Duration begin) {
  if (plan_.loss == StoreLoss::kServers)
    At(begin - kLeadTime, [](auto& drill) { drill.PublishNext(); });
  At(begin - kCopyAge,
     [](auto& drill) { drill.copy_ = drill.store_.contents(); });
  At(begin - kServerChanges, [](auto& drill) {
    if (drill.plan_.is_departure_lost)
      drill.LetServerLeave(kLostDeparture);
    drill.ChangeServers();
  });
  if (plan_.loss != StoreLoss::kServers)
    At(begin - kPublication, [](auto& drill) { drill.PublishNext(); });
  At(begin, [](auto& drill) {
    drill.outage_begin_ = base::MonotonicClock::now();
    drill.store_.GoAway();
  });
  At(begin + kOutage, [](auto& drill) {
    if (drill.plan_.loss == StoreLoss::kNothing)
      drill.store_.Return();
    else
      drill.store_.ReturnFrom(drill.copy_);
    drill.recorder_.Add(
        StoreOutage{drill.outage_begin_, base::MonotonicClock::now()});
    if (drill.plan_.is_reissued)
      drill.ReissueRevisions();
  });
  if (plan_.loss == StoreLoss::kNothing || plan_.is_reissued)
    return;
  At(begin + kOutage + kFirstRewrite,
     [](auto& drill) { drill.PublishLastAgain(); });
  At(begin + kOutage + kServerRewrite,
     [](auto& drill) { drill.WriteEntriesAgain(); });
}

void StoreDrill::ScheduleLaterChanges(base::Duration begin) {
  const std::array moments = {kFirstLaterChange, kSecondLaterChange};
  for (size_t i = 0; i < moments.size(); ++i)
    At(begin + moments[i], [i](auto& drill) {
      drill.LetServerLeave(kLaterDepartures[i]);
      // The version published at the return must come into force by itself.
      if (i > 0 || !drill.plan_.is_reissued)
        drill.PublishNext();
    });
}

void StoreDrill::PublishNext() {
  last_configuration_ = next_configuration_();
  store_.Put(wire::kConfigurationPrefix, last_configuration_.text);
  recorder_.Add(PublishedVersion{last_configuration_.version,
                                 base::MonotonicClock::now()});
}

void StoreDrill::PublishLastAgain() {
  store_.Put(wire::kConfigurationPrefix, last_configuration_.text);
}

void StoreDrill::ChangeServers() {
  for (int change = 0; change < kChangesPerServer; ++change)
    WriteChangedServers();
}

void StoreDrill::WriteChangedServers() {
  for (size_t i = 0; i < kChangedServers; ++i)
    WriteEntry(kFirstChangedServer + i);
}

void StoreDrill::ReissueRevisions() {
  const uint64_t last_revision = store_.contents().revision + kLostChanges;
  WriteEntry(kLostDeparture);
  LetServerLeave(kEarlyDeparture);
  PublishNext();
  // Under a prefix that no host reads.
  while (store_.contents().revision < last_revision)
    store_.Put("other/key", "");
}

void StoreDrill::LetServerLeave(size_t server) {
  has_left_[server] = true;
  WriteEntry(server);
  recorder_.Add(ServerDeparture{servers_[server]->options().instance,
                                base::MonotonicClock::now()});
}

void StoreDrill::WriteEntry(size_t server) {
  store_.Put(wire::kServersPrefix + servers_[server]->options().instance,
             servers_[server]->NextEntry(has_left_[server]));
}

void StoreDrill::WriteEntriesAgain() {
  WriteChangedServers();
  if (plan_.is_departure_lost)
    WriteEntry(kLostDeparture);
}

}  // namespace soak
