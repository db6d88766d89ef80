// The interface by which the membership protocol sends messages to other nodes.

#ifndef LIBMEMBERSHIP_GOSSIP_TRANSPORT_H_
#define LIBMEMBERSHIP_GOSSIP_TRANSPORT_H_

#include <functional>
#include <string>

#include "LibBase/error.h"
#include "LibBase/time.h"
#include "LibMembership/fact.h"

namespace membership {

class GossipTransport {
 public:
  virtual ~GossipTransport() = default;

  // Sends `message` to the peer at `peer_address` and passes on its reply.
  using GossipCallback = std::function<void(base::Result<GossipMessage>)>;
  virtual void Gossip(const std::string& peer_address,
                      GossipMessage message,
                      base::Duration timeout,
                      GossipCallback callback) = 0;

  // Asks the peer at `via_address` whether the node at `target_address` answers
  // its ping.
  enum class Reachability { kReachable, kUnreachable };
  using ProbeCallback = std::function<void(Reachability)>;
  virtual void ProbeVia(const std::string& via_address,
                        const std::string& target_address,
                        base::Duration timeout,
                        ProbeCallback callback) = 0;
};

}  // namespace membership

#endif  // LIBMEMBERSHIP_GOSSIP_TRANSPORT_H_
