// Keeps the calls of all nodes together within the limits that servers name. A
// server's limit is split among the nodes that call it, in proportion to the
// calls that each wants to make. The nodes tell each other their demand.

#ifndef LIBUPSTREAM_SERVER_LIMITER_H_
#define LIBUPSTREAM_SERVER_LIMITER_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "LibBase/error.h"
#include "LibBase/lock_striped.h"
#include "LibBase/time.h"
#include "LibUpstream/call_limiter.h"

namespace upstream {

// The demand of one node for the calls of one server: the binary logarithm of
// calls a second, rounded. Unset if the node wants no calls.
using DemandLevel = std::optional<int>;

inline constexpr int kMinDemandLevel = -3;
inline constexpr int kMaxDemandLevel = 16;

// Converts a level to and from the text that nodes send each other.
std::string SerializeDemandLevel(DemandLevel level);
base::Result<DemandLevel> ParseDemandLevel(std::string_view text);

// What a node tells the others of its demand.
struct DemandAnnouncement {
  std::string instance;
  DemandLevel level;

  bool operator==(const DemandAnnouncement&) const = default;
};

// Safe from any thread.
class ServerLimiter final : public CallLimiter {
 public:
  // Records the limit that a server names, in calls a second, or that it names
  // none. `asked` is when the call began that told it. Logs changes.
  void OnLimit(const std::string& instance,
               base::Instant asked,
               std::optional<double> max_request_rate,
               base::Instant now);
  // Records what another node told of its demand.
  void OnPeerDemand(const std::string& instance,
                    const std::string& node,
                    DemandLevel level);

  // Updates the shares, in which only usable nodes count. Returns the changes
  // of this node's demand that the others have to be told. Must be called at
  // intervals.
  std::vector<DemandAnnouncement> Tick(
      base::Instant now,
      const std::function<bool(const std::string& node)>& is_usable_node);

  // Returns the demand that was announced last.
  DemandLevel AnnouncedLevel(const std::string& instance);

  // CallLimiter:
  bool TryCall(const std::string& instance, base::Instant now) override;
  base::Duration WaitFor(const std::string& instance,
                         base::Instant now) override;

  // Returns the number of servers that name a limit.
  size_t limited_server_count() const { return limited_server_count_; }

 private:
  struct Entry {
    std::optional<double> rate;  // Of all nodes together; unset without limit.
    base::Instant asked{};       // When the call began that told the rate.
    // The calls that this node wants to make: an exponentially decayed rate.
    double demand_rate = 0;
    base::Instant demand_updated_at{};
    DemandLevel announced_level;
    // By node, without this one. Kept while the server names no limit, as peers
    // may hear of a limit earlier than this node.
    std::map<std::string, int> peer_levels;
    double peer_weight = 0;  // Sum over the usable peers, of the last Tick.
    // Token bucket of this node's share. Never negative.
    double tokens = 0;
    base::Instant refilled_at{};
    // Since the rate last changed.
    uint64_t calls = 0;
    uint64_t calls_held_back = 0;
  };
  using Entries = std::unordered_map<std::string, Entry>;

  static void DecayDemand(Entry& entry, base::Instant now);
  // Returns the calls a second that this node may make.
  static double ShareOf(const Entry& entry);
  static void Refill(Entry& entry, base::Instant now);
  void CountLimited(bool is_limited);

  base::LockStriped<Entries> entries_;
  std::atomic<size_t> limited_server_count_{0};
};

}  // namespace upstream

#endif  // LIBUPSTREAM_SERVER_LIMITER_H_
