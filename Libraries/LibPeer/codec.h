// Converts plain values to Cap'n Proto messages and back.

#ifndef LIBPEER_CODEC_H_
#define LIBPEER_CODEC_H_

#include "LibMembership/fact.h"
#include "LibPeer/peer.capnp.h"
#include "LibQuery/booking_interfaces.h"
#include "LibQuery/leaf_message.h"

namespace peer {

void Encode(const query::LeafRequest& value, wire::LeafRequest::Builder out);
void Encode(const query::LeafAnswer& value, wire::LeafAnswer::Builder out);
void Encode(const membership::GossipMessage& value,
            wire::GossipMessage::Builder out);
void Encode(const query::Booking& value, wire::Booking::Builder out);
void Encode(const query::BookingRun& value, wire::BookingRun::Builder out);
void Encode(const query::BookingOutcome& value,
            wire::BookingOutcome::Builder out);

query::LeafRequest Decode(wire::LeafRequest::Reader in);
query::LeafAnswer Decode(wire::LeafAnswer::Reader in);
membership::GossipMessage Decode(wire::GossipMessage::Reader in);
query::Booking Decode(wire::Booking::Reader in);
query::BookingRun Decode(wire::BookingRun::Reader in);
query::BookingOutcome Decode(wire::BookingOutcome::Reader in);

std::string ToString(capnp::Text::Reader text);

}  // namespace peer

#endif  // LIBPEER_CODEC_H_
