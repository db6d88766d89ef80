// The interface through which a node serves the calls of its peers.

#ifndef LIBPEER_HANDLER_H_
#define LIBPEER_HANDLER_H_

#include <functional>
#include <optional>
#include <string>

#include "LibBase/time.h"
#include "LibLimits/grant.h"
#include "LibMembership/fact.h"
#include "LibMembership/gossip_transport.h"
#include "LibQuery/booking_interfaces.h"
#include "LibQuery/leaf_message.h"

namespace peer {

// The methods run on the network's thread and must return quickly. A callback
// is called once, on any thread. PeerClient describes what each call does.
class Handler {
 public:
  virtual ~Handler() = default;

  virtual void ExecuteLeaf(query::LeafRequest request,
                           std::function<void(query::LeafAnswer)> callback) = 0;
  virtual membership::GossipMessage Gossip(
      const membership::GossipMessage& message) = 0;
  virtual void Probe(const std::string& target,
                     base::Duration timeout,
                     membership::GossipTransport::ProbeCallback callback) = 0;
  // Returns nothing if this node does not have the content.
  virtual std::optional<std::string> ContentOf(const std::string& digest) = 0;
  virtual void RunBooking(query::BookingRun run,
                          query::BookingCallback callback) = 0;
  virtual void ForwardBooking(const std::string& ticket,
                              query::Booking booking,
                              base::Duration time_left,
                              query::BookingCallback callback) = 0;
  virtual limits::Grant GrantCredit(const limits::GrantRequest& request) = 0;
  virtual void HoldUsage(const std::string& records) = 0;
};

}  // namespace peer

#endif  // LIBPEER_HANDLER_H_
