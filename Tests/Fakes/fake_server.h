// A server of an upstream in virtual time: slots, a queue, index versions and
// a record of everything that it ran.

#ifndef FAKES_FAKE_SERVER_H_
#define FAKES_FAKE_SERVER_H_

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Fakes/virtual_scheduler.h"
#include "LibBase/random.h"
#include "LibQuery/booking.h"
#include "LibUpstream/server_report.h"
#include "LibUpstream/transport.h"

namespace fakes {

using ServiceTime = std::function<base::Duration(base::Random& random)>;

// By the promise, a leaving server gets no new work after this time.
inline constexpr base::Duration kLeavingGrace = std::chrono::seconds(3);

class FakeServer {
 public:
  // What a test may set at any time.
  struct Faults {
    double service_time_factor = 1;  // Factor on the service time.
    bool dead = false;               // Refuses connections and answers nothing.
    bool stalled = false;            // Accepts work and starts none.
    bool leaving = false;
    bool denies_leaving = false;  // The report denies that it leaves.
    int mismatched_answers = 0;   // The next answers belong to another request.
    bool answers_newest_version = false;  // Answers are of the newest version.
    bool resets_after_booking =
        false;                   // Runs them, then breaks the connection.
    int incomplete_answers = 0;  // The next answers lack a shard.
  };
  struct Record {
    uint64_t shard_calls = 0;  // Begun to run.
    uint64_t shed = 0;
    std::map<std::string, int> booking_runs;  // By run id.
    std::set<std::string> queries;            // Texts of queries that ran.
    // Work offered later than kLeavingGrace after the first sign of leaving.
    uint64_t late_offers = 0;
    int most_connections = 0;
  };

  FakeServer(VirtualScheduler& scheduler,
             base::Random& random,
             std::string address,
             int slots,
             int connection_limit,
             ServiceTime service_time);

  // Both call `done` once unless the server is dead or stalled.
  void RunShards(const upstream::ShardCall& call,
                 base::Instant deadline,
                 std::function<void(upstream::ShardOutcome)> done);
  void RunBooking(const std::string& run_id,
                  base::Instant deadline,
                  std::function<void(query::BookingOutcome)> done);

  bool Connect();  // False if over the limit or dead.
  void Disconnect() { --connections_; }

  void SetHeld(std::vector<upstream::HeldIndex> held);
  void SetLeaving(bool leaving);
  void StartNewProcess();  // As a new process.
  upstream::ServerReport Report();
  void StartQueuedWork();

  const std::string& address() const { return address_; }
  const Record& record() const { return record_; }

  Faults faults;

 private:
  struct Work {
    base::Instant deadline;
    uint64_t incarnation;
    std::function<void()> run;
    std::function<void()> drop;
  };
  void Enqueue(Work work);
  void NoteOffer();
  upstream::ShardOutcome Answer(const upstream::ShardCall& call);

  VirtualScheduler& scheduler_;
  base::Random& random_;
  const std::string address_;
  const int slots_;
  const int connection_limit_;
  const ServiceTime service_time_;
  uint64_t incarnation_ = 1;
  uint64_t sequence_ = 1;
  std::vector<upstream::HeldIndex> held_;
  std::deque<Work> queue_;
  int running_ = 0;
  int connections_ = 0;
  std::optional<base::Instant> first_sign_;  // Of leaving, given to anyone.
  Record record_;
};

// What a server answers for a shard; the oracle's expectation.
std::string ItemsOf(uint64_t version, uint32_t shard, const std::string& query);

}  // namespace fakes

#endif  // FAKES_FAKE_SERVER_H_
