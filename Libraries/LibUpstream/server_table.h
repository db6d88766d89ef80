// What this node knows of each server: outstanding calls, latency, whether it
// leaves and whether it answers at all.

#ifndef LIBUPSTREAM_SERVER_TABLE_H_
#define LIBUPSTREAM_SERVER_TABLE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "LibBase/sharded.h"
#include "LibBase/time.h"
#include "LibUpstream/server_report.h"

namespace upstream {

struct ServerView {
  std::string address;
  int outstanding = 0;
  base::Duration latency{};  // Decayed mean; zero while none is known.
  bool is_leaving = false;
  bool is_unreachable = false;
  // How long the server has answered none of its calls; zero where it has no
  // unanswered ones, and where a call may try whether it answers again.
  base::Duration silence{};
  // Decayed share of calls that failed, refusals included.
  double failure_share = 0;
  // When the newest of the calls began that the server has answered.
  base::Instant newest_answered_start{};
  // Whether the server is in another availability zone than this node.
  bool is_remote = false;

  bool operator==(const ServerView&) const = default;
};

enum class CallEnd { kAnswered, kFailed, kAbandoned };

class ServerTable {
 public:
  ServerView View(const std::string& address, base::Instant now);

  void OnCallStarted(const std::string& address, base::Instant now);
  // For kAbandoned, `elapsed` is a lower bound of the latency.
  void OnCallEnded(const std::string& address,
                   CallEnd end,
                   base::Duration elapsed,
                   base::Instant now);

  // A connection attempt failed: the server is avoided for a while.
  void OnUnreachable(const std::string& address, base::Instant now);

  // Marks the current incarnation as leaving, for good. Returns whether that
  // was news. `incarnation` 0 means the newest that is known.
  bool MarkLeaving(const std::string& address, uint64_t incarnation);

  // Returns whether the server's phase changed to leaving.
  bool OnReport(const ServerReport& report);

  std::vector<ServerView> Dump(base::Instant now);

 private:
  struct Entry {
    int outstanding = 0;  // Never negative.
    double latency_us = 0;
    uint64_t known_incarnation = 0;
    // The highest incarnation that said it leaves. Sticky: a later report of
    // the same incarnation can't take it back.
    std::optional<uint64_t> leaving_incarnation;
    base::Instant unreachable_until{};
    // When a call last ended, or the first of the unanswered ones began.
    base::Instant last_progress{};
    // Calls given up since the last that ended by itself.
    int abandoned = 0;
    base::Instant last_abandoned{};
    // When a server with abandoned calls may get the next one.
    base::Instant next_trial{};
    double failure_share = 0;
    base::Instant last_end{};  // Of a call.
    double usual_gap = 0;      // Seconds between ends of calls; 0 unknown.
    base::Instant newest_answered_start{};
    void NoteGap(base::Instant now);
  };
  // What the estimates of the entry still count for; from 1 down to 0.
  static double Fading(const Entry& entry, base::Instant now);
  static base::Duration TrialPause(const Entry& entry, base::Instant now);
  static ServerView ToView(const std::string& address,
                           const Entry& entry,
                           base::Instant now);

  base::Sharded<std::unordered_map<std::string, Entry>> entries_;
};

}  // namespace upstream

#endif  // LIBUPSTREAM_SERVER_TABLE_H_
