// A simulated server of an upstream in virtual time. It has slots, a queue and
// index versions, and records everything that it runs.

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

// Draws the time for which one call occupies a slot.
using ServiceTime = std::function<base::Duration(base::Random& random)>;

// The tier promises that a leaving server gets no new work later than this
// after its first notice.
inline constexpr base::Duration kLeavingGrace = std::chrono::seconds(3);

class FakeServer {
 public:
  // Faults that a test may set at any time.
  struct Faults {
    double service_time_factor = 1;
    bool dead = false;     // Refuses connections and answers nothing.
    bool stalled = false;  // Accepts work but starts none.
    bool leaving = false;
    // The report says that the server is serving although it is leaving.
    bool denies_leaving = false;
    // How many of the next answers carry the id of another request.
    int mismatched_answers = 0;
    // Answers come from the newest index version, whichever was requested.
    bool answers_newest_version = false;
    // Bookings run, but then the outcome is a broken connection.
    bool resets_after_booking = false;
    // How many of the next answers lack a shard.
    int incomplete_answers = 0;
  };
  struct Record {
    uint64_t shard_calls = 0;  // Calls that were run.
    // Calls rejected because the queue was full or their deadline had passed.
    uint64_t shed = 0;
    std::map<std::string, int> booking_runs;  // Number of runs by run id.
    std::set<std::string> queries;            // Texts of queries that ran.
    // Calls received later than kLeavingGrace after the first notice of
    // leaving.
    uint64_t calls_after_leaving_grace = 0;
    int most_connections = 0;
  };

  FakeServer(VirtualScheduler& scheduler,
             base::Random& random,
             std::string address,
             int slots,
             int connection_limit,
             ServiceTime service_time);

  // Both call `done` once unless the server dies or restarts first, or
  // stays stalled.
  void RunShards(const upstream::ShardCall& call,
                 base::Instant deadline,
                 std::function<void(upstream::ShardOutcome)> done);
  void RunBooking(const std::string& run_id,
                  base::Instant deadline,
                  std::function<void(query::BookingOutcome)> done);

  // Returns false if the connection limit is reached or the server is dead.
  bool Connect();
  void Disconnect() { --connections_; }

  void SetHeld(std::vector<upstream::HeldIndex> held);
  void SetLeaving(bool leaving);
  // Starts a new process: clears the faults and drops all work, but keeps the
  // index versions and the count of connections.
  void StartNewProcess();
  upstream::ServerReport Report();
  // Starts queued work as far as slots are free. A test calls this after it
  // has cleared `stalled`.
  void StartQueuedWork();

  const std::string& address() const { return address_; }
  const Record& record() const { return record_; }

  Faults faults;

 private:
  struct Work {
    base::Instant deadline;
    uint64_t incarnation;  // Of the process that accepted the work.
    std::function<void()> run;
    std::function<void()> reject;
  };
  void Enqueue(Work work);
  void RecordCallWhileLeaving();
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
  // When a report or a refusal first told anyone that the server is leaving.
  std::optional<base::Instant> leaving_known_since_;
  Record record_;
};

// Returns what a server answers for a shard. The oracle compares answers with
// it.
std::string ItemsOf(uint64_t version, uint32_t shard, const std::string& query);

}  // namespace fakes

#endif  // FAKES_FAKE_SERVER_H_
