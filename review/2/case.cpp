// A machine gets SIGTERM under traffic from clients that still hold its
// address, and SIGKILL after the grace period. What it has read and passed on
// must be answered. The requests must not be repeated, as ledger-read on days
// of the site file.

#include "../standins/world.hpp"

using namespace world;

namespace {

constexpr char kService[] = "kafi81c";
constexpr int kServers = 7;
constexpr int kGraceMs = 6000;
constexpr int kTimeoutMs = 1500;
// Clients that hold an address for three times the ttl_s and have a connection
// to the machine open. They send one request each in the last part of that.
constexpr int kClients = 14;
constexpr int kFirstMs = 4100;
constexpr int kLastMs = 5900;
// Each needs about the most work that the site file has for ledger-read: 60 ms
// in the mean, 360 ms at most.
constexpr int kWorkMs = 340;

}  // namespace

int main() {
  Prepare();
  Record record("review/2/record.txt");
  g_record = &record;
  Store store(record);
  Arrivals arrivals;
  const char* zones[] = {"zagreb-a", "zagreb-b", "karlovac-c"};
  std::vector<std::unique_ptr<Server>> servers;
  for (int i = 0; i < kServers; ++i) {
    ServerOptions options;
    options.service = kService;
    options.zone = zones[i % 3];
    options.slots = 3;
    options.work_ms = kWorkMs;
    options.work_spread = 0.03;
    servers.push_back(std::make_unique<Server>("i-" + std::to_string(100 + i),
                                               options, arrivals));
    store.Put("servers/" + servers.back()->id(),
              servers.back()->Entry("ready", 1));
  }
  RouteSpec route;
  route.name = "r-ledger";
  route.prefix = "/goka902/";
  route.service = kService;
  route.timeout_ms = kTimeoutMs;
  route.target_ms = 250;
  route.type = "non_idempotent";
  route.priority = 2;
  store.Put("op/config", ManifestJson(7, {route}, {{kService, 110}}));
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
  SleepMs(6000);

  // The clients learn the address right before the SIGTERM and use it for
  // three times the ttl_s. Each sends a request now, so that its connection is
  // open, and another one later.
  Node& node = *fleet.nodes[0];
  const Time terminated = Clock::now() + milliseconds(2000);
  std::mutex mutex;
  std::vector<Outcome> outcomes;
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i)
    clients.emplace_back([&, i] {
      ClientRequest request;
      request.method = "POST";
      request.body = std::string(300, 'b');
      request.target = "/goka902/2f";
      request.time_allowed_ms = kTimeoutMs;
      StreamPtr stream;
      SleepUntil(terminated - milliseconds(1900 - 20 * i));
      Send(node.front(), request, stream);
      SleepUntil(terminated +
                 milliseconds(kFirstMs +
                              i * (kLastMs - kFirstMs) / (kClients - 1)));
      const Outcome outcome = Send(node.front(), request, stream);
      const std::lock_guard lock(mutex);
      outcomes.push_back(outcome);
    });
  SleepUntil(terminated - milliseconds(20));
  const Directory directory =
      Resolve(fleet.nodes[1]->directory(), node.spec().zone);
  record.Say("a client learns " + directory.addresses);
  if (directory.addresses.find(node.front()) == std::string::npos ||
      directory.ttl_s * 3 * 1000 < kLastMs + 100) {
    record.Say("the clients don't hold the address for long enough");
    Finish(fleet, record, kCouldNotRun);
  }
  SleepUntil(terminated);
  if (HasTrouble()) {
    node.Signal(SIGTERM);
    record.Say("SIGTERM");
    const auto status = node.WaitForEnd(milliseconds(kGraceMs));
    if (status) {
      record.Say("the process ended by itself");
    } else {
      node.Kill();
      record.Say("SIGKILL after the grace period");
    }
  }
  for (auto& client : clients)
    client.join();

  std::set<std::string> passed_on;
  for (const Arrival& arrival : arrivals.All())
    passed_on.insert(arrival.request_id);
  int answered = 0, refused = 0, unread = 0, lost = 0;
  for (const Outcome& outcome : outcomes) {
    const double at = Seconds(outcome.sent) - Seconds(terminated);
    if (outcome.kind == Outcome::Kind::kAnswer) {
      ++answered;
    } else if (outcome.kind == Outcome::Kind::kNotConnected) {
      ++refused;
    } else if (!passed_on.contains(outcome.request_id)) {
      ++unread;
    } else if (at > 3) {
      ++lost;
      record.Say("lost: " + outcome.request_id + " sent " +
                 std::to_string(at) + " s after the SIGTERM: " +
                 outcome.Describe() + " after " +
                 std::to_string(Seconds(outcome.ended) -
                                Seconds(outcome.sent)) + " s");
    }
  }
  record.Say("answered " + std::to_string(answered) + ", not connected " +
             std::to_string(refused) + ", closed and not passed on " +
             std::to_string(unread) + ", passed on and lost " +
             std::to_string(lost));
  Finish(fleet, record, lost > 0 ? kBroken : kHeld);
}
