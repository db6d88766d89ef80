// Cap'n Proto RPC between nodes, on one thread of its own that exchanges
// plain values with the others.

#ifndef LIBPEER_NETWORK_H_
#define LIBPEER_NETWORK_H_

#include <functional>
#include <memory>
#include <string>

#include "LibBase/error.h"
#include "LibPeer/handler.h"

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

// Callbacks run on the network's thread and must be short.
class Network {
 public:
  // Listens on `address`. `handler` outlives the network.
  static base::Result<std::unique_ptr<Network>> Create(
      const std::string& address,
      Handler& handler);
  ~Network();

  void ExecuteLeaf(const std::string& address,
                   query::LeafRequest request,
                   CallCallback<query::LeafAnswer> callback);
  void Gossip(const std::string& address,
              membership::GossipMessage message,
              base::Duration timeout,
              CallCallback<membership::GossipMessage> callback);
  void Probe(const std::string& address,
             const std::string& target,
             base::Duration timeout,
             CallCallback<bool> callback);
  void FetchContent(const std::string& address,
                    const std::string& digest,
                    base::Duration timeout,
                    CallCallback<Content> callback);
  void RunBooking(const std::string& address,
                  query::BookingRun run,
                  CallCallback<query::BookingOutcome> callback);
  void ForwardBooking(const std::string& address,
                      const std::string& ticket,
                      query::Booking booking,
                      base::Duration time_left,
                      CallCallback<query::BookingOutcome> callback);
  void GrantCredit(const std::string& address,
                   limits::GrantRequest request,
                   base::Duration timeout,
                   CallCallback<limits::Grant> callback);
  void HoldUsage(const std::string& address,
                 std::string records,
                 base::Duration timeout,
                 CallCallback<bool> callback);
  void Ping(const std::string& address,
            base::Duration timeout,
            CallCallback<bool> callback);

 private:
  class Loop;
  explicit Network(std::unique_ptr<Loop> loop);

  std::unique_ptr<Loop> loop_;
};

}  // namespace peer

#endif  // LIBPEER_NETWORK_H_
