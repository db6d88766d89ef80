// Issues tickets, and runs the booking of a ticket at most once.

#ifndef LIBQUERY_BOOKING_CONTROLLER_H_
#define LIBQUERY_BOOKING_CONTROLLER_H_

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "LibBase/scheduler.h"
#include "LibBase/sharded.h"
#include "LibQuery/booking_interfaces.h"
#include "LibQuery/ticket.h"
#include "LibRouting/holder_map.h"
#include "LibUpstream/snapshot_catalogue.h"

namespace query {

struct BookingRules {
  // A ticket may start its booking for this long.
  base::Duration ticket_life = std::chrono::seconds(30);
  // After expiry an outcome is remembered for this long; later the answer is
  // kUnknown.
  base::Duration retention = std::chrono::minutes(5);

  bool operator==(const BookingRules&) const = default;
};

// What the controller works with. All outlive it.
struct BookingDependencies {
  std::string node_id;
  std::string incarnation;  // Unique among all processes of all nodes.
  std::string secret;       // Never leaves the process.
  base::Scheduler& scheduler;
  BookingExecutor& executor;
  BookingForwarder& forwarder;
  upstream::SnapshotCatalogue& snapshots;
  std::function<std::shared_ptr<const routing::HolderMap>()> holders;
  // Decides whether a booking may start; calls back once, perhaps later, with
  // the reason against it or with nothing.
  using AdmitCallback = std::function<void(std::optional<base::Error>)>;
  std::function<void(const Booking&, AdmitCallback)> admit;
  // Told once for each booking that was, or may have been, run here.
  std::function<void(const Booking&)> on_run;
};

class BookingController {
 public:
  BookingController(BookingDependencies dependencies, BookingRules rules);

  std::string IssueTicket(const std::string& party);

  // Calls `callback` once, at the latest at `deadline`. Repeating the call
  // with the same ticket never runs the booking again.
  void Book(const std::string& ticket,
            Booking booking,
            base::Instant deadline,
            BookingCallback callback);

  // The outcome of an attempt that is refused before it reaches Book. At the
  // ticket's issuer an unused ticket becomes void, so that an earlier attempt
  // that is still on its way can't run after kNotRun has been said.
  BookingOutcome RefuseAttempt(const std::string& ticket,
                               const std::string& party,
                               const base::Error& reason);

  size_t remembered_count();
  const BookingRules& rules() const { return rules_; }

 private:
  struct Record {
    Booking booking;
    base::Instant forget_at;
    bool finished = false;
    BookingOutcome outcome;                // Meaningful once finished.
    std::vector<BookingCallback> waiters;  // Empty once finished.
  };
  using Records = std::unordered_map<uint64_t, Record>;

  void BookHere(const std::string& text,
                const Ticket& ticket,
                Booking booking,
                base::Instant deadline,
                BookingCallback callback);
  void Admit(const std::string& text,
             const Ticket& ticket,
             const Booking& booking,
             base::Instant deadline);
  void StartRun(const std::string& text,
                const Ticket& ticket,
                const Booking& booking,
                base::Instant deadline);
  void RunAt(std::vector<std::string> nodes,
             BookingRun run,
             base::Instant deadline,
             uint64_t sequence);
  void Finish(uint64_t sequence, BookingOutcome outcome);
  void AnswerBy(base::Instant deadline, BookingCallback& callback);
  void ForgetOld();

  const BookingDependencies dependencies_;
  const BookingRules rules_;
  std::atomic<uint64_t> next_sequence_{1};
  std::atomic<base::Instant::rep> next_sweep_us_{0};
  base::Sharded<Records> records_;  // By ticket sequence.
};

}  // namespace query

#endif  // LIBQUERY_BOOKING_CONTROLLER_H_
