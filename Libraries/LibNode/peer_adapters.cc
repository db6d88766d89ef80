// Sends the controllers' calls to peers, and fetches content from peers and the
// key-value service.

#include "LibNode/peer_adapters.h"

#include <algorithm>
#include <utility>

#include "LibBase/log.h"
#include "LibBase/sampling.h"
#include "LibPlatform/manifest_watcher.h"

namespace node {

using base::Error;
using base::ErrorKind;
using query::BookingOutcome;

namespace {

constexpr base::Duration kContentFetchTimeout = std::chrono::milliseconds(500);
constexpr size_t kMaxContentPeers = 4;

Error MakeUnknownNodeError(const std::string& node_id) {
  return Error(ErrorKind::kUnavailable,
               "node " + node_id + " is unknown or dead",
               "check the node's process, and peerSeeds in the settings");
}

void LogFailedCall(std::string_view call, const Error& error) {
  base::Log(base::Event::kPeerCallFailed,
            {{"call", std::string(call)}, {"reason", error.message()}});
}

}  // namespace

PeerDispatcher::PeerDispatcher(base::Scheduler& scheduler,
                               routing::ClusterViewController& views,
                               peer::PeerClient& peer_client)
    : scheduler_(scheduler), views_(views), peer_client_(peer_client) {}

std::string PeerDispatcher::PeerAddressOf(const std::string& node_id) {
  const auto view = views_.Current();
  const membership::Member* member = view->FindMember(node_id);
  const bool reachable =
      member && member->state != membership::MemberState::kDead;
  return reachable ? member->peer_address : "";
}

void PeerDispatcher::Gossip(const std::string& peer_address,
                            membership::GossipMessage message,
                            base::Duration timeout,
                            GossipCallback callback) {
  peer_client_.Gossip(peer_address, std::move(message), timeout,
                      [callback = std::move(callback)](auto result) {
                        if (result)
                          callback(*std::move(result));
                        else
                          callback(tl::make_unexpected(result.error().error));
                      });
}

void PeerDispatcher::ProbeVia(const std::string& via_address,
                              const std::string& target_address,
                              base::Duration timeout,
                              ProbeCallback callback) {
  peer_client_.Probe(via_address, target_address, timeout,
                     [callback = std::move(callback)](auto result) {
                       callback(result && *result ? Reachability::kReachable
                                                  : Reachability::kUnreachable);
                     });
}

void PeerDispatcher::Probe(const std::string& address,
                           base::Duration timeout,
                           ProbeCallback callback) {
  peer_client_.Ping(address, timeout,
                    [callback = std::move(callback)](auto result) {
                      callback(result ? Reachability::kReachable
                                      : Reachability::kUnreachable);
                    });
}

void PeerDispatcher::Execute(const std::string& node_id,
                             const query::LeafRequest& request,
                             query::LeafClient::Callback callback) {
  // NOTE: Work on this node is posted too, since the caller holds its lock.
  if (node_id == local_node_.node_id) {
    scheduler_.Post([this, request, callback = std::move(callback)]() mutable {
      local_node_.execute_leaf(
          request, [callback](auto answer) { callback(std::move(answer)); });
    });
    return;
  }
  const std::string address = PeerAddressOf(node_id);
  if (address.empty()) {
    scheduler_.Post([node_id, callback = std::move(callback)] {
      callback(tl::make_unexpected(MakeUnknownNodeError(node_id)));
    });
    return;
  }
  peer_client_.ExecuteLeaf(
      address, request, [this, callback = std::move(callback)](auto result) {
        if (!result)
          LogFailedCall("execute_leaf", result.error().error);
        scheduler_.Post([callback, result = std::move(result)]() mutable {
          if (result)
            callback(*std::move(result));
          else
            callback(tl::make_unexpected(std::move(result).error().error));
        });
      });
}

void PeerDispatcher::CheckLiveness(const std::string& node_id,
                                   base::Duration timeout,
                                   LivenessCallback callback) {
  const std::string address = PeerAddressOf(node_id);
  if (address.empty()) {
    scheduler_.Post(
        [callback = std::move(callback)] { callback(Liveness::kSilent); });
    return;
  }
  peer_client_.Ping(
      address, timeout, [this, callback = std::move(callback)](auto result) {
        const auto liveness = result ? Liveness::kAnswers : Liveness::kSilent;
        scheduler_.Post([callback, liveness] { callback(liveness); });
      });
}

void PeerDispatcher::Run(const std::string& node_id,
                         const query::BookingRun& run,
                         query::BookingCallback callback) {
  if (node_id == local_node_.node_id) {
    scheduler_.Post([this, run, callback = std::move(callback)] {
      local_node_.run_booking(run, callback);
    });
    return;
  }
  const std::string address = PeerAddressOf(node_id);
  if (address.empty()) {
    callback(BookingOutcome::NotRun(MakeUnknownNodeError(node_id)));
    return;
  }
  peer_client_.RunBooking(
      address, run, [this, callback = std::move(callback)](auto result) {
        BookingOutcome outcome;
        if (result)
          outcome = *std::move(result);
        else if (result.error().delivery == peer::Delivery::kNotSent)
          outcome = BookingOutcome::NotRun(result.error().error);
        else
          outcome = BookingOutcome::Unknown(result.error().error);
        scheduler_.Post(
            [callback, outcome = std::move(outcome)] { callback(outcome); });
      });
}

void PeerDispatcher::Forward(const std::string& node_id,
                             const std::string& ticket,
                             const query::Booking& booking,
                             base::Duration time_left,
                             query::BookingCallback callback) {
  const std::string address = PeerAddressOf(node_id);
  // NOTE: The outcome is never kNotRun, since the issuer may already have run
  // the booking.
  if (address.empty()) {
    callback(BookingOutcome::Unknown(MakeUnknownNodeError(node_id)));
    return;
  }
  peer_client_.ForwardBooking(
      address, ticket, booking, time_left,
      [this, callback = std::move(callback)](auto result) {
        BookingOutcome outcome =
            result ? *std::move(result)
                   : BookingOutcome::Unknown(result.error().error);
        scheduler_.Post(
            [callback, outcome = std::move(outcome)] { callback(outcome); });
      });
}

void PeerDispatcher::RequestCredit(const limits::GrantRequest& request,
                                   base::Duration timeout,
                                   limits::CreditClient::Callback callback) {
  const auto view = views_.Current();
  const membership::Member* owner = view->OwnerOf(request.account);
  if (!owner || owner->node_id == local_node_.node_id) {
    scheduler_.Post([this, request, callback = std::move(callback)] {
      callback(local_node_.grant_credit(request));
    });
    return;
  }
  peer_client_.GrantCredit(
      owner->peer_address, request, timeout,
      [this, callback = std::move(callback)](auto result) {
        scheduler_.Post([callback, result = std::move(result)]() mutable {
          if (result)
            callback(*std::move(result));
          else
            callback(tl::make_unexpected(std::move(result).error().error));
        });
      });
}

PeerContentSource::PeerContentSource(routing::ClusterViewController& views,
                                     peer::PeerClient& peer_client,
                                     std::string own_node_id,
                                     base::Random& random)
    : views_(views),
      peer_client_(peer_client),
      own_node_id_(std::move(own_node_id)),
      random_(random) {}

void PeerContentSource::Fetch(const std::string& digest, Callback callback) {
  std::vector<const membership::Member*> peers;
  const auto view = views_.Current();
  for (const membership::Member& member : view->members()) {
    if (member.node_id != own_node_id_ && member.is_usable())
      peers.push_back(&member);
  }
  base::Shuffle(peers, random_);
  // Moves the peers of this node's availability zone to the end, where
  // FetchFrom begins: content may be large, and traffic between zones costs
  // more.
  const membership::Member* self = view->FindMember(own_node_id_);
  std::stable_partition(peers.begin(), peers.end(), [&](const auto* peer) {
    return !self || peer->availability_zone != self->availability_zone;
  });
  if (peers.size() > kMaxContentPeers)
    peers.erase(peers.begin(),
                peers.end() - static_cast<ptrdiff_t>(kMaxContentPeers));
  std::vector<std::string> addresses;
  std::ranges::transform(peers, std::back_inserter(addresses),
                         &membership::Member::peer_address);
  FetchFrom(std::move(addresses), digest, std::move(callback));
}

void PeerContentSource::FetchFrom(std::vector<std::string> addresses,
                                  const std::string& digest,
                                  Callback callback) {
  if (addresses.empty()) {
    callback(base::Fail(ErrorKind::kNotFound,
                        "no peer that was asked has the content",
                        "read it from the key-value service"));
    return;
  }
  const std::string address = addresses.back();
  addresses.pop_back();
  peer_client_.FetchContent(
      address, digest, kContentFetchTimeout,
      [this, addresses = std::move(addresses), digest,
       callback = std::move(callback)](auto result) mutable {
        if (result && result->text)
          callback(*std::move(result->text));
        else
          FetchFrom(std::move(addresses), digest, std::move(callback));
      });
}

void StoreContentSource::Fetch(const std::string& digest, Callback callback) {
  store_.Get(std::string(platform::kContentPrefix) + digest,
             [callback = std::move(callback)](auto read) {
               if (!read)
                 callback(tl::make_unexpected(std::move(read).error()));
               else if (!*read)
                 callback(base::Fail(ErrorKind::kNotFound,
                                     "the key-value service lacks the content",
                                     "publish the configuration again"));
               else
                 callback((*read)->value);
             });
}

}  // namespace node
