// `celerycroft publish` and `celerycroft reckon`.

#include <algorithm>
#include <chrono>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <thread>

#include "LibBase/digest.h"
#include "LibPlatform/manifest_watcher.h"
#include "LibPlatform/publisher.h"
#include "LibPlatform/usage_reporter.h"
#include "LibUsage/reckoning.h"
#include "blocking_client.h"
#include "commands.h"
#include "exit_code.h"

namespace celerycroft {

using nlohmann::json;

namespace {

constexpr int kPublicationIdBytes = 16;
constexpr base::Duration kInForceWithin = std::chrono::seconds(3);
constexpr base::Duration kPollPause = std::chrono::milliseconds(50);
constexpr base::Duration kStatusTimeout = std::chrono::milliseconds(500);
constexpr int kDaysInLongestMonth = 31;

struct NodeStatus {
  std::string node_id;
  std::string operator_address;
  uint64_t revision = 0;
};

// The live nodes that the node at `operator_address` knows.
base::Result<std::vector<NodeStatus>> FindNodes(
    const std::string& operator_address) {
  const auto response = ExchangeAndWait(
      operator_address, {"GET", "/v1/state", {}, ""}, kStatusTimeout);
  if (!response)
    return tl::make_unexpected(response.error().error);
  const json body = json::parse(response->body, nullptr, false);
  std::vector<NodeStatus> nodes;
  if (!body.is_object())
    return nodes;
  for (const json& member : body["members"]) {
    if (member["state"].get<int>() <= 1)  // Alive or suspected.
      nodes.push_back({member["nodeId"], member["operatorAddress"], 0});
  }
  return nodes;
}

void RefreshRevision(NodeStatus& node) {
  const auto response = ExchangeAndWait(
      node.operator_address, {"GET", "/v1/status", {}, ""}, kStatusTimeout);
  if (!response)
    return;
  const json body = json::parse(response->body, nullptr, false);
  if (body.is_object())
    node.revision = body.value("revision", uint64_t{0});
}

// Waits until the revision is in force on all nodes, at most kInForceWithin.
void WaitForRevision(std::vector<NodeStatus>& nodes, uint64_t revision) {
  const base::Instant until = base::MonotonicClock::now() + kInForceWithin;
  const auto lags = [revision](const NodeStatus& node) {
    return node.revision < revision;
  };
  while (std::ranges::any_of(nodes, lags) &&
         base::MonotonicClock::now() < until) {
    for (NodeStatus& node : nodes) {
      if (lags(node))
        RefreshRevision(node);
    }
    std::this_thread::sleep_for(kPollPause);
  }
}

int ReportInForce(const CommandLine& line, const config::Manifest& manifest) {
  json report = {{"revision", manifest.revision},
                 {"publicationId", manifest.publication_id},
                 {"changed", manifest.summary},
                 {"inForce", json::array()},
                 {"notInForce", json::array()}};
  int exit_code = kExitSuccess;
  if (!line.operator_address.empty()) {
    auto nodes = FindNodes(line.operator_address);
    if (!nodes)
      return ReportError(nodes.error());
    WaitForRevision(*nodes, manifest.revision);
    for (const NodeStatus& node : *nodes) {
      const bool in_force = node.revision >= manifest.revision;
      report[in_force ? "inForce" : "notInForce"].push_back(node.node_id);
      if (!in_force)
        exit_code = kExitNotEverywhere;
    }
  }
  if (line.output == Output::kJson) {
    std::cout << report.dump() << "\n";
    return exit_code;
  }
  std::cout << "published revision " << manifest.revision << "; changed "
            << manifest.summary << "\n";
  for (const json& node : report["inForce"])
    std::cout << "in force on " << node.get<std::string>() << "\n";
  for (const json& node : report["notInForce"])
    std::cout << "NOT in force on " << node.get<std::string>() << "\n";
  return exit_code;
}

platform::StoreCalls CallsOf(BlockingStore& store) {
  return {
      [&](const std::string& key) { return store.Get(key); },
      [&](const std::string& key, uint64_t expected, const std::string& value) {
        return store.CompareAndSwap(key, expected, value);
      }};
}

std::string DayText(const std::string& month, int day) {
  return month + (day < 10 ? "-0" : "-") + std::to_string(day);
}

base::Result<config::Configuration> ReadConfiguration(BlockingStore& store) {
  const auto stored = TRY(store.Get(std::string(platform::kManifestKey)));
  if (!stored)
    return base::Fail(base::ErrorKind::kNotFound, "nothing is published",
                      "publish a configuration first");
  const config::Manifest manifest = TRY(config::ParseManifest(stored->value));
  const auto content = TRY(store.Get(std::string(platform::kContentPrefix) +
                                     manifest.content_digest));
  if (!content)
    return base::Fail(base::ErrorKind::kNotFound, "the content is missing",
                      "publish the configuration again");
  return config::ParseContent(content->value, manifest.revision).configuration;
}

base::Result<usage::UsageRecords> ReadMonth(
    BlockingStore& store,
    const config::Configuration& configuration,
    const std::string& month) {
  usage::UsageRecords records;
  for (int day = 1; day <= kDaysInLongestMonth; ++day) {
    for (const std::string& zone : configuration.availability_zones) {
      const auto stored =
          TRY(store.Get(platform::UsageStoreKey(DayText(month, day), zone)));
      if (stored)
        usage::MergeRecords(TRY(usage::ParseRecords(stored->value)), records);
    }
  }
  return records;
}

std::vector<usage::AgreedRate> AgreedShares(
    const config::Configuration& configuration) {
  std::vector<usage::AgreedRate> shares;
  for (const config::Agreement& agreement : configuration.agreements) {
    for (const config::Ask& ask : agreement.asks)
      shares.push_back({agreement.party, ask.upstream,
                        ask.sub_requests_per_second, ask.burst});
  }
  return shares;
}

}  // namespace

int RunPublish(const CommandLine& line) {
  if (line.operands.size() != 1)
    return ReportMissing(line, "DIR");
  if (line.store.empty())
    return ReportMissing(line, "--store");
  const auto collected = config::CollectDirectory(line.operands.front());
  if (!collected.issues.empty()) {
    for (const config::Issue& issue : collected.issues)
      std::cerr << config::ToString(issue) << "\n";
    return kExitFailure;
  }
  BlockingStore store(line.store);
  const auto manifest =
      Publish(collected, base::RandomHex(kPublicationIdBytes), CallsOf(store));
  if (manifest)
    return ReportInForce(line, *manifest);
  ReportError(manifest.error());
  return manifest.error().kind() == base::ErrorKind::kConflict ? kExitConflict
                                                               : kExitFailure;
}

int RunReckon(const CommandLine& line) {
  if (line.operands.size() != 1 ||
      !usage::SecondsInMonth(line.operands.front()))
    return ReportMissing(line, "the month as YYYY-MM");
  if (line.store.empty())
    return ReportMissing(line, "--store");
  const std::string& month = line.operands.front();
  BlockingStore store(line.store);
  const auto configuration = ReadConfiguration(store);
  if (!configuration)
    return ReportError(configuration.error());
  const auto records = ReadMonth(store, *configuration, month);
  if (!records)
    return ReportError(records.error());
  const auto rows = usage::Reckon(*records, AgreedShares(*configuration),
                                  *usage::SecondsInMonth(month));
  switch (line.output) {
    case Output::kText:
      std::cout << usage::ToTable(rows);
      break;
    case Output::kJson:
      std::cout << usage::ToJson(rows) << "\n";
      break;
    case Output::kCsv:
      std::cout << usage::ToCsv(rows);
      break;
  }
  return kExitSuccess;
}

}  // namespace celerycroft
