// The servers that registered themselves with the platform: which ones take
// work, and which are leaving or were removed. A server announces that it is
// leaving in its entry or in its answers.

#ifndef LIBUPSTREAM_SERVER_REGISTRY_H_
#define LIBUPSTREAM_SERVER_REGISTRY_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "LibBase/error.h"
#include "LibBase/store_revision.h"
#include "LibBase/time.h"
#include "LibConfig/upstream.h"
#include "LibUpstream/server_report.h"

namespace upstream {

struct RegisteredServer {
  std::string instance;
  std::string service;
  std::string address;
  std::string availability_zone;
  int slots = 1;  // Requests that it can run at once.
  ServerPhase phase = ServerPhase::kServing;
  // For how much longer the server is slow after its start.
  base::Duration warm_up{};
  uint64_t incarnation = 0;  // Identifies one run of the instance.
  uint64_t sequence = 0;     // Raised with each claim of the incarnation.

  bool operator==(const RegisteredServer&) const = default;
};

// The entry of one instance in the platform's registry at `revision`.
struct ServerClaim {
  std::string instance;
  base::StoreRevision revision;
  std::optional<RegisteredServer> server;  // Unset if it was removed.
  // Above 0 if nodes correct what the registry says at this revision. Of two
  // claims of the same revision, the higher correction holds.
  uint64_t correction = 0;

  bool operator==(const ServerClaim&) const = default;
};

// Says that one run of an instance is leaving. It never ceases to hold.
struct LeavingAnnouncement {
  std::string instance;
  uint64_t incarnation = 0;

  bool operator==(const LeavingAnnouncement&) const = default;
};

// Convert an announcement to and from the text that nodes send each other.
std::string SerializeAnnouncement(const LeavingAnnouncement& announcement);
base::Result<LeavingAnnouncement> ParseAnnouncement(std::string_view text);

std::string SerializeClaim(const ServerClaim& claim);
base::Result<ServerClaim> ParseClaim(std::string_view text);

// What a claim or an announcement changed in the registry.
enum class ClaimEffect {
  kNone,     // It is old, or repeats what is known.
  kServing,  // The server takes work now and did not before.
  kLeaving,  // The server took work before and no longer does.
  kUpdated,  // Another field of the server changed.
};

// Merges claims, which may arrive late, twice and in any order.
class ServerRegistry {
 public:
  // Merges a claim and returns what it changed.
  ClaimEffect Apply(const ServerClaim& claim);

  // Records an announcement that was made in an answer. The instance may be
  // unknown yet. Returns what that changed.
  ClaimEffect ApplyAnnouncement(const LeavingAnnouncement& announcement);
  // Returns whether the announcement was made, in an answer or in a claim.
  bool IsAnnounced(const LeavingAnnouncement& announcement) const;

  // Returns nothing unless the claim is of a later era of the store than what
  // is known of its instance, and says what was outdated in the earlier one:
  // the store came back from a copy. Returns what is known, as a correction of
  // the claim.
  std::optional<ServerClaim> CarryOver(const ServerClaim& claim) const;

  // Returns the revision of the claim that is known of the instance.
  std::optional<base::StoreRevision> RevisionOf(
      const std::string& instance) const;

  // Returns whether the claim says nothing new but that its server, which was
  // known to warm up, still does.
  bool IsWarmUpProgress(const ServerClaim& claim) const;

  // Returns whether the instance is known and takes work.
  bool TakesWork(const std::string& instance) const;
  // Returns the servers of the service that take work.
  std::vector<config::Server> ServersOf(const std::string& service) const;
  // Returns, by availability zone, how many services have a server there that
  // takes work.
  std::map<std::string, size_t> ServiceCountsByZone() const;
  // Returns the slots of any known server of the service, or 1 if there is
  // none.
  int SlotsOf(const std::string& service) const;
  // Returns the instance as the latest claim that named a server describes it,
  // also if it was removed since, or nullopt if it is unknown.
  std::optional<RegisteredServer> Find(const std::string& instance) const;
  // Rises with every change of a server, also of whether it takes work.
  uint64_t generation() const;
  // Returns one claim for each instance, without a server if that takes no
  // work.
  std::vector<ServerClaim> Dump() const;

 private:
  struct Entry {
    base::StoreRevision revision;
    uint64_t correction = 0;
    RegisteredServer server;
    bool is_removed = false;
    // Returns whether the claim was made after the one that is known.
    bool IsOlderThan(const ServerClaim& claim) const;
    // Returns whether the server has said or done more, in its present
    // incarnation or a later one, than `claimed` knows of.
    bool IsAheadOf(const RegisteredServer& claimed) const;
  };

  // Both require `mutex_` to be held.
  bool HasAnnouncedLeaving(const std::string& instance,
                           uint64_t incarnation) const;
  bool TakesWork(const Entry& entry) const;

  mutable std::mutex mutex_;
  // All guarded by `mutex_`.
  std::map<std::string, Entry> entries_;  // By instance.
  // The entries of `entries_` whose latest server is of the service, by service
  // and instance.
  std::map<std::string, std::map<std::string, const Entry*>, std::less<>>
      entries_by_service_;
  // The incarnations of each instance that announced that they are leaving, in
  // answers or in claims. Later claims don't revoke this. The instance may be
  // unknown.
  std::map<std::string, std::set<uint64_t>> leaving_incarnations_;
  uint64_t generation_ = 0;
};

}  // namespace upstream

#endif  // LIBUPSTREAM_SERVER_REGISTRY_H_
