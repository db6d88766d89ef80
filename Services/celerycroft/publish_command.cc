// Implements `celerycroft publish` and `celerycroft reckon`.

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
constexpr base::Duration kMaxInForceWait = std::chrono::seconds(3);
constexpr base::Duration kPollInterval = std::chrono::milliseconds(50);
constexpr base::Duration kStatusTimeout = std::chrono::milliseconds(500);
constexpr int kDaysInLongestMonth = 31;

struct NodeStatus {
  std::string node_id;
  std::string operator_address;
  uint64_t revision = 0;
};

// Returns the live nodes that the node at `operator_address` knows. Their
// revisions are not filled in.
base::Result<std::vector<NodeStatus>> FetchLiveNodes(
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
    if (member["state"].get<int>() <= 1)  // The member is alive or suspected.
      nodes.push_back({member["nodeId"], member["operatorAddress"], 0});
  }
  return nodes;
}

// Keeps the known revision if the node doesn't answer.
void RefreshRevision(NodeStatus& node) {
  const auto response = ExchangeAndWait(
      node.operator_address, {"GET", "/v1/status", {}, ""}, kStatusTimeout);
  if (!response)
    return;
  const json body = json::parse(response->body, nullptr, false);
  if (body.is_object())
    node.revision = body.value("revision", uint64_t{0});
}

// Returns the highest revision that is in force on a node, or 0 if none
// answers.
uint64_t FindRevisionInForce(const std::string& operator_address) {
  if (operator_address.empty())
    return 0;
  auto nodes = FetchLiveNodes(operator_address);
  if (!nodes)
    return 0;
  uint64_t revision = 0;
  for (NodeStatus& node : *nodes) {
    RefreshRevision(node);
    revision = std::max(revision, node.revision);
  }
  return revision;
}

// Polls the nodes until the revision is in force on all of them, for at most
// kMaxInForceWait.
void WaitForRevision(std::vector<NodeStatus>& nodes, uint64_t revision) {
  const base::Instant deadline = base::MonotonicClock::now() + kMaxInForceWait;
  const auto is_behind = [revision](const NodeStatus& node) {
    return node.revision < revision;
  };
  while (std::ranges::any_of(nodes, is_behind) &&
         base::MonotonicClock::now() < deadline) {
    for (NodeStatus& node : nodes) {
      if (is_behind(node))
        RefreshRevision(node);
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

// Prints what was published and, if an operator address is given, on which live
// nodes it is in force. Returns the exit code.
int ReportNodesInForce(const CommandLine& line,
                       const config::Manifest& manifest) {
  json report = {{"revision", manifest.revision},
                 {"publicationId", manifest.publication_id},
                 {"changed", manifest.summary},
                 {"inForce", json::array()},
                 {"notInForce", json::array()}};
  int exit_code = kExitSuccess;
  if (!line.operator_address.empty()) {
    auto nodes = FetchLiveNodes(line.operator_address);
    if (!nodes)
      return ReportError(nodes.error());
    WaitForRevision(*nodes, manifest.revision);
    for (const NodeStatus& node : *nodes) {
      const bool in_force = node.revision >= manifest.revision;
      report[in_force ? "inForce" : "notInForce"].push_back(node.node_id);
      if (!in_force)
        exit_code = kExitNotInForceEverywhere;
    }
  }
  if (line.output_format == OutputFormat::kJson) {
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

platform::StoreCalls ToStoreCalls(BlockingStore& store) {
  return {
      [&](const std::string& key) { return store.Get(key); },
      [&](const std::string& key, uint64_t expected, const std::string& value) {
        return store.CompareAndSwap(key, expected, value);
      }};
}

// Returns the day as YYYY-MM-DD.
std::string FormatDay(const std::string& month, int day) {
  return month + (day < 10 ? "-0" : "-") + std::to_string(day);
}

base::Result<config::Configuration> ReadPublishedConfiguration(
    BlockingStore& store) {
  const auto stored = TRY(store.Get(std::string(platform::kManifestKey)));
  if (!stored)
    return base::Fail(base::ErrorKind::kNotFound, "nothing is published",
                      "publish a configuration first");
  const config::Manifest manifest = TRY(config::ParseManifest(stored->value));
  const auto content = TRY(store.Get(std::string(platform::kContentPrefix) +
                                     manifest.content_digest));
  if (!content)
    return base::Fail(base::ErrorKind::kNotFound,
                      "the store lacks the published content",
                      "publish the configuration again");
  return config::ParseContent(content->value, manifest.revision).configuration;
}

// Merges the usage records that all availability zones stored in the month.
base::Result<usage::UsageRecords> ReadUsageOfMonth(
    BlockingStore& store,
    const config::Configuration& configuration,
    const std::string& month) {
  usage::UsageRecords records;
  for (int day = 1; day <= kDaysInLongestMonth; ++day) {
    for (const std::string& zone : configuration.availability_zones) {
      const auto stored =
          TRY(store.Get(platform::UsageStoreKey(FormatDay(month, day), zone)));
      if (stored)
        usage::MergeRecords(TRY(usage::ParseRecords(stored->value)), records);
    }
  }
  return records;
}

std::vector<usage::AgreedRate> AgreedRates(
    const config::Configuration& configuration) {
  std::vector<usage::AgreedRate> rates;
  for (const config::Agreement& agreement : configuration.agreements) {
    for (const config::UpstreamTerms& terms : agreement.upstream_terms)
      rates.push_back({agreement.party, terms.upstream,
                       terms.sub_requests_per_second, terms.burst});
  }
  return rates;
}

}  // namespace

int RunPublish(const CommandLine& line) {
  if (line.operands.size() != 1)
    return ReportMissingArgument(line, "DIR");
  if (line.store_address.empty())
    return ReportMissingArgument(line, "--store");
  const auto collected = config::CollectDirectory(line.operands.front());
  if (!collected.issues.empty()) {
    for (const config::Issue& issue : collected.issues)
      std::cerr << config::ToString(issue) << "\n";
    return kExitFailure;
  }
  BlockingStore store(line.store_address);
  const auto manifest =
      Publish(collected, base::RandomHex(kPublicationIdBytes),
              ToStoreCalls(store), FindRevisionInForce(line.operator_address));
  if (manifest)
    return ReportNodesInForce(line, *manifest);
  ReportError(manifest.error());
  return manifest.error().kind() == base::ErrorKind::kConflict ? kExitConflict
                                                               : kExitFailure;
}

int RunReckon(const CommandLine& line) {
  if (line.operands.size() != 1 ||
      !usage::SecondsInMonth(line.operands.front()))
    return ReportMissingArgument(line, "the month in the form YYYY-MM");
  if (line.store_address.empty())
    return ReportMissingArgument(line, "--store");
  const std::string& month = line.operands.front();
  BlockingStore store(line.store_address);
  const auto configuration = ReadPublishedConfiguration(store);
  if (!configuration)
    return ReportError(configuration.error());
  const auto records = ReadUsageOfMonth(store, *configuration, month);
  if (!records)
    return ReportError(records.error());
  const auto rows = usage::Reckon(*records, AgreedRates(*configuration),
                                  *usage::SecondsInMonth(month));
  switch (line.output_format) {
    case OutputFormat::kText:
      std::cout << usage::ToTable(rows);
      break;
    case OutputFormat::kJson:
      std::cout << usage::ToJson(rows) << "\n";
      break;
    case OutputFormat::kCsv:
      std::cout << usage::ToCsv(rows);
      break;
  }
  return kExitSuccess;
}

}  // namespace celerycroft
