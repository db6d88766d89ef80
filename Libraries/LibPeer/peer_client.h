// The interface for calls to other nodes.

#ifndef LIBPEER_PEER_CLIENT_H_
#define LIBPEER_PEER_CLIENT_H_

#include <functional>
#include <optional>
#include <string>

#include "LibBase/error.h"
#include "LibBase/time.h"
#include "LibLimits/grant.h"
#include "LibMembership/fact.h"
#include "LibQuery/booking_interfaces.h"
#include "LibQuery/leaf_message.h"

namespace peer {

// Whether a call that failed may have reached the peer.
enum class Delivery { kNotSent, kMaybeSent };

struct CallError {
  base::Error error;
  Delivery delivery;
};

template <typename T>
using CallResult = tl::expected<T, CallError>;

template <typename T>
using CallCallback = std::function<void(CallResult<T>)>;

// The content of a configuration; empty if the peer does not have it.
struct Content {
  std::optional<std::string> text;
};

// `address` is the peer address of the node that is called. Each callback is
// called once, never from within the call, and must return quickly.
class PeerClient {
 public:
  virtual ~PeerClient() = default;

  // Asks the peer to execute the request as a leaf.
  virtual void ExecuteLeaf(const std::string& address,
                           query::LeafRequest request,
                           CallCallback<query::LeafAnswer> callback) = 0;
  // Exchanges facts with the peer.
  virtual void Gossip(const std::string& address,
                      membership::GossipMessage message,
                      base::Duration timeout,
                      CallCallback<membership::GossipMessage> callback) = 0;
  // Asks the peer whether the node at `target` answers its ping.
  virtual void Probe(const std::string& address,
                     const std::string& target,
                     base::Duration timeout,
                     CallCallback<bool> callback) = 0;
  // Fetches the content of the configuration that has the digest `digest`.
  virtual void FetchContent(const std::string& address,
                            const std::string& digest,
                            base::Duration timeout,
                            CallCallback<Content> callback) = 0;
  // Asks the peer to run a booking at a server.
  virtual void RunBooking(const std::string& address,
                          query::BookingRun run,
                          CallCallback<query::BookingOutcome> callback) = 0;
  // Passes a booking on to the peer, which issued `ticket`.
  virtual void ForwardBooking(const std::string& address,
                              const std::string& ticket,
                              query::Booking booking,
                              base::Duration time_left,
                              CallCallback<query::BookingOutcome> callback) = 0;
  // Asks the peer, which owns the account, for credit.
  virtual void GrantCredit(const std::string& address,
                           limits::GrantRequest request,
                           base::Duration timeout,
                           CallCallback<limits::Grant> callback) = 0;
  // Gives the peer a copy of usage records to keep. The result of a call that
  // succeeds is true.
  virtual void HoldUsage(const std::string& address,
                         std::string records,
                         base::Duration timeout,
                         CallCallback<bool> callback) = 0;
  // Checks that the peer answers. The result of a call that succeeds is true.
  virtual void Ping(const std::string& address,
                    base::Duration timeout,
                    CallCallback<bool> callback) = 0;
};

}  // namespace peer

#endif  // LIBPEER_PEER_CLIENT_H_
