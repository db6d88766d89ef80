// A stand-in for a server that answers with bytes of the test's choice.

#ifndef STANDINS_RAW_SERVER_H_
#define STANDINS_RAW_SERVER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <string>
#include <thread>

namespace standins {

// Closes each connection after its first answer. A peer that keeps connections
// may send another request before it sees that, unless the answer says
// `Connection: close`.
class RawServer {
 public:
  // Returns the bytes to send in answer to a request. Called on the thread of
  // the server.
  using Answer = std::function<std::string()>;

  // `address` is `IP:PORT`.
  RawServer(const std::string& address, Answer answer);
  ~RawServer();

 private:
  boost::asio::awaitable<void> Accept();
  // Answers one request and closes the connection.
  boost::asio::awaitable<void> Serve(boost::asio::ip::tcp::socket socket);

  const Answer answer_;
  boost::asio::io_context io_{1};
  boost::asio::ip::tcp::acceptor acceptor_;
  std::jthread thread_;
};

}  // namespace standins

#endif  // STANDINS_RAW_SERVER_H_
