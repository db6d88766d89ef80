// HTTP client connections with Beast. The coroutines of a connection run on its
// own strand.

#include "LibHttp/client.h"

#include <sys/socket.h>

#include <atomic>
#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <boost/range/iterator_range.hpp>
#include <iterator>

#include "LibHttp/address.h"
#include "LibHttp/buffer_limit.h"

namespace http {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;
using base::Error;
using base::ErrorKind;

struct Connection::State : std::enable_shared_from_this<Connection::State> {
  State(asio::io_context& io, std::string peer)
      : stream(asio::make_strand(io)), address(std::move(peer)) {}

  // Connects if necessary, sends the request and reads the response.
  asio::awaitable<ExchangeResult> RunExchange(Request request,
                                              base::Duration timeout,
                                              size_t max_body_bytes);
  // Returns an empty response on success.
  asio::awaitable<ExchangeResult> Connect();
  // Closes the connection and returns the error to report. `message_start` says
  // what failed, and is followed by the address.
  ExchangeResult CloseAndFail(beast::error_code error,
                              SentState sent,
                              std::string_view message_start);
  // Returns whether the peer has closed the idle connection, or has sent bytes
  // that belong to no request.
  bool IsClosedOrHasStrayBytes();

  beast::tcp_stream stream;
  const std::string address;
  beast::flat_buffer buffer{kMaxBufferedBytes};
  std::atomic<bool> connected{false};
  std::atomic<bool> reusable{true};
  std::atomic<bool> closed{false};
};

namespace {

// Longer than a TCP handshake with a busy server takes, and shorter than the
// one second after which a lost SYN packet is sent again.
constexpr base::Duration kConnectTimeout = std::chrono::milliseconds(250);

beast::http::request<beast::http::string_body> ToMessage(Request request) {
  beast::http::request<beast::http::string_body> message;
  message.version(11);
  message.method_string(request.method);
  message.target(request.target);
  for (const Header& header : request.headers)
    message.insert(header.name, header.value);
  message.body() = std::move(request.body);
  message.prepare_payload();
  return message;
}

Response ToResponse(beast::http::response<beast::http::string_body> message) {
  Response response;
  response.status = static_cast<int>(message.result_int());
  response.content_type =
      std::string(message[beast::http::field::content_type]);
  for (const auto& field : message)
    response.headers.push_back(
        {std::string(field.name_string()), std::string(field.value())});
  response.persistence =
      message.keep_alive() ? Persistence::kKeepAlive : Persistence::kClose;
  response.body = std::move(message.body());
  return response;
}

// RFC 9110, section 15: lower statuses are interim or invalid, higher ones
// invalid.
constexpr unsigned kMinFinalStatus = 200;
constexpr unsigned kMaxStatus = 599;

using ResponseParser = beast::http::response_parser<beast::http::string_body>;

// Returns whether the parser decodes all transfer codings of the response. It
// knows `chunked` only, and leaves a body in any other coding as it is. The
// client asks for no other one (RFC 9112, section 7.4).
bool CanDecodeBody(const ResponseParser& parser) {
  const auto [begin, end] =
      parser.get().equal_range(beast::http::field::transfer_encoding);
  if (begin == end)
    return true;
  ptrdiff_t codings = 0;
  for (const auto& field : boost::make_iterator_range(begin, end)) {
    const beast::http::opt_token_list list(field.value());
    if (!beast::http::validate_list(list))
      return false;
    codings += std::distance(list.begin(), list.end());
  }
  return parser.chunked() && codings == 1;
}

// Returns why the response whose head has been read can't be used, if so.
// Beast accepts any status of three digits.
// FIXME: Skip interim responses and read the final one. Until then, a server
// that sends one counts as broken.
beast::error_code FindHeadError(const ResponseParser& parser) {
  const unsigned status = parser.get().result_int();
  if (status < kMinFinalStatus || status > kMaxStatus)
    return beast::http::error::bad_status;
  if (!CanDecodeBody(parser))
    return beast::http::error::bad_transfer_encoding;
  return {};
}

}  // namespace

ExchangeResult Connection::State::CloseAndFail(beast::error_code error,
                                               SentState sent,
                                               std::string_view message_start) {
  reusable = false;
  stream.close();
  ErrorKind kind = ErrorKind::kUnavailable;
  if (error == beast::error::timeout)
    kind = ErrorKind::kTimeout;
  else if (closed)
    kind = ErrorKind::kCancelled;
  else if (error.category() ==
           beast::http::make_error_code(beast::http::error::bad_method)
               .category())
    kind = ErrorKind::kProtocol;
  return tl::make_unexpected(ExchangeError{
      Error(kind,
            std::string(message_start) + " " + address + ": " + error.message(),
            "check that the server runs, can be reached and speaks HTTP/1.1"),
      sent});
}

bool Connection::State::IsClosedOrHasStrayBytes() {
  char byte = 0;
  const ssize_t size =
      recv(stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return size >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

asio::awaitable<ExchangeResult> Connection::State::Connect() {
  const auto endpoint = ParseEndpoint(address);
  if (!endpoint)
    co_return CloseAndFail(asio::error::invalid_argument,
                           SentState::kNothingSent, "can't parse the address");
  const auto [error] = co_await stream.async_connect(
      *endpoint, asio::as_tuple(asio::use_awaitable));
  if (error)
    co_return CloseAndFail(error, SentState::kNothingSent, "can't connect to");
  stream.expires_never();
  beast::error_code ignored;
  stream.socket().set_option(tcp::no_delay(true), ignored);
  connected = true;
  co_return Response();
}

asio::awaitable<ExchangeResult> Connection::State::RunExchange(
    Request request,
    base::Duration timeout,
    size_t max_body_bytes) {
  const auto token = asio::as_tuple(asio::use_awaitable);
  if (closed)
    co_return CloseAndFail(asio::error::operation_aborted,
                           SentState::kNothingSent, "can't send a request to");
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  stream.expires_at(deadline);
  if (connected && IsClosedOrHasStrayBytes())
    co_return CloseAndFail(asio::error::connection_aborted,
                           SentState::kNothingSent, "can't send a request to");
  if (!connected) {
    stream.expires_at(
        std::min(deadline, std::chrono::steady_clock::now() + kConnectTimeout));
    ExchangeResult result = co_await Connect();
    if (!result)
      co_return result;
    stream.expires_at(deadline);
  }
  const bool response_has_no_body = request.method == "HEAD";
  auto message = ToMessage(std::move(request));
  const auto [write_error, written] =
      co_await beast::http::async_write(stream, message, token);
  if (write_error)
    co_return CloseAndFail(write_error, SentState::kMaybeSent,
                           "can't send a request to");
  ResponseParser parser;
  parser.body_limit(max_body_bytes);
  parser.skip(response_has_no_body);
  const auto [head_error, head_size] =
      co_await beast::http::async_read_header(stream, buffer, parser, token);
  if (head_error)
    co_return CloseAndFail(head_error, SentState::kMaybeSent,
                           "can't read the response of");
  // NOTE: The body of an unusable response may be long, or never end.
  if (const beast::error_code error = FindHeadError(parser))
    co_return CloseAndFail(error, SentState::kMaybeSent,
                           "can't use the response of");
  const auto [read_error, read] =
      co_await beast::http::async_read(stream, buffer, parser, token);
  if (read_error)
    co_return CloseAndFail(read_error, SentState::kMaybeSent,
                           "can't read the response of");
  stream.expires_never();
  Response response = ToResponse(parser.release());
  // NOTE: Bytes after the response belong to no request of this client, so the
  // connection can't be used again.
  if (response.persistence == Persistence::kClose || buffer.size() != 0) {
    reusable = false;
    stream.close();
  }
  co_return response;
}

Connection::Connection(std::shared_ptr<State> state)
    : state_(std::move(state)) {}

Connection::~Connection() {
  Close();
}

std::shared_ptr<Connection> Connection::Create(asio::io_context& io,
                                               std::string address) {
  auto state = std::make_shared<State>(io, std::move(address));
  return std::shared_ptr<Connection>(new Connection(std::move(state)));
}

void Connection::Connect(base::Duration timeout, ConnectCallback callback) {
  state_->stream.expires_after(timeout);
  asio::co_spawn(
      state_->stream.get_executor(), state_->Connect(),
      [state = state_, callback = std::move(callback)](
          std::exception_ptr failure, ExchangeResult result) {
        if (!failure && result)
          callback({});
        else
          callback(base::Fail(ErrorKind::kUnavailable,
                              "can't connect to " + state->address,
                              "check that the server runs and can be reached"));
      });
}

void Connection::Exchange(Request request,
                          base::Duration timeout,
                          size_t max_body_bytes,
                          ExchangeCallback callback) {
  asio::co_spawn(
      state_->stream.get_executor(),
      state_->RunExchange(std::move(request), timeout, max_body_bytes),
      [state = state_, callback = std::move(callback)](
          std::exception_ptr failure, ExchangeResult result) {
        if (failure)
          callback(state->CloseAndFail(asio::error::fault,
                                       SentState::kMaybeSent,
                                       "can't exchange a request with"));
        else
          callback(std::move(result));
      });
}

void Connection::Close() {
  if (state_->closed.exchange(true))
    return;
  state_->reusable = false;
  asio::post(state_->stream.get_executor(),
             [state = state_] { state->stream.close(); });
}

bool Connection::is_reusable() const {
  return state_->reusable;
}

bool Connection::is_connected() const {
  return state_->connected;
}

void ExchangeOnce(asio::io_context& io,
                  const std::string& address,
                  Request request,
                  base::Duration timeout,
                  ExchangeCallback callback) {
  auto connection = Connection::Create(io, address);
  connection->Exchange(
      std::move(request), timeout, kMaxResponseBodyBytes,
      [connection, callback = std::move(callback)](ExchangeResult result) {
        callback(std::move(result));
      });
}

}  // namespace http
