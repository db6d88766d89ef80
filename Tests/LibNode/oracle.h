// Asks a fake tier, keeps what a simple observer knows, and finds what the
// promises forbid.

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

// The promises of the brief, in its order.
enum class Promise {
  kOneSnapshot = 1,
  kTrueCoverage,
  kWholeAnswer,
  kNotRunIsTrue,
  kAtMostOnce,
  kLeavingGetsNoWork,
  kGracefulShutdown,
  kConfigurationInForce,
};

struct Violation {
  Promise promise;
  std::string what;
};

class Oracle {
 public:
  explicit Oracle(uint64_t seed);

  void Query(int node, int caller);
  // Takes a ticket at `node`, books there, and repeats at `again`.
  void Book(int node, int again);
  void Publish();
  void Kill(int node);
  void Restart(int node);
  void Freeze(int node);
  void Resume(int node);
  void Drain(int node);
  void Cut(int a, int b);
  void CutStore(int node, bool towards_store);
  void CutServer(int node, int server);
  void Heal();
  void SetOutage(bool outage);
  void LoseWriteAnswer();
  void KillZone(int zone);
  void ChangeIndex(bool keep_old, bool repartition);
  void Run(base::Duration duration);
  fakes::FakeServer& server(int index);
  void SilenceConnections();
  void SetStoreJitter(base::Duration jitter);

  // Ends all faults, lets everything finish, and judges the whole run.
  void Settle();

  const std::vector<Violation>& violations() const { return violations_; }
  // Of queries: how many, and how many were answered whole.
  int asked() const { return asked_; }
  int answered() const { return answered_; }
  // Bookings whose outcome was unknown though no server ever ran them.
  int unknown_not_run() const { return unknown_not_run_; }
  int bookings() const { return bookings_; }
  fakes::FakeTier& tier() { return tier_; }

 private:
  struct BookingRecord {
    std::string ticket;
    bool said_not_run = false;
    bool said_unknown = false;
    bool said_answered = false;
  };
  struct Disturbance {
    uint64_t of_tier = 0;             // Cuts, outages.
    std::map<int, uint64_t> of_node;  // Ends, freezes.
  };

  void Load();
  void Report(Promise promise, std::string what);
  void OnQueryAnswer(const std::string& text,
                     int node,
                     int caller,
                     uint64_t floor,
                     const std::string& body);
  void CheckShards(const std::string& text, const std::string& body);
  void CheckRevision(int node, int caller, uint64_t floor, uint64_t revision);
  void CheckMissingAnswer(int node, uint64_t epoch, const std::string& what);
  void SendBooking(int node,
                   const std::shared_ptr<BookingRecord>& record,
                   const std::string& key);
  void CheckInForce(uint64_t revision,
                    const Disturbance& before,
                    const std::vector<int>& nodes);
  int RunsOf(const std::string& ticket);
  bool WasQueryRun(const std::string& text);

  fakes::FakeTier tier_;
  std::vector<Violation> violations_;
  std::map<int, uint64_t> caller_revision_;
  std::map<int, uint64_t> node_revision_;
  std::vector<std::shared_ptr<BookingRecord>> booking_records_;
  std::vector<std::string> not_run_queries_;
  std::set<int> draining_;
  Disturbance disturbance_;
  bool may_lack_knowledge_ = false;
  bool faulty_ = false;  // A cut or an outage is in force.
  uint64_t index_version_ = 1;
  int next_query_ = 1;
  int loads_ = 0;
  int asked_ = 0;
  int answered_ = 0;
  int bookings_ = 0;
  int unknown_not_run_ = 0;
};

}  // namespace oracle

#endif  // TESTS_LIBNODE_ORACLE_H_
