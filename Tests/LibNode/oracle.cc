// The observer's judgement.

#include "LibNode/oracle.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace oracle {

using fakes::FakeTier;
using nlohmann::json;

namespace {

constexpr base::Duration kInForceWithin = std::chrono::seconds(3);
constexpr base::Duration kSettleTime = std::chrono::seconds(12);
constexpr base::Duration kLoadedSettleTime = std::chrono::seconds(4);
constexpr base::Duration kHoldTime = std::chrono::seconds(3);
constexpr base::Duration kHolderAsks = std::chrono::milliseconds(300);
constexpr double kSilentShare = 0.5;
constexpr int kZones = 3;
constexpr base::Duration kLoadPeriod = std::chrono::milliseconds(40);
constexpr int kLoadsPerBooking = 5;

std::string PartyOf(int caller) {
  return caller % 2 == 0 ? "party-a" : "party-b";
}

}  // namespace

Oracle::Oracle(uint64_t seed) : tier_({}, seed) {
  tier_.Start();
}

void Oracle::Report(Promise promise, std::string what) {
  violations_.push_back({promise, std::move(what)});
}

fakes::FakeServer& Oracle::server(int index) {
  auto it = tier_.servers().begin();
  std::advance(it, index % static_cast<int>(tier_.servers().size()));
  return *it->second;
}

void Oracle::Query(int node, int caller) {
  const std::string text = "query " + std::to_string(next_query_++);
  const uint64_t epoch = disturbance_.of_node[node];
  if (tier_.IsAccepting(node))
    ++asked_;
  const bool accepting = tier_.IsAccepting(node);
  // A request that overlaps another may end under an older revision than it;
  // one that began after the other's answer may not.
  const uint64_t floor =
      std::max(caller_revision_[caller], node_revision_[node]);
  tier_.Ask(
      node,
      FakeTier::QueryRequest(PartyOf(caller), text, caller_revision_[caller]),
      [this, text, node, caller, epoch, accepting,
       floor](const auto& response) {
        if (response)
          OnQueryAnswer(text, node, caller, floor, response->body);
        else if (accepting)
          CheckMissingAnswer(node, epoch, text);
      });
}

// A node that neither ended nor stood still owes an answer.
void Oracle::CheckMissingAnswer(int node,
                                uint64_t epoch,
                                const std::string& what) {
  if (disturbance_.of_node[node] != epoch || !tier_.IsRunning(node))
    return;
  Report(draining_.contains(node) ? Promise::kGracefulShutdown
                                  : Promise::kWholeAnswer,
         what + " got no answer from node " + std::to_string(node));
}

void Oracle::OnQueryAnswer(const std::string& text,
                           int node,
                           int caller,
                           uint64_t floor,
                           const std::string& text_body) {
  const json body = json::parse(text_body, nullptr, false);
  if (!body.is_object()) {
    Report(Promise::kWholeAnswer, text + ": no JSON");
    return;
  }
  if (body.value("outcome", "") == "not_run") {
    not_run_queries_.push_back(text);
    return;
  }
  if (body.value("outcome", "") != "answered") {
    Report(Promise::kWholeAnswer, text + ": a query is repeatable");
    return;
  }
  CheckRevision(node, caller, floor, body.value("revision", uint64_t{0}));
  CheckShards(text, text_body);
  if (body["missing"].empty())
    ++answered_;
}

void Oracle::CheckShards(const std::string& text,
                         const std::string& text_body) {
  const json body = json::parse(text_body);
  const auto version = body["indexVersion"].get<uint64_t>();
  const auto known = tier_.shard_counts().find(version);
  if (known == tier_.shard_counts().end() ||
      known->second != body["shardCount"].get<uint32_t>()) {
    Report(Promise::kOneSnapshot, text + ": no such version or shard map");
    return;
  }
  std::vector<uint32_t> named;
  std::vector<uint32_t> covered = body["covered"].get<std::vector<uint32_t>>();
  std::vector<uint32_t> with_results;
  for (const json& result : body["results"]) {
    const auto shard = result["shard"].get<uint32_t>();
    with_results.push_back(shard);
    const std::string items = result["items"].dump();
    if (items == fakes::ItemsOf(version, shard, text))
      continue;
    const bool other_version =
        items.ends_with("/" + text + "\"") &&
        !items.starts_with("\"" + std::to_string(version) + "/");
    Report(other_version ? Promise::kOneSnapshot : Promise::kWholeAnswer,
           text + ": shard " + std::to_string(shard) + " holds " + items);
  }
  for (const json& missing : body["missing"])
    named.push_back(missing["shard"].get<uint32_t>());
  std::ranges::copy(with_results, std::back_inserter(named));
  std::ranges::sort(named);
  std::ranges::sort(covered);
  std::ranges::sort(with_results);
  std::vector<uint32_t> whole(known->second);
  for (uint32_t shard = 0; shard < known->second; ++shard)
    whole[shard] = shard;
  if (named != whole || covered != with_results)
    Report(Promise::kTrueCoverage, text + ": covered and missing are wrong");
}

void Oracle::CheckRevision(int node,
                           int caller,
                           uint64_t floor,
                           uint64_t revision) {
  if (revision < floor)
    Report(Promise::kConfigurationInForce, "node " + std::to_string(node) +
                                               " answered under revision " +
                                               std::to_string(revision));
  caller_revision_[caller] = std::max(caller_revision_[caller], revision);
  node_revision_[node] = std::max(node_revision_[node], revision);
}

void Oracle::Book(int node, int again) {
  const std::string key = "key " + std::to_string(next_query_++);
  const std::string party = PartyOf(0);
  tier_.Ask(
      node, FakeTier::TicketRequest(party),
      [this, node, again, key](const auto& response) {
        const json body = response ? json::parse(response->body, nullptr, false)
                                   : json(nullptr);
        if (!body.is_object() || !body.contains("ticket"))
          return;
        auto record = std::make_shared<BookingRecord>();
        record->ticket = body["ticket"].get<std::string>();
        booking_records_.push_back(record);
        ++bookings_;
        SendBooking(node, record, key);
        SendBooking(again, record, key);
        tier_.clock().After(
            std::chrono::seconds(1),
            [this, again, record, key] { SendBooking(again, record, key); });
      });
}

void Oracle::SendBooking(int node,
                         const std::shared_ptr<BookingRecord>& record,
                         const std::string& key) {
  tier_.Ask(node, FakeTier::BookingRequest(PartyOf(0), record->ticket, key),
            [record](const auto& response) {
              const json body =
                  response ? json::parse(response->body, nullptr, false)
                           : json(nullptr);
              if (!body.is_object()) {
                record->said_unknown = true;
                return;
              }
              const std::string outcome = body.value("outcome", "");
              record->said_answered |= outcome == "answered";
              record->said_unknown |= outcome == "unknown";
              record->said_not_run |= outcome == "not_run";
            });
}

void Oracle::Publish() {
  const Disturbance before = disturbance_;
  const auto revision = tier_.Publish("operator");
  if (!revision || faulty_)
    return;
  std::vector<int> nodes;
  for (int node = 0; node < tier_.node_count(); ++node) {
    if (tier_.IsRunning(node))
      nodes.push_back(node);
  }
  tier_.clock().After(kInForceWithin,
                      [this, before, nodes, revision = *revision] {
                        CheckInForce(revision, before, nodes);
                      });
}

void Oracle::CheckInForce(uint64_t revision,
                          const Disturbance& before,
                          const std::vector<int>& nodes) {
  if (disturbance_.of_tier != before.of_tier)
    return;
  for (const int node : nodes) {
    const auto then = before.of_node.find(node);
    const uint64_t epoch = then == before.of_node.end() ? 0 : then->second;
    if (disturbance_.of_node[node] == epoch && tier_.IsRunning(node) &&
        tier_.core(node).answering_revision() < revision)
      Report(Promise::kConfigurationInForce,
             "revision " + std::to_string(revision) +
                 " is not in force on node " + std::to_string(node) + ": " +
                 tier_.core(node).StatusText());
  }
}

void Oracle::Kill(int node) {
  ++disturbance_.of_node[node];
  tier_.Kill(node);
}

void Oracle::KillZone(int zone) {
  for (int node = 0; node < tier_.node_count(); ++node) {
    if (node % kZones == zone % kZones)
      Kill(node);
  }
  int index = 0;
  for (const auto& [address, server] : tier_.servers()) {
    if (index++ % kZones == zone % kZones)
      server->faults.dead = true;
  }
}

void Oracle::Restart(int node) {
  ++disturbance_.of_node[node];
  draining_.erase(node);
  // NOTE: With no other node up, nobody can tell the new process anything.
  bool alone = true;
  for (int other = 0; other < tier_.node_count(); ++other)
    alone = alone && (other == node || !tier_.IsRunning(other));
  may_lack_knowledge_ = may_lack_knowledge_ || alone;
  tier_.Restart(node);
}

void Oracle::Freeze(int node) {
  ++disturbance_.of_node[node];
  tier_.Freeze(node);
}

void Oracle::Resume(int node) {
  ++disturbance_.of_node[node];
  tier_.Resume(node);
}

void Oracle::Drain(int node) {
  if (!tier_.IsRunning(node) || draining_.contains(node))
    return;
  draining_.insert(node);
  tier_.Drain(node);
  // Callers that have just been told this address use it for the hold time.
  for (base::Duration at{}; at < kHoldTime; at += kHolderAsks) {
    tier_.clock().After(at, [this, node] {
      if (tier_.IsRunning(node))
        Query(node, 1);
    });
  }
}

void Oracle::Cut(int a, int b) {
  ++disturbance_.of_tier;
  faulty_ = true;
  may_lack_knowledge_ = true;
  tier_.CutNodes(a, b);
}

void Oracle::CutStore(int node, bool towards_store) {
  ++disturbance_.of_tier;
  faulty_ = true;
  tier_.CutStore(node, towards_store);
}

void Oracle::CutServer(int node, int index) {
  tier_.CutServer(node, server(index).address());
}

void Oracle::Heal() {
  ++disturbance_.of_tier;
  faulty_ = tier_.store().outage;
  tier_.Heal();
}

void Oracle::SetOutage(bool outage) {
  ++disturbance_.of_tier;
  faulty_ = true;
  tier_.store().outage = outage;
}

void Oracle::LoseWriteAnswer() {
  ++tier_.store().lost_write_answers;
}

void Oracle::ChangeIndex(bool keep_old, bool repartition) {
  ++index_version_;
  const uint32_t shards = repartition ? 1 + index_version_ % 3 : 2;
  tier_.SetIndex(index_version_, shards, keep_old);
}

void Oracle::SilenceConnections() {
  for (int node = 0; node < tier_.node_count(); ++node)
    tier_.transport(node).SilenceConnections(kSilentShare, tier_.random());
}

// Callers go on asking whatever happens.
void Oracle::Load() {
  ++loads_;
  const int node = loads_ % tier_.node_count();
  if (tier_.IsAccepting(node))
    Query(node, loads_ % 3);
  if (loads_ % kLoadsPerBooking == 0)
    Book(node, (node + loads_ / kLoadsPerBooking) % tier_.node_count());
}

void Oracle::Run(base::Duration duration) {
  for (base::Duration left = duration; left > base::Duration::zero();
       left -= kLoadPeriod) {
    Load();
    tier_.clock().RunFor(std::min(left, kLoadPeriod));
  }
}

void Oracle::SetStoreJitter(base::Duration jitter) {
  ++disturbance_.of_tier;
  tier_.store().jitter = jitter;
}

int Oracle::RunsOf(const std::string& ticket) {
  int runs = 0;
  for (const auto& [address, server] : tier_.servers()) {
    const auto& all = server->record().booking_runs;
    const auto found = all.find(ticket);
    runs += found == all.end() ? 0 : found->second;
  }
  return runs;
}

bool Oracle::WasQueryRun(const std::string& text) {
  return std::ranges::any_of(tier_.servers(), [&](const auto& entry) {
    return entry.second->record().queries.contains(text);
  });
}

void Oracle::Settle() {
  Heal();
  SetOutage(false);
  SetStoreJitter({});
  for (int node = 0; node < tier_.node_count(); ++node)
    Resume(node);
  Run(kLoadedSettleTime);
  tier_.clock().RunFor(kSettleTime);
  for (const std::string& text : not_run_queries_) {
    if (WasQueryRun(text))
      Report(Promise::kNotRunIsTrue, text + " was run");
  }
  for (const auto& record : booking_records_) {
    const int runs = RunsOf(record->ticket);
    if (runs > 1)
      Report(Promise::kAtMostOnce,
             record->ticket + " ran " + std::to_string(runs) + " times");
    if (record->said_answered && runs == 0)
      Report(Promise::kAtMostOnce, record->ticket + " was never run");
    if (record->said_not_run && runs > 0)
      Report(Promise::kNotRunIsTrue, record->ticket + " was run");
    if (record->said_unknown && !record->said_answered && runs == 0)
      ++unknown_not_run_;
  }
  for (const auto& [address, server] : tier_.servers()) {
    // NOTE: What only a refusal has shown can't cross a cut, nor outlive all
    // nodes that knew of it.
    const bool excused = server->faults.denies_leaving && may_lack_knowledge_;
    if (server->record().late_offers > 0 && !excused)
      Report(Promise::kLeavingGetsNoWork, address + " was offered work");
    if (server->record().most_connections > 25)
      Report(Promise::kLeavingGetsNoWork, address + " over its limit");
  }
}

}  // namespace oracle
