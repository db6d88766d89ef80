// Tracks the health of each server as this node sees it: outstanding calls,
// latency, failures, whether it is leaving and whether it answers at all.

#ifndef LIBUPSTREAM_SERVER_TABLE_H_
#define LIBUPSTREAM_SERVER_TABLE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "LibBase/lock_striped.h"
#include "LibBase/time.h"
#include "LibUpstream/server_report.h"

namespace upstream {

// The health of one server at one instant.
struct ServerView {
  std::string identity;      // As config::Server::identity.
  int outstanding = 0;       // Calls of this node that have not ended.
  base::Duration latency{};  // Decayed mean; zero while none is known.
  bool is_leaving = false;
  bool is_unreachable = false;
  // How long the server has answered none of its calls. Zero if it has no
  // unanswered calls, and while a trial call may be sent to see whether it
  // answers again.
  base::Duration silence{};
  // The decayed share of calls that failed, including refused calls.
  double failure_share = 0;
  // The latest start time of all calls that the server has answered.
  base::Instant newest_answered_start{};
  // Whether the server is in another availability zone than this node. Set by
  // callers of ServerTable, which does not know the zones.
  bool is_remote = false;

  bool operator==(const ServerView&) const = default;
};

// How a call ended. An abandoned call was given up before it was answered.
enum class CallEnd { kAnswered, kFailed, kAbandoned };

// Safe from any thread. `identity` is config::Server::identity of the server.
class ServerTable {
 public:
  ServerView View(const std::string& identity, base::Instant now);

  void OnCallStarted(const std::string& identity, base::Instant now);
  // `elapsed` is the latency of the call, or for kAbandoned a lower bound of
  // it.
  void OnCallEnded(const std::string& identity,
                   CallEnd end,
                   base::Duration elapsed,
                   base::Instant now);

  // Records that a connection attempt failed. The server then counts as
  // unreachable for a short time, or until it answers a call.
  void OnUnreachable(const std::string& identity, base::Instant now);

  // Marks an incarnation of the server as leaving, which can't be undone;
  // `incarnation` 0 stands for the newest one that is known. Returns whether
  // the server is leaving now and was not marked before.
  bool MarkLeaving(const std::string& identity, uint64_t incarnation);

  // Records whether the server takes work, if that is known from elsewhere than
  // its reports. One that takes none counts as leaving.
  void SetTakesWork(const std::string& identity, bool takes_work);

  // Applies a report. Returns whether the server's phase changed to leaving.
  bool OnReport(const ServerReport& report);

  // Returns all servers, sorted by identity.
  std::vector<ServerView> Dump(base::Instant now);

 private:
  struct Entry {
    int outstanding = 0;  // Never negative.
    double mean_latency_us = 0;
    uint64_t known_incarnation = 0;  // The newest that was reported.
    // The highest incarnation that announced that it is leaving. A later report
    // of the same incarnation can't revoke this.
    std::optional<uint64_t> leaving_incarnation;
    bool takes_work = true;  // As SetTakesWork was told last.
    base::Instant unreachable_until{};
    // When a call last ended other than by being abandoned or, if later, when
    // the first of the unanswered calls started.
    base::Instant last_progress{};
    // The number of calls abandoned since one was answered or failed.
    int abandoned_calls = 0;
    base::Instant last_abandoned{};
    // When a server with abandoned calls may be sent a trial call.
    base::Instant next_trial{};
    double failure_share = 0;
    base::Instant last_call_end{};
    double mean_gap_seconds = 0;  // Between the ends of calls; 0 if unknown.
    base::Instant newest_answered_start{};
    // Updates the mean gap between the ends of calls.
    void RecordCallEnd(base::Instant now);
  };
  // Returns the weight of the estimates of latency and failures, which falls
  // from 1 towards 0 while the server gets no calls.
  static double RemainingWeight(const Entry& entry, base::Instant now);
  // Returns how long to wait before the next trial call to a silent server.
  static base::Duration TrialDelay(const Entry& entry, base::Instant now);
  static ServerView ToView(const std::string& identity,
                           const Entry& entry,
                           base::Instant now);

  base::LockStriped<std::unordered_map<std::string, Entry>> entries_;
};

}  // namespace upstream

#endif  // LIBUPSTREAM_SERVER_TABLE_H_
