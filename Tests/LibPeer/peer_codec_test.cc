// Tests that no field of a gossip message, and not what the replies to
// delegated requests are for, is lost on its way.

#include <capnp/message.h>
#include <doctest/doctest.h>

#include "LibPeer/codec.h"

namespace peer {
namespace {

membership::GossipMessage EncodeAndDecode(
    const membership::GossipMessage& message) {
  capnp::MallocMessageBuilder builder;
  Encode(message, builder.initRoot<wire::GossipMessage>());
  return Decode(builder.getRoot<wire::GossipMessage>().asReader());
}

TEST_CASE("all fields of a gossip message arrive") {
  membership::GossipMessage message;
  message.sender_address = "10.0.0.1:7000";
  message.facts = {{"member/a", {7, 4}, "value"}, {"claim/b", {9, 0, 2}, ""}};
  message.bucket_hashes = {1, UINT64_MAX};
  message.wanted_buckets = {0, 31};
  message.known_facts = {1};
  message.member_count = 118;
  message.part_hashes = {3, 4, 5};
  message.compared_parts = {0, membership::kFactPartCount - 1};
  message.summaries = {{11, {12, 13}}, {UINT64_MAX, {14, 15, 2}}};
  message.wanted_facts = {16, 17};
  CHECK(EncodeAndDecode(message) == message);
}

TEST_CASE("an empty gossip message stays empty") {
  CHECK(EncodeAndDecode({}) == membership::GossipMessage());
}

// Another version may send more or fewer numbers for each summary.
TEST_CASE("an incomplete summary is left out") {
  capnp::MallocMessageBuilder builder;
  auto out = builder.initRoot<wire::GossipMessage>();
  auto numbers = out.initSummaries(5);
  for (uint32_t i = 0; i < numbers.size(); ++i)
    numbers.set(i, i + 1);
  const auto message = Decode(out.asReader());
  CHECK(message.summaries == std::vector<membership::FactSummary>{{1, {2, 3}}});
}

TEST_CASE("the replies to a delegated request are merged") {
  for (const size_t top_records : {0, 5}) {
    CAPTURE(top_records);
    query::LeafRequest request;
    request.shard_count = 1;
    request.forward =
        query::ForwardOptions{std::make_shared<upstream::ForwardedRequest>()};
    request.forward->top_records = top_records;
    capnp::MallocMessageBuilder builder;
    Encode(request, builder.initRoot<wire::LeafRequest>());
    const auto decoded =
        Decode(builder.getRoot<wire::LeafRequest>().asReader());
    REQUIRE(decoded.forward);
    CHECK(decoded.forward->top_records == top_records);
    CHECK(decoded.forward->reply_use() == upstream::ReplyUse::kMerged);
  }
}

}  // namespace
}  // namespace peer
