// Parsers of settings and configuration must report every mistake in one run,
// with its file, path and remedy.

#include <doctest/doctest.h>

#include <algorithm>

#include "LibConfig/configuration.h"
#include "LibConfig/settings.h"

namespace {

bool HasIssue(const config::Issues& issues, const std::string& path) {
  return std::ranges::any_of(issues, [&](const config::Issue& issue) {
    return issue.path == path && !issue.problem.empty() &&
           !issue.remedy.empty();
  });
}

TEST_CASE("settings report all mistakes at once") {
  const auto parsed = config::ParseSettings(R"({
    // A comment.
    "nodeId": "Node.1",
    "availabilityZone": 7,
    "callerAddress": "localhost:80",
    "operatorAddress": "127.0.0.1:99999",
    "peerAddress": "127.0.0.1:1",
    "hostListAddress": "127.0.0.1:2",
    "peerSeeds": ["x"],
    "plannedNodes": 0,
    "addressHoldMs": 5000,
    "drainMs": 5000,
    "colour": "red"
  })",
                                            "node.json");
  for (const char* path :
       {"nodeId", "availabilityZone", "callerAddress", "operatorAddress",
        "storeAddress", "peerSeeds", "plannedNodes", "drainMs", "colour"}) {
    CAPTURE(path);
    CHECK(HasIssue(parsed.issues, path));
  }
  CHECK(parsed.issues.size() == 9);
  CHECK(parsed.issues.front().file == "node.json");
}

TEST_CASE("mistakes in the content and across its files are reported") {
  const auto parsed = config::ParseContent(R"({
    "upstreams.json": {
      "deployment": "d", "availabilityZones": ["a"],
      "upstreams": [{"name": "u", "slots": 1, "connections": 1, "services": [
        {"name": "s", "servers": [
          {"address": "127.0.0.1:1", "availabilityZone": "b"},
          {"address": "127.0.0.1:1", "availabilityZone": "a"}]}]}]},
    "x/agreement.json": {
      "party": "p", "keyDigests": ["short"],
      "asks": [{"upstream": "v", "burst": -1}],
      "expects": {"deadlineMs": 100, "prefer": "luck"}}
  })",
                                           3);
  CHECK(HasIssue(parsed.issues, "availabilityZones"));
  CHECK(HasIssue(parsed.issues, "upstreams"));
  CHECK(HasIssue(parsed.issues, "keyDigests"));
  CHECK(HasIssue(parsed.issues, "asks"));
  CHECK(HasIssue(parsed.issues, "asks[0].burst"));
  CHECK(HasIssue(parsed.issues, "expects.prefer"));
}

TEST_CASE("the examples have the expected numbers of services and servers") {
  for (const auto& [name, services, servers] :
       {std::tuple("sljeme-najam", 27, 85),
        std::tuple("nabiralnica-vrtovi", 27, 97)}) {
    const auto collected = config::CollectDirectory(
        std::string(CELERYCROFT_SOURCE_DIR "/Examples/") + name +
        "/agreements");
    REQUIRE(collected.issues.empty());
    const auto parsed = config::ParseContent(collected.content, 1);
    int service_count = 0;
    int server_count = 0;
    for (const auto& upstream : parsed.configuration.upstreams) {
      service_count += static_cast<int>(upstream.services.size());
      for (const auto& service : upstream.services)
        server_count += static_cast<int>(service.servers.size());
    }
    CHECK(service_count == services);
    CHECK(server_count == servers);
  }
}

}  // namespace
