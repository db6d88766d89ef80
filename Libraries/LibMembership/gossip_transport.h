// Messages between nodes that membership needs, as an interface.

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

  using GossipCallback = std::function<void(base::Result<GossipMessage>)>;
  virtual void Gossip(const std::string& peer_address,
                      GossipMessage message,
                      base::Duration timeout,
                      GossipCallback callback) = 0;

  // Asks the peer at `via_address` whether `target_address` answers it.
  enum class Reachability { kReachable, kUnreachable };
  using ProbeCallback = std::function<void(Reachability)>;
  virtual void ProbeVia(const std::string& via_address,
                        const std::string& target_address,
                        base::Duration timeout,
                        ProbeCallback callback) = 0;
};

}  // namespace membership

#endif  // LIBMEMBERSHIP_GOSSIP_TRANSPORT_H_
