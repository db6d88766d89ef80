// Runs each client as a coroutine.

#include "client.h"

#include <sys/socket.h>

#include <algorithm>
#include <atomic>
#include <boost/asio.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>
#include <numeric>
#include <sstream>
#include <utility>

#include "LibHttp/address.h"
#include "LibHttp/message.h"
#include "wire.h"

namespace soak {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace wire = platform::wire;

namespace {

constexpr base::Duration kConnectTimeout = std::chrono::seconds(1);
constexpr base::Duration kResolveTimeout = std::chrono::seconds(1);
constexpr base::Duration kResolvePause = std::chrono::milliseconds(200);
constexpr int kDirectoriesPerResolve = 3;
constexpr int kLongHoldFactor = 3;
// Of the time left, the largest part that a client waits before it repeats a
// request.
constexpr int kMaxRetryWaitParts = 3;

// Statuses that assure the client that the request was not run.
constexpr std::array kNotRunStatuses = std::to_array<unsigned>(
    {http::kStatusRequestTimeout, http::kStatusMisdirected,
     http::kStatusTooManyRequests, http::kStatusUnavailable});

using StringRequest = beast::http::request<beast::http::string_body>;
using StringResponse = beast::http::response<beast::http::string_body>;

constexpr auto kAwaitTuple = asio::as_tuple(asio::use_awaitable);

asio::awaitable<void> Sleep(base::Duration duration) {
  asio::steady_timer timer(co_await asio::this_coro::executor, duration);
  co_await timer.async_wait(kAwaitTuple);
}

std::string NewRequestId() {
  static std::atomic<uint64_t> next{1};
  std::ostringstream text;
  text << std::hex << base::Mix(next.fetch_add(1));
  return text.str();
}

StringRequest MakeRequest(const RequestKind& kind,
                          const std::string& id,
                          base::Duration time_allowed) {
  StringRequest request;
  request.version(11);
  request.method_string(kind.method);
  request.target(kind.path_prefix + id);
  request.set(beast::http::field::host, kRequestHost);
  request.set(wire::kRequestId, id);
  request.set(
      wire::kDeadlineMs,
      std::to_string(
          std::chrono::duration_cast<std::chrono::milliseconds>(time_allowed)
              .count()));
  if (kind.method == "POST")
    request.body() = std::string(300, 'b');
  request.prepare_payload();
  return request;
}

base::Duration ParseRetryAfter(const StringResponse& response) {
  const auto text = response[beast::http::field::retry_after];
  double seconds = 0;
  std::from_chars(text.data(), text.data() + text.size(), seconds);
  return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(std::max(seconds, 0.0)));
}

}  // namespace

Client::Client(asio::io_context& io,
               ClientOptions options,
               base::Random& random,
               Recorder& recorder)
    : options_(std::move(options)),
      random_(random),
      recorder_(recorder),
      io_(io) {}

void Client::Start() {
  asio::co_spawn(
      io_, [self = shared_from_this()] { return self->Run(); }, asio::detached);
}

asio::awaitable<void> Client::Run() {
  while (!stopped_) {
    const double pause_factor = -std::log(1 - random_.Fraction());
    co_await Sleep(std::chrono::duration_cast<base::Duration>(
        options_.mean_pause * pause_factor));
    if (base::MonotonicClock::now() >= next_resolve_)
      co_await Resolve();
    if (!stopped_)
      co_await Request(PickKind());
  }
  CloseConnection();
}

asio::awaitable<void> Client::Request(const RequestKind& kind) {
  const base::Instant deadline =
      base::MonotonicClock::now() + kind.time_allowed;
  for (int attempt = 0; attempt <= options_.retries; ++attempt) {
    const base::Duration left = deadline - base::MonotonicClock::now();
    if (left <= std::chrono::milliseconds(1))
      co_return;
    const auto failed = co_await Attempt(kind, left);
    if (!failed || !failed->may_retry)
      co_return;
    CloseConnection();
    co_await Sleep(std::min(
        failed->retry_after,
        (deadline - base::MonotonicClock::now()) / kMaxRetryWaitParts));
  }
}

asio::awaitable<std::optional<Client::Verdict>> Client::Attempt(
    const RequestKind& kind,
    base::Duration time_left) {
  const base::Instant start = base::MonotonicClock::now();
  if (!HasOpenConnection() && !co_await Connect(kind.route, time_left))
    co_return Verdict{true, {}};
  ClientAttempt attempt;
  attempt.request_id = NewRequestId();
  attempt.route = kind.route;
  attempt.address = address_;
  attempt.on_kept_connection = std::exchange(has_sent_on_connection_, true);
  attempt.time_allowed = time_left - (base::MonotonicClock::now() - start);
  const StringRequest request =
      MakeRequest(kind, attempt.request_id, attempt.time_allowed);
  stream_->expires_after(attempt.time_allowed);
  const auto [write_error, written] =
      co_await beast::http::async_write(*stream_, request, kAwaitTuple);
  attempt.sent = base::MonotonicClock::now();
  beast::http::response_parser<beast::http::string_body> parser;
  beast::error_code error = write_error;
  if (!error) {
    const auto [read_error, read] = co_await beast::http::async_read(
        *stream_, buffer_, parser, kAwaitTuple);
    error = read_error;
  }
  attempt.ended = base::MonotonicClock::now();
  if (error) {
    attempt.end = error == beast::error::timeout ? AttemptEnd::kTimedOut
                                                 : AttemptEnd::kClosed;
    recorder_.Add(attempt);
    CloseConnection();
    co_return Verdict{kind.is_idempotent, {}};
  }
  const StringResponse response = parser.release();
  attempt.status = static_cast<int>(response.result_int());
  recorder_.Add(attempt);
  stream_->expires_never();
  if (!response.keep_alive() || buffer_.size() > 0)
    CloseConnection();
  if (response.result() == beast::http::status::ok)
    co_return std::nullopt;
  const bool is_not_run =
      std::ranges::find(kNotRunStatuses, response.result_int()) !=
      kNotRunStatuses.end();
  co_return Verdict{kind.is_idempotent || is_not_run,
                    ParseRetryAfter(response)};
}

asio::awaitable<bool> Client::Connect(const std::string& route,
                                      base::Duration time_left) {
  const base::Instant deadline = base::MonotonicClock::now() + time_left;
  while (base::MonotonicClock::now() < deadline) {
    const std::string address = PickAddress();
    const auto endpoint = http::ParseEndpoint(address);
    if (!endpoint) {
      co_await Resolve();
      continue;
    }
    ClientAttempt attempt;
    attempt.route = route;
    attempt.address = address;
    attempt.sent = base::MonotonicClock::now();
    auto stream = std::make_unique<beast::tcp_stream>(io_);
    stream->expires_after(std::min(kConnectTimeout, deadline - attempt.sent));
    const auto [error] = co_await stream->async_connect(*endpoint, kAwaitTuple);
    if (!error) {
      stream->socket().set_option(asio::ip::tcp::no_delay(true));
      stream_ = std::move(stream);
      buffer_.clear();
      address_ = address;
      has_sent_on_connection_ = false;
      co_return true;
    }
    attempt.ended = base::MonotonicClock::now();
    attempt.end = AttemptEnd::kNotConnected;
    recorder_.Add(attempt);
    failed_addresses_.insert(address);
    address_.clear();
  }
  co_return false;
}

std::string Client::PickAddress() {
  if (options_.address_use == AddressUse::kUntilRefused && !address_.empty())
    return address_;
  std::vector<std::string> usable;
  std::ranges::copy_if(addresses_, std::back_inserter(usable),
                       [this](const auto& address) {
                         return !failed_addresses_.contains(address);
                       });
  return usable.empty() ? "" : usable[random_.Below(usable.size())];
}

asio::awaitable<void> Client::Resolve() {
  const size_t count =
      std::min<size_t>(options_.directories.size(), kDirectoriesPerResolve);
  for (size_t i = 0; i < count; ++i) {
    if (co_await ResolveFrom(options_.directories[i])) {
      failed_addresses_.clear();
      const bool is_listed =
          std::ranges::find(addresses_, address_) != addresses_.end();
      if (!is_listed && options_.address_use != AddressUse::kUntilRefused)
        CloseConnection();
      co_return;
    }
  }
  failed_addresses_.clear();
  co_await Sleep(kResolvePause);
}

asio::awaitable<bool> Client::ResolveFrom(const std::string& directory) {
  const auto endpoint = http::ParseEndpoint(directory);
  if (!endpoint)
    co_return false;
  beast::tcp_stream stream(io_);
  stream.expires_after(kResolveTimeout);
  const auto [connect_error] =
      co_await stream.async_connect(*endpoint, kAwaitTuple);
  if (connect_error)
    co_return false;
  StringRequest request{
      beast::http::verb::get,
      std::string(wire::kResolvePath) + "?name=" + kRequestHost + "&region=r&" +
          wire::kCallerZone + "=" + options_.availability_zone,
      11};
  request.set(beast::http::field::host, directory);
  const auto [write_error, written] =
      co_await beast::http::async_write(stream, request, kAwaitTuple);
  beast::flat_buffer buffer;
  StringResponse response;
  if (write_error)
    co_return false;
  const auto [read_error, read] =
      co_await beast::http::async_read(stream, buffer, response, kAwaitTuple);
  if (read_error)
    co_return false;
  const auto body = nlohmann::json::parse(response.body(), nullptr, false);
  if (body.is_discarded() || body["addrs"].empty())
    co_return false;
  addresses_ = body["addrs"].get<std::vector<std::string>>();
  const auto hold = std::chrono::seconds(body["ttl_s"].get<int64_t>());
  next_resolve_ =
      base::MonotonicClock::now() +
      (options_.address_use == AddressUse::kAsStated ? hold
                                                     : hold * kLongHoldFactor);
  co_return true;
}

const RequestKind& Client::PickKind() {
  const double total = std::accumulate(
      options_.kinds.begin(), options_.kinds.end(), 0.0,
      [](double sum, const auto& kind) { return sum + kind.weight; });
  double left = random_.Fraction() * total;
  const auto found =
      std::ranges::find_if(options_.kinds, [&](const RequestKind& kind) {
        left -= kind.weight;
        return left < 0;
      });
  return found == options_.kinds.end() ? options_.kinds.back() : *found;
}

bool Client::HasOpenConnection() {
  if (!stream_)
    return false;
  char byte = 0;
  const ssize_t size = recv(stream_->socket().native_handle(), &byte, 1,
                            MSG_PEEK | MSG_DONTWAIT);
  const bool is_open = size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  if (!is_open)
    CloseConnection();
  return is_open;
}

void Client::CloseConnection() {
  stream_.reset();
}

}  // namespace soak
