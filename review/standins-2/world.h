// Stand-ins of the platform around the entry hosts: its store, servers and
// clients, and the entry hosts' processes themselves.

#ifndef REVIEW_STANDINS_2_WORLD_H_
#define REVIEW_STANDINS_2_WORLD_H_

#include <signal.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <cstdio>
#include <fstream>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "http.h"

namespace review {

using nlohmann::json;

// Exit codes of a case.
constexpr int kRuleHeld = 0;
constexpr int kRuleBroken = 1;
constexpr int kNotRun = 2;

// The limits of the platform's small deployments.
constexpr double kDrainSeconds = 3;
constexpr double kStableSeconds = 4;
constexpr double kHeartbeatSeconds = 1.2;
constexpr double kStoreAnswerSeconds = 0.004;

// Ends the process without destroying what its threads still use. The hosts'
// processes end with it.
[[noreturn]] inline void Finish(int result) {
  std::fflush(stdout);
  _exit(result);
}

inline bool HasTrouble() {
  const char* value = std::getenv("TROUBLE");
  return !value || std::string(value) != "0";
}

// A number from [0, 1).
inline double RandomFraction() {
  static std::mutex mutex;
  static std::mt19937_64 generator{std::random_device{}()};
  const std::lock_guard lock(mutex);
  return std::uniform_real_distribution<double>(0, 1)(generator);
}

inline std::string RandomId() {
  char text[17];
  std::snprintf(text, sizeof(text), "%08x%08x",
                static_cast<unsigned>(RandomFraction() * 4294967295.0),
                static_cast<unsigned>(RandomFraction() * 4294967295.0));
  return text;
}

inline std::string Base64(const std::string& bytes) {
  constexpr char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (size_t at = 0; at < bytes.size(); at += 3) {
    uint32_t group = 0;
    for (size_t i = 0; i < 3; ++i)
      group = group << 8 |
              (at + i < bytes.size() ? static_cast<uint8_t>(bytes[at + i]) : 0);
    for (size_t i = 0; i < 4; ++i)
      text += at + i > bytes.size() ? '=' : kDigits[group >> (18 - 6 * i) & 63];
  }
  return text;
}

// Returns the address `127.a.b.number`, where `a` and `b` are drawn once for
// this process: the hosts also listen on a port that the settings template
// fixes, and two cases may be played at the same time.
inline std::string LoopbackIp(int number) {
  static const std::string network =
      "127." + std::to_string(10 + static_cast<int>(RandomFraction() * 200)) +
      "." + std::to_string(static_cast<int>(RandomFraction() * 250)) + ".";
  return network + std::to_string(number);
}

// Writes record.txt: what was sent, answered and run, with the seconds since
// the start of the case.
class Record {
 public:
  explicit Record(const std::string& file) : out_(file) {}

  template <typename... Words>
  void Line(const Words&... words) {
    std::ostringstream line;
    char moment[32];
    std::snprintf(moment, sizeof(moment), "%9.3f", Now());
    line << moment;
    ((line << ' ' << words), ...);
    const std::lock_guard lock(mutex_);
    out_ << line.str() << std::endl;
  }

 private:
  std::mutex mutex_;
  std::ofstream out_;
};

// The platform's store. It may be reached at several addresses, each of which
// can be cut off.
class Store {
 public:
  // How many seconds old the answers to reads with stale_ok=1 are.
  std::atomic<double> staleness{0};

  struct Door {
    Address address;
    Listener listener;
    std::atomic<bool> is_cut{false};
  };

  Store() { snapshots_.push_back({0, {}, 1}); }

  Door* AddDoor(const std::string& ip) {
    auto door = std::make_unique<Door>();
    door->address = {ip, FreePort(ip)};
    Door* result = door.get();
    doors_.push_back(std::move(door));
    const bool is_listening = result->listener.Start(
        result->address,
        [this, result](Connection& connection) { Serve(connection, *result); });
    return is_listening ? result : nullptr;
  }

  // Returns the moment of the acknowledgement.
  double Put(const std::string& key, const std::string& value) {
    return Change(key, value);
  }
  double Remove(const std::string& key) { return Change(key, std::nullopt); }

  // Whether the store answers nobody. Calls that were made before or meanwhile
  // are never answered.
  bool is_silent() const { return is_silent_; }
  void SetSilent(bool silent) {
    is_silent_ = silent;
    last_silence_ = Now();
  }

  // Comes back from a copy of what it held at `moment`, in the next era. What
  // was written since is gone, and its revisions are given out again.
  void RestoreCopyOf(double moment) {
    const std::lock_guard lock(mutex_);
    const Snapshot copy = SnapshotAt(moment);
    std::erase_if(events_, [&](const Event& event) {
      return event.revision > copy.revision;
    });
    snapshots_.push_back({Now(), copy.items, copy.revision});
    ++era_;
  }

  uint64_t revision() {
    const std::lock_guard lock(mutex_);
    return snapshots_.back().revision;
  }

 private:
  struct Item {
    std::string value;
    uint64_t revision;
  };
  struct Event {
    uint64_t revision;
    std::string key;
    std::optional<std::string> value;
  };
  // What the store held from `moment` on.
  struct Snapshot {
    double moment;
    std::map<std::string, Item> items;
    uint64_t revision;
  };
  struct Answer {
    int status;
    json body;
  };

  double Change(const std::string& key, std::optional<std::string> value) {
    const std::lock_guard lock(mutex_);
    Snapshot next = snapshots_.back();
    next.moment = Now();
    ++next.revision;
    if (value)
      next.items[key] = {*value, next.revision};
    else
      next.items.erase(key);
    events_.push_back({next.revision, key, std::move(value)});
    snapshots_.push_back(std::move(next));
    changed_.notify_all();
    return snapshots_.back().moment;
  }

  // Requires `mutex_` to be held.
  const Snapshot& SnapshotAt(double moment) const {
    auto next =
        std::ranges::upper_bound(snapshots_, moment, {}, &Snapshot::moment);
    return next == snapshots_.begin() ? snapshots_.front() : *std::prev(next);
  }

  static std::string Parameter(const std::string& target,
                               const std::string& name) {
    size_t at = target.find('?');
    while (at != std::string::npos) {
      const size_t begin = at + 1;
      at = target.find('&', begin);
      const std::string pair = target.substr(begin, at - begin);
      if (pair.starts_with(name + "="))
        return pair.substr(name.size() + 1);
    }
    return "";
  }

  static json ToJson(const std::string& key,
                     const std::string& value,
                     uint64_t revision) {
    return {{"key", key},
            {"value", Base64(value)},
            {"revision", revision},
            {"created_rev", revision},
            {"lease", 0}};
  }

  Answer Range(const std::string& prefix, double age) {
    const std::lock_guard lock(mutex_);
    const Snapshot& snapshot = SnapshotAt(Now() - age);
    json items = json::array();
    for (const auto& [key, item] : snapshot.items) {
      if (key.starts_with(prefix))
        items.push_back(ToJson(key, item.value, item.revision));
    }
    return {
        200,
        {{"items", items}, {"has_more", false}, {"at_rev", snapshot.revision}}};
  }

  Answer Watch(const std::string& prefix, uint64_t after, double wait) {
    std::unique_lock lock(mutex_);
    if (after > snapshots_.back().revision)
      return {410, json::object()};
    json found = json::array();
    const auto has_found = [&] {
      for (const Event& event : events_) {
        if (event.revision <= after || !event.key.starts_with(prefix))
          continue;
        found.push_back(event.value
                            ? ToJson(event.key, *event.value, event.revision)
                            : json{{"key", event.key},
                                   {"revision", event.revision},
                                   {"deleted", true}});
      }
      return !found.empty();
    };
    changed_.wait_for(lock, std::chrono::duration<double>(wait), has_found);
    return {200, {{"events", found}, {"at_rev", snapshots_.back().revision}}};
  }

  void Serve(Connection& connection, Door& door) {
    Message request;
    while (connection.Read(request, 60)) {
      const double asked = Now();
      const std::string target = request.Word(1);
      const bool is_watch = target.starts_with("/celerycroft/kv-watch?");
      Answer answer{404, json::object()};
      if (is_watch && !is_silent_ && !door.is_cut)
        answer = Watch(Parameter(target, "prefix"),
                       std::stoull(Parameter(target, "after")),
                       std::stod(Parameter(target, "wait_ms")) / 1000);
      else if (target.starts_with("/celerycroft/kv-range?"))
        answer =
            Range(Parameter(target, "prefix"),
                  Parameter(target, "stale_ok") == "1" ? staleness.load() : 0);
      while (is_silent_ || door.is_cut || last_silence_ > asked)
        SleepFor(1);
      SleepFor(kStoreAnswerSeconds);
      const std::string text = answer.body.dump();
      if (!connection.Write(
              "HTTP/1.1 " + std::to_string(answer.status) +
              (answer.status == 200 ? " OK" : " Gone") +
              "\r\nContent-Type: application/json\r\nStore-Era: " +
              std::to_string(era_) + "\r\nContent-Length: " +
              std::to_string(text.size()) + "\r\n\r\n" + text))
        return;
    }
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<Event> events_;
  std::vector<Snapshot> snapshots_;
  std::atomic<uint64_t> era_{1};
  std::atomic<bool> is_silent_{false};
  std::atomic<double> last_silence_{-1};
  std::vector<std::unique_ptr<Door>> doors_;
};

// A run of a request at a server.
struct Run {
  double arrived;
  std::string id;
  std::string server;
  std::string front;  // The host that passed the request on, if known.
};

class RunLog {
 public:
  void Add(Run run) {
    const std::lock_guard lock(mutex_);
    runs_.push_back(std::move(run));
  }
  std::vector<Run> runs() {
    const std::lock_guard lock(mutex_);
    return runs_;
  }

 private:
  std::mutex mutex_;
  std::vector<Run> runs_;
};

// A server of a service. It runs `slots` requests at once, queues as many, and
// rejects the others.
class Server {
 public:
  struct Options {
    std::string id;
    std::string service;
    std::string zone;
    std::string ip;
    int slots = 3;
    double work_seconds = 0.12;
    double cold_seconds = 0;  // How long it is slow after its start.
  };

  Server(Options options, Store& store, RunLog& runs, Record& record)
      : options_(std::move(options)),
        store_(store),
        runs_(runs),
        record_(record),
        address_{options_.ip, FreePort(options_.ip)},
        born_(std::chrono::duration_cast<std::chrono::milliseconds>(
                  std::chrono::system_clock::now().time_since_epoch())
                  .count()) {}

  // Factor of the time that its work takes.
  std::atomic<double> slowness{1};
  // Header lines that all of its answers carry.
  void SetExtraHeaders(std::string lines) {
    const std::lock_guard lock(mutex_);
    extra_headers_ = std::move(lines);
  }
  // Called after each answer: returns the bytes that the server sends late, at
  // the point where the next answer on this connection is expected.
  std::function<std::string()> late_bytes;

  // Called for each request that has run: returns the status with which the
  // server fails it, or nothing.
  std::function<std::optional<int>()> failure;

  // The stamps of the answers that were failures.
  std::set<std::string> failed_stamps() {
    const std::lock_guard lock(mutex_);
    return failed_stamps_;
  }

  bool Start() {
    if (!listener_.Start(address_, [this](Connection& peer) { Serve(peer); }))
      return false;
    Write("ready");
    std::thread([this] {
      while (true) {
        SleepFor(kHeartbeatSeconds);
        const std::lock_guard lock(entry_mutex_);
        if (is_registered_ && !store_.is_silent())
          WriteLocked();
      }
    }).detach();
    return true;
  }

  double Write(const std::string& state) {
    const std::lock_guard lock(entry_mutex_);
    state_ = state;
    is_registered_ = true;
    return WriteLocked();
  }

  // Writes the entry again although nothing in it has changed.
  double WriteAgain() {
    const std::lock_guard lock(entry_mutex_);
    written_.clear();
    return WriteLocked();
  }

  // Its entry is removed: the server leaves without reporting that it drains.
  double Unregister() {
    const std::lock_guard lock(entry_mutex_);
    is_registered_ = false;
    return store_.Remove("servers/" + options_.id);
  }

  // The process ends, and with it what it still runs.
  void Exit() {
    listener_.Stop();
    const std::lock_guard lock(mutex_);
    has_exited_ = true;
    for (Connection* peer : peers_)
      peer->Shutdown();
  }

  const std::string& id() const { return options_.id; }
  bool has_exited() const { return has_exited_; }

 private:
  double WriteLocked() {
    const double cold = options_.cold_seconds - (Now() - started_);
    json entry = {
        {"service", options_.service},
        {"address", address_.ToString()},
        {"zone", options_.zone},
        {"version", "v1"},
        {"slots", options_.slots},
        {"state", state_},
        {"cold_remaining_ms", static_cast<int64_t>(std::max(0.0, cold * 1000))},
        {"born", born_}};
    // An entry changes only when more than its sequence does.
    ++sequence_;
    if (entry.dump() == written_)
      return Now();
    written_ = entry.dump();
    entry["sequence"] = sequence_;
    return store_.Put("servers/" + options_.id, entry.dump());
  }

  std::string Answer(int status,
                     const std::string& reason,
                     const std::string& headers,
                     const std::string& body) {
    std::string extra;
    {
      const std::lock_guard lock(mutex_);
      extra = extra_headers_;
    }
    return "HTTP/1.1 " + std::to_string(status) + " " + reason + "\r\n" +
           headers + extra +
           "Celerycroft-Server-Load: " + std::to_string(running_) + "," +
           std::to_string(waiting_) + "," + std::to_string(options_.slots) +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
  }

  // Returns false if the server is full.
  bool TakeSlot() {
    std::unique_lock lock(mutex_);
    if (running_ >= options_.slots && waiting_ >= options_.slots)
      return false;
    ++waiting_;
    slot_free_.wait(lock, [this] { return running_ < options_.slots; });
    --waiting_;
    ++running_;
    return true;
  }

  void FreeSlot() {
    const std::lock_guard lock(mutex_);
    --running_;
    slot_free_.notify_one();
  }

  void Serve(Connection& peer) {
    {
      const std::lock_guard lock(mutex_);
      if (has_exited_)
        return;
      peers_.insert(&peer);
    }
    std::string late;
    Message request;
    while (peer.Read(request, 60) && !has_exited_) {
      if (!late.empty() && !peer.Write(std::exchange(late, "")))
        break;
      if (!peer.Write(Handle(request)))
        break;
      if (late_bytes)
        late = late_bytes();
    }
    const std::lock_guard lock(mutex_);
    peers_.erase(&peer);
  }

  std::string Handle(const Message& request) {
    const std::string id = request.Header("Celerycroft-Request-Id");
    const std::string echo = "Celerycroft-Request-Id: " + id + "\r\n";
    const std::string expected = request.Header("Celerycroft-Expect-Instance");
    if (!expected.empty() && expected != options_.id)
      return Answer(421, "Misdirected Request",
                    echo + "Celerycroft-Instance-Id: " + options_.id + "\r\n",
                    "");
    if (!TakeSlot()) {
      record_.Line("refused", id, "at", options_.id);
      return Answer(503, "Service Unavailable",
                    echo + "Celerycroft-Not-Executed: 1\r\n", "");
    }
    runs_.Add({Now(), id, options_.id, ""});
    record_.Line("run", id, "at", options_.id);
    SleepFor(options_.work_seconds * slowness * (0.5 + RandomFraction()));
    FreeSlot();
    const std::string stamp = RandomId() + "." + options_.id;
    const std::optional<int> failed = failure ? failure() : std::nullopt;
    if (failed) {
      const std::lock_guard lock(mutex_);
      failed_stamps_.insert(stamp);
    }
    return Answer(failed.value_or(200), failed ? "Failed" : "OK",
                  echo + "Celerycroft-Server-Stamp: " + stamp + "\r\n",
                  "record " + id.substr(0, 9) + "record " + id.substr(0, 9));
  }

  const Options options_;
  Store& store_;
  RunLog& runs_;
  Record& record_;
  const Address address_;
  const int64_t born_;
  const double started_ = Now();
  Listener listener_;
  std::atomic<bool> has_exited_{false};

  std::mutex mutex_;
  std::condition_variable slot_free_;
  std::set<Connection*> peers_;
  int running_ = 0;
  int waiting_ = 0;
  std::string extra_headers_;
  std::set<std::string> failed_stamps_;

  std::mutex entry_mutex_;
  std::string state_;
  std::string written_;
  bool is_registered_ = false;
  uint64_t sequence_ = 0;
};

// An entry host: a process of the tier, started as the deploy file says.
class Front {
 public:
  Front(std::string name, std::string zone, std::string ip, Address store)
      : name_(std::move(name)),
        zone_(std::move(zone)),
        ip_(std::move(ip)),
        store_(std::move(store)),
        caller_{ip_, FreePort(ip_)},
        ready_{ip_, FreePort(ip_)},
        directory_{ip_, FreePort(ip_)},
        peer_{ip_, FreePort(ip_)} {}

  const std::string& name() const { return name_; }
  const Address& caller() const { return caller_; }
  const Address& peer() const { return peer_; }
  pid_t pid() const { return pid_; }

  // `folder` holds the settings and the log.
  bool Start(const std::string& folder, const std::vector<std::string>& seeds) {
    const std::string settings = folder + "/" + name_ + ".json";
    std::ofstream(settings) << FillTemplate(seeds);
    const std::vector<std::string> words = RunWords();
    if (words.empty())
      return false;
    const std::string log = folder + "/" + name_ + ".log";
    std::vector<char*> arguments;
    for (const std::string& word : words)
      arguments.push_back(const_cast<char*>(word.c_str()));
    arguments.push_back(nullptr);
    const std::string variable = "CELERYCROFT_SETTINGS=" + settings;
    std::vector<std::string> variables = {variable, "PATH=/usr/bin:/bin",
                                          "HOME=/", "LANG=C"};
    std::vector<char*> environment;
    for (std::string& text : variables)
      environment.push_back(text.data());
    environment.push_back(nullptr);
    const pid_t parent = getpid();
    pid_ = fork();
    if (pid_ != 0)
      return pid_ > 0;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent)
      _exit(1);
    FILE* out = std::freopen(log.c_str(), "a", stdout);
    if (out)
      dup2(fileno(out), 2);
    execve(arguments[0], arguments.data(), environment.data());
    _exit(127);
  }

  void Signal(int signal) const {
    if (pid_ > 0)
      kill(pid_, signal);
  }

  // Ends the process at once and collects it.
  void Kill() {
    if (pid_ <= 0)
      return;
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = -1;
  }

  bool HasEnded() {
    return pid_ > 0 && waitpid(pid_, nullptr, WNOHANG) == pid_;
  }

  bool IsReady() const {
    const int fd = Connection::Open(ready_);
    if (fd < 0)
      return false;
    Connection connection(fd);
    Message answer;
    return connection.Write(
               "GET /celerycroft/ready HTTP/1.1\r\nHost: r\r\n"
               "Connection: close\r\n\r\n") &&
           connection.Read(answer, 1) && answer.status() == 200;
  }

  bool WaitUntilReady(double seconds) const {
    const double deadline = Now() + seconds;
    while (!IsReady()) {
      if (Now() > deadline)
        return false;
      SleepFor(0.05);
    }
    return true;
  }

 private:
  static void Replace(std::string& text,
                      const std::string& from,
                      const std::string& to) {
    for (size_t at = text.find(from); at != std::string::npos;
         at = text.find(from, at + to.size()))
      text.replace(at, from.size(), to);
  }

  std::string FillTemplate(const std::vector<std::string>& seeds) const {
    std::stringstream buffer;
    buffer << std::ifstream("deploy/front.json").rdbuf();
    std::string text = buffer.str();
    std::string list;
    for (const std::string& seed : seeds)
      list += (list.empty() ? "\"" : ",\"") + seed + "\"";
    Replace(text, "{{#seeds}}\"{{.}}\"{{,}}{{/seeds}}", list);
    Replace(text, "{{node_name}}", name_);
    Replace(text, "{{zone}}", zone_);
    Replace(text, "{{ip}}", ip_);
    Replace(text, "{{listen_addrs.front}}", caller_.ToString());
    Replace(text, "{{listen_addrs.ready}}", ready_.ToString());
    Replace(text, "{{listen_addrs.directory}}", directory_.ToString());
    Replace(text, "{{listen_addrs.control}}", peer_.ToString());
    Replace(text, "{{platform.address}}", store_.ToString());
    Replace(text, "{{bounds.grace_s}}", "6");
    Replace(text, "{{bounds.retry_budget_ratio}}", "0.2");
    Replace(text, "{{bounds.budget_window_s}}", "10");
    Replace(text, "{{bounds.budget_slack}}", "52");
    return text;
  }

  // Returns the words of `run` in the deploy file.
  static std::vector<std::string> RunWords() {
    std::ifstream file("deploy/system.toml");
    std::string line;
    while (std::getline(file, line)) {
      if (!line.starts_with("run = \""))
        continue;
      std::istringstream words(line.substr(7, line.rfind('"') - 7));
      std::vector<std::string> result;
      std::string word;
      while (words >> word)
        result.push_back(word);
      return result;
    }
    return {};
  }

  const std::string name_;
  const std::string zone_;
  const std::string ip_;
  const Address store_;
  const Address caller_;
  const Address ready_;
  const Address directory_;
  const Address peer_;
  pid_t pid_ = -1;
};

// What a client got for one attempt. The status is 0 if the connection ended
// without a complete answer.
struct Attempt {
  std::string id;
  std::string front;
  double sent = 0;
  double answered = 0;
  int status = 0;
  double retry_after = 0;
  bool is_server_leaving = false;
  std::string part_stamps;
  std::string stamp;
  std::string body;
};

// A client with one kept connection to a host.
class Client {
 public:
  Client(const Front& front, Record& record) : front_(front), record_(record) {}

  Attempt Send(const std::string& method,
               const std::string& host,
               const std::string& path,
               int deadline_ms,
               const std::string& body) {
    Attempt attempt;
    attempt.id = RandomId();
    attempt.front = front_.name();
    if (connection_ && connection_->IsClosed())
      connection_.reset();
    if (!connection_) {
      const int fd = Connection::Open(front_.caller());
      if (fd < 0)
        return attempt;
      connection_ = std::make_unique<Connection>(fd);
    }
    attempt.sent = Now();
    record_.Line("sent", attempt.id, "to", front_.name(), method, path);
    Message answer;
    const bool is_complete =
        connection_->Write(
            method + " " + path + " HTTP/1.1\r\nHost: " + host +
            "\r\nCelerycroft-Request-Id: " + attempt.id +
            "\r\nCelerycroft-Deadline-Ms: " + std::to_string(deadline_ms) +
            "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
            body) &&
        connection_->Read(answer, deadline_ms / 1000.0 + 1);
    attempt.answered = Now();
    if (is_complete) {
      attempt.status = answer.status();
      attempt.retry_after = std::atof(answer.Header("Retry-After").c_str());
      attempt.is_server_leaving = answer.Header("Server-Leaving") == "1";
      attempt.part_stamps = answer.Header("Celerycroft-Part-Stamps");
      attempt.stamp = answer.Header("Celerycroft-Server-Stamp");
      attempt.body = answer.body;
    }
    if (!is_complete || answer.Header("Connection") == "close")
      connection_.reset();
    record_.Line("answered", attempt.id, attempt.status,
                 attempt.stamp + attempt.part_stamps);
    return attempt;
  }

 private:
  const Front& front_;
  Record& record_;
  std::unique_ptr<Connection> connection_;
};

class AttemptLog {
 public:
  void Add(Attempt attempt) {
    const std::lock_guard lock(mutex_);
    attempts_.push_back(std::move(attempt));
  }
  std::vector<Attempt> attempts() {
    const std::lock_guard lock(mutex_);
    return attempts_;
  }

 private:
  std::mutex mutex_;
  std::vector<Attempt> attempts_;
};

// A manifest with one route, which `route` completes, to one service.
inline std::string ManifestWithRoute(uint64_t version,
                                     const json& route,
                                     const std::string& service,
                                     int max_connections) {
  json whole_route = {
      {"name", "r-book"},   {"host", "book.example"},   {"prefix", "/book/"},
      {"timeout_ms", 3000}, {"target_latency_ms", 500}, {"priority", 2},
      {"attempts", 2}};
  whole_route.update(route);
  return json{{"version", version},
              {"routes", json::array({whole_route})},
              {"services",
               {{{"name", service},
                 {"health_path", "/health"},
                 {"max_connections", max_connections},
                 {"protocol", "h1"},
                 {"tls", false}}}},
              {"limits",
               {{"max_header_bytes", 16384},
                {"max_body_bytes", 262144},
                {"header_timeout_ms", 3000},
                {"idle_timeout_ms", 15000}}}}
      .dump();
}

inline std::string OneRouteManifest(uint64_t version,
                                    const std::string& route_type,
                                    const std::string& service,
                                    int max_connections) {
  return ManifestWithRoute(
      version, json{{"route_type", route_type}, {"service", service}}, service,
      max_connections);
}

}  // namespace review

#endif  // REVIEW_STANDINS_2_WORLD_H_
