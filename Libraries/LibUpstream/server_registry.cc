// Merges server claims by revision and converts them to and from JSON.

#include "LibUpstream/server_registry.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

namespace upstream {

using nlohmann::json;

// The instance may contain slashes, the incarnation can't.
std::string SerializeAnnouncement(const LeavingAnnouncement& announcement) {
  return announcement.instance + "/" + std::to_string(announcement.incarnation);
}

base::Result<LeavingAnnouncement> ParseAnnouncement(std::string_view text) {
  const size_t slash = text.rfind('/');
  LeavingAnnouncement announcement;
  if (slash != std::string_view::npos && slash > 0) {
    announcement.instance = text.substr(0, slash);
    const char* end = text.data() + text.size();
    const auto parsed =
        std::from_chars(text.data() + slash + 1, end, announcement.incarnation);
    if (parsed.ec == std::errc() && parsed.ptr == end)
      return announcement;
  }
  return base::Fail(base::ErrorKind::kProtocol,
                    "the announcement names no run of a server",
                    "run the same version on all nodes");
}

std::string SerializeClaim(const ServerClaim& claim) {
  json document = {{"instance", claim.instance},
                   {"revision", claim.revision.number}};
  if (claim.revision.era)
    document["era"] = *claim.revision.era;
  if (claim.correction > 0)
    document["correction"] = claim.correction;
  if (const auto& server = claim.server)
    document["server"] = {{"service", server->service},
                          {"address", server->address},
                          {"availabilityZone", server->availability_zone},
                          {"slots", server->slots},
                          {"leaving", server->phase == ServerPhase::kLeaving},
                          {"warmUpUs", server->warm_up.count()},
                          {"incarnation", server->incarnation},
                          {"sequence", server->sequence}};
  return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

base::Result<ServerClaim> ParseClaim(std::string_view text) {
  try {
    const json document = json::parse(text);
    ServerClaim claim;
    claim.instance = document.at("instance").get<std::string>();
    claim.revision.number = document.at("revision").get<uint64_t>();
    if (document.contains("era"))
      claim.revision.era = document["era"].get<uint64_t>();
    claim.correction = document.value("correction", uint64_t{0});
    const auto server = document.find("server");
    if (server == document.end())
      return claim;
    claim.server = RegisteredServer{
        claim.instance,
        server->at("service").get<std::string>(),
        server->at("address").get<std::string>(),
        server->at("availabilityZone").get<std::string>(),
        server->at("slots").get<int>(),
        server->at("leaving").get<bool>() ? ServerPhase::kLeaving
                                          : ServerPhase::kServing,
        base::Duration(server->at("warmUpUs").get<int64_t>()),
        server->at("incarnation").get<uint64_t>(),
        server->at("sequence").get<uint64_t>()};
    return claim;
  } catch (const json::exception& error) {
    return base::Fail(base::ErrorKind::kProtocol,
                      std::string("server claim is not valid: ") + error.what(),
                      "run the same version on all nodes");
  }
}

bool ServerRegistry::Entry::IsOlderThan(const ServerClaim& claim) const {
  return base::IsLater(claim.revision, revision) ||
         (claim.revision == revision && claim.correction > correction);
}

bool ServerRegistry::Entry::IsAheadOf(const RegisteredServer& claimed) const {
  if (claimed.incarnation != server.incarnation)
    return claimed.incarnation < server.incarnation;
  return claimed.sequence < server.sequence ||
         (is_removed && claimed.sequence == server.sequence);
}

ClaimEffect ServerRegistry::Apply(const ServerClaim& claim) {
  const std::lock_guard lock(mutex_);
  const auto found = entries_.find(claim.instance);
  const bool is_known = found != entries_.end();
  if (!is_known && !claim.server)
    return ClaimEffect::kNone;
  Entry& entry = entries_[claim.instance];
  if (!entry.IsOlderThan(claim))
    return ClaimEffect::kNone;
  // A claim that was delayed on its way to the store is older than the one that
  // is known, though its revision is higher.
  if (claim.server && claim.server->incarnation == entry.server.incarnation &&
      claim.server->sequence < entry.server.sequence)
    return ClaimEffect::kNone;
  const Entry before = entry;
  const bool was_serving = is_known && TakesWork(before);
  entry.revision = claim.revision;
  entry.correction = claim.correction;
  entry.is_removed = !claim.server;
  if (claim.server) {
    const std::string& service = claim.server->service;
    if (is_known && before.server.service != service)
      entries_by_service_[before.server.service].erase(claim.instance);
    entries_by_service_[service][claim.instance] = &entry;
    entry.server = *claim.server;
  }
  if (entry.server.phase == ServerPhase::kLeaving)
    leaving_incarnations_[claim.instance].insert(entry.server.incarnation);
  const bool is_serving = TakesWork(entry);
  if (was_serving == is_serving && before.server == entry.server)
    return ClaimEffect::kNone;
  ++generation_;
  if (was_serving == is_serving)
    return ClaimEffect::kUpdated;
  return was_serving ? ClaimEffect::kLeaving : ClaimEffect::kServing;
}

ClaimEffect ServerRegistry::ApplyAnnouncement(
    const LeavingAnnouncement& announcement) {
  const std::lock_guard lock(mutex_);
  const auto found = entries_.find(announcement.instance);
  const bool was_serving = found != entries_.end() && TakesWork(found->second);
  leaving_incarnations_[announcement.instance].insert(announcement.incarnation);
  if (!was_serving || TakesWork(found->second))
    return ClaimEffect::kNone;
  ++generation_;
  return ClaimEffect::kLeaving;
}

bool ServerRegistry::IsAnnounced(
    const LeavingAnnouncement& announcement) const {
  const std::lock_guard lock(mutex_);
  return HasAnnouncedLeaving(announcement.instance, announcement.incarnation);
}

bool ServerRegistry::HasAnnouncedLeaving(const std::string& instance,
                                         uint64_t incarnation) const {
  const auto found = leaving_incarnations_.find(instance);
  return found != leaving_incarnations_.end() &&
         found->second.contains(incarnation);
}

bool ServerRegistry::TakesWork(const Entry& entry) const {
  return !entry.is_removed &&
         !HasAnnouncedLeaving(entry.server.instance, entry.server.incarnation);
}

std::optional<ServerClaim> ServerRegistry::CarryOver(
    const ServerClaim& claim) const {
  if (!claim.server)
    return std::nullopt;
  const std::lock_guard lock(mutex_);
  const auto found = entries_.find(claim.instance);
  if (found == entries_.end())
    return std::nullopt;
  const Entry& known = found->second;
  if (!base::IsOfLaterEra(claim.revision, known.revision) ||
      !known.IsAheadOf(*claim.server))
    return std::nullopt;
  ServerClaim carried_over{claim.instance, claim.revision, std::nullopt,
                           claim.correction + 1};
  if (!known.is_removed)
    carried_over.server = known.server;
  if (carried_over.server && !TakesWork(known))
    carried_over.server->phase = ServerPhase::kLeaving;
  return carried_over;
}

std::optional<base::StoreRevision> ServerRegistry::RevisionOf(
    const std::string& instance) const {
  const std::lock_guard lock(mutex_);
  const auto found = entries_.find(instance);
  if (found == entries_.end())
    return std::nullopt;
  return found->second.revision;
}

bool ServerRegistry::IsWarmUpProgress(const ServerClaim& claim) const {
  if (!claim.server || claim.server->warm_up <= base::Duration::zero())
    return false;
  const std::lock_guard lock(mutex_);
  const auto found = entries_.find(claim.instance);
  if (found == entries_.end() || found->second.is_removed)
    return false;
  const RegisteredServer& known = found->second.server;
  RegisteredServer repeated = *claim.server;
  repeated.sequence = known.sequence;
  repeated.warm_up = known.warm_up;
  return repeated == known;
}

bool ServerRegistry::TakesWork(const std::string& instance) const {
  const std::lock_guard lock(mutex_);
  const auto found = entries_.find(instance);
  return found != entries_.end() && TakesWork(found->second);
}

std::vector<config::Server> ServerRegistry::ServersOf(
    const std::string& service) const {
  const std::lock_guard lock(mutex_);
  std::vector<config::Server> servers;
  const auto found = entries_by_service_.find(service);
  if (found == entries_by_service_.end())
    return servers;
  for (const auto& [instance, entry] : found->second) {
    if (TakesWork(*entry))
      servers.push_back({entry->server.address, entry->server.availability_zone,
                         instance, entry->server.incarnation});
  }
  return servers;
}

std::map<std::string, size_t> ServerRegistry::ServiceCountsByZone() const {
  const std::lock_guard lock(mutex_);
  std::set<std::pair<std::string, std::string>> present;
  for (const auto& [instance, entry] : entries_) {
    if (TakesWork(entry))
      present.emplace(entry.server.availability_zone, entry.server.service);
  }
  std::map<std::string, size_t> counts;
  for (const auto& [zone, service] : present)
    ++counts[zone];
  return counts;
}

int ServerRegistry::SlotsOf(const std::string& service) const {
  const std::lock_guard lock(mutex_);
  const auto found = entries_by_service_.find(service);
  return found == entries_by_service_.end() || found->second.empty()
             ? 1
             : found->second.begin()->second->server.slots;
}

std::optional<RegisteredServer> ServerRegistry::Find(
    const std::string& instance) const {
  const std::lock_guard lock(mutex_);
  const auto found = entries_.find(instance);
  if (found == entries_.end())
    return std::nullopt;
  return found->second.server;
}

uint64_t ServerRegistry::generation() const {
  const std::lock_guard lock(mutex_);
  return generation_;
}

std::vector<ServerClaim> ServerRegistry::Dump() const {
  const std::lock_guard lock(mutex_);
  std::vector<ServerClaim> claims;
  for (const auto& [instance, entry] : entries_)
    claims.push_back(
        {instance, entry.revision,
         TakesWork(entry) ? std::optional(entry.server) : std::nullopt,
         entry.correction});
  return claims;
}

}  // namespace upstream
