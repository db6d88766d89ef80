// Calls to other nodes, as an interface.

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

// Whether a call that failed can have reached the peer.
enum class Delivery { kNotSent, kMaybeSent };

struct CallError {
  base::Error error;
  Delivery delivery;
};

template <typename T>
using CallResult = tl::expected<T, CallError>;

template <typename T>
using CallCallback = std::function<void(CallResult<T>)>;

struct Content {
  std::optional<std::string> text;
};

// Callbacks are called once, never from within the call, and must be short.
class PeerClient {
 public:
  virtual ~PeerClient() = default;

  virtual void ExecuteLeaf(const std::string& address,
                           query::LeafRequest request,
                           CallCallback<query::LeafAnswer> callback) = 0;
  virtual void Gossip(const std::string& address,
                      membership::GossipMessage message,
                      base::Duration timeout,
                      CallCallback<membership::GossipMessage> callback) = 0;
  virtual void Probe(const std::string& address,
                     const std::string& target,
                     base::Duration timeout,
                     CallCallback<bool> callback) = 0;
  virtual void FetchContent(const std::string& address,
                            const std::string& digest,
                            base::Duration timeout,
                            CallCallback<Content> callback) = 0;
  virtual void RunBooking(const std::string& address,
                          query::BookingRun run,
                          CallCallback<query::BookingOutcome> callback) = 0;
  virtual void ForwardBooking(const std::string& address,
                              const std::string& ticket,
                              query::Booking booking,
                              base::Duration time_left,
                              CallCallback<query::BookingOutcome> callback) = 0;
  virtual void GrantCredit(const std::string& address,
                           limits::GrantRequest request,
                           base::Duration timeout,
                           CallCallback<limits::Grant> callback) = 0;
  virtual void HoldUsage(const std::string& address,
                         std::string records,
                         base::Duration timeout,
                         CallCallback<bool> callback) = 0;
  virtual void Ping(const std::string& address,
                    base::Duration timeout,
                    CallCallback<bool> callback) = 0;
};

}  // namespace peer

#endif  // LIBPEER_PEER_CLIENT_H_
