// Connects the node's core to sockets.

#include "node.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

#include "LibBase/digest.h"
#include "LibBase/log.h"
#include "LibHttp/drain.h"
#include "LibPlatform/host_list.h"
#include "LibQuery/caller_codec.h"

namespace celerycroft {

using nlohmann::json;

namespace {

constexpr int kProcessIdBytes = 8;
constexpr int kSecretBytes = 32;

node::ProcessIdentity MakeIdentity(const config::Settings& settings) {
  return {static_cast<uint64_t>(base::UnixMilliseconds()),
          settings.node_id + "-" + base::RandomHex(kProcessIdBytes),
          base::RandomHex(kSecretBytes)};
}

}  // namespace

base::Result<std::unique_ptr<Node>> Node::Create(config::Settings settings,
                                                 boost::asio::io_context& io) {
  auto node = std::unique_ptr<Node>(new Node(std::move(settings), io));
  TRY_VOID(node->Start());
  return node;
}

Node::Node(config::Settings settings, boost::asio::io_context& io)
    : settings_(std::move(settings)),
      io_(io),
      scheduler_(io),
      random_(base::EntropySeed()),
      store_(io, settings_.store_address),
      pool_(upstream::ConnectionPool::Create(io)),
      transport_(pool_, std::make_shared<const upstream::JsonShardCodec>()),
      booking_transport_(pool_,
                         [this](const std::string& upstream) {
                           return core_->MaxConnectionsPerServer(upstream);
                         }),
      network_(peer::Network::Create()) {
  core_ = std::make_unique<node::NodeCore>(
      settings_, MakeIdentity(settings_), node::Policies(),
      node::NodeDependencies{
          scheduler_, random_, transport_, transport_, booking_transport_,
          store_, *network_,
          [this](platform::HostsCallback callback) {
            platform::FetchHosts(io_, settings_.host_list_address,
                                 std::move(callback));
          },
          [this](const std::set<std::string>& held_addresses) {
            pool_->CloseIdleUnless([&](const std::string& address) {
              return held_addresses.contains(address);
            });
          }});
}

Node::~Node() {
  // NOTE: This ends the thread that calls the core, before the core is
  // destroyed.
  network_->Stop();
}

base::Result<void> Node::Start() {
  TRY_VOID(network_->Listen(settings_.peer_address, *core_));
  const http::ServerLimits limits;
  caller_server_ = TRY(http::Server::Create(
      io_, settings_.caller_address, limits,
      [this](http::Request request, const http::Responder& respond) {
        core_->HandleCaller(std::move(request), respond);
      }));
  operator_server_ = TRY(http::Server::Create(
      io_, settings_.operator_address, limits,
      [this](const http::Request& request, const http::Responder& respond) {
        HandleOperator(request, respond);
      }));
  core_->Start();
  base::Log(base::Event::kNodeStarted,
            {{"caller", settings_.caller_address},
             {"operator", settings_.operator_address},
             {"peer", settings_.peer_address}});
  return {};
}

void Node::HandleOperator(const http::Request& request,
                          const http::Responder& respond) {
  const std::string_view path = http::Path(request.target);
  http::Response response;
  if (path == "/v1/status") {
    response.body = core_->StatusText();
  } else if (path == "/v1/state") {
    response.body = StateText();
  } else if (path == "/metrics") {
    response.content_type = "text/plain; version=0.0.4";
    response.body = core_->MetricsText();
  } else {
    response = query::ToErrorResponse(
        base::Error(base::ErrorKind::kNotFound,
                    std::string(path) + " is not a path for operators",
                    "use /v1/status, /v1/state or /metrics"));
  }
  respond(std::move(response));
}

std::string Node::StateText() {
  json pools = json::array();
  for (const auto& usage : pool_->Dump())
    pools.push_back({{"server", usage.address},
                     {"open", usage.open},
                     {"idle", usage.idle},
                     {"waiting", usage.waiting}});
  json state = json::parse(core_->StateText());
  state["connections"] = std::move(pools);
  state["callerConnections"] = caller_server_->open_connections();
  return state.dump();
}

void Node::Drain(std::function<void()> done) {
  if (draining_.exchange(true))
    return;
  core_->AnnounceLeaving();
  http::DrainServer(
      scheduler_, *caller_server_, settings_.drain_duration,
      [this] { return core_->running_request_count(); },
      [this, done = std::move(done)] { core_->Finish(done); });
}

}  // namespace celerycroft
