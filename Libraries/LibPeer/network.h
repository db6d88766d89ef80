// Cap'n Proto RPC between nodes. It runs on a thread of its own, which shares
// no Cap'n Proto objects with other threads.

#ifndef LIBPEER_NETWORK_H_
#define LIBPEER_NETWORK_H_

#include <functional>
#include <memory>
#include <string>

#include "LibBase/error.h"
#include "LibPeer/handler.h"
#include "LibPeer/peer_client.h"

namespace peer {

// Serves the calls of peers and sends calls to them. Callbacks run on the
// network's thread and must return quickly.
class Network final : public PeerClient {
 public:
  static std::unique_ptr<Network> Create();
  ~Network() override;

  // Starts the thread, passes calls that arrive at `address` to `handler`, and
  // sends calls. Calls that are made earlier wait until then. `handler` must
  // outlive the thread.
  base::Result<void> Listen(const std::string& address, Handler& handler);

  // Ends the thread. Peers get no response to the calls that still run here,
  // and the callbacks of calls that wait for a peer are not called.
  void Stop();

  // Runs `task` on the network's thread. Must not be called after Stop.
  void Post(std::function<void()> task);

  // PeerClient:
  void ExecuteLeaf(const std::string& address,
                   query::LeafRequest request,
                   CallCallback<query::LeafAnswer> callback) override;
  void Gossip(const std::string& address,
              membership::GossipMessage message,
              base::Duration timeout,
              CallCallback<membership::GossipMessage> callback) override;
  void Probe(const std::string& address,
             const std::string& target,
             base::Duration timeout,
             CallCallback<bool> callback) override;
  void FetchContent(const std::string& address,
                    const std::string& digest,
                    base::Duration timeout,
                    CallCallback<Content> callback) override;
  void RunBooking(const std::string& address,
                  query::BookingRun run,
                  CallCallback<query::BookingOutcome> callback) override;
  void ForwardBooking(const std::string& address,
                      const std::string& ticket,
                      query::Booking booking,
                      base::Duration time_left,
                      CallCallback<query::BookingOutcome> callback) override;
  void GrantCredit(const std::string& address,
                   limits::GrantRequest request,
                   base::Duration timeout,
                   CallCallback<limits::Grant> callback) override;
  void HoldUsage(const std::string& address,
                 std::string records,
                 base::Duration timeout,
                 CallCallback<bool> callback) override;
  void Ping(const std::string& address,
            base::Duration timeout,
            CallCallback<bool> callback) override;

 private:
  class Loop;
  explicit Network(std::unique_ptr<Loop> loop);

  std::unique_ptr<Loop> loop_;
};

}  // namespace peer

#endif  // LIBPEER_NETWORK_H_
