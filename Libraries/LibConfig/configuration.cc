// Reads configuration files, checks them, and parses published content.

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
constexpr size_t kSha256HexLength = 64;
constexpr NumberRange kRateRange{0.001, 1e9};
constexpr NumberRange kShareRange{0, 1};
constexpr IntegerRange kCountRange{1, 100'000};
constexpr IntegerRange kDeadlineMsRange{1, 60'000};

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
  upstream.slots = static_cast<int>(reader.Integer("slots", kCountRange));
  upstream.connections =
      static_cast<int>(reader.Integer("connections", kCountRange));
  upstream.new_connection_cost = std::chrono::milliseconds(
      reader.OptionalInteger("newConnectionMs", {0, 10'000}, 0));
  reader.ForEachObject("services", [&](JsonObjectReader& element) {
    upstream.services.push_back(ReadService(element));
  });
  if (upstream.services.empty())
    reader.Report("services", "is empty", "list at least one service");
  return upstream;
}

bool IsSha256Hex(const std::string& text) {
  return text.size() == kSha256HexLength &&
         text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

UpstreamTerms ReadUpstreamTerms(JsonObjectReader& reader) {
  UpstreamTerms terms;
  terms.upstream = reader.String("upstream");
  terms.sub_requests_per_second =
      reader.OptionalNumber("subRequestsPerSecond", kRateRange, 1);
  terms.burst =
      reader.OptionalNumber("burst", kRateRange, terms.sub_requests_per_second);
  terms.concurrency =
      static_cast<int>(reader.OptionalInteger("concurrency", kCountRange, 64));
  terms.extra_load_share =
      reader.OptionalNumber("extraLoadShare", kShareRange, 0.05);
  terms.booking = reader.OptionalBool("mayBook", false) ? BookingRight::kGranted
                                                        : BookingRight::kNone;
  return terms;
}

Expectation ReadExpectation(JsonObjectReader& reader) {
  Expectation expectation;
  expectation.default_time_allowed =
      std::chrono::milliseconds(reader.Integer("deadlineMs", kDeadlineMsRange));
  expectation.min_coverage =
      reader.OptionalNumber("leastCoverage", kShareRange, 1);
  const std::string preference = reader.OptionalString("prefer", "latency");
  if (preference != "latency" && preference != "coverage")
    reader.Report("prefer", "is '" + preference + "'",
                  "write \"latency\" or \"coverage\"");
  expectation.preference =
      preference == "coverage" ? Preference::kCoverage : Preference::kLatency;
  return expectation;
}

Agreement ReadAgreement(JsonObjectReader& reader) {
  Agreement agreement;
  agreement.party = reader.String("party");
  reader.ForEachString("keyDigests", [&](const std::string& digest) {
    if (!IsSha256Hex(digest))
      reader.Report("keyDigests", "contains '" + digest + "'",
                    "give the SHA-256 of the key as 64 lower-case hex digits");
    agreement.key_digests.push_back(digest);
  });
  reader.ForEachObject("asks", [&](JsonObjectReader& element) {
    agreement.upstream_terms.push_back(ReadUpstreamTerms(element));
  });
  reader.Object("expects", [&](JsonObjectReader& element) {
    agreement.expectation = ReadExpectation(element);
  });
  return agreement;
}

// Checks that each agreement names each upstream at most once, and only
// upstreams that exist. `party_files` gives the file of each party's agreement.
void CheckUpstreamTerms(const Configuration& configuration,
                        const std::map<std::string, std::string>& party_files,
                        Issues& issues) {
  for (const Agreement& agreement : configuration.agreements) {
    std::set<std::string> named_upstreams;
    for (const UpstreamTerms& terms : agreement.upstream_terms) {
      const std::string& file = party_files.at(agreement.party);
      if (!configuration.FindUpstream(terms.upstream))
        issues.push_back({file, "asks",
                          "names unknown upstream '" + terms.upstream + "'",
                          "name an upstream of upstreams.json"});
      if (!named_upstreams.insert(terms.upstream).second)
        issues.push_back({file, "asks", "names '" + terms.upstream + "' twice",
                          "keep one entry per upstream"});
    }
  }
}

// Checks that upstream names and server addresses are unique, and that the list
// of availability zones contains that of each server.
void CheckUpstreams(const Configuration& configuration, Issues& issues) {
  std::set<std::string> addresses;
  std::set<std::string> upstream_names;
  for (const Upstream& upstream : configuration.upstreams) {
    if (!upstream_names.insert(upstream.name).second)
      issues.push_back({std::string(kUpstreamsFile), "upstreams",
                        "names '" + upstream.name + "' twice",
                        "give each upstream a unique name"});
    for (const Service& service : upstream.services) {
      for (const Server& server : service.servers) {
        if (std::ranges::find(configuration.availability_zones,
                              server.availability_zone) ==
            configuration.availability_zones.end())
          issues.push_back({std::string(kUpstreamsFile), "availabilityZones",
                            "lacks '" + server.availability_zone +
                                "' of server " + server.address,
                            "list every availability zone"});
        if (!addresses.insert(server.address).second)
          issues.push_back({std::string(kUpstreamsFile), "upstreams",
                            "names server " + server.address + " twice",
                            "give each server a unique address"});
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
        {directory, "", "contains more than one megabyte in total",
         "shorten the files; the key-value service stores no larger value"});
  return collected;
}

ParsedConfiguration ParseContent(std::string_view content, uint64_t revision) {
  ParsedConfiguration parsed;
  Configuration& configuration = parsed.configuration;
  configuration.revision = revision;
  const json files = ParseJsonWithComments(content, "content", parsed.issues);
  if (!files.is_object()) {
    parsed.issues.push_back({"content", "", "is not a JSON object of files",
                             "publish the directory again"});
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
        reader.Report("party", "'" + party + "' already has an agreement",
                      "keep one agreement file per party");
    }
    reader.RejectUnknownKeys();
  }
  CheckUpstreams(configuration, parsed.issues);
  CheckUpstreamTerms(configuration, party_files, parsed.issues);
  return parsed;
}

}  // namespace config
