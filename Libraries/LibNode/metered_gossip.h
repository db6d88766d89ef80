// Counts the messages and the bytes of gossip.

#ifndef LIBNODE_METERED_GOSSIP_H_
#define LIBNODE_METERED_GOSSIP_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

#include "LibBase/metrics.h"
#include "LibBase/work_meter.h"
#include "LibMembership/gossip_transport.h"

namespace node {

// Passes messages on to another transport. Counts each message that this node
// sends together with its reply, so that the sum over all nodes is that of all
// messages.
class MeteredGossip final : public membership::GossipTransport {
 public:
  // All references outlive this object.
  MeteredGossip(membership::GossipTransport& transport,
                base::WorkMeter& work_meter,
                base::Metrics& metrics)
      : transport_(transport), work_meter_(work_meter), metrics_(metrics) {}

  // membership::GossipTransport:
  void Gossip(const std::string& peer_address,
              membership::GossipMessage message,
              base::Duration timeout,
              GossipCallback callback) override;
  void ProbeVia(const std::string& via_address,
                const std::string& target_address,
                base::Duration timeout,
                ProbeCallback callback) override {
    transport_.ProbeVia(via_address, target_address, timeout,
                        std::move(callback));
  }

  // Returns the messages and bytes by kind since the last call.
  std::string TakeSummary();

 private:
  struct Total {
    uint64_t messages = 0;
    uint64_t bytes = 0;
  };

  void Count(std::string_view kind, const membership::GossipMessage& message);

  membership::GossipTransport& transport_;
  base::WorkMeter& work_meter_;
  base::Metrics& metrics_;
  std::mutex mutex_;
  std::map<std::string_view, Total> totals_;  // By kind; guarded by `mutex_`.
};

}  // namespace node

#endif  // LIBNODE_METERED_GOSSIP_H_
