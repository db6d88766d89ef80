# The protocol between nodes. Durations are in microseconds.
@0xd1a5c0e4b7f3926d;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("peer::wire");

struct ServiceShards {
  service @0 :UInt32;
  shards @1 :List(UInt32);
}

struct Header {
  name @0 :Text;
  value @1 :Text;
}

# A request that is forwarded to servers as the caller sent it.
struct ForwardedRequest {
  id @0 :Text;
  host @1 :Text;
  method @2 :Text;
  target @3 :Text;
  headers @4 :List(Header);
  body @5 :Data;
  maxAttempts @6 :Int32;
  topRecords @7 :UInt32;
  objectiveUs @8 :Int64;
  leastShare @9 :Float64;
}

struct LeafRequest {
  requestId @0 :Text;
  party @1 :Text;
  upstream @2 :Text;
  version @3 :UInt64;
  shardCount @4 :UInt32;
  work @5 :List(ServiceShards);
  query @6 :Text;
  timeLeftUs @7 :Int64;
  extraLoadShare @8 :Float64;
  forwarded @9 :ForwardedRequest;  # Null if `query` holds the request.
}

struct ShardResult {
  shard @0 :UInt32;
  items @1 :Text;
}

# One service's part of a merged answer. Another part may hold its records.
struct ForwardedPart {
  service @0 :UInt32;
  signature @1 :Text;
  records @2 :Data;
}

struct MissingShard {
  shard @0 :UInt32;
  reason @1 :UInt8;
}

struct LeafAnswer {
  requestId @0 :Text;
  version @1 :UInt64;
  results @2 :List(ShardResult);
  missing @3 :List(MissingShard);
  primary @4 :UInt64;
  hedges @5 :UInt64;
  retries @6 :UInt64;
  parts @7 :List(ForwardedPart);  # Replaces `results` for forwarded requests.
  tookUs @8 :Int64;  # From the arrival of the request to the answer.
}

struct Fact {
  key @0 :Text;
  epoch @1 :UInt64;
  counter @2 :UInt64;
  value @3 :Text;
  era @4 :UInt64;
}

struct GossipMessage {
  senderAddress @0 :Text;
  facts @1 :List(Fact);
  bucketHashes @2 :List(UInt64);
  wantedBuckets @3 :List(UInt32);
  knownFacts @4 :List(UInt32);
  memberCount @5 :UInt32;
  partHashes @6 :List(UInt64);
  comparedParts @7 :List(UInt16);
  summaries @8 :List(UInt64);  # Key hash, epoch and counter of each fact.
  wantedFacts @9 :List(UInt64);
  summaryEras @10 :List(UInt64);  # Of each summary; empty if all are 0.
}

struct Booking {
  party @0 :Text;
  upstream @1 :Text;
  key @2 :Text;
  body @3 :Text;
}

struct BookingRun {
  runId @0 :Text;
  booking @1 :Booking;
  service @2 :UInt32;
  timeLeftUs @3 :Int64;
}

struct BookingOutcome {
  status @0 :UInt8;
  answer @1 :Text;
  errorKind @2 :UInt8;
  errorMessage @3 :Text;
  errorRemedy @4 :Text;
}

interface Peer {
  executeLeaf @0 (request :LeafRequest) -> (answer :LeafAnswer);
  gossip @1 (message :GossipMessage) -> (reply :GossipMessage);
  probe @2 (address :Text, timeoutUs :Int64) -> (reachable :Bool);
  fetchContent @3 (digest :Text) -> (found :Bool, content :Text);
  runBooking @4 (run :BookingRun) -> (outcome :BookingOutcome);
  forwardBooking @5 (ticket :Text, booking :Booking, timeLeftUs :Int64)
      -> (outcome :BookingOutcome);
  grantCredit @6 (account :Text, wanted :Float64) -> (amount :Float64);
  holdUsage @7 (records :Text) -> ();
  ping @8 () -> ();
}
