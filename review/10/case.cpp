// A query over an index of one shard. A server of the shard fails some requests
// with a status below 500, and its failure reaches the caller as a success.

#include "world.h"

namespace {

using namespace review;

constexpr int kFronts = 4;
constexpr int kServers = 7;
constexpr int kClients = 16;
constexpr double kTrafficSeconds = 20;
// The disruption: `srv_grey`, how "errors", on one of the 7 servers.
constexpr double kGreyStart = 6;
constexpr double kGreySeconds = 6.5;
constexpr double kGreyShareOfRequests = 0.45;
constexpr int kFailureStatus = 404;

[[noreturn]] void Play(const std::string& record_file) {
  Record record(record_file);
  RunLog runs;
  Store store;
  Store::Door* door = store.AddDoor(LoopbackIp(1));
  if (!door)
    Finish(kNotRun);
  store.Put("op/config",
            ManifestWithRoute(7,
                              json{{"route_type", "idempotent"},
                                   {"gather", json::array({"bookings"})},
                                   {"top_k", 5},
                                   {"min_success_share", 0.75}},
                              "bookings", 60));
  const std::vector<std::string> zones = {"a", "b", "c"};
  std::atomic<double> start{-1};
  std::vector<std::unique_ptr<Server>> servers;
  for (int i = 0; i < kServers; ++i) {
    servers.push_back(std::make_unique<Server>(
        Server::Options{"i-" + RandomId(), "bookings", zones[i % 3],
                        LoopbackIp(20 + i), 3, 0.015},
        store, runs, record));
    if (!servers.back()->Start())
      Finish(kNotRun);
  }
  if (HasTrouble())
    servers.front()->failure = [&]() -> std::optional<int> {
      const double at = Now() - start;
      const bool is_grey = start >= 0 && at >= kGreyStart &&
                           at < kGreyStart + kGreySeconds &&
                           RandomFraction() < kGreyShareOfRequests;
      return is_grey ? std::optional(kFailureStatus) : std::nullopt;
    };
  char folder[] = "/tmp/review-10-XXXXXX";
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
  AttemptLog attempts;
  start = Now();
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] {
      Client client(*fronts[i % kFronts], record);
      while (Now() < start + kTrafficSeconds) {
        attempts.Add(client.Send("GET", "book.example", "/book/row", 800, ""));
        SleepFor(0.1 * RandomFraction());
      }
    });
  }
  for (std::thread& client : clients)
    client.join();
  for (const auto& front : fronts)
    front->Kill();

  const std::set<std::string> failed_stamps = servers.front()->failed_stamps();
  int served = 0;
  int mixed = 0;
  for (const Attempt& attempt : attempts.attempts()) {
    if (attempt.status != 200)
      continue;
    ++served;
    if (!failed_stamps.contains(attempt.part_stamps))
      continue;
    ++mixed;
    record.Line("MIXED:", attempt.id, "got 200 with the part",
                attempt.part_stamps, "where the server had answered",
                kFailureStatus);
  }
  std::ostringstream summary;
  summary << attempts.attempts().size() << " requests, " << served
          << " served, " << mixed << " of these with a failure as a part";
  record.Line(summary.str());
  std::puts(summary.str().c_str());
  if (served * 2 < static_cast<int>(attempts.attempts().size()))
    Finish(kNotRun);
  Finish(mixed > 0 ? kRuleBroken : kRuleHeld);
}

}  // namespace

int main(int argc, char** argv) {
  Play(argc > 1 ? argv[1] : "record.txt");
}
