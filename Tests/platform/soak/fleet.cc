// Starts and ends the processes of the hosts.

#include "fleet.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <boost/algorithm/string/join.hpp>
#include <boost/algorithm/string/replace.hpp>
#include <boost/asio/io_context.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <map>
#include <thread>
#include <utility>

#include "LibHttp/client.h"
#include "wire.h"

namespace soak {

namespace {

// The pause before a process that has ended is started again.
constexpr base::Duration kRestartDelay = std::chrono::milliseconds(500);
constexpr base::Duration kQuotaPeriod = std::chrono::milliseconds(100);
constexpr base::Duration kPollPeriod = std::chrono::milliseconds(5);
constexpr base::Duration kReadinessTimeout = std::chrono::milliseconds(500);
constexpr size_t kSeedCount = 3;
constexpr char kSettingsVariable[] = "CELERYCROFT_SETTINGS";
constexpr mode_t kLogMode = 0644;

std::string ReadText(const std::string& file) {
  std::ifstream stream(file);
  return {std::istreambuf_iterator<char>(stream), {}};
}

std::string MakeSettings(const FleetOptions& options, const HostOptions& host) {
  std::vector<std::string> seeds;
  for (size_t i = 0; i < std::min(kSeedCount, options.hosts.size()); ++i)
    seeds.push_back("\"" + options.hosts[i].peer_address() + "\"");
  const std::map<std::string, std::string> values = {
      {R"({{#seeds}}"{{.}}"{{,}}{{/seeds}})", boost::join(seeds, ",")},
      {"{{node_name}}", host.name},
      {"{{zone}}", host.availability_zone},
      {"{{ip}}", host.ip},
      {"{{listen_addrs.front}}", host.caller_address()},
      {"{{listen_addrs.ready}}", host.readiness_address()},
      {"{{listen_addrs.directory}}", host.directory_address()},
      {"{{listen_addrs.control}}", host.peer_address()},
      {"{{platform.address}}", options.store_address},
      {"{{bounds.grace_s}}", std::to_string(options.grace_seconds)},
      {"{{bounds.retry_budget_ratio}}", "0.2"},
      {"{{bounds.budget_window_s}}", "10"},
      {"{{bounds.budget_slack}}", "52"}};
  std::string text = ReadText(options.template_file);
  for (const auto& [placeholder, value] : values)
    boost::replace_all(text, placeholder, value);
  return text;
}

std::string SettingsFile(const std::string& folder, const std::string& name) {
  return folder + "/" + name + ".json";
}

}  // namespace

Host::Host(HostOptions options, std::string program, std::string folder)
    : options_(std::move(options)),
      program_(std::move(program)),
      folder_(std::move(folder)) {}

Host::~Host() {
  Kill();
}

void Host::Start() {
  const std::string settings = SettingsFile(folder_, options_.name);
  const std::string log = folder_ + "/" + options_.name + ".log";
  const pid_t pid = fork();
  if (pid > 0)
    pid_ = pid;
  if (pid != 0)
    return;
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  setenv(kSettingsVariable, settings.c_str(), 1);
  const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, kLogMode);
  dup2(fd, STDOUT_FILENO);
  dup2(fd, STDERR_FILENO);
  // The host must not keep the addresses of the stand-ins in use.
  close_range(STDERR_FILENO + 1, ~0U, 0);
  execl(program_.c_str(), program_.c_str(), "front", nullptr);
  _exit(EXIT_FAILURE);
}

void Host::Signal(int signal) {
  if (pid_)
    kill(*pid_, signal);
}

bool Host::HasEnded() {
  if (pid_ && waitpid(*pid_, nullptr, WNOHANG) != 0)
    pid_.reset();
  return !pid_;
}

void Host::Kill() {
  Signal(SIGCONT);
  Signal(SIGKILL);
  if (pid_)
    waitpid(*pid_, nullptr, 0);
  pid_.reset();
}

base::Duration Host::ProcessorTime() {
  if (!pid_)
    return {};
  base::Duration total{};
  std::error_code error;
  const std::string tasks = "/proc/" + std::to_string(*pid_) + "/task";
  for (const auto& task : std::filesystem::directory_iterator(tasks, error)) {
    // The first field counts nanoseconds.
    std::ifstream file(task.path() / "schedstat");
    int64_t nanoseconds = 0;
    file >> nanoseconds;
    total += std::chrono::duration_cast<base::Duration>(
        std::chrono::nanoseconds(nanoseconds));
  }
  return total;
}

void ProcessorQuota::Tick(Host& host, base::Instant now) {
  if (share_ >= 1)
    return;
  const base::Duration used = host.ProcessorTime();
  if (now >= period_end_) {
    period_end_ = now + kQuotaPeriod;
    used_before_ = used;
    if (std::exchange(is_stopped_, false))
      host.Signal(SIGCONT);
  }
  const bool is_used_up =
      used - used_before_ >=
      std::chrono::duration_cast<base::Duration>(kQuotaPeriod * share_);
  if (is_used_up && !std::exchange(is_stopped_, true))
    host.Signal(SIGSTOP);
}

void ProcessorQuota::Lift(Host& host) {
  share_ = 1;
  is_stopped_ = false;
  host.Signal(SIGCONT);
}

Fleet::Fleet(const FleetOptions& options, Recorder& recorder)
    : grace_(std::chrono::seconds(options.grace_seconds)), recorder_(recorder) {
  for (const HostOptions& host : options.hosts) {
    std::ofstream(SettingsFile(options.folder, host.name))
        << MakeSettings(options, host);
    hosts_.push_back(
        {std::make_unique<Host>(host, options.program, options.folder),
         ProcessorQuota(options.processor_share), std::nullopt, std::nullopt});
  }
}

void Fleet::StartAll() {
  std::ranges::for_each(hosts_, [](auto& state) { state.host->Start(); });
}

void Fleet::Stop(size_t index) {
  HostState& state = hosts_[index];
  if (state.stop || state.restart_at)
    return;
  state.stop = PlannedStop{state.host->options().caller_address(),
                           base::MonotonicClock::now()};
  state.host->Signal(SIGTERM);
}

void Fleet::KillAll(base::Duration down) {
  const base::Instant now = base::MonotonicClock::now();
  recorder_.Add(UnplannedOutage{now, now + down});
  for (HostState& state : hosts_) {
    state.host->Kill();
    state.stop.reset();
    state.restart_at = now + down;
  }
}

void Fleet::Tick() {
  const base::Instant now = base::MonotonicClock::now();
  std::ranges::for_each(hosts_, [&](auto& state) { Tick(state, now); });
}

void Fleet::Tick(HostState& state, base::Instant now) {
  if (state.restart_at) {
    if (now >= *state.restart_at) {
      state.restart_at.reset();
      state.host->Start();
    }
    return;
  }
  state.quota.Tick(*state.host, now);
  if (state.host->HasEnded()) {
    if (state.stop)
      recorder_.Add(*state.stop);
    else
      ++unexpected_ends_;
    state.stop.reset();
    state.restart_at = now + kRestartDelay;
  } else if (state.stop && now >= state.stop->signalled + grace_) {
    state.stop->was_killed = true;
    state.host->Kill();
  }
}

void Fleet::LiftQuotas() {
  std::ranges::for_each(hosts_,
                        [](auto& state) { state.quota.Lift(*state.host); });
}

bool Fleet::IsWhole() const {
  return std::ranges::none_of(
      hosts_, [](const auto& state) { return state.stop || state.restart_at; });
}

bool Fleet::WaitUntilReady(base::Duration wait) {
  const base::Instant until = base::MonotonicClock::now() + wait;
  return std::ranges::all_of(hosts_, [&](const auto& state) {
    while (!IsReady(state.host->options())) {
      if (base::MonotonicClock::now() >= until)
        return false;
      std::this_thread::sleep_for(kPollPeriod);
    }
    return true;
  });
}

bool IsReady(const HostOptions& host) {
  boost::asio::io_context io;
  bool is_ready = false;
  const std::string address = host.readiness_address();
  http::ExchangeOnce(
      io, address, {"GET", platform::wire::kReadyPath, {{"Host", address}}, ""},
      kReadinessTimeout, [&](const auto& result) {
        is_ready = result && result->status == http::kStatusOk;
      });
  io.run();
  return is_ready;
}

}  // namespace soak
