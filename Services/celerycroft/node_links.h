// Ties the interfaces of the controllers to the peer network.

#ifndef CELERYCROFT_NODE_LINKS_H_
#define CELERYCROFT_NODE_LINKS_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>

#include "LibLimits/limit_link.h"
#include "LibMembership/peer_link.h"
#include "LibPeer/network.h"
#include "LibPlatform/configuration_controller.h"
#include "LibPlatform/key_value_store.h"
#include "LibQuery/booking_link.h"
#include "LibQuery/leaf_client.h"
#include "LibRouting/cluster_view.h"

namespace celerycroft {

// Runs work on this node, or sends it to the node that is named.
class NodeLinks final : public membership::PeerLink,
                        public query::LeafClient,
                        public query::BookingExecutor,
                        public query::BookingForwarder,
                        public limits::LimitLink {
 public:
  // What this node does itself. Set before the first call.
  struct Local {
    std::string node_id;
    std::function<void(query::LeafRequest,
                       std::function<void(query::LeafAnswer)>)>
        execute_leaf;
    std::function<void(query::BookingRun, query::BookingCallback)> run_booking;
    std::function<limits::Grant(const limits::GrantRequest&)> grant_credit;
  };

  NodeLinks(boost::asio::io_context& io, routing::ClusterViewController& views);
  void SetLocal(Local local) { local_ = std::move(local); }
  void SetNetwork(peer::Network* network) { network_ = network; }

  void Gossip(const std::string& peer_address,
              membership::GossipMessage message,
              base::Duration timeout,
              GossipCallback callback) override;
  void ProbeVia(const std::string& via_address,
                const std::string& target_address,
                base::Duration timeout,
                ProbeCallback callback) override;
  void Execute(const std::string& node_id,
               const query::LeafRequest& request,
               query::LeafClient::Callback callback) override;
  void Run(const std::string& node_id,
           const query::BookingRun& run,
           query::BookingCallback callback) override;
  void Forward(const std::string& node_id,
               const std::string& ticket,
               const query::Booking& booking,
               base::Duration time_left,
               query::BookingCallback callback) override;
  void Ask(const limits::GrantRequest& request,
           base::Duration timeout,
           limits::LimitLink::Callback callback) override;

 private:
  // The member's peer address, or empty.
  std::string AddressOf(const std::string& node_id);
  void Post(std::function<void()> task);

  boost::asio::io_context& io_;
  routing::ClusterViewController& views_;
  Local local_;
  peer::Network* network_ = nullptr;
};

// Content from peers that may have it: a few in random order.
class PeerContentSource final : public platform::ContentSource {
 public:
  PeerContentSource(routing::ClusterViewController& views,
                    std::string self,
                    base::Random& random);
  void SetNetwork(peer::Network* network) { network_ = network; }
  void Fetch(const std::string& digest, Callback callback) override;

 private:
  void FetchFrom(std::vector<std::string> addresses,
                 const std::string& digest,
                 Callback callback);

  routing::ClusterViewController& views_;
  const std::string self_;
  base::Random& random_;
  peer::Network* network_ = nullptr;
};

class StoreContentSource final : public platform::ContentSource {
 public:
  explicit StoreContentSource(platform::KeyValueStore& store) : store_(store) {}
  void Fetch(const std::string& digest, Callback callback) override;

 private:
  platform::KeyValueStore& store_;
};

}  // namespace celerycroft

#endif  // CELERYCROFT_NODE_LINKS_H_
