// Stand-ins for everything outside the tier, for the scripts of this folder: the
// platform's store, servers, clients and the platform that starts and stops the
// program's processes. All of them listen on loopback addresses and follow the
// users' pages; a server or the store misbehaves only where a script says so.

#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace world {

using Clock = std::chrono::steady_clock;
using Time = Clock::time_point;
using std::chrono::milliseconds;

inline const Time kStart = Clock::now();
inline double Seconds(Time t) {
  return std::chrono::duration<double>(t - kStart).count();
}
inline double NowSeconds() { return Seconds(Clock::now()); }
inline void SleepMs(int64_t ms) {
  std::this_thread::sleep_for(milliseconds(ms));
}
inline void SleepUntil(Time t) { std::this_thread::sleep_until(t); }

// Exit codes of a script.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

// ---- record.txt ------------------------------------------------------------

class Record {
 public:
  explicit Record(const std::string& path) : file_(fopen(path.c_str(), "w")) {}
  void Line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    char text[1024];
    va_list args;
    va_start(args, format);
    vsnprintf(text, sizeof(text), format, args);
    va_end(args);
    const std::lock_guard lock(mutex_);
    fprintf(file_, "%9.4f %s\n", NowSeconds(), text);
  }
  // Writes the line to the record and to standard output.
  void Say(const std::string& text) {
    Line("%s", text.c_str());
    printf("%9.4f %s\n", NowSeconds(), text.c_str());
    fflush(stdout);
  }

  void Flush() {
    const std::lock_guard lock(mutex_);
    fflush(file_);
    fflush(stdout);
  }

 private:
  std::mutex mutex_;
  FILE* file_;
};

// What clients sent and got and what servers ran is written here, if set.
inline Record* g_record = nullptr;

// ---- Sockets and HTTP ------------------------------------------------------

struct Headers {
  std::vector<std::pair<std::string, std::string>> list;
  std::string Get(std::string_view name) const {
    for (const auto& [key, value] : list)
      if (key.size() == name.size() &&
          strncasecmp(key.data(), name.data(), name.size()) == 0)
        return value;
    return "";
  }
};

struct Message {
  std::string start;  // The start line.
  Headers headers;
  std::string body;
  int Status() const {
    return start.size() > 12 ? atoi(start.c_str() + 9) : 0;
  }
  std::string Method() const { return start.substr(0, start.find(' ')); }
  std::string Target() const {
    const size_t begin = start.find(' ');
    if (begin == std::string::npos)
      return "";
    return start.substr(begin + 1, start.find(' ', begin + 1) - begin - 1);
  }
};

inline sockaddr_in ToAddress(const std::string& address) {
  sockaddr_in in{};
  in.sin_family = AF_INET;
  const size_t colon = address.rfind(':');
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &in.sin_addr);
  in.sin_port = htons(static_cast<uint16_t>(atoi(address.c_str() + colon + 1)));
  return in;
}

// A connection with buffered reads.
class Stream {
 public:
  explicit Stream(int fd) : fd_(fd) {
    int one = 1;
    setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  }
  ~Stream() { close(fd_); }
  Stream(const Stream&) = delete;

  int fd() const { return fd_; }

  // Returns whether more bytes arrived before `until`.
  bool Fill(Time until) {
    while (true) {
      const auto left = std::chrono::duration_cast<milliseconds>(
          until - Clock::now() + std::chrono::microseconds(999));
      if (left.count() < 0)
        return false;
      pollfd p{fd_, POLLIN, 0};
      const int ready = poll(&p, 1, static_cast<int>(left.count()));
      if (ready < 0 && errno == EINTR)
        continue;
      if (ready <= 0) {
        is_timed_out_ = true;
        return false;
      }
      char bytes[16384];
      const ssize_t size = recv(fd_, bytes, sizeof(bytes), 0);
      if (size <= 0) {
        is_closed_ = true;
        is_reset_ = size < 0;
        return false;
      }
      buffer_.append(bytes, static_cast<size_t>(size));
      return true;
    }
  }

  // Reads one message with a length; a message without one has no body.
  std::optional<Message> Read(Time until) {
    size_t end = 0;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos)
      if (!Fill(until))
        return std::nullopt;
    Message message;
    std::istringstream lines(buffer_.substr(0, end));
    std::string line;
    while (std::getline(lines, line)) {
      if (!line.empty() && line.back() == '\r')
        line.pop_back();
      if (message.start.empty()) {
        message.start = line;
        continue;
      }
      const size_t colon = line.find(':');
      if (colon == std::string::npos)
        continue;
      size_t value = colon + 1;
      while (value < line.size() && line[value] == ' ')
        ++value;
      message.headers.list.emplace_back(line.substr(0, colon),
                                        line.substr(value));
    }
    buffer_.erase(0, end + 4);
    const size_t length = static_cast<size_t>(
        atol(message.headers.Get("Content-Length").c_str()));
    while (buffer_.size() < length)
      if (!Fill(until))
        return std::nullopt;
    message.body = buffer_.substr(0, length);
    buffer_.erase(0, length);
    return message;
  }

  bool Write(std::string_view bytes) {
    while (!bytes.empty()) {
      const ssize_t size =
          send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (size <= 0)
        return false;
      bytes.remove_prefix(static_cast<size_t>(size));
    }
    return true;
  }

  // Waits until `until`, or returns false early if the peer has closed.
  bool WaitWhileOpen(Time until) {
    while (true) {
      const auto left = std::chrono::duration_cast<std::chrono::microseconds>(
          until - Clock::now());
      if (left.count() <= 0)
        return true;
      pollfd p{fd_, POLLRDHUP, 0};
      timespec wait{left.count() / 1000000, left.count() % 1000000 * 1000};
      const int ready = ppoll(&p, 1, &wait, nullptr);
      if (ready > 0)
        return false;
    }
  }

  bool is_closed() const { return is_closed_; }
  bool is_reset() const { return is_reset_; }
  bool is_timed_out() const { return is_timed_out_; }

 private:
  const int fd_;
  std::string buffer_;
  bool is_closed_ = false;
  bool is_reset_ = false;
  bool is_timed_out_ = false;
};
using StreamPtr = std::shared_ptr<Stream>;

inline StreamPtr Connect(const std::string& address, Time until) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in in = ToAddress(address);
  fcntl(fd, F_SETFL, O_NONBLOCK);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&in), sizeof(in)) != 0) {
    pollfd p{fd, POLLOUT, 0};
    const auto left =
        std::chrono::duration_cast<milliseconds>(until - Clock::now()).count();
    int error = 0;
    socklen_t size = sizeof(error);
    if (errno != EINPROGRESS ||
        poll(&p, 1, static_cast<int>(std::max<int64_t>(left, 0))) <= 0 ||
        getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error) {
      close(fd);
      return nullptr;
    }
  }
  fcntl(fd, F_SETFL, 0);
  return std::make_shared<Stream>(fd);
}

inline std::string ResponseText(
    int status,
    const std::vector<std::pair<std::string, std::string>>& headers,
    const std::string& body) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " S\r\n";
  for (const auto& [name, value] : headers)
    text += name + ": " + value + "\r\n";
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

// Listens on an address whose port the kernel chooses, unless `port` is set.
class Listener {
 public:
  explicit Listener(const std::string& ip, int port = 0) {
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int one = 1;
    setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    sockaddr_in in = ToAddress(ip + ":" + std::to_string(port));
    if (bind(fd_, reinterpret_cast<sockaddr*>(&in), sizeof(in)) != 0 ||
        listen(fd_, 512) != 0) {
      perror("listen");
      exit(kCouldNotRun);
    }
    socklen_t size = sizeof(in);
    getsockname(fd_, reinterpret_cast<sockaddr*>(&in), &size);
    address_ = ip + ":" + std::to_string(ntohs(in.sin_port));
  }
  ~Listener() { Close(); }
  const std::string& address() const { return address_; }
  void Close() {
    if (fd_ >= 0) {
      shutdown(fd_, SHUT_RDWR);
      close(fd_);
    }
    fd_ = -1;
  }
  // Serves each connection on a thread of its own.
  void Serve(std::function<void(StreamPtr)> session) {
    std::thread([this, fd = fd_, session = std::move(session)] {
      while (true) {
        const int connection = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (connection < 0)
          return;
        auto stream = std::make_shared<Stream>(connection);
        std::thread([session, stream] { session(stream); }).detach();
      }
    }).detach();
  }

 private:
  int fd_ = -1;
  std::string address_;
};

inline int FreePort(const std::string& ip) {
  const std::string address = Listener(ip).address();
  return atoi(address.c_str() + address.rfind(':') + 1);
}

// ---- The platform's store --------------------------------------------------

inline std::string Base64(const std::string& bytes) {
  static const char digits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (size_t i = 0; i < bytes.size(); i += 3) {
    uint32_t n = static_cast<uint8_t>(bytes[i]) << 16;
    if (i + 1 < bytes.size())
      n |= static_cast<uint8_t>(bytes[i + 1]) << 8;
    if (i + 2 < bytes.size())
      n |= static_cast<uint8_t>(bytes[i + 2]);
    text += digits[n >> 18 & 63];
    text += digits[n >> 12 & 63];
    text += i + 1 < bytes.size() ? digits[n >> 6 & 63] : '=';
    text += i + 2 < bytes.size() ? digits[n & 63] : '=';
  }
  return text;
}

inline std::string Unescape(const std::string& text) {
  std::string result;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      result += static_cast<char>(strtol(text.substr(i + 1, 2).c_str(),
                                         nullptr, 16));
      i += 2;
    } else {
      result += text[i];
    }
  }
  return result;
}

inline std::string Query(const std::string& target, const std::string& name) {
  size_t at = target.find('?');
  while (at != std::string::npos) {
    const size_t end = target.find('&', at + 1);
    const std::string pair = target.substr(
        at + 1, end == std::string::npos ? end : end - at - 1);
    if (pair.starts_with(name + "="))
      return Unescape(pair.substr(name.size() + 1));
    at = end;
  }
  return "";
}

class Store {
 public:
  explicit Store(Record& record) : record_(record), listener_("127.0.0.1") {
    listener_.Serve([this](const StreamPtr& stream) { Session(stream); });
  }
  const std::string& address() const { return listener_.address(); }

  // Writes the key and returns when that was acknowledged.
  Time Put(const std::string& key, const std::string& value) {
    const std::lock_guard lock(mutex_);
    ++revision_;
    events_.push_back({key, value, revision_, false});
    changed_.notify_all();
    record_.Line("store: put %s at revision %lu", key.c_str(), revision_);
    return Clock::now();
  }
  Time Delete(const std::string& key) {
    const std::lock_guard lock(mutex_);
    ++revision_;
    events_.push_back({key, "", revision_, true});
    changed_.notify_all();
    record_.Line("store: delete %s at revision %lu", key.c_str(), revision_);
    return Clock::now();
  }

  // All connections that are open now go silent: they stay open, and nothing
  // more comes on them. New ones work.
  void SilenceOpenConnections() {
    const std::lock_guard lock(mutex_);
    ++generation_;
    changed_.notify_all();
    record_.Line("store: %d open connections go silent", sessions_.load());
  }

  // Called for each call, with its target; may delay it.
  std::function<void(const std::string& target)> on_call;

  // How old the answers to reads with stale_ok are.
  std::atomic<int> stale_lag_ms{0};

 private:
  struct Item {
    std::string value;
    uint64_t revision;
  };
  struct Event {
    std::string key;
    std::string value;
    uint64_t revision;
    bool is_deleted;
    Time at = Clock::now();
  };

  // The items at the time, and the revision of the last change before it.
  std::pair<std::map<std::string, Item>, uint64_t> ItemsAt(Time time) const {
    std::map<std::string, Item> items;
    uint64_t revision = 100;
    for (const Event& event : events_) {
      if (event.at > time)
        break;
      revision = event.revision;
      if (event.is_deleted)
        items.erase(event.key);
      else
        items[event.key] = {event.value, event.revision};
    }
    return {items, revision};
  }

  static std::string ItemJson(const std::string& key, const Item& item) {
    return R"({"key":")" + key + R"(","value":")" + Base64(item.value) +
           R"(","revision":)" + std::to_string(item.revision) +
           R"(,"created_rev":)" + std::to_string(item.revision) +
           R"(,"lease":0})";
  }

  void Session(const StreamPtr& stream) {
    ++sessions_;
    uint64_t generation = 0;
    {
      const std::lock_guard lock(mutex_);
      generation = generation_;
    }
    while (true) {
      const auto request =
          stream->Read(Clock::now() + std::chrono::minutes(5));
      if (!request)
        break;
      if (on_call)
        on_call(request->Target());
      SleepMs(4);  // As the page says: 4 ms an answer.
      const std::string answer = Answer(request->Target(), generation);
      if (answer.empty()) {  // Silent for good.
        while (stream->Fill(Clock::now() + std::chrono::minutes(5))) {
        }
        break;
      }
      if (!stream->Write(answer))
        break;
    }
    --sessions_;
  }

  std::string Answer(const std::string& target, uint64_t generation) {
    const std::string prefix = Query(target, "prefix");
    const std::string after = Query(target, "after");
    std::unique_lock lock(mutex_);
    if (generation != generation_)
      return "";
    if (target.starts_with("/celerycroft/kv-range")) {
      std::string items;
      size_t count = 0;
      bool has_more = false;
      const bool is_stale = Query(target, "stale_ok") == "1";
      const auto [listed, at_rev] = ItemsAt(
          Clock::now() - milliseconds(is_stale ? stale_lag_ms.load() : 0));
      for (const auto& [key, item] : listed) {
        if (!key.starts_with(prefix) || (!after.empty() && key <= after))
          continue;
        if (++count > 500) {
          has_more = true;
          break;
        }
        items += (items.empty() ? "" : ",") + ItemJson(key, item);
      }
      return ResponseText(200, {{"Content-Type", "application/json"}},
                          R"({"items":[)" + items + R"(],"has_more":)" +
                              (has_more ? "true" : "false") + R"(,"at_rev":)" +
                              std::to_string(at_rev) + "}");
    }
    if (!target.starts_with("/celerycroft/kv-watch"))
      return ResponseText(404, {}, "");
    const uint64_t from = strtoull(after.c_str(), nullptr, 10);
    const Time until =
        Clock::now() + milliseconds(atol(Query(target, "wait_ms").c_str()));
    while (true) {
      std::string events;
      for (const Event& event : events_) {
        if (event.revision <= from || !event.key.starts_with(prefix))
          continue;
        events += events.empty() ? "" : ",";
        events += event.is_deleted
                      ? R"({"key":")" + event.key + R"(","revision":)" +
                            std::to_string(event.revision) +
                            R"(,"deleted":true})"
                      : ItemJson(event.key, {event.value, event.revision});
      }
      const bool is_over = Clock::now() >= until;
      if (generation != generation_)
        return "";
      if (!events.empty() || is_over)
        return ResponseText(200, {{"Content-Type", "application/json"}},
                            R"({"events":[)" + events + R"(],"at_rev":)" +
                                std::to_string(revision_) + "}");
      changed_.wait_until(lock, until);
    }
  }

  Record& record_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<Event> events_;
  uint64_t revision_ = 100;
  uint64_t generation_ = 0;
  std::atomic<int> sessions_{0};
  Listener listener_;
};

// ---- Servers ---------------------------------------------------------------

struct ServerOptions {
  std::string service;
  std::string zone;
  int slots = 2;
  int queue = 12;
  double work_ms = 5;
  double work_spread = 0.35;
  int body_bytes = 320;
};

// One arrival of a request at a server.
struct Arrival {
  Time at;
  std::string request_id;
  std::string service;
  std::string server;
  std::string target;
  bool has_run;
};

class Server;

// Collects what all servers saw.
class Arrivals {
 public:
  void Add(Arrival arrival) {
    if (g_record)
      g_record->Line("server: %s of %s %s %s", arrival.server.c_str(),
                     arrival.service.c_str(),
                     arrival.has_run ? "runs" : "rejects",
                     arrival.request_id.c_str());
    const std::lock_guard lock(mutex_);
    all_.push_back(std::move(arrival));
  }
  std::vector<Arrival> All() {
    const std::lock_guard lock(mutex_);
    return all_;
  }

 private:
  std::mutex mutex_;
  std::vector<Arrival> all_;
};

class Server {
 public:
  Server(std::string id, ServerOptions options, Arrivals& arrivals)
      : id_(std::move(id)),
        options_(std::move(options)),
        arrivals_(arrivals),
        listener_("127.0.0.1") {
    listener_.Serve([this](const StreamPtr& stream) { Session(stream); });
  }

  const std::string& id() const { return id_; }
  const ServerOptions& options() const { return options_; }
  const std::string& address() const { return listener_.address(); }
  // Work takes this many times as long.
  void SetSlowness(double factor) { slowness_ = factor; }

  std::string Entry(const std::string& state, int sequence) const {
    return R"({"service":")" + options_.service + R"(","address":")" +
           address() + R"(","zone":")" + options_.zone +
           R"(","version":"v1","slots":)" + std::to_string(options_.slots) +
           R"(,"state":")" + state +
           R"(","cold_remaining_ms":0,"sequence":)" +
           std::to_string(sequence) + R"(,"born":1790000000000})";
  }

  // What the script does instead of working, if set: returns whether it has
  // dealt with the request.
  std::function<bool(const Message&, const StreamPtr&)> on_request;

 private:
  void Session(const StreamPtr& stream) {
    while (const auto request =
               stream->Read(Clock::now() + std::chrono::minutes(2)))
      if (!Handle(*request, stream))
        return;
  }

  // Returns whether the connection stays open.
  bool Handle(const Message& request, const StreamPtr& stream) {
    const Time arrival = Clock::now();
    const std::string request_id =
        request.headers.Get("Celerycroft-Request-Id");
    const std::string deadline =
        request.headers.Get("Celerycroft-Deadline-Ms");
    const std::string expected =
        request.headers.Get("Celerycroft-Expect-Instance");
    if (!expected.empty() && expected != id_)
      return stream->Write(ResponseText(
          421, {{"Celerycroft-Instance-Id", id_},
                {"Celerycroft-Request-Id", request_id}},
          ""));
    const Time until =
        arrival + milliseconds(deadline.empty() ? 60000 : atol(deadline.c_str()));
    const auto not_executed = [&](int status) {
      arrivals_.Add({arrival, request_id, options_.service, id_,
                     request.Target(), false});
      return stream->Write(
          ResponseText(status, {{"Celerycroft-Not-Executed", "1"},
                                {"Celerycroft-Request-Id", request_id},
                                {"Celerycroft-Server-Load", Load()}},
                       ""));
    };
    {
      std::unique_lock lock(mutex_);
      if (running_ >= options_.slots && waiting_ >= options_.queue) {
        lock.unlock();
        return not_executed(503);
      }
      ++waiting_;
      const bool has_slot = freed_.wait_until(
          lock, until, [&] { return running_ < options_.slots; });
      --waiting_;
      if (!has_slot) {
        lock.unlock();
        return not_executed(503);
      }
      ++running_;
    }
    arrivals_.Add({arrival, request_id, options_.service, id_,
                   request.Target(), true});
    bool keep = false;
    if (on_request && on_request(request, stream)) {
      keep = false;
    } else {
      const Time done = Clock::now() + WorkTime();
      const bool is_open = stream->WaitWhileOpen(std::min(done, until));
      keep = is_open;
      if (is_open) {
        const std::string body = done <= until ? Body(request_id) : "late";
        const int status = done <= until ? 200 : 504;
        if (g_record)
          g_record->Line("server: %s answers %s with %d", id_.c_str(),
                         request_id.c_str(), status);
        keep = stream->Write(ResponseText(
            status, {{"Celerycroft-Request-Id", request_id},
                     {"Celerycroft-Server-Stamp", Stamp(request_id)},
                     {"Celerycroft-Server-Load", Load()}},
            body));
      }
    }
    const std::lock_guard lock(mutex_);
    --running_;
    freed_.notify_one();
    return keep;
  }

  std::string Load() {
    const std::lock_guard lock(mutex_);
    return std::to_string(running_) + "," + std::to_string(waiting_) + "," +
           std::to_string(options_.slots);
  }

  std::chrono::microseconds WorkTime() {
    thread_local std::mt19937_64 random{std::random_device{}()};
    std::normal_distribution<double> spread(1, options_.work_spread);
    const double ms =
        options_.work_ms * std::max(0.2, spread(random)) * slowness_.load();
    return std::chrono::microseconds(static_cast<int64_t>(ms * 1000));
  }

 public:
  // The server's digest of its answer to the request.
  std::string Stamp(const std::string& request_id) const {
    return options_.service + "." + id_ + "." + request_id;
  }
  std::string Body(const std::string& request_id) const {
    std::mt19937_64 random(std::hash<std::string>()(Stamp(request_id)));
    std::string body;
    while (body.size() < static_cast<size_t>(options_.body_bytes))
      body += static_cast<char>('a' + random() % 26);
    return body;
  }

 private:
  const std::string id_;
  const ServerOptions options_;
  Arrivals& arrivals_;
  std::atomic<double> slowness_{1};
  std::mutex mutex_;
  std::condition_variable freed_;
  int running_ = 0;
  int waiting_ = 0;
  Listener listener_;
};

// ---- The manifest ----------------------------------------------------------

struct RouteSpec {
  std::string name;
  std::string prefix;
  std::vector<std::string> gather;  // Or one service.
  std::string service;
  int timeout_ms = 400;
  int target_ms = 80;
  int attempts = 2;
  int top_k = 5;
  double min_share = 0.75;
  int priority = 1;
  std::string type = "idempotent";
};

inline const char kHost[] = "leno12.example";

inline std::string ManifestJson(
    uint64_t version,
    const std::vector<RouteSpec>& routes,
    const std::vector<std::pair<std::string, int>>& services) {
  std::string text = R"({"version":)" + std::to_string(version) +
                     R"(,"routes":[)";
  for (size_t i = 0; i < routes.size(); ++i) {
    const RouteSpec& route = routes[i];
    text += i > 0 ? "," : "";
    text += R"({"name":")" + route.name + R"(","host":")" + kHost +
            R"(","prefix":")" + route.prefix + R"(","route_type":")" +
            route.type + R"(","timeout_ms":)" +
            std::to_string(route.timeout_ms) + R"(,"target_latency_ms":)" +
            std::to_string(route.target_ms) + R"(,"priority":)" +
            std::to_string(route.priority) + R"(,"attempts":)" +
            std::to_string(route.attempts);
    if (route.gather.empty()) {
      text += R"(,"service":")" + route.service + "\"}";
      continue;
    }
    text += R"(,"gather":[)";
    for (size_t j = 0; j < route.gather.size(); ++j)
      text += (j > 0 ? ",\"" : "\"") + route.gather[j] + "\"";
    char share[32];
    snprintf(share, sizeof(share), "%.2f", route.min_share);
    text += R"(],"top_k":)" + std::to_string(route.top_k) +
            R"(,"min_success_share":)" + share + "}";
  }
  text += R"(],"services":[)";
  for (size_t i = 0; i < services.size(); ++i)
    text += (i > 0 ? "," : "") + (R"({"name":")" + services[i].first) +
            R"(","health_path":"/health","max_connections":)" +
            std::to_string(services[i].second) +
            R"(,"protocol":"h1","tls":false})";
  return text +
         R"(],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,)"
         R"("header_timeout_ms":3000,"idle_timeout_ms":15000}})";
}

// ---- The program's processes -----------------------------------------------

// Returns a loopback address that other runs of the scripts don't use: the
// port of the metrics is the same on all machines.
inline std::string MachineIp(int number) {
  const int pid = getpid();
  return "127." + std::to_string(64 + pid / 250 % 128) + "." +
         std::to_string(pid % 250) + "." + std::to_string(number);
}

struct NodeSpec {
  std::string name;
  std::string zone;
  std::string ip;
};

class Node {
 public:
  Node(NodeSpec spec, int port_base) : spec_(std::move(spec)), port_(port_base) {}
  const NodeSpec& spec() const { return spec_; }
  std::string front() const { return Address(2); }
  std::string ready() const { return Address(3); }
  std::string control() const { return Address(0); }
  std::string directory() const { return Address(1); }
  pid_t pid() const { return pid_; }

  void Start(const std::string& settings_text, const std::string& folder) {
    const std::string settings = folder + "/" + spec_.name + ".json";
    std::ofstream(settings) << settings_text;
    const std::string log = folder + "/" + spec_.name + ".log";
    pid_ = fork();
    if (pid_ != 0)
      return;
    prctl(PR_SET_PDEATHSIG, SIGKILL);  // Should this script be killed.
    setenv("CELERYCROFT_SETTINGS", settings.c_str(), 1);
    const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(fd, 1);
    dup2(fd, 2);
    // The command of deploy/system.toml.
    execl("target/celerycroft", "target/celerycroft", "front", nullptr);
    _exit(127);
  }
  void Signal(int signal) { kill(pid_, signal); }
  // Waits for the process's end for at most `wait`, and returns its status.
  std::optional<int> WaitForEnd(milliseconds wait) {
    const Time until = Clock::now() + wait;
    int status = 0;
    while (waitpid(pid_, &status, WNOHANG) == 0) {
      if (Clock::now() >= until)
        return std::nullopt;
      SleepMs(5);
    }
    pid_ = -1;
    return status;
  }
  void Kill() {
    if (pid_ <= 0)
      return;
    kill(pid_, SIGCONT);
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = -1;
  }

 private:
  std::string Address(int offset) const {
    return spec_.ip + ":" + std::to_string(port_ + offset);
  }
  const NodeSpec spec_;
  const int port_;
  pid_t pid_ = -1;
};

inline void ReplaceAll(std::string& text,
                       const std::string& from,
                       const std::string& to) {
  for (size_t at = text.find(from); at != std::string::npos;
       at = text.find(from, at + to.size()))
    text.replace(at, from.size(), to);
}

struct Bounds {
  int grace_s = 6;
  double retry_budget_ratio = 0.2;
  int budget_window_s = 10;
  int budget_slack = 56;
};

// Starts the program on several machines with the deploy file's template.
class Fleet {
 public:
  Fleet(Record& record, const std::vector<NodeSpec>& specs, Store& store)
      : record_(record), store_(store) {
    char name[] = "/tmp/celerycroft-review-XXXXXX";
    folder_ = mkdtemp(name);
    const int port = FreeBlock(specs);
    for (const NodeSpec& spec : specs)
      nodes.push_back(std::make_unique<Node>(spec, port));
  }
  // Ends all processes that were started.
  void Stop() {
    for (auto& node : nodes)
      node->Kill();
    std::error_code error;
    if (!getenv("KEEP"))
      std::filesystem::remove_all(folder_, error);
  }
  void StartAll() {
    for (auto& node : nodes)
      StartNode(*node);
  }
  void StartNode(Node& node) {
    node.Start(SettingsOf(node), folder_);
    record_.Line("platform: start %s as process %d", node.spec().name.c_str(),
                 node.pid());
  }
  const std::string& folder() const { return folder_; }

  // Waits until all machines answer 200 at their ready address.
  bool WaitUntilReady(milliseconds wait) {
    const Time until = Clock::now() + wait;
    for (auto& node : nodes) {
      while (!IsReady(*node, milliseconds(300))) {
        if (Clock::now() >= until)
          return false;
        SleepMs(50);
      }
    }
    return true;
  }
  static bool IsReady(const Node& node, milliseconds wait) {
    const Time until = Clock::now() + wait;
    const auto stream = Connect(node.ready(), until);
    if (!stream ||
        !stream->Write("GET /celerycroft/ready HTTP/1.1\r\nHost: x\r\n\r\n"))
      return false;
    const auto answer = stream->Read(until);
    return answer && answer->Status() == 200;
  }

  Bounds bounds;
  std::vector<std::unique_ptr<Node>> nodes;

 private:
  static int FreeBlock(const std::vector<NodeSpec>& specs) {
    const int port = FreePort(specs.front().ip);
    return std::min(port, 60000);
  }

  std::string SettingsOf(const Node& node) const {
    std::ifstream file("deploy/front.json");
    std::string text{std::istreambuf_iterator<char>(file), {}};
    std::string seeds;
    for (size_t i = 0; i < std::min<size_t>(3, nodes.size()); ++i)
      seeds += (i > 0 ? ",\"" : "\"") + nodes[i]->control() + "\"";
    ReplaceAll(text, R"({{#seeds}}"{{.}}"{{,}}{{/seeds}})", seeds);
    ReplaceAll(text, "{{node_name}}", node.spec().name);
    ReplaceAll(text, "{{zone}}", node.spec().zone);
    ReplaceAll(text, "{{ip}}", node.spec().ip);
    ReplaceAll(text, "{{listen_addrs.front}}", node.front());
    ReplaceAll(text, "{{listen_addrs.ready}}", node.ready());
    ReplaceAll(text, "{{listen_addrs.directory}}", node.directory());
    ReplaceAll(text, "{{listen_addrs.control}}", node.control());
    ReplaceAll(text, "{{platform.address}}", store_.address());
    ReplaceAll(text, "{{bounds.grace_s}}", std::to_string(bounds.grace_s));
    ReplaceAll(text, "{{bounds.retry_budget_ratio}}",
               std::to_string(bounds.retry_budget_ratio));
    ReplaceAll(text, "{{bounds.budget_window_s}}",
               std::to_string(bounds.budget_window_s));
    ReplaceAll(text, "{{bounds.budget_slack}}",
               std::to_string(bounds.budget_slack));
    return text;
  }

  Record& record_;
  Store& store_;
  std::string folder_;
};

// ---- Clients ---------------------------------------------------------------

// How one client attempt ended.
struct Outcome {
  enum class Kind { kAnswer, kClosed, kNoAnswer, kNotConnected };
  Kind kind = Kind::kNoAnswer;
  Message answer;
  Time sent;
  Time ended;
  std::string request_id;
  int status() const { return kind == Kind::kAnswer ? answer.Status() : 0; }
  std::string Describe() const {
    switch (kind) {
      case Kind::kAnswer:
        return std::to_string(answer.Status());
      case Kind::kClosed:
        return "closed";
      case Kind::kNoAnswer:
        return "no answer";
      case Kind::kNotConnected:
        return "not connected";
    }
    return "";
  }
};

inline std::string NewRequestId() {
  static std::atomic<uint64_t> next{1};
  char id[32];
  snprintf(id, sizeof(id), "%08x%08lx", static_cast<unsigned>(getpid()),
           next.fetch_add(1));
  return id;
}

struct ClientRequest {
  std::string target;
  int time_allowed_ms = 400;
  // How long the client stays for the answer; its time budget if 0.
  int stays_ms = 0;
  std::string method = "GET";
  std::string body;
};

// Sends one attempt; opens a connection unless `stream` is one.
inline Outcome Send(const std::string& address,
                    const ClientRequest& request,
                    StreamPtr& stream) {
  Outcome outcome;
  outcome.request_id = NewRequestId();
  outcome.sent = Clock::now();
  const Time until =
      outcome.sent + milliseconds(std::max(request.stays_ms,
                                           request.time_allowed_ms));
  if (!stream)
    stream = Connect(address, std::min(until, outcome.sent +
                                                  milliseconds(1000)));
  if (!stream) {
    outcome.kind = Outcome::Kind::kNotConnected;
    outcome.ended = Clock::now();
    if (g_record)
      g_record->Line("client: can't connect to %s", address.c_str());
    return outcome;
  }
  if (g_record)
    g_record->Line("client: sends %s %s to %s, allows %d ms",
                   outcome.request_id.c_str(), request.target.c_str(),
                   address.c_str(), request.time_allowed_ms);
  std::string text = request.method + " " + request.target +
                     " HTTP/1.1\r\nHost: " + kHost +
                     "\r\nCelerycroft-Request-Id: " + outcome.request_id +
                     "\r\nCelerycroft-Deadline-Ms: " +
                     std::to_string(request.time_allowed_ms) + "\r\n";
  if (!request.body.empty() || request.method == "POST")
    text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
  text += "\r\n" + request.body;
  std::optional<Message> answer;
  if (stream->Write(text))
    answer = stream->Read(until);
  outcome.ended = Clock::now();
  if (answer) {
    outcome.kind = Outcome::Kind::kAnswer;
    outcome.answer = *std::move(answer);
    if (strcasecmp(outcome.answer.headers.Get("Connection").c_str(),
                   "close") == 0)
      stream = nullptr;
  } else {
    outcome.kind = stream->is_timed_out() ? Outcome::Kind::kNoAnswer
                                          : Outcome::Kind::kClosed;
    stream = nullptr;
  }
  if (g_record)
    g_record->Line("client: %s ended: %s", outcome.request_id.c_str(),
                   outcome.Describe().c_str());
  return outcome;
}

// What a node that serves the directory names.
struct Directory {
  std::string addresses;
  double ttl_s = 0;
};
inline Directory Resolve(const std::string& address, const std::string& zone) {
  const Time until = Clock::now() + milliseconds(1000);
  const auto stream = Connect(address, until);
  if (!stream || !stream->Write("GET /celerycroft/resolve?name=" +
                                std::string(kHost) +
                                "&region=hr-kontinent&zone=" + zone +
                                " HTTP/1.1\r\nHost: x\r\n\r\n"))
    return {};
  const auto answer = stream->Read(until);
  if (!answer || answer->Status() != 200)
    return {};
  Directory directory{answer->body};
  const size_t ttl = answer->body.find("\"ttl_s\":");
  if (ttl != std::string::npos)
    directory.ttl_s = atof(answer->body.c_str() + ttl + 8);
  if (g_record)
    g_record->Line("client: %s names %s", address.c_str(),
                   answer->body.c_str());
  return directory;
}

inline bool HasTrouble() {
  const char* trouble = getenv("TROUBLE");
  return !trouble || strcmp(trouble, "0") != 0;
}

// Stops the processes and ends the script. The threads of servers and of the
// store still run, so nothing is destroyed.
[[noreturn]] inline void Finish(Fleet& fleet, Record& record, int code) {
  fleet.Stop();
  record.Say(code == kBroken ? "BROKEN" : code == kHeld ? "held" : "could not run");
  record.Flush();
  _exit(code);
}

// To be called first: the scripts' threads need no deep stacks, and a closed
// connection must not end the process.
inline void Prepare() { signal(SIGPIPE, SIG_IGN); }

}  // namespace world
