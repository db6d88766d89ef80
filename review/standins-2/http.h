// Blocking HTTP/1.1 over loopback sockets, for the stand-ins of the review.

#ifndef REVIEW_STANDINS_2_HTTP_H_
#define REVIEW_STANDINS_2_HTTP_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;

// Seconds since the first call in this process.
inline double Now() {
  static const Clock::time_point start = Clock::now();
  return std::chrono::duration<double>(Clock::now() - start).count();
}

inline void SleepFor(double seconds) {
  if (seconds > 0)
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

inline void SleepUntil(double moment) {
  SleepFor(moment - Now());
}

struct Address {
  std::string ip;
  int port = 0;

  std::string ToString() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in ToSockaddr(const Address& address) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(static_cast<uint16_t>(address.port));
  inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
  return result;
}

// Returns a port of `ip` that nothing listens on.
inline int FreePort(const std::string& ip) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address = ToSockaddr({ip, 0});
  socklen_t size = sizeof(address);
  const bool is_bound =
      bind(fd, reinterpret_cast<sockaddr*>(&address), size) == 0 &&
      getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) == 0;
  close(fd);
  return is_bound ? ntohs(address.sin_port) : 0;
}

struct Message {
  std::string first_line;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  std::string Header(const std::string& name) const {
    for (const auto& [key, value] : headers) {
      if (strcasecmp(key.c_str(), name.c_str()) == 0)
        return value;
    }
    return "";
  }
  std::string Word(int index) const {
    size_t at = 0;
    for (int i = 0; i < index; ++i) {
      at = first_line.find(' ', at);
      if (at == std::string::npos)
        return "";
      ++at;
    }
    return first_line.substr(at, first_line.find(' ', at) - at);
  }
  int status() const { return std::atoi(Word(1).c_str()); }
};

// One TCP connection. Not copyable; closes the socket when it ends.
class Connection {
 public:
  explicit Connection(int fd) : fd_(fd) {
    const int on = 1;
    setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  ~Connection() { close(fd_); }

  // Returns a descriptor, or -1.
  static int Open(const Address& address) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in peer = ToSockaddr(address);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&peer), sizeof(peer)) !=
        0) {
      close(fd);
      return -1;
    }
    return fd;
  }

  bool Write(const std::string& bytes) {
    size_t sent = 0;
    while (sent < bytes.size()) {
      const ssize_t size =
          send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
      if (size <= 0)
        return false;
      sent += static_cast<size_t>(size);
    }
    return true;
  }

  // Reads a message whose body has a length. Returns whether it is complete.
  bool Read(Message& message, double timeout) {
    const double deadline = Now() + timeout;
    size_t end = std::string::npos;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(deadline))
        return false;
    }
    message = {};
    size_t at = buffer_.find("\r\n");
    message.first_line = buffer_.substr(0, at);
    while (at < end) {
      const size_t begin = at + 2;
      at = buffer_.find("\r\n", begin);
      const std::string line = buffer_.substr(begin, at - begin);
      const size_t colon = line.find(':');
      if (colon == std::string::npos)
        continue;
      const size_t value = line.find_first_not_of(' ', colon + 1);
      message.headers.emplace_back(
          line.substr(0, colon),
          value == std::string::npos ? "" : line.substr(value));
    }
    const auto length = static_cast<size_t>(
        std::atoll(message.Header("Content-Length").c_str()));
    while (buffer_.size() < end + 4 + length) {
      if (!Fill(deadline))
        return false;
    }
    message.body = buffer_.substr(end + 4, length);
    buffer_.erase(0, end + 4 + length);
    return true;
  }

  // Whether the peer has closed the connection.
  bool IsClosed() const {
    char byte = 0;
    return recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
  }

  // Ends the connection from another thread than the one that reads.
  void Shutdown() { shutdown(fd_, SHUT_RDWR); }

 private:
  bool Fill(double deadline) {
    pollfd entry{fd_, POLLIN, 0};
    const double left = deadline - Now();
    if (left <= 0 || poll(&entry, 1, static_cast<int>(left * 1000) + 1) <= 0)
      return false;
    char bytes[16384];
    const ssize_t size = recv(fd_, bytes, sizeof(bytes), 0);
    if (size <= 0)
      return false;
    buffer_.append(bytes, static_cast<size_t>(size));
    return true;
  }

  const int fd_;
  std::string buffer_;
};

// Accepts connections on a thread of its own and serves each on another.
class Listener {
 public:
  using Handler = std::function<void(Connection&)>;

  // Returns whether the address could be taken.
  bool Start(const Address& address, Handler handler) {
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in own = ToSockaddr(address);
    if (bind(fd_, reinterpret_cast<const sockaddr*>(&own), sizeof(own)) != 0 ||
        listen(fd_, 512) != 0)
      return false;
    std::thread([fd = fd_, handler = std::move(handler)] {
      while (true) {
        const int peer = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (peer < 0)
          return;
        std::thread([peer, handler] {
          Connection connection(peer);
          handler(connection);
        }).detach();
      }
    }).detach();
    return true;
  }

  // New connections are refused from now on.
  void Stop() {
    shutdown(fd_, SHUT_RDWR);
    close(fd_);
  }

 private:
  int fd_ = -1;
};

}  // namespace review

#endif  // REVIEW_STANDINS_2_HTTP_H_
