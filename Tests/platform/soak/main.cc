// Plays a scenario against real processes of the tier and judges it by what
// clients and servers saw. Exit codes: 0 the rules held, 1 one was broken, 2
// the soak could not run.

#include <getopt.h>

#include <algorithm>
#include <array>
#include <boost/algorithm/string/join.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <functional>
#include <iostream>
#include <map>
#include <thread>

#include "LibBase/log.h"
#include "fleet.h"
#include "judge.h"
#include "scenario.h"
#include "stand_in_server.h"
#include "stand_in_store.h"

namespace {

using namespace soak;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kExitHeld = 0;
constexpr int kExitBroken = 1;
constexpr int kExitCouldNotRun = 2;

constexpr base::Duration kTickPeriod = milliseconds(2);
constexpr base::Duration kStartTime = seconds(15);
// Between the hosts' start and the traffic.
constexpr base::Duration kSettlingTime = seconds(6);
constexpr base::Duration kLeadTime = seconds(4);
constexpr base::Duration kDownTime = seconds(3);
constexpr base::Duration kDisturbancePeriod = milliseconds(1300);
constexpr base::Duration kOverlapPeriod = seconds(1);
constexpr uint64_t kMaxPairDelayMs = 2000;
constexpr size_t kAllKilledSeries = 2;
// Ports below the range that the kernel assigns.
constexpr int kFirstHostPort = 20'000;
constexpr int kFirstServerPort = 21'000;

struct Options {
  std::string deployment = "nabiralnica-iskanje";
  std::string plan = "turn";
  std::string program = "build/celerycroft";
  std::string template_file = "deploy/front.json";
  std::string folder;
  uint64_t seed = 1;
  double load = 1;       // Times the deployment's clients and requests.
  double work = 1;       // Times the servers' work.
  double share = 1;      // Of a processor for each host.
  int seconds = 60;      // Of traffic.
  bool disturb = false;  // Send SIGHUP and new configurations as well.
};

constexpr char kUsage[] =
    "usage: celerycroft-soak [--deployment NAME] [--plan NAME] [--seed N]\n"
    "  [--load FACTOR] [--work FACTOR] [--share SHARE] [--seconds N] "
    "[--disturb]\n"
    "  [--program FILE] [--template FILE] [--folder DIR]\n";

std::optional<Options> ParseOptions(int argc, char** argv) {
  Options options;
  const std::map<std::string, std::function<void(const std::string&)>> setters =
      {{"deployment", [&](const auto& text) { options.deployment = text; }},
       {"plan", [&](const auto& text) { options.plan = text; }},
       {"program", [&](const auto& text) { options.program = text; }},
       {"template", [&](const auto& text) { options.template_file = text; }},
       {"folder", [&](const auto& text) { options.folder = text; }},
       {"seed", [&](const auto& text) { options.seed = std::stoull(text); }},
       {"load", [&](const auto& text) { options.load = std::stod(text); }},
       {"work", [&](const auto& text) { options.work = std::stod(text); }},
       {"share", [&](const auto& text) { options.share = std::stod(text); }},
       {"seconds",
        [&](const auto& text) { options.seconds = std::stoi(text); }},
       {"disturb", [&](const auto&) { options.disturb = true; }}};
  std::vector<option> names;
  for (const auto& [name, setter] : setters)
    names.push_back({name.c_str(),
                     name == "disturb" ? no_argument : required_argument,
                     nullptr, 1});
  names.push_back({});
  int index = 0;
  while (true) {
    const int code = getopt_long(argc, argv, "", names.data(), &index);
    if (code == -1)
      return optind == argc ? std::optional(options) : std::nullopt;
    if (code != 1)
      return std::nullopt;
    try {
      setters.at(names[static_cast<size_t>(index)].name)(optarg ? optarg : "");
    } catch (const std::logic_error&) {
      return std::nullopt;
    }
  }
}

// Returns a loopback network that concurrent soaks don't share.
std::string Network() {
  const int pid = getpid();
  return "127." + std::to_string(64 + pid / 250 % 128) + "." +
         std::to_string(pid % 250) + ".";
}

// Runs an io_context on a thread of its own.
class IoThread {
 public:
  IoThread() : thread_([this] { io_.run(); }) {}
  ~IoThread() { Stop(); }
  boost::asio::io_context& io() { return io_; }
  void Stop() {
    io_.stop();
    if (thread_.joinable())
      thread_.join();
  }

 private:
  boost::asio::io_context io_{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_{io_.get_executor()};
  std::jthread thread_;
};

class Soak {
 public:
  Soak(const Options& options, Deployment deployment, StopPlan plan)
      : options_(options),
        deployment_(std::move(deployment)),
        plan_(plan),
        random_(options.seed) {
    CreateServers();
    CreateFleet();
  }
  ~Soak() {
    client_thread_.Stop();
    server_thread_.Stop();
  }

  int Run() {
    fleet_->StartAll();
    if (!fleet_->WaitUntilReady(kStartTime)) {
      std::cerr << "the hosts did not become ready\n";
      return kExitCouldNotRun;
    }
    TickFor(kSettlingTime);
    StartClients();
    TickFor(kLeadTime);
    base::Instant end = base::MonotonicClock::now() + seconds(options_.seconds);
    while (base::MonotonicClock::now() < end)
      PlayRound();
    TickFor(kLeadTime + RuleBounds().grace);
    return Report();
  }

 private:
  std::string NextServerAddress() {
    return Network() + "1:" + std::to_string(next_server_port_++);
  }

  void CreateServers() {
    store_ =
        std::make_unique<StandInStore>(server_thread_.io(), store_address_);
    std::vector<Service> services = deployment_.single_services;
    for (size_t shard = 0; shard < deployment_.shards; ++shard) {
      services.push_back(deployment_.shard);
      services.back().name += std::to_string(shard);
    }
    for (const Service& service : services) {
      for (size_t i = 0; i < service.servers; ++i) {
        ServerOptions server;
        server.instance = "i-" + service.name + "-" + std::to_string(i);
        server.service = service.name;
        server.availability_zone =
            deployment_.zones[i % deployment_.zones.size()];
        server.address = NextServerAddress();
        server.slots = service.slots;
        server.mean_work = std::chrono::duration_cast<base::Duration>(
            service.mean_work * options_.work);
        servers_.push_back(std::make_unique<StandInServer>(
            server_thread_.io(), server, random_, recorder_));
      }
    }
    boost::asio::post(server_thread_.io(), [this] {
      for (const auto& server : servers_)
        store_->Put("servers/" + server->options().instance, server->Entry());
      PutConfiguration();
    });
  }

  void PutConfiguration() {
    store_->Put("op/config", MakeConfiguration(deployment_, ++version_));
  }

  void CreateFleet() {
    FleetOptions options;
    options.program = options_.program;
    options.template_file = options_.template_file;
    options.folder = options_.folder;
    options.store_address = store_address_;
    options.processor_share = options_.share;
    for (size_t i = 0; i < deployment_.hosts; ++i) {
      const std::string& zone = deployment_.zones[i % deployment_.zones.size()];
      options.hosts.push_back({"front-" + zone + "-" + std::to_string(i), zone,
                               Network() + std::to_string(i + 2),
                               kFirstHostPort});
    }
    fleet_options_ = options;
    fleet_ = std::make_unique<Fleet>(options, recorder_);
  }

  // Returns the directories of all hosts, those of the zone first.
  std::vector<std::string> DirectoriesFor(const std::string& zone) {
    std::vector<HostOptions> hosts = fleet_options_.hosts;
    for (size_t i = hosts.size(); i > 1; --i)
      std::swap(hosts[i - 1], hosts[random_.Below(i)]);
    std::stable_partition(hosts.begin(), hosts.end(), [&](const auto& host) {
      return host.availability_zone == zone;
    });
    std::vector<std::string> directories;
    std::ranges::transform(hosts, std::back_inserter(directories),
                           &HostOptions::directory_address);
    return directories;
  }

  void StartClients() {
    const auto count = static_cast<size_t>(
        static_cast<double>(deployment_.clients) * options_.load);
    constexpr std::array address_uses = {AddressUse::kAsStated,
                                         AddressUse::kThreeTimesAsLong,
                                         AddressUse::kUntilRefused};
    for (size_t i = 0; i < count; ++i) {
      ClientOptions client;
      client.availability_zone =
          deployment_.zones[i % deployment_.zones.size()];
      client.directories = DirectoriesFor(client.availability_zone);
      client.kinds = deployment_.kinds;
      client.mean_pause = std::chrono::duration_cast<base::Duration>(
          std::chrono::duration<double>(
              static_cast<double>(deployment_.clients) /
              deployment_.requests_per_second));
      client.address_use = address_uses[i % address_uses.size()];
      clients_.push_back(std::make_shared<Client>(client_thread_.io(), client,
                                                  random_, recorder_));
    }
    boost::asio::post(client_thread_.io(), [this] {
      std::ranges::for_each(clients_, [](const auto& c) { c->Start(); });
    });
  }

  void TickFor(base::Duration duration) {
    TickUntil([end = base::MonotonicClock::now() + duration] {
      return base::MonotonicClock::now() >= end;
    });
  }

  void TickUntil(const std::function<bool()>& is_done) {
    while (!is_done()) {
      fleet_->Tick();
      Disturb();
      std::this_thread::sleep_for(kTickPeriod);
    }
  }

  // Sends SIGHUP to some host and puts a new configuration into force.
  void Disturb() {
    const base::Instant now = base::MonotonicClock::now();
    if (!options_.disturb || now < next_disturbance_)
      return;
    next_disturbance_ = now + kDisturbancePeriod;
    fleet_->host(random_.Below(fleet_->size())).Signal(SIGHUP);
    boost::asio::post(server_thread_.io(), [this] { PutConfiguration(); });
  }

  void PlayRound() {
    const auto is_whole = [this] { return fleet_->IsWhole(); };
    switch (plan_) {
      case StopPlan::kNone:
        TickFor(kLeadTime);
        return;
      case StopPlan::kInTurn:
        fleet_->Stop(next_host_++ % fleet_->size());
        TickUntil(is_whole);
        TickFor(seconds(1));
        return;
      case StopPlan::kPairs:
        fleet_->Stop(next_host_++ % fleet_->size());
        TickFor(milliseconds(random_.Below(kMaxPairDelayMs)));
        fleet_->Stop(next_host_++ % fleet_->size());
        TickUntil(is_whole);
        TickFor(seconds(1));
        return;
      case StopPlan::kOverlapping:
        fleet_->Stop(next_host_++ % fleet_->size());
        TickFor(kOverlapPeriod);
        return;
      case StopPlan::kAllKilled:
        if (outages_ < kAllKilledSeries) {
          ++outages_;
          fleet_->KillAll(kDownTime);
          TickUntil(is_whole);
        }
        TickFor(RuleBounds().recovery + kLeadTime);
        return;
    }
  }

  int Report() {
    const Observation seen = recorder_.Snapshot();
    std::map<std::string, size_t> ends;
    for (const ClientAttempt& attempt : seen.attempts) {
      constexpr std::array names = {"answered", "closed", "timed out",
                                    "not connected"};
      std::string end = names[static_cast<size_t>(attempt.end)];
      if (attempt.status != 0)
        end += " " + std::to_string(attempt.status);
      ++ends[end];
    }
    std::cout << "attempts " << seen.attempts.size();
    for (const auto& [end, count] : ends)
      std::cout << ", " << end << " " << count;
    const auto killed =
        std::ranges::count(seen.stops, true, &PlannedStop::was_killed);
    std::cout << "\nstops " << seen.stops.size() << ", killed after the grace "
              << "period " << killed << ", unexpected ends "
              << fleet_->unexpected_ends() << "\n";
    const bool is_lost = ReportLost(seen);
    const bool is_unready = ReportUnready();
    const bool is_unrecovered = ReportRecovery(seen);
    return is_lost || is_unready || is_unrecovered ||
                   fleet_->unexpected_ends() > 0
               ? kExitBroken
               : kExitHeld;
  }

  static bool ReportLost(const Observation& seen) {
    const auto lost = FindLostRequests(seen, {});
    const auto unseen = FindUnseenCuts(seen, {});
    std::cout << "LOST " << lost.size() << ", cut late and not passed on "
              << unseen.size() << "\n";
    for (const LostRequest& request : lost)
      std::printf(
          "  %s %s at %s, %s connection, sent %.3f s after SIGTERM, "
          "ended after %.3f s, at its server %s for %.3f s\n",
          request.attempt.request_id.c_str(), request.attempt.route.c_str(),
          request.attempt.address.c_str(),
          request.attempt.on_kept_connection ? "kept" : "new",
          base::ToSeconds(request.sent_after_stop),
          base::ToSeconds(request.attempt.ended - request.attempt.sent),
          request.run.instance.c_str(),
          base::ToSeconds(request.run.ended - request.run.arrived));
    std::fflush(stdout);
    return !lost.empty();
  }

  bool ReportUnready() {
    bool found = false;
    for (const HostOptions& host : fleet_options_.hosts) {
      if (IsReady(host))
        continue;
      std::cout << host.name << " is not ready\n";
      found = true;
    }
    return found;
  }

  static bool ReportRecovery(const Observation& seen) {
    const auto recovery = JudgeRecovery(seen, {});
    if (!recovery)
      return false;
    std::cout << "RECOVER before " << recovery->before.served << " of "
              << recovery->before.sent << ", after " << recovery->after.served
              << " of " << recovery->after.sent << "\n";
    return !recovery->is_kept();
  }

  const Options options_;
  const Deployment deployment_;
  const StopPlan plan_;
  base::SeededRandom random_;
  Recorder recorder_;
  // Declared before the objects that use them, and stopped before these are
  // destroyed.
  IoThread server_thread_;
  IoThread client_thread_;
  const std::string store_address_ =
      Network() + "1:" + std::to_string(kFirstHostPort);
  int next_server_port_ = kFirstServerPort;
  uint64_t version_ = 0;
  size_t next_host_ = 0;
  size_t outages_ = 0;
  base::Instant next_disturbance_{};
  FleetOptions fleet_options_;
  std::unique_ptr<StandInStore> store_;
  std::vector<std::unique_ptr<StandInServer>> servers_;
  std::vector<std::shared_ptr<Client>> clients_;
  std::unique_ptr<Fleet> fleet_;
};

}  // namespace

int main(int argc, char** argv) {
  auto options = ParseOptions(argc, argv);
  const auto deployment =
      options ? FindDeployment(options->deployment) : std::nullopt;
  const auto plan = options ? FindStopPlan(options->plan) : std::nullopt;
  if (!deployment || !plan) {
    std::cerr << kUsage
              << "deployments: " << boost::join(DeploymentNames(), ", ")
              << "\nplans: " << boost::join(StopPlanNames(), ", ") << "\n";
    return kExitCouldNotRun;
  }
  std::signal(SIGPIPE, SIG_IGN);
  base::DisableLog();
  const bool has_own_folder = options->folder.empty();
  if (has_own_folder) {
    std::string name =
        std::filesystem::temp_directory_path() / "celerycroft-soak-XXXXXX";
    if (!mkdtemp(name.data()))
      return kExitCouldNotRun;
    options->folder = name;
  }
  std::filesystem::create_directories(options->folder);
  int code = kExitCouldNotRun;
  {
    Soak soak(*options, *deployment, *plan);
    code = soak.Run();
  }
  if (has_own_folder && code == kExitHeld)
    std::filesystem::remove_all(options->folder);
  else
    std::cout << "logs: " << options->folder << "\n";
  return code;
}
