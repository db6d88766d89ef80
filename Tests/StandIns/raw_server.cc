// Serves each connection in a coroutine on the server's thread.

#include "StandIns/raw_server.h"

#include <boost/asio.hpp>
#include <utility>

#include "LibHttp/address.h"

namespace standins {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr auto kAwaitTuple = asio::as_tuple(asio::use_awaitable);

}  // namespace

RawServer::RawServer(const std::string& address, Answer answer)
    : answer_(std::move(answer)),
      acceptor_(io_, http::ParseEndpoint(address).value()) {
  asio::co_spawn(io_, Accept(), asio::detached);
  thread_ = std::jthread([this] { io_.run(); });
}

RawServer::~RawServer() {
  io_.stop();
}

asio::awaitable<void> RawServer::Accept() {
  while (true) {
    auto [error, socket] = co_await acceptor_.async_accept(kAwaitTuple);
    if (error)
      co_return;
    asio::co_spawn(io_, Serve(std::move(socket)), asio::detached);
  }
}

asio::awaitable<void> RawServer::Serve(tcp::socket socket) {
  std::string request;
  const auto [read_error, head_size] = co_await asio::async_read_until(
      socket, asio::dynamic_buffer(request), "\r\n\r\n", kAwaitTuple);
  if (read_error)
    co_return;
  const std::string bytes = answer_();
  co_await asio::async_write(socket, asio::buffer(bytes), kAwaitTuple);
  boost::system::error_code ignored;
  socket.shutdown(tcp::socket::shutdown_send, ignored);
  // NOTE: Closing a socket that has unread bytes would reset the connection,
  // and could discard the answer.
  co_await asio::async_read(socket, asio::dynamic_buffer(request), kAwaitTuple);
}

}  // namespace standins
