// Collects, checks and serializes the published configuration.

#include "LibConfig/configuration.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

#include "LibBase/digest.h"
#include "LibConfig/json_object_reader.h"
#include "LibConfig/json_text.h"

namespace config {

using nlohmann::json;

namespace {

constexpr std::string_view kUpstreamsFile = "upstreams.json";
constexpr std::string_view kAgreementFile = "agreement.json";
constexpr size_t kMaxContentBytes = 1'000'000;
constexpr size_t kDigestLength = 64;
constexpr NumberRange kRate{0.001, 1e9};
constexpr NumberRange kShare{0, 1};
constexpr IntegerRange kSmallCount{1, 100'000};
constexpr IntegerRange kDeadlineMs{1, 60'000};

Server ReadServer(JsonObjectReader& reader) {
  return {reader.Address("address"), reader.String("availabilityZone")};
}

Service ReadService(JsonObjectReader& reader) {
  Service service;
  service.name = reader.String("name");
  reader.ForEachObject("servers", [&](JsonObjectReader& element) {
    service.servers.push_back(ReadServer(element));
  });
  if (service.servers.empty())
    reader.Report("servers", "is empty", "list at least one server");
  return service;
}

Upstream ReadUpstream(JsonObjectReader& reader) {
  Upstream upstream;
  upstream.name = reader.String("name");
  upstream.slots = static_cast<int>(reader.Integer("slots", kSmallCount));
  upstream.connections =
      static_cast<int>(reader.Integer("connections", kSmallCount));
  upstream.new_connection_cost = std::chrono::milliseconds(
      reader.OptionalInteger("newConnectionMs", {0, 10'000}, 0));
  reader.ForEachObject("services", [&](JsonObjectReader& element) {
    upstream.services.push_back(ReadService(element));
  });
  if (upstream.services.empty())
    reader.Report("services", "is empty", "list at least one service");
  return upstream;
}

bool IsDigest(const std::string& text) {
  return text.size() == kDigestLength &&
         text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

UpstreamTerms ReadAsk(JsonObjectReader& reader) {
  UpstreamTerms ask;
  ask.upstream = reader.String("upstream");
  ask.sub_requests_per_second =
      reader.OptionalNumber("subRequestsPerSecond", kRate, 1);
  ask.burst =
      reader.OptionalNumber("burst", kRate, ask.sub_requests_per_second);
  ask.concurrency =
      static_cast<int>(reader.OptionalInteger("concurrency", kSmallCount, 64));
  ask.extra_load_share = reader.OptionalNumber("extraLoadShare", kShare, 0.05);
  ask.booking = reader.OptionalBool("mayBook", false) ? BookingRight::kGranted
                                                      : BookingRight::kNone;
  return ask;
}

Expectation ReadExpectation(JsonObjectReader& reader) {
  Expectation expectation;
  expectation.deadline =
      std::chrono::milliseconds(reader.Integer("deadlineMs", kDeadlineMs));
  expectation.min_coverage = reader.OptionalNumber("leastCoverage", kShare, 1);
  const std::string prefer = reader.OptionalString("prefer", "latency");
  if (prefer != "latency" && prefer != "coverage")
    reader.Report("prefer", "is '" + prefer + "'",
                  "write \"latency\" or \"coverage\"");
  expectation.preference =
      prefer == "coverage" ? Preference::kCoverage : Preference::kLatency;
  return expectation;
}

Agreement ReadAgreement(JsonObjectReader& reader) {
  Agreement agreement;
  agreement.party = reader.String("party");
  reader.ForEachString("keyDigests", [&](const std::string& digest) {
    if (!IsDigest(digest))
      reader.Report("keyDigests", "holds '" + digest + "'",
                    "give the SHA-256 of the key in 64 lower-case hex digits");
    agreement.key_digests.push_back(digest);
  });
  reader.ForEachObject("asks", [&](JsonObjectReader& element) {
    agreement.upstream_terms.push_back(ReadAsk(element));
  });
  reader.Object("expects", [&](JsonObjectReader& element) {
    agreement.expectation = ReadExpectation(element);
  });
  return agreement;
}

void CheckReferences(const Configuration& configuration,
                     const std::map<std::string, std::string>& party_files,
                     Issues& issues) {
  for (const Agreement& agreement : configuration.agreements) {
    std::set<std::string> seen;
    for (const UpstreamTerms& ask : agreement.upstream_terms) {
      const std::string& file = party_files.at(agreement.party);
      if (!configuration.FindUpstream(ask.upstream))
        issues.push_back({file, "asks", "names upstream '" + ask.upstream + "'",
                          "name an upstream of upstreams.json"});
      if (!seen.insert(ask.upstream).second)
        issues.push_back({file, "asks", "names '" + ask.upstream + "' twice",
                          "keep one entry per upstream"});
    }
  }
}

void CheckServers(const Configuration& configuration, Issues& issues) {
  std::set<std::string> addresses;
  std::set<std::string> names;
  for (const Upstream& upstream : configuration.upstreams) {
    if (!names.insert(upstream.name).second)
      issues.push_back({std::string(kUpstreamsFile), "upstreams",
                        "names '" + upstream.name + "' twice",
                        "give each upstream a name of its own"});
    for (const Service& service : upstream.services) {
      for (const Server& server : service.servers) {
        if (std::ranges::find(configuration.availability_zones,
                              server.availability_zone) ==
            configuration.availability_zones.end())
          issues.push_back(
              {std::string(kUpstreamsFile), "availabilityZones",
               "lacks '" + server.availability_zone + "' of " + server.address,
               "list every availability zone"});
        if (!addresses.insert(server.address).second)
          issues.push_back({std::string(kUpstreamsFile), "upstreams",
                            "names server " + server.address + " twice",
                            "give each server an address of its own"});
      }
    }
  }
}

std::string ReadFile(const std::filesystem::path& path) {
  std::ifstream stream(path);
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

std::vector<std::filesystem::path> FindAgreementFiles(
    const std::string& directory) {
  std::vector<std::filesystem::path> files;
  std::error_code error;
  for (const auto& entry :
       std::filesystem::recursive_directory_iterator(directory, error)) {
    if (entry.path().filename() == kAgreementFile)
      files.push_back(entry.path());
  }
  std::ranges::sort(files);
  return files;
}

}  // namespace

const UpstreamTerms* Agreement::FindUpstreamTerms(
    const std::string& upstream) const {
  const auto found =
      std::ranges::find(upstream_terms, upstream, &UpstreamTerms::upstream);
  return found == upstream_terms.end() ? nullptr : &*found;
}

const Upstream* Configuration::FindUpstream(std::string_view name) const {
  const auto found = std::ranges::find(upstreams, name, &Upstream::name);
  return found == upstreams.end() ? nullptr : &*found;
}

const Agreement* Configuration::FindAgreement(std::string_view party) const {
  const auto found = std::ranges::find(agreements, party, &Agreement::party);
  return found == agreements.end() ? nullptr : &*found;
}

std::string SerializeManifest(const Manifest& manifest) {
  return json{{"revision", manifest.revision},
              {"publicationId", manifest.publication_id},
              {"contentDigest", manifest.content_digest},
              {"summary", manifest.summary}}
      .dump();
}

base::Result<Manifest> ParseManifest(std::string_view text) {
  Issues issues;
  const json document = ParseJsonWithComments(text, "manifest", issues);
  Manifest manifest;
  if (issues.empty()) {
    JsonObjectReader reader(document, "manifest", "", issues);
    manifest.revision =
        static_cast<uint64_t>(reader.Integer("revision", {1, INT64_MAX}));
    manifest.publication_id = reader.String("publicationId");
    manifest.content_digest = reader.String("contentDigest");
    manifest.summary = reader.OptionalString("summary", "none");
  }
  if (!issues.empty())
    return base::Fail(base::ErrorKind::kProtocol, ToString(issues.front()),
                      "publish the configuration again");
  return manifest;
}

CollectedConfiguration CollectDirectory(const std::string& directory) {
  CollectedConfiguration collected;
  json files = json::object();
  const std::filesystem::path root(directory);
  std::vector<std::filesystem::path> paths = FindAgreementFiles(directory);
  paths.push_back(root / kUpstreamsFile);
  for (const auto& path : paths) {
    const std::string name = path.lexically_relative(root).string();
    const std::string text = ReadFile(path);
    const json document = ParseJsonWithComments(text, name, collected.issues);
    files[name] = document;
    collected.file_digests[name] = base::Sha256Hex(document.dump());
  }
  collected.content = files.dump();
  if (collected.issues.empty())
    collected.issues = ParseContent(collected.content, 1).issues;
  if (collected.content.size() > kMaxContentBytes)
    collected.issues.push_back(
        {directory, "", "exceeds one megabyte in all",
         "the key-value service holds no larger value; shorten the files"});
  return collected;
}

ParsedConfiguration ParseContent(std::string_view content, uint64_t revision) {
  ParsedConfiguration parsed;
  Configuration& configuration = parsed.configuration;
  configuration.revision = revision;
  const json files = ParseJsonWithComments(content, "content", parsed.issues);
  if (!files.is_object()) {
    parsed.issues.push_back(
        {"content", "", "is no set of files", "publish the directory again"});
    return parsed;
  }
  std::map<std::string, std::string> party_files;
  for (const auto& [name, document] : files.items()) {
    JsonObjectReader reader(document, name, "", parsed.issues);
    if (name == kUpstreamsFile) {
      configuration.deployment = reader.String("deployment");
      reader.ForEachString("availabilityZones", [&](const std::string& zone) {
        configuration.availability_zones.push_back(zone);
      });
      reader.ForEachObject("upstreams", [&](JsonObjectReader& element) {
        configuration.upstreams.push_back(ReadUpstream(element));
      });
    } else {
      configuration.agreements.push_back(ReadAgreement(reader));
      const std::string& party = configuration.agreements.back().party;
      if (!party_files.emplace(party, name).second)
        reader.Report("party", "'" + party + "' has an agreement already",
                      "keep one agreement file per party");
    }
    reader.RejectUnknownKeys();
  }
  CheckServers(configuration, parsed.issues);
  CheckReferences(configuration, party_files, parsed.issues);
  return parsed;
}

}  // namespace config
