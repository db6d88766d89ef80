// Converts plain values to Cap'n Proto messages and back. An enumerator that
// this node doesn't know, since a newer peer sent it, is decoded as the most
// cautious one that it knows.

#include "LibPeer/codec.h"

#include <algorithm>

namespace peer {

namespace {

using query::MissingReason;

// The key hash, the epoch and the counter.
constexpr uint32_t kNumbersPerSummary = 3;

capnp::Text::Reader ToText(const std::string& text) {
  return capnp::Text::Reader(text.c_str(), text.size());
}

MissingReason ToMissingReason(uint8_t number) {
  return number <= static_cast<uint8_t>(MissingReason::kServerLimit)
             ? static_cast<MissingReason>(number)
             : MissingReason::kTimeout;
}

query::BookingStatus ToBookingStatus(uint8_t number) {
  return number <= static_cast<uint8_t>(query::BookingStatus::kUnknown)
             ? static_cast<query::BookingStatus>(number)
             : query::BookingStatus::kUnknown;
}

base::ErrorKind ToErrorKind(uint8_t number) {
  return number <= static_cast<uint8_t>(base::ErrorKind::kInternal)
             ? static_cast<base::ErrorKind>(number)
             : base::ErrorKind::kInternal;
}

bool HasEra(const membership::FactSummary& summary) {
  return summary.version.era != 0;
}

template <typename Number, typename List>
void CopyNumbers(const std::vector<Number>& numbers, List out) {
  for (uint32_t i = 0; i < numbers.size(); ++i)
    out.set(i, numbers[i]);
}

}  // namespace

std::string ToString(capnp::Text::Reader text) {
  return std::string(text.begin(), text.size());
}

namespace {

capnp::Data::Reader ToData(const std::string& bytes) {
  return {reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()};
}

std::string ToBytes(capnp::Data::Reader bytes) {
  return std::string(bytes.asChars().begin(), bytes.size());
}

void Encode(const query::ForwardOptions& value,
            wire::ForwardedRequest::Builder out) {
  const http::Request& message = value.request->message;
  out.setId(ToText(value.request->id));
  out.setHost(ToText(value.request->host));
  out.setMethod(ToText(message.method));
  out.setTarget(ToText(message.target));
  auto headers = out.initHeaders(static_cast<uint32_t>(message.headers.size()));
  for (uint32_t i = 0; i < message.headers.size(); ++i) {
    headers[i].setName(ToText(message.headers[i].name));
    headers[i].setValue(ToText(message.headers[i].value));
  }
  out.setBody(ToData(message.body));
  out.setMaxAttempts(value.max_attempts);
  out.setTopRecords(static_cast<uint32_t>(value.top_records.value_or(0)));
  out.setObjectiveUs(value.objective.count());
  out.setLeastShare(value.min_answered_share);
}

// NOTE: Only requests whose replies are merged are delegated to other nodes.
// All of these may be repeated, so that `repeatability` is not sent.
query::ForwardOptions Decode(wire::ForwardedRequest::Reader in) {
  auto request = std::make_shared<upstream::ForwardedRequest>();
  request->id = ToString(in.getId());
  request->host = ToString(in.getHost());
  request->message.method = ToString(in.getMethod());
  request->message.target = ToString(in.getTarget());
  for (const auto header : in.getHeaders())
    request->message.headers.push_back(
        {ToString(header.getName()), ToString(header.getValue())});
  request->message.body = ToBytes(in.getBody());
  query::ForwardOptions value;
  value.request = std::move(request);
  value.max_attempts = in.getMaxAttempts();
  value.top_records = in.getTopRecords();
  value.objective = base::Duration(in.getObjectiveUs());
  value.min_answered_share = in.getLeastShare();
  value.origin = query::RequestOrigin::kNode;
  return value;
}

}  // namespace

void Encode(const query::LeafRequest& value, wire::LeafRequest::Builder out) {
  out.setRequestId(ToText(value.request_id));
  out.setParty(ToText(value.party));
  out.setUpstream(ToText(value.upstream));
  out.setVersion(value.version);
  out.setShardCount(value.shard_count);
  auto work = out.initWork(static_cast<uint32_t>(value.work.size()));
  for (uint32_t i = 0; i < value.work.size(); ++i) {
    work[i].setService(value.work[i].service);
    CopyNumbers(
        value.work[i].shards,
        work[i].initShards(static_cast<uint32_t>(value.work[i].shards.size())));
  }
  out.setQuery(ToText(value.query));
  out.setTimeLeftUs(value.time_left.count());
  out.setExtraLoadShare(value.extra_load_share);
  if (value.forward)
    Encode(*value.forward, out.initForwarded());
}

query::LeafRequest Decode(wire::LeafRequest::Reader in) {
  query::LeafRequest value;
  value.request_id = ToString(in.getRequestId());
  value.party = ToString(in.getParty());
  value.upstream = ToString(in.getUpstream());
  value.version = in.getVersion();
  value.shard_count = in.getShardCount();
  for (const auto work : in.getWork()) {
    query::ServiceShards service{work.getService(), {}};
    for (const uint32_t shard : work.getShards())
      service.shards.push_back(shard);
    value.work.push_back(std::move(service));
  }
  value.query = ToString(in.getQuery());
  value.time_left = base::Duration(in.getTimeLeftUs());
  value.extra_load_share = in.getExtraLoadShare();
  if (in.hasForwarded())
    value.forward = Decode(in.getForwarded());
  return value;
}

void Encode(const query::LeafAnswer& value, wire::LeafAnswer::Builder out) {
  out.setRequestId(ToText(value.request_id));
  out.setVersion(value.version);
  auto results = out.initResults(static_cast<uint32_t>(value.results.size()));
  for (uint32_t i = 0; i < value.results.size(); ++i) {
    results[i].setShard(value.results[i].shard);
    results[i].setItems(ToText(value.results[i].items));
  }
  auto missing = out.initMissing(static_cast<uint32_t>(value.missing.size()));
  for (uint32_t i = 0; i < value.missing.size(); ++i) {
    missing[i].setShard(value.missing[i].shard);
    missing[i].setReason(static_cast<uint8_t>(value.missing[i].reason));
  }
  out.setPrimary(value.load.primary);
  out.setHedges(value.load.hedges);
  out.setRetries(value.load.retries);
  out.setTookUs(value.took.count());
  auto parts = out.initParts(static_cast<uint32_t>(value.parts.size()));
  for (uint32_t i = 0; i < value.parts.size(); ++i) {
    parts[i].setService(value.parts[i].service);
    parts[i].setSignature(ToText(value.parts[i].reply->signature));
    parts[i].setRecords(ToData(value.parts[i].reply->message.body));
  }
}

query::LeafAnswer Decode(wire::LeafAnswer::Reader in) {
  query::LeafAnswer value;
  value.request_id = ToString(in.getRequestId());
  value.version = in.getVersion();
  for (const auto result : in.getResults())
    value.results.push_back({result.getShard(), ToString(result.getItems())});
  for (const auto missing : in.getMissing())
    value.missing.push_back(
        {missing.getShard(), ToMissingReason(missing.getReason())});
  value.load = {in.getPrimary(), in.getHedges(), in.getRetries()};
  value.took = base::Duration(in.getTookUs());
  for (const auto part : in.getParts()) {
    auto reply = std::make_shared<upstream::ForwardedReply>();
    reply->signature = ToString(part.getSignature());
    reply->message.body = ToBytes(part.getRecords());
    value.parts.push_back({part.getService(), std::move(reply)});
  }
  return value;
}

void Encode(const membership::GossipMessage& value,
            wire::GossipMessage::Builder out) {
  out.setSenderAddress(ToText(value.sender_address));
  auto facts = out.initFacts(static_cast<uint32_t>(value.facts.size()));
  for (uint32_t i = 0; i < value.facts.size(); ++i) {
    facts[i].setKey(ToText(value.facts[i].key));
    facts[i].setEpoch(value.facts[i].version.epoch);
    facts[i].setCounter(value.facts[i].version.counter);
    facts[i].setEra(value.facts[i].version.era);
    facts[i].setValue(ToText(value.facts[i].value));
  }
  CopyNumbers(
      value.bucket_hashes,
      out.initBucketHashes(static_cast<uint32_t>(value.bucket_hashes.size())));
  CopyNumbers(value.wanted_buckets, out.initWantedBuckets(static_cast<uint32_t>(
                                        value.wanted_buckets.size())));
  CopyNumbers(
      value.known_facts,
      out.initKnownFacts(static_cast<uint32_t>(value.known_facts.size())));
  out.setMemberCount(static_cast<uint32_t>(value.member_count));
  CopyNumbers(
      value.part_hashes,
      out.initPartHashes(static_cast<uint32_t>(value.part_hashes.size())));
  CopyNumbers(value.compared_parts, out.initComparedParts(static_cast<uint32_t>(
                                        value.compared_parts.size())));
  auto summaries = out.initSummaries(
      static_cast<uint32_t>(value.summaries.size() * kNumbersPerSummary));
  for (uint32_t i = 0; i < value.summaries.size(); ++i) {
    const membership::FactSummary& fact = value.summaries[i];
    summaries.set(i * kNumbersPerSummary, fact.key_hash);
    summaries.set(i * kNumbersPerSummary + 1, fact.version.epoch);
    summaries.set(i * kNumbersPerSummary + 2, fact.version.counter);
  }
  if (std::ranges::any_of(value.summaries, HasEra)) {
    auto eras =
        out.initSummaryEras(static_cast<uint32_t>(value.summaries.size()));
    for (uint32_t i = 0; i < value.summaries.size(); ++i)
      eras.set(i, value.summaries[i].version.era);
  }
  CopyNumbers(
      value.wanted_facts,
      out.initWantedFacts(static_cast<uint32_t>(value.wanted_facts.size())));
}

membership::GossipMessage Decode(wire::GossipMessage::Reader in) {
  membership::GossipMessage value;
  value.sender_address = ToString(in.getSenderAddress());
  for (const auto fact : in.getFacts())
    value.facts.push_back({ToString(fact.getKey()),
                           {fact.getEpoch(), fact.getCounter(), fact.getEra()},
                           ToString(fact.getValue())});
  for (const uint64_t hash : in.getBucketHashes())
    value.bucket_hashes.push_back(hash);
  for (const uint32_t bucket : in.getWantedBuckets())
    value.wanted_buckets.push_back(bucket);
  for (const uint32_t index : in.getKnownFacts())
    value.known_facts.push_back(index);
  value.member_count = in.getMemberCount();
  for (const uint64_t hash : in.getPartHashes())
    value.part_hashes.push_back(hash);
  for (const uint16_t part : in.getComparedParts())
    value.compared_parts.push_back(part);
  const auto summaries = in.getSummaries();
  for (uint32_t i = 0; i + kNumbersPerSummary <= summaries.size();
       i += kNumbersPerSummary)
    value.summaries.push_back(
        {summaries[i], {summaries[i + 1], summaries[i + 2]}});
  const auto eras = in.getSummaryEras();
  for (uint32_t i = 0;
       i < std::min<size_t>(eras.size(), value.summaries.size()); ++i)
    value.summaries[i].version.era = eras[i];
  for (const uint64_t key_hash : in.getWantedFacts())
    value.wanted_facts.push_back(key_hash);
  return value;
}

void Encode(const query::Booking& value, wire::Booking::Builder out) {
  out.setParty(ToText(value.party));
  out.setUpstream(ToText(value.upstream));
  out.setKey(ToText(value.key));
  out.setBody(ToText(value.body));
}

query::Booking Decode(wire::Booking::Reader in) {
  return {ToString(in.getParty()), ToString(in.getUpstream()),
          ToString(in.getKey()), ToString(in.getBody())};
}

void Encode(const query::BookingRun& value, wire::BookingRun::Builder out) {
  out.setRunId(ToText(value.run_id));
  Encode(value.booking, out.initBooking());
  out.setService(value.service);
  out.setTimeLeftUs(value.time_left.count());
}

query::BookingRun Decode(wire::BookingRun::Reader in) {
  return {ToString(in.getRunId()), Decode(in.getBooking()), in.getService(),
          base::Duration(in.getTimeLeftUs())};
}

void Encode(const query::BookingOutcome& value,
            wire::BookingOutcome::Builder out) {
  out.setStatus(static_cast<uint8_t>(value.status));
  out.setAnswer(ToText(value.answer));
  out.setErrorKind(static_cast<uint8_t>(value.error.kind()));
  out.setErrorMessage(ToText(value.error.message()));
  out.setErrorRemedy(ToText(value.error.remedy()));
}

query::BookingOutcome Decode(wire::BookingOutcome::Reader in) {
  return {ToBookingStatus(in.getStatus()), ToString(in.getAnswer()),
          base::Error(ToErrorKind(in.getErrorKind()),
                      ToString(in.getErrorMessage()),
                      ToString(in.getErrorRemedy()))};
}

}  // namespace peer
