// Clients of the tier, as the platform describes them: they ask a host which
// addresses to use, keep connections open, and repeat failed requests within
// their time budget.

#ifndef SOAK_CLIENT_H_
#define SOAK_CLIENT_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "LibBase/random.h"
#include "observation.h"

namespace soak {

// The host that all requests name.
inline constexpr char kRequestHost[] = "leno12.example";

// A kind of request.
struct RequestKind {
  std::string route;
  std::string path_prefix;
  std::string method = "GET";
  base::Duration time_allowed{};
  bool is_idempotent = true;
  double weight = 1;  // Share of all requests, relative to the other kinds.

  bool operator==(const RequestKind&) const = default;
};

// When a client moves away from a host.
enum class AddressUse : uint8_t {
  // Uses the addresses of the last answer for as long as that answer states.
  kAsStated,
  // The same for three times as long.
  kThreeTimesAsLong,
  // Stays with an address until it refuses a connection.
  kUntilRefused,
};

struct ClientOptions {
  std::string availability_zone;
  // Addresses to ask, nearest first.
  std::vector<std::string> directories;
  std::vector<RequestKind> kinds;
  base::Duration mean_pause{};  // Between two requests.
  AddressUse address_use = AddressUse::kAsStated;
  int retries = 1;

  bool operator==(const ClientOptions&) const = default;
};

// All functions must be called on the thread of the io_context, or before it
// runs.
class Client : public std::enable_shared_from_this<Client> {
 public:
  Client(boost::asio::io_context& io,
         ClientOptions options,
         base::Random& random,
         Recorder& recorder);

  void Start();
  // Makes no further requests.
  void Stop() { stopped_ = true; }

 private:
  // What the client does after a failed attempt.
  struct Verdict {
    bool may_retry = false;
    base::Duration retry_after{};
  };

  boost::asio::awaitable<void> Run();
  boost::asio::awaitable<void> Request(const RequestKind& kind);
  // Returns nothing if the client needs no further attempt.
  boost::asio::awaitable<std::optional<Verdict>> Attempt(
      const RequestKind& kind,
      base::Duration time_left);
  // Opens a connection to an address, and to others if that fails. Returns
  // whether it has.
  boost::asio::awaitable<bool> Connect(const std::string& route,
                                       base::Duration time_left);
  boost::asio::awaitable<void> Resolve();
  boost::asio::awaitable<bool> ResolveFrom(const std::string& directory);
  std::string PickAddress();
  const RequestKind& PickKind();
  bool HasOpenConnection();
  void CloseConnection();

  const ClientOptions options_;
  base::Random& random_;
  Recorder& recorder_;
  boost::asio::io_context& io_;
  std::unique_ptr<boost::beast::tcp_stream> stream_;
  boost::beast::flat_buffer buffer_;
  std::string address_;  // Of `stream_`, or the last one that was used.
  bool has_sent_on_connection_ = false;
  std::vector<std::string> addresses_;
  std::set<std::string> failed_addresses_;
  base::Instant next_resolve_{};
  bool stopped_ = false;
};

}  // namespace soak

#endif  // SOAK_CLIENT_H_
