// Issues tickets and runs the booking of each ticket at most once.

#ifndef LIBQUERY_BOOKING_CONTROLLER_H_
#define LIBQUERY_BOOKING_CONTROLLER_H_

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "LibBase/lock_striped.h"
#include "LibBase/scheduler.h"
#include "LibQuery/booking_interfaces.h"
#include "LibQuery/ticket.h"
#include "LibRouting/holder_map.h"
#include "LibUpstream/snapshot_catalogue.h"

namespace query {

struct BookingRules {
  // A booking may start for this long after its ticket was issued.
  base::Duration ticket_life = std::chrono::seconds(30);
  // An outcome is remembered for this long after the ticket's expiry. Later the
  // outcome is reported as kUnknown.
  base::Duration retention = std::chrono::minutes(5);

  bool operator==(const BookingRules&) const = default;
};

// The objects and callbacks that the controller uses. All references outlive
// the controller.
struct BookingDependencies {
  std::string node_id;
  std::string process_id;  // Unique among all processes of all nodes.
  std::string secret;      // Never leaves the process.
  base::Scheduler& scheduler;
  BookingExecutor& executor;
  BookingForwarder& forwarder;
  upstream::SnapshotCatalogue& snapshots;
  std::function<std::shared_ptr<const routing::HolderMap>()> holders;
  // Decides whether a booking may start. Calls back once, at any time, with the
  // reason for a refusal or, if the booking may start, with nothing.
  using AdmitCallback = std::function<void(std::optional<base::Error>)>;
  std::function<void(const Booking&, AdmitCallback)> admit;
  // Called once for each ticket of this process whose booking has run or may
  // have run.
  std::function<void(const Booking&)> on_possible_run;
};

class BookingController {
 public:
  BookingController(BookingDependencies dependencies, BookingRules rules);

  // Returns the text of a new ticket that only `party` can use.
  std::string IssueTicket(const std::string& party);

  // Runs the booking of a ticket, or forwards it to the node that issued the
  // ticket. Calls `callback` once, at `deadline` at the latest. A repeated call
  // with the same ticket never runs the booking again.
  void Book(const std::string& ticket_text,
            Booking booking,
            base::Instant deadline,
            BookingCallback callback);

  // Returns the outcome of an attempt that is refused before it reaches Book.
  // If this process issued the ticket and the ticket is unused, it becomes
  // void, so that an earlier attempt that is still on its way can't run after
  // this attempt was answered with kNotRun.
  BookingOutcome RefuseAttempt(const std::string& ticket_text,
                               const std::string& party,
                               const base::Error& reason);

  // Returns the number of bookings that this process remembers.
  size_t remembered_count();
  const BookingRules& rules() const { return rules_; }

 private:
  struct Record {
    Booking booking;  // Empty if RefuseAttempt voided the unused ticket.
    base::Instant forget_at;
    bool finished = false;
    BookingOutcome outcome;                // Valid if `finished`.
    std::vector<BookingCallback> waiters;  // Empty if `finished`.
  };
  using Records = std::unordered_map<uint64_t, Record>;

  void BookAsIssuer(const std::string& ticket_text,
                    const Ticket& ticket,
                    Booking booking,
                    base::Instant deadline,
                    BookingCallback callback);
  void AdmitAndRun(const std::string& ticket_text,
                   const Ticket& ticket,
                   const Booking& booking,
                   base::Instant deadline);
  void StartRun(const std::string& ticket_text,
                const Ticket& ticket,
                const Booking& booking,
                base::Instant deadline);
  void RunAtNextNode(std::vector<std::string> nodes,
                     BookingRun run,
                     base::Instant deadline,
                     uint64_t sequence);
  void Finish(uint64_t sequence, BookingOutcome outcome);
  void AnswerBy(base::Instant deadline, BookingCallback& callback);
  void EraseExpiredRecords();

  const BookingDependencies dependencies_;
  const BookingRules rules_;
  std::atomic<uint64_t> next_sequence_{1};
  std::atomic<base::Instant::rep> next_sweep_us_{0};
  base::LockStriped<Records> records_;  // By ticket sequence.
};

}  // namespace query

#endif  // LIBQUERY_BOOKING_CONTROLLER_H_
