// Checks the promises on answers and on the records of the fake servers.

#include "LibNode/oracle.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace oracle {

using fakes::FakeTier;
using nlohmann::json;

namespace {

constexpr base::Duration kInForceDeadline = std::chrono::seconds(3);
constexpr base::Duration kQuietSettleTime = std::chrono::seconds(12);
constexpr base::Duration kLoadedSettleTime = std::chrono::seconds(4);
constexpr base::Duration kAddressHold = std::chrono::seconds(3);
constexpr base::Duration kAddressHolderQueryPeriod =
    std::chrono::milliseconds(300);
constexpr double kSilencedConnectionShare = 0.5;
constexpr int kZoneCount = 3;
constexpr base::Duration kLoadPeriod = std::chrono::milliseconds(40);
constexpr int kQueriesPerBooking = 5;

std::string PartyOf(int caller) {
  return caller % 2 == 0 ? "party-a" : "party-b";
}

}  // namespace

Oracle::Oracle(uint64_t seed) : tier_({}, seed) {
  tier_.Start();
}

void Oracle::ReportViolation(Promise promise, std::string description) {
  violations_.push_back({promise, std::move(description)});
}

fakes::FakeServer& Oracle::server(int index) {
  auto it = tier_.servers().begin();
  std::advance(it, index % static_cast<int>(tier_.servers().size()));
  return *it->second;
}

void Oracle::Query(int node, int caller) {
  const std::string query_text = "query " + std::to_string(next_text_number_++);
  const uint64_t node_disruptions = disruptions_.by_node[node];
  if (tier_.IsAccepting(node))
    ++accepted_query_count_;
  const bool accepting = tier_.IsAccepting(node);
  // A request that overlaps another may be answered under an older revision
  // than the other. A request that begins after the other's answer may not.
  const uint64_t least_revision =
      std::max(caller_revision_[caller], node_revision_[node]);
  tier_.SendRequest(node,
                    FakeTier::QueryRequest(PartyOf(caller), query_text,
                                           caller_revision_[caller]),
                    [this, query_text, node, caller, node_disruptions,
                     accepting, least_revision](const auto& response) {
                      if (response)
                        OnQueryAnswer(query_text, node, caller, least_revision,
                                      response->body);
                      else if (accepting)
                        CheckMissingAnswer(node, node_disruptions, query_text);
                    });
}

// Reports a violation unless the node ended or was frozen in the meantime.
void Oracle::CheckMissingAnswer(int node,
                                uint64_t node_disruptions,
                                const std::string& description) {
  if (disruptions_.by_node[node] != node_disruptions || !tier_.IsRunning(node))
    return;
  ReportViolation(
      draining_nodes_.contains(node) ? Promise::kGracefulShutdown
                                     : Promise::kCorrectAnswer,
      description + " got no answer from node " + std::to_string(node));
}

void Oracle::OnQueryAnswer(const std::string& query_text,
                           int node,
                           int caller,
                           uint64_t least_revision,
                           const std::string& response_body) {
  const json body = json::parse(response_body, nullptr, false);
  if (!body.is_object()) {
    ReportViolation(Promise::kCorrectAnswer,
                    query_text + ": the answer is no JSON object");
    return;
  }
  if (body.value("outcome", "") == "not_run") {
    queries_reported_not_run_.push_back(query_text);
    return;
  }
  if (body.value("outcome", "") != "answered") {
    ReportViolation(Promise::kCorrectAnswer,
                    query_text + ": wrong outcome for a repeatable query");
    return;
  }
  CheckRevision(node, caller, least_revision,
                body.value("revision", uint64_t{0}));
  CheckShards(query_text, response_body);
  if (body["missing"].empty())
    ++fully_answered_query_count_;
}

void Oracle::CheckShards(const std::string& query_text,
                         const std::string& response_body) {
  const json body = json::parse(response_body);
  const auto version = body["indexVersion"].get<uint64_t>();
  const auto known_shard_count = tier_.shard_counts().find(version);
  if (known_shard_count == tier_.shard_counts().end() ||
      known_shard_count->second != body["shardCount"].get<uint32_t>()) {
    ReportViolation(Promise::kOneSnapshot,
                    query_text + ": no index has this version and shard count");
    return;
  }
  std::vector<uint32_t> listed_shards;
  std::vector<uint32_t> covered_shards =
      body["covered"].get<std::vector<uint32_t>>();
  std::vector<uint32_t> shards_with_results;
  for (const json& result : body["results"]) {
    const auto shard = result["shard"].get<uint32_t>();
    shards_with_results.push_back(shard);
    const std::string items = result["items"].dump();
    if (items == fakes::ItemsOf(version, shard, query_text))
      continue;
    const bool other_version =
        items.ends_with("/" + query_text + "\"") &&
        !items.starts_with("\"" + std::to_string(version) + "/");
    ReportViolation(
        other_version ? Promise::kOneSnapshot : Promise::kCorrectAnswer,
        query_text + ": shard " + std::to_string(shard) + " holds " + items);
  }
  for (const json& missing : body["missing"])
    listed_shards.push_back(missing["shard"].get<uint32_t>());
  std::ranges::copy(shards_with_results, std::back_inserter(listed_shards));
  std::ranges::sort(listed_shards);
  std::ranges::sort(covered_shards);
  std::ranges::sort(shards_with_results);
  std::vector<uint32_t> all_shards(known_shard_count->second);
  for (uint32_t shard = 0; shard < known_shard_count->second; ++shard)
    all_shards[shard] = shard;
  if (listed_shards != all_shards || covered_shards != shards_with_results)
    ReportViolation(
        Promise::kAccurateCoverage,
        query_text + ": covered and missing don't match the results");
}

void Oracle::CheckRevision(int node,
                           int caller,
                           uint64_t least_revision,
                           uint64_t revision) {
  if (revision < least_revision)
    ReportViolation(Promise::kConfigurationInForce,
                    "node " + std::to_string(node) +
                        " answered under revision " + std::to_string(revision));
  caller_revision_[caller] = std::max(caller_revision_[caller], revision);
  node_revision_[node] = std::max(node_revision_[node], revision);
}

void Oracle::Book(int node, int repeat_node) {
  const std::string key = "key " + std::to_string(next_text_number_++);
  const std::string party = PartyOf(0);
  tier_.SendRequest(
      node, FakeTier::TicketRequest(party),
      [this, node, repeat_node, key](const auto& response) {
        const json body = response ? json::parse(response->body, nullptr, false)
                                   : json(nullptr);
        if (!body.is_object() || !body.contains("ticket"))
          return;
        auto record = std::make_shared<BookingRecord>();
        record->ticket = body["ticket"].get<std::string>();
        booking_records_.push_back(record);
        ++booking_count_;
        SendBooking(node, record, key);
        SendBooking(repeat_node, record, key);
        tier_.clock().After(std::chrono::seconds(1),
                            [this, repeat_node, record, key] {
                              SendBooking(repeat_node, record, key);
                            });
      });
}

void Oracle::SendBooking(int node,
                         const std::shared_ptr<BookingRecord>& record,
                         const std::string& key) {
  tier_.SendRequest(
      node, FakeTier::BookingRequest(PartyOf(0), record->ticket, key),
      [record](const auto& response) {
        const json body = response ? json::parse(response->body, nullptr, false)
                                   : json(nullptr);
        if (!body.is_object()) {
          record->was_reported_unknown = true;
          return;
        }
        const std::string outcome = body.value("outcome", "");
        record->was_reported_answered |= outcome == "answered";
        record->was_reported_unknown |= outcome == "unknown";
        record->was_reported_not_run |= outcome == "not_run";
      });
}

void Oracle::Publish() {
  const DisruptionCounts before = disruptions_;
  const auto revision = tier_.Publish("operator");
  if (!revision || has_tier_fault_)
    return;
  std::vector<int> nodes;
  for (int node = 0; node < tier_.node_count(); ++node) {
    if (tier_.IsRunning(node))
      nodes.push_back(node);
  }
  tier_.clock().After(kInForceDeadline,
                      [this, before, nodes, revision = *revision] {
                        CheckInForce(revision, before, nodes);
                      });
}

void Oracle::CheckInForce(uint64_t revision,
                          const DisruptionCounts& before,
                          const std::vector<int>& nodes) {
  if (disruptions_.tier != before.tier)
    return;
  for (const int node : nodes) {
    const auto count_before = before.by_node.find(node);
    const uint64_t node_disruptions =
        count_before == before.by_node.end() ? 0 : count_before->second;
    if (disruptions_.by_node[node] == node_disruptions &&
        tier_.IsRunning(node) &&
        tier_.core(node).answering_revision() < revision)
      ReportViolation(Promise::kConfigurationInForce,
                      "revision " + std::to_string(revision) +
                          " is not in force on node " + std::to_string(node) +
                          ": " + tier_.core(node).StatusText());
  }
}

void Oracle::Kill(int node) {
  ++disruptions_.by_node[node];
  tier_.Kill(node);
}

void Oracle::KillZone(int zone) {
  for (int node = 0; node < tier_.node_count(); ++node) {
    if (node % kZoneCount == zone % kZoneCount)
      Kill(node);
  }
  int index = 0;
  for (const auto& [address, server] : tier_.servers()) {
    if (index++ % kZoneCount == zone % kZoneCount)
      server->faults.dead = true;
  }
}

void Oracle::Restart(int node) {
  ++disruptions_.by_node[node];
  draining_nodes_.erase(node);
  // NOTE: If no other node is running, the new process can't learn from any
  // node which servers are leaving.
  bool alone = true;
  for (int other = 0; other < tier_.node_count(); ++other)
    alone = alone && (other == node || !tier_.IsRunning(other));
  may_not_know_leaving_servers_ = may_not_know_leaving_servers_ || alone;
  tier_.Restart(node);
}

void Oracle::Freeze(int node) {
  ++disruptions_.by_node[node];
  tier_.Freeze(node);
}

void Oracle::Resume(int node) {
  ++disruptions_.by_node[node];
  tier_.Resume(node);
}

void Oracle::Drain(int node) {
  if (!tier_.IsRunning(node) || draining_nodes_.contains(node))
    return;
  draining_nodes_.insert(node);
  tier_.Drain(node);
  // Callers that were given this node's address just before the drain continue
  // to use it for the hold time.
  for (base::Duration at{}; at < kAddressHold;
       at += kAddressHolderQueryPeriod) {
    tier_.clock().After(at, [this, node] {
      if (tier_.IsRunning(node))
        Query(node, 1);
    });
  }
}

void Oracle::CutNodes(int a, int b) {
  ++disruptions_.tier;
  has_tier_fault_ = true;
  may_not_know_leaving_servers_ = true;
  tier_.CutNodes(a, b);
}

void Oracle::CutStore(int node, bool towards_store) {
  ++disruptions_.tier;
  has_tier_fault_ = true;
  tier_.CutStore(node, towards_store);
}

void Oracle::CutServer(int node, int index) {
  tier_.CutServer(node, server(index).address());
}

void Oracle::Heal() {
  ++disruptions_.tier;
  has_tier_fault_ = tier_.store().outage;
  tier_.Heal();
}

void Oracle::SetStoreOutage(bool outage) {
  ++disruptions_.tier;
  has_tier_fault_ = true;
  tier_.store().outage = outage;
}

void Oracle::LoseNextWriteAnswer() {
  ++tier_.store().lost_write_answers;
}

void Oracle::ChangeIndex(bool keep_old, bool repartition) {
  ++index_version_;
  const uint32_t shards = repartition ? 1 + index_version_ % 3 : 2;
  tier_.SetIndex(index_version_, shards, keep_old);
}

void Oracle::SilenceConnections() {
  for (int node = 0; node < tier_.node_count(); ++node)
    tier_.transport(node).SilenceConnections(kSilencedConnectionShare,
                                             tier_.random());
}

// Sends a query, and now and then a booking: callers keep sending requests
// whatever faults are in force.
void Oracle::SendLoad() {
  ++load_count_;
  const int node = load_count_ % tier_.node_count();
  if (tier_.IsAccepting(node))
    Query(node, load_count_ % 3);
  if (load_count_ % kQueriesPerBooking == 0)
    Book(node, (node + load_count_ / kQueriesPerBooking) % tier_.node_count());
}

void Oracle::RunUnderLoad(base::Duration duration) {
  for (base::Duration left = duration; left > base::Duration::zero();
       left -= kLoadPeriod) {
    SendLoad();
    tier_.clock().RunFor(std::min(left, kLoadPeriod));
  }
}

void Oracle::SetStoreJitter(base::Duration jitter) {
  ++disruptions_.tier;
  tier_.store().jitter = jitter;
}

int Oracle::BookingRunCount(const std::string& ticket) {
  int runs = 0;
  for (const auto& [address, server] : tier_.servers()) {
    const auto& all = server->record().booking_runs;
    const auto found = all.find(ticket);
    runs += found == all.end() ? 0 : found->second;
  }
  return runs;
}

bool Oracle::WasQueryRun(const std::string& query_text) {
  return std::ranges::any_of(tier_.servers(), [&](const auto& entry) {
    return entry.second->record().queries.contains(query_text);
  });
}

void Oracle::FinishAndCheck() {
  Heal();
  SetStoreOutage(false);
  SetStoreJitter({});
  for (int node = 0; node < tier_.node_count(); ++node)
    Resume(node);
  RunUnderLoad(kLoadedSettleTime);
  tier_.clock().RunFor(kQuietSettleTime);
  for (const std::string& query_text : queries_reported_not_run_) {
    if (WasQueryRun(query_text))
      ReportViolation(Promise::kNotRunIsCorrect,
                      query_text + " was run but reported as not run");
  }
  for (const auto& record : booking_records_) {
    const int runs = BookingRunCount(record->ticket);
    if (runs > 1)
      ReportViolation(
          Promise::kAtMostOnce,
          record->ticket + " ran " + std::to_string(runs) + " times");
    if (record->was_reported_answered && runs == 0)
      ReportViolation(
          Promise::kAtMostOnce,
          record->ticket + " was reported as answered but never run");
    if (record->was_reported_not_run && runs > 0)
      ReportViolation(Promise::kNotRunIsCorrect,
                      record->ticket + " was run but reported as not run");
    if (record->was_reported_unknown && !record->was_reported_answered &&
        runs == 0)
      ++unknown_but_not_run_booking_count_;
  }
  for (const auto& [address, server] : tier_.servers()) {
    // NOTE: A server that denies that it is leaving shows it only by refusing
    // work. This knowledge can't cross a cut between nodes, and is lost if all
    // nodes that have it end.
    const bool excused =
        server->faults.denies_leaving && may_not_know_leaving_servers_;
    if (server->record().calls_after_leaving_grace > 0 && !excused)
      ReportViolation(Promise::kNoWorkForLeavingServers,
                      address + " was sent work while it was leaving");
    if (server->record().most_connections > 25)
      ReportViolation(Promise::kNoWorkForLeavingServers,
                      address + " had more connections than its limit");
  }
}

}  // namespace oracle
