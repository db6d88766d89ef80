// The store is silent for some seconds, and a server leaves meanwhile, which
// it says in all its answers. The hosts pass these answers on and keep sending
// requests to it, until it ends and takes some of them along.

#include "world.h"

namespace {

using namespace review;

constexpr int kFronts = 4;
constexpr int kServers = 4;
constexpr int kClients = 24;
// Seconds since the start of traffic.
constexpr double kSilenceStart = 8;
constexpr double kSilenceSeconds = 6.2;
constexpr double kLeaves = 8.3;
// A server that leaves serves for `drain_ms` and a little longer.
constexpr double kExits = kLeaves + kDrainSeconds + 2;
constexpr double kEnd = 18;

[[noreturn]] void Play(const std::string& record_file) {
  Record record(record_file);
  RunLog runs;
  Store store;
  Store::Door* door = store.AddDoor(LoopbackIp(1));
  if (!door)
    Finish(kNotRun);
  store.Put("op/config", OneRouteManifest(7, "non_idempotent", "bookings", 60));
  const std::vector<std::string> zones = {"a", "b", "c"};
  std::vector<std::unique_ptr<Server>> servers;
  for (int i = 0; i < kServers; ++i) {
    servers.push_back(std::make_unique<Server>(
        Server::Options{"i-" + RandomId(), "bookings", zones[i % 3],
                        LoopbackIp(20 + i)},
        store, runs, record));
    if (!servers.back()->Start())
      Finish(kNotRun);
  }
  char folder[] = "/tmp/review-9-XXXXXX";
  if (!mkdtemp(folder))
    Finish(kNotRun);
  std::vector<std::unique_ptr<Front>> fronts;
  std::vector<std::string> seeds;
  for (int i = 0; i < kFronts; ++i) {
    fronts.push_back(std::make_unique<Front>("front-" + std::to_string(i + 1),
                                             zones[i % 3], LoopbackIp(100 + i),
                                             door->address));
    if (i < 3)
      seeds.push_back(fronts.back()->peer().ToString());
  }
  for (const auto& front : fronts) {
    if (!front->Start(folder, seeds))
      Finish(kNotRun);
  }
  for (const auto& front : fronts) {
    if (!front->WaitUntilReady(20))
      Finish(kNotRun);
  }
  SleepFor(kStableSeconds);

  AttemptLog attempts;
  const double start = Now();
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] {
      Client client(*fronts[i % kFronts], record);
      while (Now() < start + kEnd) {
        attempts.Add(client.Send("POST", "book.example", "/book/row", 3000,
                                 "row " + std::to_string(i)));
        SleepFor(0.1 + 0.1 * RandomFraction());
      }
    });
  }
  Server& left = *servers.front();
  SleepUntil(start + kSilenceStart);
  if (HasTrouble()) {
    store.SetSilent(true);
    record.Line("the store is silent");
  }
  SleepUntil(start + kLeaves);
  left.SetExtraHeaders("Server-Leaving: 1\r\n");
  record.Line(left.id(), "leaves");
  if (!HasTrouble())
    left.Write("draining");
  SleepUntil(start + kExits);
  left.Exit();
  record.Line(left.id(), "exits");
  if (HasTrouble()) {
    SleepUntil(start + kSilenceStart + kSilenceSeconds);
    store.SetSilent(false);
    record.Line("the store answers again");
  }
  left.Unregister();
  for (std::thread& client : clients)
    client.join();
  for (const auto& front : fronts)
    front->Kill();

  std::map<std::string, Attempt> by_id;
  // When each host first passed on an answer that says that its server leaves.
  std::map<std::string, double> told;
  int served = 0;
  for (const Attempt& attempt : attempts.attempts()) {
    by_id[attempt.id] = attempt;
    served += attempt.status == 200;
    if (!attempt.is_server_leaving)
      continue;
    const auto [first, is_new] = told.emplace(attempt.front, attempt.answered);
    first->second = std::min(first->second, attempt.answered);
  }
  int late_runs = 0;
  int lost = 0;
  for (const Run& run : runs.runs()) {
    const auto attempt = by_id.find(run.id);
    if (run.server != left.id() || attempt == by_id.end())
      continue;
    const auto first = told.find(attempt->second.front);
    if (first == told.end() ||
        attempt->second.sent <= first->second + kDrainSeconds)
      continue;
    ++late_runs;
    lost += attempt->second.status != 200;
    record.Line("DRAIN:", run.id, "reached", run.server, "from",
                attempt->second.front, "and was sent",
                attempt->second.sent - first->second,
                "s after that host passed on Server-Leaving, answered",
                attempt->second.status);
  }
  std::ostringstream summary;
  summary << attempts.attempts().size() << " requests, " << served
          << " served, " << late_runs << " reached a server more than "
          << kDrainSeconds << " s after it had said that it leaves, " << lost
          << " of them got no success";
  record.Line(summary.str());
  std::puts(summary.str().c_str());
  if (served * 2 < static_cast<int>(attempts.attempts().size()))
    Finish(kNotRun);
  Finish(late_runs > 0 ? kRuleBroken : kRuleHeld);
}

}  // namespace

int main(int argc, char** argv) {
  Play(argc > 1 ? argv[1] : "record.txt");
}
