// Sends work and faults to a fake tier, records what an outside observer sees,
// and reports violations of the promises.

#ifndef TESTS_LIBNODE_ORACLE_H_
#define TESTS_LIBNODE_ORACLE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Fakes/fake_tier.h"

namespace oracle {

// The promises that a tier makes to its users. The fuzzer prints their numbers.
enum class Promise {
  // All results of an answer are of one index version.
  kOneSnapshot = 1,
  // An answer names each shard once, as covered or as missing, and covered are
  // exactly the shards that it has results of.
  kAccurateCoverage,
  // A query that a node accepted gets a well-formed answer, which holds only
  // results of this query and whose outcome is not unknown.
  kCorrectAnswer,
  // No server ran a query or a booking that was reported as not run.
  kNotRunIsCorrect,
  // A booking runs at most once, and has run if it was reported as answered.
  kAtMostOnce,
  // Soon after a server has begun to leave it gets no new work, and no server
  // gets more connections than its limit.
  kNoWorkForLeavingServers,
  // A draining node still answers the queries that it accepted.
  kGracefulShutdown,
  // A published revision is soon in force on all nodes, and the revision of
  // answers never falls.
  kConfigurationInForce,
};

struct Violation {
  Promise promise;
  std::string description;
};

class Oracle {
 public:
  explicit Oracle(uint64_t seed);

  void Query(int node, int caller);
  // Gets a ticket from `node`, sends a booking with it there, and repeats the
  // booking at `repeat_node`.
  void Book(int node, int repeat_node);
  void Publish();
  void Kill(int node);
  void Restart(int node);
  void Freeze(int node);
  void Resume(int node);
  void Drain(int node);
  void CutNodes(int a, int b);
  // Cuts one direction between the node and the store.
  void CutStore(int node, bool towards_store);
  // Makes `server(index)` unreachable for the node.
  void CutServer(int node, int index);
  void Heal();
  void SetStoreOutage(bool outage);
  // Makes the store execute a write whose answer is lost.
  void LoseNextWriteAnswer();
  // Kills the nodes and the servers of the zone.
  void KillZone(int zone);
  // Gives the servers a new index version, beside the old one or in its place,
  // and possibly with another shard count.
  void ChangeIndex(bool keep_old, bool repartition);
  // Lets the time pass while callers send queries and bookings.
  void RunUnderLoad(base::Duration duration);
  fakes::FakeServer& server(int index);
  // Makes about half of the open connections to servers fall silent for good.
  void SilenceConnections();
  void SetStoreJitter(base::Duration jitter);

  // Ends all faults, lets all work finish, and checks the promises that can be
  // judged only at the end.
  void FinishAndCheck();

  const std::vector<Violation>& violations() const { return violations_; }
  // Numbers of queries that were sent to accepting nodes, and of queries that
  // were answered without a missing shard.
  int accepted_query_count() const { return accepted_query_count_; }
  int fully_answered_query_count() const { return fully_answered_query_count_; }
  // Returns the number of bookings whose outcome was reported as unknown
  // although no server ran them.
  int unknown_but_not_run_booking_count() const {
    return unknown_but_not_run_booking_count_;
  }
  int booking_count() const { return booking_count_; }
  fakes::FakeTier& tier() { return tier_; }

 private:
  // A booking and the outcomes that any of its answers reported.
  struct BookingRecord {
    std::string ticket;
    bool was_reported_not_run = false;
    bool was_reported_unknown = false;
    bool was_reported_answered = false;
  };
  // How often something happened that excuses a node from a promise. A count
  // that has not changed means that nothing happened in the meantime.
  struct DisruptionCounts {
    uint64_t tier = 0;  // Changes of cuts and of the store.
    // Kills, restarts, freezes and resumptions.
    std::map<int, uint64_t> by_node;
  };

  void SendLoad();
  void ReportViolation(Promise promise, std::string description);
  void OnQueryAnswer(const std::string& query_text,
                     int node,
                     int caller,
                     uint64_t least_revision,
                     const std::string& response_body);
  void CheckShards(const std::string& query_text,
                   const std::string& response_body);
  void CheckRevision(int node,
                     int caller,
                     uint64_t least_revision,
                     uint64_t revision);
  void CheckMissingAnswer(int node,
                          uint64_t node_disruptions,
                          const std::string& description);
  void SendBooking(int node,
                   const std::shared_ptr<BookingRecord>& record,
                   const std::string& key);
  void CheckInForce(uint64_t revision,
                    const DisruptionCounts& before,
                    const std::vector<int>& nodes);
  int BookingRunCount(const std::string& ticket);
  bool WasQueryRun(const std::string& query_text);

  fakes::FakeTier tier_;
  std::vector<Violation> violations_;
  // The highest revision of an answer, by caller and by node.
  std::map<int, uint64_t> caller_revision_;
  std::map<int, uint64_t> node_revision_;
  std::vector<std::shared_ptr<BookingRecord>> booking_records_;
  std::vector<std::string> queries_reported_not_run_;  // Their texts.
  std::set<int> draining_nodes_;
  DisruptionCounts disruptions_;
  // Whether nodes may not have learned of a leaving server, or have lost what
  // they knew, because of a cut or because no node was running.
  bool may_not_know_leaving_servers_ = false;
  bool has_tier_fault_ = false;  // Set by cuts and outages until Heal.
  uint64_t index_version_ = 1;
  int next_text_number_ = 1;  // Makes query texts and booking keys unique.
  int load_count_ = 0;
  int accepted_query_count_ = 0;
  int fully_answered_query_count_ = 0;
  int booking_count_ = 0;
  int unknown_but_not_run_booking_count_ = 0;
};

}  // namespace oracle

#endif  // TESTS_LIBNODE_ORACLE_H_
