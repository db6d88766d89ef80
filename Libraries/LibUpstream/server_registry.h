// Servers as they registered themselves: which serve, and which leave or have
// gone. Claims may arrive late, twice and in any order.

#ifndef LIBUPSTREAM_SERVER_REGISTRY_H_
#define LIBUPSTREAM_SERVER_REGISTRY_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "LibBase/error.h"
#include "LibBase/time.h"
#include "LibConfig/upstream.h"
#include "LibUpstream/server_report.h"

namespace upstream {

struct RegisteredServer {
  std::string instance;
  std::string service;
  std::string address;
  std::string availability_zone;
  int slots = 1;
  ServerPhase phase = ServerPhase::kServing;
  // How much longer the server is slow after its start.
  base::Duration warm_up{};
  uint64_t incarnation = 0;  // Tells one life of the instance from another.
  uint64_t sequence = 0;     // Raised with each claim of the incarnation.

  bool operator==(const RegisteredServer&) const = default;
};

// What the registry of the platform said at one of its revisions.
struct ServerClaim {
  std::string instance;
  uint64_t revision = 0;
  std::optional<RegisteredServer> server;  // Nothing if it was removed.

  bool operator==(const ServerClaim&) const = default;
};

std::string SerializeClaim(const ServerClaim& claim);
base::Result<ServerClaim> ParseClaim(std::string_view text);

enum class ClaimEffect {
  kNone,     // Old, or nothing that matters changed.
  kServing,  // The server takes work now and did not before.
  kLeaving,  // The server takes no work any more.
  kUpdated,  // Another field changed.
};

class ServerRegistry {
 public:
  ClaimEffect Apply(const ServerClaim& claim);

  // Servers of the service that take work.
  std::vector<config::Server> ServersOf(const std::string& service) const;
  // How many services have a server that takes work, by availability zone.
  std::map<std::string, size_t> ServicesByZone() const;
  // The slots of a server of the service; 1 if there is none.
  int SlotsOf(const std::string& service) const;
  std::optional<RegisteredServer> Find(const std::string& instance) const;
  // Raised with every change of what ServersOf answers.
  uint64_t generation() const;
  std::vector<ServerClaim> Dump() const;

 private:
  struct Entry {
    uint64_t revision = 0;
    RegisteredServer server;
    bool is_removed = false;
    // The incarnation that said it leaves. Sticky: a later claim of the same
    // incarnation can't take it back.
    std::optional<uint64_t> leaving_incarnation;

    bool takes_work() const {
      return !is_removed && leaving_incarnation != server.incarnation;
    }
  };

  mutable std::mutex mutex_;
  // All guarded by `mutex_`.
  std::map<std::string, Entry> entries_;  // By instance.
  uint64_t generation_ = 0;
};

}  // namespace upstream

#endif  // LIBUPSTREAM_SERVER_REGISTRY_H_
