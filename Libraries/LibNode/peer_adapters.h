// Implements the interfaces through which the controllers reach other nodes and
// the key-value service.

#ifndef LIBNODE_PEER_ADAPTERS_H_
#define LIBNODE_PEER_ADAPTERS_H_

#include <functional>
#include <string>

#include "LibBase/scheduler.h"
#include "LibLimits/credit_client.h"
#include "LibMembership/gossip_transport.h"
#include "LibPeer/peer_client.h"
#include "LibPlatform/configuration_controller.h"
#include "LibPlatform/key_value_store.h"
#include "LibQuery/booking_interfaces.h"
#include "LibQuery/leaf_client.h"
#include "LibRouting/cluster_view.h"

namespace node {

// Runs work on this node, or sends it to the peer that it is meant for.
class PeerDispatcher final : public membership::GossipTransport,
                             public query::LeafClient,
                             public query::BookingExecutor,
                             public query::BookingForwarder,
                             public limits::CreditClient {
 public:
  // The functions that run work on this node. Set before the first call.
  struct LocalNode {
    std::string node_id;
    std::function<void(query::LeafRequest,
                       std::function<void(query::LeafAnswer)>)>
        execute_leaf;
    std::function<void(query::BookingRun, query::BookingCallback)> run_booking;
    std::function<limits::Grant(const limits::GrantRequest&)> grant_credit;
  };

  PeerDispatcher(base::Scheduler& scheduler,
                 routing::ClusterViewController& views,
                 peer::PeerClient& peer_client);
  void SetLocalNode(LocalNode local_node) {
    local_node_ = std::move(local_node);
  }

  void Gossip(const std::string& peer_address,
              membership::GossipMessage message,
              base::Duration timeout,
              GossipCallback callback) override;
  void ProbeVia(const std::string& via_address,
                const std::string& target_address,
                base::Duration timeout,
                ProbeCallback callback) override;
  // Finds out whether the peer at `address` answers this node.
  void Probe(const std::string& address,
             base::Duration timeout,
             ProbeCallback callback);
  void Execute(const std::string& node_id,
               const query::LeafRequest& request,
               query::LeafClient::Callback callback) override;
  void CheckLiveness(const std::string& node_id,
                     base::Duration timeout,
                     LivenessCallback callback) override;
  void Run(const std::string& node_id,
           const query::BookingRun& run,
           query::BookingCallback callback) override;
  void Forward(const std::string& node_id,
               const std::string& ticket,
               const query::Booking& booking,
               base::Duration time_left,
               query::BookingCallback callback) override;
  void RequestCredit(const limits::GrantRequest& request,
                     base::Duration timeout,
                     limits::CreditClient::Callback callback) override;

 private:
  // Returns the member's peer address, or an empty string if the member is
  // unknown or dead.
  std::string PeerAddressOf(const std::string& node_id);

  base::Scheduler& scheduler_;
  routing::ClusterViewController& views_;
  LocalNode local_node_;
  peer::PeerClient& peer_client_;
};

// Fetches the content of configurations from a few usable peers. Asks one after
// the other: first those of this node's zone, within a zone in random order.
class PeerContentSource final : public platform::ContentSource {
 public:
  PeerContentSource(routing::ClusterViewController& views,
                    peer::PeerClient& peer_client,
                    std::string own_node_id,
                    base::Random& random);
  void Fetch(const std::string& digest, Callback callback) override;

 private:
  // Asks the peers at `addresses`, beginning with the last, until one has the
  // content.
  void FetchFrom(std::vector<std::string> addresses,
                 const std::string& digest,
                 Callback callback);

  routing::ClusterViewController& views_;
  peer::PeerClient& peer_client_;
  const std::string own_node_id_;
  base::Random& random_;
};

// Fetches the content of configurations from the key-value service.
class StoreContentSource final : public platform::ContentSource {
 public:
  explicit StoreContentSource(platform::KeyValueStore& store) : store_(store) {}
  void Fetch(const std::string& digest, Callback callback) override;

 private:
  platform::KeyValueStore& store_;
};

}  // namespace node

#endif  // LIBNODE_PEER_ADAPTERS_H_
