// HTTP server sessions with Beast. The coroutines of each connection run on its
// own strand.

#include "LibHttp/server.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <atomic>
#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <mutex>
#include <set>
#include <utility>

#include "LibHttp/address.h"
#include "LibHttp/buffer_limit.h"

namespace http {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;

namespace {

class Session;

// Size of the first read of each request.
constexpr size_t kFirstReadBytes = size_t{4} * 1024;

}  // namespace

void Cancellation::OnCancelled(std::function<void()> action) {
  {
    const std::lock_guard lock(mutex_);
    if (!cancelled_) {
      action_ = std::move(action);
      return;
    }
  }
  action();
}

void Cancellation::Cancel() {
  std::function<void()> action;
  {
    const std::lock_guard lock(mutex_);
    cancelled_ = true;
    action = std::exchange(action_, nullptr);
  }
  if (action)
    action();
}

struct Server::State : std::enable_shared_from_this<Server::State> {
  State(asio::io_context& context,
        ServerLimits server_limits,
        CancellableHandler request_handler)
      : io(context),
        acceptor(asio::make_strand(context)),
        handler(std::move(request_handler)),
        current_limits(server_limits) {}

  ServerLimits limits() {
    const std::lock_guard lock(mutex);
    return current_limits;
  }

  void Add(Session* session);
  void Remove(Session* session);

  asio::io_context& io;
  tcp::acceptor acceptor;
  const CancellableHandler handler;
  std::atomic<bool> draining{false};
  std::atomic<size_t> running_requests{0};
  std::atomic<size_t> open_connections{0};
  std::mutex mutex;
  ServerLimits current_limits;  // Guarded by `mutex`.
  std::set<Session*> sessions;  // Guarded by `mutex`.
};

namespace {

// Returns the response to a request that couldn't be read.
Response ErrorResponse(int status, std::string_view text) {
  Response response;
  response.status = status;
  response.body = R"({"outcome":"not_run","error":{"kind":"invalid_input",)"
                  R"("message":")" +
                  std::string(text) +
                  R"(","remedy":"send one complete HTTP/1.1 request within )"
                  R"(the documented limits"}})";
  response.persistence = Persistence::kClose;
  return response;
}

// One connection of a client, from its acceptance to its end.
class Session : public std::enable_shared_from_this<Session> {
 public:
  Session(std::shared_ptr<Server::State> server, tcp::socket socket)
      : server_(std::move(server)), stream_(std::move(socket)) {
    beast::error_code error;
    stream_.socket().set_option(tcp::no_delay(true), error);
  }
  ~Session() { server_->Remove(this); }

  void Start() {
    server_->Add(this);
    asio::co_spawn(
        stream_.get_executor(),
        [self = shared_from_this()] { return self->Run(); }, asio::detached);
  }

  // Closes the connection unless a complete request is being answered.
  void CloseIfIdle() {
    asio::post(stream_.get_executor(), [self = shared_from_this()] {
      if (!self->is_answering_)
        self->stream_.close();
    });
  }

 private:
  asio::awaitable<void> Run() {
    const base::Duration accept_delay = server_->limits().accept_delay;
    if (accept_delay.count() > 0) {
      asio::steady_timer delay(stream_.get_executor(), accept_delay);
      co_await delay.async_wait(asio::use_awaitable);
    }
    beast::flat_buffer buffer{kMaxBufferedBytes};
    Persistence persistence = Persistence::kKeepAlive;
    while (persistence == Persistence::kKeepAlive)
      persistence = co_await ServeRequest(buffer);
    beast::error_code error;
    stream_.socket().shutdown(tcp::socket::shutdown_send, error);
  }

  // Reads one request, answers it, and returns whether another may follow.
  asio::awaitable<Persistence> ServeRequest(beast::flat_buffer& buffer) {
    const auto token = asio::as_tuple(asio::use_awaitable);
    beast::http::request_parser<beast::http::string_body> parser;
    const ServerLimits limits = server_->limits();
    parser.header_limit(static_cast<uint32_t>(limits.max_header_bytes));
    parser.body_limit(limits.max_body_bytes);
    if (buffer.size() == 0) {
      stream_.expires_after(limits.idle_timeout);
      const auto [error, size] = co_await stream_.async_read_some(
          buffer.prepare(kFirstReadBytes), token);
      if (error)
        co_return Persistence::kClose;
      buffer.commit(size);
    }
    stream_.expires_after(limits.request_timeout);
    const auto [error, size] =
        co_await beast::http::async_read(stream_, buffer, parser, token);
    if (error)
      co_return co_await RejectRequest(error);
    // NOTE: This is set before the coroutine suspends again, so that
    // CloseIfIdle can't cut off a request that has arrived completely.
    is_answering_ = true;
    stream_.expires_never();
    const bool keep_alive = parser.get().keep_alive();
    Request request = ToRequest(parser.release());
    request.transit = EstimateTransit();
    Response response = co_await RunHandler(std::move(request));
    if (!keep_alive || server_->draining)
      response.persistence = Persistence::kClose;
    const bool written = co_await Write(response);
    is_answering_ = false;
    co_return written ? response.persistence : Persistence::kClose;
  }

  // Answers a request that couldn't be read, unless the connection itself
  // failed or timed out.
  asio::awaitable<Persistence> RejectRequest(beast::error_code error) {
    if (error == beast::http::error::body_limit)
      co_await Write(ErrorResponse(kStatusPayloadTooLarge, "body too large"));
    else if (error == beast::http::error::header_limit)
      co_await Write(ErrorResponse(kStatusBadRequest, "headers too large"));
    else if (error.category() ==
                 beast::http::make_error_code(beast::http::error::bad_method)
                     .category() &&
             error != beast::http::error::end_of_stream &&
             error != beast::http::error::partial_message)
      co_await Write(ErrorResponse(kStatusBadRequest, "malformed request"));
    co_return Persistence::kClose;
  }

  // Returns the estimated value of Request::transit: one round trip for the
  // request and its response, and another for opening the connection if this is
  // its first request.
  base::Duration EstimateTransit() {
    tcp_info info{};
    socklen_t size = sizeof(info);
    const bool is_first = !std::exchange(has_received_request_, true);
    if (getsockopt(stream_.socket().native_handle(), IPPROTO_TCP, TCP_INFO,
                   &info, &size) != 0)
      return {};
    return base::Duration(info.tcpi_rtt) * (is_first ? 2 : 1);
  }

  static Request ToRequest(
      beast::http::request<beast::http::string_body> message) {
    Request request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto& field : message)
      request.headers.push_back(
          {std::string(field.name_string()), std::string(field.value())});
    request.body = std::move(message.body());
    return request;
  }

  // Returns an object that cancels the work for the request when the client
  // closes its connection. The watch ends when bytes of a pipelined request
  // arrive, since they hide a later close.
  CancellationPtr WatchForDisconnect() {
    auto cancellation = std::make_shared<Cancellation>();
    stream_.socket().async_wait(
        tcp::socket::wait_read,
        [self = shared_from_this(), cancellation](beast::error_code error) {
          beast::error_code ignored;
          if (error == asio::error::operation_aborted)
            return;
          if (error || self->stream_.socket().available(ignored) == 0)
            cancellation->Cancel();
        });
    return cancellation;
  }

  // Calls the handler and waits for its response.
  asio::awaitable<Response> RunHandler(Request request) {
    ++server_->running_requests;
    auto executor = stream_.get_executor();
    const CancellationPtr cancellation = WatchForDisconnect();
    Response response =
        co_await asio::async_initiate<const asio::use_awaitable_t<>,
                                      void(Response)>(
            [&](auto completion) {
              auto shared =
                  std::make_shared<decltype(completion)>(std::move(completion));
              server_->handler(
                  std::move(request),
                  [shared, executor](Response result) mutable {
                    asio::post(executor,
                               [shared, result = std::move(result)]() mutable {
                                 std::move (*shared)(std::move(result));
                               });
                  },
                  cancellation);
            },
            asio::use_awaitable);
    beast::error_code ignored;
    stream_.socket().cancel(ignored);  // Ends the wait of WatchForDisconnect.
    co_return response;
  }

  // Writes `response`, and returns whether the whole of it was written. If a
  // complete request is being answered, that request no longer counts as
  // running afterwards.
  asio::awaitable<bool> Write(const Response& response) {
    beast::http::response<beast::http::string_body> message(
        static_cast<beast::http::status>(response.status), 11);
    if (!response.content_type.empty())
      message.set(beast::http::field::content_type, response.content_type);
    for (const Header& header : response.headers)
      message.insert(header.name, header.value);
    message.keep_alive(response.persistence == Persistence::kKeepAlive);
    message.body() = response.body;
    message.prepare_payload();
    stream_.expires_after(server_->limits().request_timeout);
    const auto [error, size] = co_await beast::http::async_write(
        stream_, message, asio::as_tuple(asio::use_awaitable));
    if (is_answering_)
      --server_->running_requests;
    co_return !error;
  }

  std::shared_ptr<Server::State> server_;
  beast::tcp_stream stream_;
  bool has_received_request_ = false;
  // Whether a complete request is being answered. Accessed only on the stream's
  // strand.
  bool is_answering_ = false;
};

// Accepts connections until the acceptor is closed.
asio::awaitable<void> Accept(std::shared_ptr<Server::State> state) {
  while (true) {
    auto [error, socket] = co_await state->acceptor.async_accept(
        asio::make_strand(state->io), asio::as_tuple(asio::use_awaitable));
    if (error == asio::error::operation_aborted || !state->acceptor.is_open())
      co_return;
    if (error) {
      // NOTE: The process may have no file descriptors left. The delay avoids a
      // busy loop.
      asio::steady_timer delay(state->acceptor.get_executor(),
                               std::chrono::milliseconds(10));
      co_await delay.async_wait(asio::use_awaitable);
      continue;
    }
    if (state->open_connections >= state->limits().max_connections)
      continue;  // Too many connections: the socket's destructor closes this
                 // one.
    std::make_shared<Session>(state, std::move(socket))->Start();
  }
}

}  // namespace

void Server::State::Add(Session* session) {
  ++open_connections;
  const std::lock_guard lock(mutex);
  sessions.insert(session);
}

void Server::State::Remove(Session* session) {
  --open_connections;
  const std::lock_guard lock(mutex);
  sessions.erase(session);
}

Server::Server(std::shared_ptr<State> state) : state_(std::move(state)) {}

Server::~Server() {
  StopAccepting();
}

base::Result<std::unique_ptr<Server>> Server::Create(asio::io_context& io,
                                                     const std::string& address,
                                                     ServerLimits limits,
                                                     Handler handler) {
  return Create(io, address, limits,
                CancellableHandler([handler = std::move(handler)](
                                       Request request, Responder respond,
                                       const CancellationPtr&) {
                  handler(std::move(request), std::move(respond));
                }));
}

base::Result<std::unique_ptr<Server>> Server::Create(
    asio::io_context& io,
    const std::string& address,
    ServerLimits limits,
    CancellableHandler handler) {
  const tcp::endpoint endpoint = TRY(ParseEndpoint(address));
  auto state = std::make_shared<State>(io, limits, std::move(handler));
  beast::error_code error;
  state->acceptor.open(endpoint.protocol(), error);
  if (!error)
    state->acceptor.set_option(asio::socket_base::reuse_address(true), error);
  if (!error)
    state->acceptor.bind(endpoint, error);
  if (!error)
    state->acceptor.listen(asio::socket_base::max_listen_connections, error);
  if (error)
    return base::Fail(base::ErrorKind::kUnavailable,
                      "can't listen on " + address + ": " + error.message(),
                      "free the address or change it in the settings");
  asio::co_spawn(state->acceptor.get_executor(), Accept(state), asio::detached);
  return std::unique_ptr<Server>(new Server(std::move(state)));
}

void Server::SetLimits(const ServerLimits& limits) {
  const std::lock_guard lock(state_->mutex);
  state_->current_limits = limits;
}

void Server::BeginDrain() {
  state_->draining = true;
}

void Server::StopAccepting() {
  asio::post(state_->acceptor.get_executor(), [state = state_] {
    beast::error_code error;
    state->acceptor.close(error);
  });
}

void Server::CloseIdle() {
  std::vector<std::shared_ptr<Session>> sessions;
  {
    const std::lock_guard lock(state_->mutex);
    for (Session* session : state_->sessions) {
      if (auto shared = session->weak_from_this().lock())
        sessions.push_back(std::move(shared));
    }
  }
  for (const auto& session : sessions)
    session->CloseIfIdle();
}

size_t Server::running_requests() const {
  return state_->running_requests;
}

size_t Server::open_connections() const {
  return state_->open_connections;
}

}  // namespace http
