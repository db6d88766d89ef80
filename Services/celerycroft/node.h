// The process of an entry host: connects the node's core to sockets.

#ifndef CELERYCROFT_NODE_H_
#define CELERYCROFT_NODE_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>

#include "LibBase/asio_scheduler.h"
#include "LibBase/random.h"
#include "LibConfig/settings.h"
#include "LibHttp/server.h"
#include "LibNode/node_core.h"
#include "LibPeer/network.h"
#include "LibPlatform/http_key_value_store.h"
#include "LibQuery/http_booking_transport.h"
#include "LibUpstream/connection_pool.h"
#include "LibUpstream/http_transport.h"

namespace celerycroft {

class Node {
 public:
  static base::Result<std::unique_ptr<Node>> Create(
      config::Settings settings,
      boost::asio::io_context& io);
  ~Node();

  // Ends the node without cutting off a request: announces that it leaves, goes
  // on answering while callers may still use this address, finishes the
  // requests that run, and calls `done`. Does nothing if the node is already
  // draining.
  void Drain(std::function<void()> done);

 private:
  Node(config::Settings settings, boost::asio::io_context& io);

  base::Result<void> Start();
  // Answers a request to the operator address.
  void HandleOperator(const http::Request& request,
                      const http::Responder& respond);
  // Returns the core's state with that of the connections, as JSON.
  std::string StateText();

  const config::Settings settings_;
  boost::asio::io_context& io_;
  base::AsioScheduler scheduler_;
  base::SeededRandom random_;
  platform::HttpKeyValueStore store_;
  std::shared_ptr<upstream::ConnectionPool> pool_;
  upstream::HttpTransport transport_;
  query::HttpBookingTransport booking_transport_;
  // The core and the network call each other. The network is therefore created
  // before the core, listens only after the core exists, and stops before the
  // core is destroyed.
  std::unique_ptr<peer::Network> network_;
  std::unique_ptr<node::NodeCore> core_;
  std::unique_ptr<http::Server> caller_server_;
  std::unique_ptr<http::Server> operator_server_;
  std::atomic<bool> draining_{false};
};

}  // namespace celerycroft

#endif  // CELERYCROFT_NODE_H_
