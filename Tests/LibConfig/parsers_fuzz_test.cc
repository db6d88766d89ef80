// Feeds mutations of valid texts to every parser of input from outside the
// process. Such a parser must survive any bytes.

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <array>
#include <string>

#include "LibConfig/configuration.h"
#include "LibConfig/settings.h"
#include "LibMembership/member_codec.h"
#include "LibQuery/caller_codec.h"
#include "LibQuery/ticket.h"
#include "LibUpstream/server_registry.h"
#include "LibUpstream/server_report.h"
#include "LibUpstream/shard_call.h"
#include "LibUsage/usage_record.h"

namespace {

const std::array<std::string, 8> kCorpus = {
    R"({"upstream":"u","query":"q","shards":[0,1],"deadlineMs":5,"key":"k"})",
    R"({"requestId":"r","attempt":1,"version":2,"shardCount":3,)"
    R"("results":[{"shard":0,"items":[1]}]})",
    R"({"address":"a","incarnation":1,"sequence":2,"leaving":false,)"
    R"("held":[{"version":1,"shardCount":2,"shards":[0,1]}]})",
    R"({"upstreams.json":{"deployment":"d","availabilityZones":["z"],)"
    R"("upstreams":[{"name":"u","slots":1,"connections":1,"services":[)"
    R"({"name":"s","servers":[{"address":"1.2.3.4:5",)"
    R"("availabilityZone":"z"}]}]}]}})",
    R"([["2026-12-04","i","p","u",1,2,3,false]])",
    "node-1.process-1.7.123456.0123abcd",
    "i-9e377243bb/1790000000000",
    R"({"revision":1,"publicationId":"p","contentDigest":"d","summary":"s"})"};

std::string MutatedText() {
  std::string text =
      *rc::gen::elementOf(std::vector(kCorpus.begin(), kCorpus.end()));
  const int edits = *rc::gen::inRange(0, 6);
  for (int i = 0; i < edits && !text.empty(); ++i) {
    const auto position = static_cast<size_t>(
        *rc::gen::inRange(0, static_cast<int>(text.size())));
    switch (*rc::gen::inRange(0, 4)) {
      case 0:
        text[position] = static_cast<char>(*rc::gen::inRange(0, 256) - 128);
        break;
      case 1:
        text.erase(position, static_cast<size_t>(*rc::gen::inRange(1, 20)));
        break;
      case 2:
        text.insert(position,
                    *rc::gen::elementOf(std::vector<std::string>{
                        "[[[[", "{\"a\":", "-1", "1e999", "null", "\"",
                        "18446744073709551616", "\\u0000", "//"}));
        break;
      default:
        text.insert(position, text.substr(0, 40));
        break;
    }
  }
  return text;
}

void ParseAll(const std::string& text) {
  http::Request request{
      "POST", "/v1/query", {{"Celerycroft-Party", "p"}}, text};
  for (const char* target :
       {"/v1/query", "/v1/tickets", "/v1/bookings", "/v1/other"}) {
    request.target = target;
    const auto parsed = query::ParseCallerRequest(request);
    if (!parsed)
      RC_ASSERT(!parsed.error().remedy().empty());
  }
  static_cast<void>(upstream::ParseReply(text));
  static_cast<void>(upstream::ParseReport(text));
  static_cast<void>(upstream::ParseAnnouncement(text));
  static_cast<void>(upstream::ParseClaim(text));
  static_cast<void>(config::ParseSettings(text, "f"));
  static_cast<void>(config::ParseContent(text, 1));
  static_cast<void>(config::ParseManifest(text));
  static_cast<void>(usage::ParseRecords(text));
  static_cast<void>(query::ParseTicket(text));
  static_cast<void>(membership::ToMember({"member/x", {1, 2}, text}));
}

TEST_CASE("parsers survive any text") {
  for (const std::string& text : kCorpus)
    ParseAll(text);
  ParseAll(std::string(100'000, '['));
  CHECK(rc::check("any mutated text", [] { ParseAll(MutatedText()); }));
}

}  // namespace
