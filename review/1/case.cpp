// Servers of some shards turn slow for a while. Afterwards each machine must
// still answer.
//
// The deployment is the small one of Sljeme Najam after the index was cut into
// the 15 shards of booking-web, with the traffic of fitting-search.

#include "../standins/world.hpp"

using namespace world;

namespace {

constexpr int kShards = 15;
constexpr int kSlowShards = 2;  // 6 of 45 servers: a share of 0.133.
constexpr double kSlowness = 12;
constexpr int kTroubleMs = 8000;
constexpr int kStableMs = 4000;
constexpr int kClients = 133;
constexpr int kRequestsPerSecond = 135;
constexpr int kTimeoutMs = 400;
constexpr int kFinalRequests = 20;

struct Counts {
  std::atomic<int> answered{0}, failed{0}, silent{0}, repeats{0};
};

int MillisecondsSince(Time start) {
  return static_cast<int>(
      std::chrono::duration_cast<milliseconds>(Clock::now() - start).count());
}

ClientRequest FittingSearch(int time_allowed_ms) {
  ClientRequest request;
  request.target = "/rany330/2f";
  request.time_allowed_ms = time_allowed_ms;
  return request;
}

// Sends a request. As the page says of these clients: one repeat within the
// time budget, on a new connection, after Retry-After but no longer than a
// third of the time left.
void Ask(const std::string& address, StreamPtr& stream, Counts& counts) {
  const Time start = Clock::now();
  Outcome outcome = Send(address, FittingSearch(kTimeoutMs), stream);
  const int left = kTimeoutMs - MillisecondsSince(start);
  if (outcome.status() != 200 && left > 0) {
    const double retry_after_s =
        outcome.kind == Outcome::Kind::kAnswer
            ? atof(outcome.answer.headers.Get("Retry-After").c_str())
            : 0;
    const int wait_ms =
        std::min(static_cast<int>(retry_after_s * 1000), left / 3);
    SleepMs(wait_ms);
    stream = nullptr;
    ++counts.repeats;
    outcome = Send(address, FittingSearch(std::max(left - wait_ms, 1)), stream);
  }
  if (outcome.status() == 200)
    ++counts.answered;
  else if (outcome.kind == Outcome::Kind::kNoAnswer)
    ++counts.silent;
  else
    ++counts.failed;
}

}  // namespace

int main() {
  Prepare();
  Record record("review/1/record.txt");
  g_record = &record;
  Store store(record);
  Arrivals arrivals;
  const char* zones[] = {"zagreb-a", "zagreb-b", "karlovac-c"};
  std::vector<std::unique_ptr<Server>> servers;
  std::vector<std::string> shards;
  std::vector<std::pair<std::string, int>> services;
  for (int shard = 0; shard < kShards; ++shard) {
    shards.push_back("huvo" + std::to_string(10 + shard));
    services.emplace_back(shards.back(), 26);
    for (int i = 0; i < 3; ++i) {
      ServerOptions options;
      options.service = shards.back();
      options.zone = zones[i];
      options.work_ms = 7.5;
      options.body_bytes = 1000;
      servers.push_back(std::make_unique<Server>(
          "i-" + std::to_string(100 + shard * 3 + i), options, arrivals));
    }
  }
  for (const auto& server : servers)
    store.Put("servers/" + server->id(), server->Entry("ready", 1));
  RouteSpec route;
  route.name = "r-fit";
  route.prefix = "/rany330/";
  route.gather = shards;
  route.timeout_ms = kTimeoutMs;
  route.target_ms = 80;
  route.top_k = 50;
  route.min_share = 0.89;
  store.Put("op/config", ManifestJson(7, {route}, services));
  Fleet fleet(record,
              {{"front-zagreb-a-1", "zagreb-a", MachineIp(11)},
               {"front-zagreb-a-2", "zagreb-a", MachineIp(12)},
               {"front-zagreb-b-1", "zagreb-b", MachineIp(13)},
               {"front-karlovac-c-1", "karlovac-c", MachineIp(14)}},
              store);
  fleet.StartAll();
  if (!fleet.WaitUntilReady(milliseconds(10000))) {
    record.Say("the machines did not become ready");
    Finish(fleet, record, kCouldNotRun);
  }
  SleepMs(5000);

  std::atomic<bool> stop{false};
  Counts counts;
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i)
    clients.emplace_back([&, i] {
      const std::string address = fleet.nodes[i % 4]->front();
      const auto period =
          std::chrono::microseconds(1000000LL * kClients / kRequestsPerSecond);
      Time next = Clock::now() + period * i / kClients;
      StreamPtr stream;
      while (!stop) {
        SleepUntil(next);
        next += period;
        Ask(address, stream, counts);
      }
    });
  const auto report = [&](const char* what) {
    record.Say(std::string(what) + ": answered " +
               std::to_string(counts.answered) + ", failed " +
               std::to_string(counts.failed) + ", no answer " +
               std::to_string(counts.silent) + ", repeats " +
               std::to_string(counts.repeats));
  };
  SleepMs(4000);
  report("before");
  // The second time is left out if a machine has stopped the first time.
  bool all_ready = true;
  for (int episode = 0; episode < 2 && all_ready; ++episode) {
    if (HasTrouble()) {
      for (int i = 0; i < kSlowShards * 3; ++i)
        servers[i]->SetSlowness(kSlowness);
      record.Say("servers turn slow");
    }
    SleepMs(kTroubleMs);
    report("slow");
    for (auto& server : servers)
      server->SetSlowness(1);
    record.Say("servers are as usual again");
    SleepMs(kStableMs + 1000);
    report("after");
    for (auto& node : fleet.nodes)
      all_ready = all_ready && Fleet::IsReady(*node, milliseconds(1000));
  }
  stop = true;
  for (auto& client : clients)
    client.join();

  bool is_broken = false;
  for (auto& node : fleet.nodes) {
    int unanswered_at_timeout = 0, unanswered_later = 0, answered = 0;
    std::vector<std::thread> threads;
    std::mutex mutex;
    for (int i = 0; i < kFinalRequests; ++i) {
      threads.emplace_back([&] {
        StreamPtr stream;
        ClientRequest request = FittingSearch(kTimeoutMs);
        request.stays_ms = kTimeoutMs + 700;
        const Outcome outcome = Send(node->front(), request, stream);
        const auto took = std::chrono::duration_cast<milliseconds>(
            outcome.ended - outcome.sent).count();
        const std::lock_guard lock(mutex);
        answered += outcome.kind == Outcome::Kind::kAnswer;
        unanswered_at_timeout += took >= kTimeoutMs;
        unanswered_later += outcome.kind == Outcome::Kind::kNoAnswer;
      });
      SleepMs(50);
    }
    for (auto& thread : threads)
      thread.join();
    const bool is_ready = Fleet::IsReady(*node, milliseconds(1000));
    record.Say(node->spec().name + ": " + std::to_string(answered) + " of " +
               std::to_string(kFinalRequests) + " answered; unanswered at " +
               std::to_string(kTimeoutMs) + " ms " +
               std::to_string(unanswered_at_timeout) + ", 0.5 s later " +
               std::to_string(unanswered_later) + "; ready " +
               (is_ready ? "200" : "no answer"));
    // A single late answer is no case of the rule.
    if (unanswered_at_timeout * 2 > kFinalRequests &&
        unanswered_later * 2 > unanswered_at_timeout)
      is_broken = true;
    else
      record.Say("its directory names " +
                 Resolve(node->directory(), node->spec().zone).addresses);
  }
  Finish(fleet, record, is_broken ? kBroken : kHeld);
}
