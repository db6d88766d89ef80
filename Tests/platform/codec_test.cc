// Tests the decoding and encoding of the platform's protocol.

#include <doctest/doctest.h>

#include "caller_codec.h"
#include "claim_reader.h"
#include "configuration_reader.h"
#include "server_codec.h"

namespace platform {
namespace {

upstream::ShardCall MakeCall() {
  auto request = std::make_shared<upstream::ForwardedRequest>();
  request->id = "r1";
  request->message = {"GET", "/a/b?c=1", {{"Host", "h"}}, ""};
  upstream::ShardCall call;
  call.request_id = "r1";
  call.shard_count = 2;
  call.forwarded = request;
  return call;
}

http::Response MakeResponse(int status, http::Headers headers) {
  http::Response response;
  response.status = status;
  response.headers = std::move(headers);
  return response;
}

TEST_CASE(
    "an encoded call states the time left and the expected server instance") {
  const auto request = ServerCodec().Encode(
      {"10.0.0.1:80", 1, "i-1"}, MakeCall(), std::chrono::microseconds(41'900));
  CHECK(request.target == "/a/b?c=1");
  CHECK(http::FindHeader(request.headers, "Celerycroft-Deadline-Ms") == "41");
  CHECK(http::FindHeader(request.headers, "Celerycroft-Expect-Instance") ==
        "i-1");
}

TEST_CASE("server responses are decoded to replies and failures") {
  const ServerCodec codec;
  const auto decode = [&](int status, http::Headers headers) {
    return codec.Decode(MakeCall(), MakeResponse(status, std::move(headers)));
  };
  using upstream::ShardFailure;
  const http::Header signature_header = {"Celerycroft-Server-Stamp", "s"};
  CHECK(decode(200, {signature_header})->forwarded->signature == "s");
  CHECK(decode(200, {}).error() == ShardFailure::kBroken);
  CHECK(decode(200, {signature_header, {"Celerycroft-Request-Id", "r0"}})
            .error() == ShardFailure::kBroken);
  CHECK(decode(200, {signature_header, {"Content-Encoding", "gzip"}}).error() ==
        ShardFailure::kBroken);
  CHECK(decode(503, {{"Celerycroft-Not-Executed", "1"}}).error() ==
        ShardFailure::kOverloaded);
  CHECK(decode(421, {}).error() == ShardFailure::kMisdirected);
  CHECK(decode(500, {signature_header})->forwarded->verdict ==
        upstream::ServerVerdict::kFailed);
  const auto loaded =
      decode(200, {signature_header, {"Celerycroft-Server-Load", "3,0,8"}});
  CHECK(loaded->forwarded->load == upstream::ServerLoad{3, 0, 8});
}

// With one shard only, failures below 500 counted as parts of the answer.
TEST_CASE("only a success counts as an answer if it is merged") {
  const auto verdict_of = [](upstream::ReplyUse use, uint32_t shard_count,
                             int status) {
    upstream::ShardCall call = MakeCall();
    call.reply_use = use;
    call.shard_count = shard_count;
    return ServerCodec()
        .Decode(call, MakeResponse(status, {{"Celerycroft-Server-Stamp", "s"}}))
        ->forwarded->verdict;
  };
  using upstream::ReplyUse;
  using upstream::ServerVerdict;
  for (int status = 200; status < 600; ++status) {
    if (status == http::kStatusMisdirected)
      continue;  // A refusal, whatever the reply is for.
    CAPTURE(status);
    const auto merged =
        status < 300 ? ServerVerdict::kSucceeded : ServerVerdict::kFailed;
    const auto relayed =
        status < 500 ? ServerVerdict::kSucceeded : ServerVerdict::kFailed;
    for (const uint32_t shard_count : {1, 2}) {
      CHECK(verdict_of(ReplyUse::kMerged, shard_count, status) == merged);
      CHECK(verdict_of(ReplyUse::kRelayed, shard_count, status) == relayed);
    }
  }
}

TEST_CASE("hop-by-hop headers are not forwarded") {
  const auto call = DecodeCallerRequest({"GET",
                                         "/a/",
                                         {{"Host", "H.example:80"},
                                          {"Connection", "close, X-Hop"},
                                          {"X-Hop", "1"},
                                          {"X-Kept", "2"},
                                          {"Celerycroft-Deadline-Ms", "250"},
                                          {"Celerycroft-Request-Id", "r1"}},
                                         ""});
  CHECK(call.request->id == "r1");
  CHECK(call.request->host == "h.example");
  CHECK(call.time_allowed == std::chrono::milliseconds(250));
  const http::Headers& kept = call.request->message.headers;
  CHECK(http::FindHeader(kept, "X-Hop").empty());
  CHECK(http::FindHeader(kept, "Celerycroft-Deadline-Ms").empty());
  CHECK(http::FindHeader(kept, "X-Kept") == "2");
  CHECK(http::FindHeader(kept, "Celerycroft-Request-Id") == "r1");
}

TEST_CASE("a relayed status never claims that the request was not run") {
  const auto call = DecodeCallerRequest({"POST", "/a/", {}, ""});
  auto reply = std::make_shared<upstream::ForwardedReply>();
  reply->message = MakeResponse(503, {{"Celerycroft-Server-Stamp", "s"}});
  query::ForwardAnswer answer;
  answer.outcome = query::ForwardOutcome::kRelayed;
  answer.reply = reply;
  const auto response = EncodeAnswer(*call.request, answer);
  CHECK(response.status == 502);
  CHECK(http::FindHeader(response.headers, "Celerycroft-Server-Stamp").empty());
}

TEST_CASE("a response to a request that was not run states when to retry") {
  const auto call = DecodeCallerRequest({"GET", "/a/", {}, ""});
  query::ForwardAnswer answer;
  answer.outcome = query::ForwardOutcome::kNotRun;
  answer.retry_after = std::chrono::milliseconds(50);
  const auto response = EncodeAnswer(*call.request, answer);
  CHECK(response.status == 503);
  CHECK(http::FindHeader(response.headers, "Retry-After") == "0.05");
  answer.retry_after = base::Duration::zero();
  CHECK(http::FindHeader(EncodeAnswer(*call.request, answer).headers,
                         "Retry-After") == "0");
  answer.retry_after.reset();
  CHECK(http::CountHeaders(EncodeAnswer(*call.request, answer).headers,
                           "Retry-After") == 0);
}

TEST_CASE("store entries that are not valid claims are rejected") {
  const auto read = [](const std::string& text) {
    return ReadClaim({"servers/i-1", {7}, text});
  };
  const std::string good =
      R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1",)"
      R"("slots":2,"state":"ready","cold_remaining_ms":0,"sequence":4,)"
      R"("born":1700000000000})";
  REQUIRE(read(good));
  CHECK(read(good)->server->incarnation == 1'700'000'000'000);
  CHECK(read(good)->revision.number == 7);
  CHECK_FALSE(read("\x80\xff"));
  CHECK_FALSE(read("{}"));
  std::string other = good;
  other.replace(other.find("ready"), 5, "sleep");
  CHECK_FALSE(read(other));
  CHECK_FALSE(ReadClaim({"servers/i-1", 8, std::nullopt})->server);
}

TEST_CASE("a configuration with a mistake is rejected as a whole") {
  const std::string limits =
      R"("limits":{"max_header_bytes":16384,"max_body_bytes":262144,)"
      R"("header_timeout_ms":3000,"idle_timeout_ms":15000})";
  const std::string service =
      R"({"name":"s","health_path":"/health","max_connections":26})";
  const std::string route =
      R"({"name":"r","host":"h","prefix":"/a/","route_type":"idempotent",)"
      R"("timeout_ms":250,"target_latency_ms":40,"priority":2,"attempts":2)";
  const auto read = [&](const std::string& target) {
    return ReadConfiguration(R"({"version":7,"routes":[)" + route + target +
                             R"(}],"services":[)" + service + "]," + limits +
                             "}");
  };
  const auto good =
      read(R"(,"gather":["s"],"top_k":5,"min_success_share":0.75)");
  REQUIRE(good);
  CHECK(good->revision == 7);
  CHECK(good->routes->Find("h", "/a/b")->gather->top_records == 5);
  CHECK(good->routes->Find("h", "/b") == nullptr);
  const auto split = read(R"(,"traffic_split":[{"service":"s","weight":3}])");
  REQUIRE(split);
  CHECK(split->routes->routes[0].services[0].weight == 3);
  CHECK_FALSE(read(""));
  CHECK_FALSE(read(R"(,"gather":["s"])"));
  CHECK_FALSE(ReadConfiguration("[]"));
}

TEST_CASE(
    "the limit that a server names is a finite number that is not negative") {
  const ServerCodec codec;
  const auto read = [&](int status, http::Headers headers) {
    return codec.ReadStatement(MakeCall(),
                               MakeResponse(status, std::move(headers)));
  };
  CHECK(read(200, {{"server-limit", "28.3"}})->max_request_rate == 28.3);
  CHECK(read(503, {{"Server-Limit", "5"}})->max_request_rate == 5);
  CHECK(read(200, {{"Server-Limit", "0"}})->max_request_rate == 0);
  CHECK(read(200, {})->max_request_rate == std::nullopt);
  for (const char* invalid :
       {"", "-1", "nan", "inf", "1e999", "5 a second", " 5", "0x10"}) {
    CAPTURE(invalid);
    CHECK_FALSE(
        read(200, {{"Server-Limit", invalid}})->max_request_rate.has_value());
  }
  CHECK_FALSE(read(200, {{"Server-Limit", "5"}, {"Server-Limit", "5"}})
                  ->max_request_rate.has_value());
  // Another server may have sent these.
  CHECK_FALSE(read(421, {{"Server-Limit", "5"}}));
  CHECK_FALSE(
      read(200, {{"Server-Limit", "5"}, {"Celerycroft-Request-Id", "r0"}}));
}

TEST_CASE("a server that is leaving says so in answers to the call") {
  const ServerCodec codec;
  const http::Header leaving = {"Server-Leaving", "1"};
  const http::Header signature = {"Celerycroft-Server-Stamp", "s"};
  const auto read = [&](int status, http::Headers headers) {
    return codec.ReadStatement(MakeCall(),
                               MakeResponse(status, std::move(headers)));
  };
  CHECK(read(200, {signature})->is_leaving == false);
  CHECK(read(200, {signature, {"server-leaving", "1"}})->is_leaving == true);
  CHECK(read(404, {signature, leaving})->is_leaving == true);
  CHECK(read(503, {{"Celerycroft-Not-Executed", "1"}, leaving})->is_leaving ==
        true);
  // What is not known to be an answer of the server that was called.
  CHECK(read(200, {leaving})->is_leaving == false);
  CHECK(read(503, {leaving})->is_leaving == false);
  CHECK_FALSE(read(421, {signature, leaving}));
  CHECK_FALSE(
      read(200, {signature, leaving, {"Celerycroft-Request-Id", "r0"}}));
  CHECK_FALSE(read(200, {signature, leaving, {"Content-Encoding", "gzip"}}));
}

TEST_CASE("an invalid statement does not hide another one") {
  const ServerCodec codec;
  const http::Header signature = {"Celerycroft-Server-Stamp", "s"};
  const auto read = [&](http::Headers headers) {
    headers.push_back(signature);
    return *codec.ReadStatement(MakeCall(),
                                MakeResponse(200, std::move(headers)));
  };
  for (const char* invalid :
       {"", "0", "2", "true", "01", "1, 1", "-1", "1e308"}) {
    CAPTURE(invalid);
    const auto statement =
        read({{"Server-Leaving", invalid}, {"Server-Limit", "5"}});
    CHECK_FALSE(statement.is_leaving.has_value());
    CHECK(statement.max_request_rate == 5);
  }
  CHECK_FALSE(read({{"Server-Leaving", "1"}, {"Server-Leaving", "0"}})
                  .is_leaving.has_value());
  CHECK(read({{"Server-Leaving", "1"}, {"Server-Leaving", "1"}}).is_leaving ==
        true);
  const auto long_value =
      read({{"Server-Leaving", std::string(10'000, 'x')}}).is_leaving;
  REQUIRE_FALSE(long_value.has_value());
  CHECK(long_value.error().message().size() < 200);
  const auto statement =
      read({{"Server-Leaving", "1"}, {"Server-Limit", "many"}});
  CHECK(statement.is_leaving == true);
  CHECK_FALSE(statement.max_request_rate.has_value());
}

}  // namespace
}  // namespace platform
