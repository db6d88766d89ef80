// Runs each booking at most once without shared storage: the ticket names the
// one process that may run the booking, and that process remembers the bookings
// that it ran.

#include "LibQuery/booking_controller.h"

#include <mutex>
#include <utility>

#include "LibBase/log.h"
#include "LibQuery/root_coordinator.h"

namespace query {

namespace {

using base::Error;
using base::ErrorKind;

// Expired records are erased at most once in this period.
constexpr base::Duration kSweepPeriod = std::chrono::seconds(10);

Error InvalidTicketError() {
  return Error(ErrorKind::kInvalidInput,
               "the ticket is invalid or was issued to another party",
               "request a ticket and send it unchanged, as the same party");
}

Error OutcomeLostError() {
  return Error(ErrorKind::kUnavailable,
               "the process that issued the ticket has ended or no longer "
               "remembers it, and may have run the booking before",
               "look the booking up at the service before you book again");
}

Error TimeoutError() {
  return Error(ErrorKind::kTimeout,
               "the booking has no outcome yet and may still run",
               "repeat the request with the same ticket to learn the outcome");
}

}  // namespace

BookingController::BookingController(BookingDependencies dependencies,
                                     BookingRules rules)
    : dependencies_(std::move(dependencies)), rules_(rules) {}

std::string BookingController::IssueTicket(const std::string& party) {
  const Ticket ticket{dependencies_.node_id, dependencies_.process_id,
                      next_sequence_.fetch_add(1),
                      dependencies_.scheduler.Now() + rules_.ticket_life};
  return SerializeTicket(ticket, party, dependencies_.secret);
}

// Replaces `callback` with one that ignores all calls but the first, and calls
// it at the deadline.
void BookingController::AnswerBy(base::Instant deadline,
                                 BookingCallback& callback) {
  struct OnceCallback {
    std::mutex mutex;
    BookingCallback callback;  // Empty once called.
  };
  auto once = std::make_shared<OnceCallback>();
  once->callback = std::move(callback);
  callback = [once](BookingOutcome outcome) {
    BookingCallback taken;
    {
      const std::lock_guard lock(once->mutex);
      taken = std::exchange(once->callback, nullptr);
    }
    if (taken)
      taken(std::move(outcome));
  };
  dependencies_.scheduler.After(
      deadline - dependencies_.scheduler.Now(),
      [callback] { callback(BookingOutcome::Unknown(TimeoutError())); });
}

void BookingController::Book(const std::string& ticket_text,
                             Booking booking,
                             base::Instant deadline,
                             BookingCallback callback) {
  const auto ticket = ParseTicket(ticket_text);
  if (!ticket) {
    callback(BookingOutcome::NotRun(InvalidTicketError()));
    return;
  }
  AnswerBy(deadline, callback);
  if (ticket->node_id != dependencies_.node_id) {
    dependencies_.forwarder.Forward(ticket->node_id, ticket_text, booking,
                                    deadline - dependencies_.scheduler.Now(),
                                    std::move(callback));
    return;
  }
  if (ticket->process_id != dependencies_.process_id) {
    callback(BookingOutcome::Unknown(OutcomeLostError()));
    return;
  }
  // NOTE: A forged ticket with this process's id can't have run anywhere.
  if (!IsTicketMacValid(ticket_text, booking.party, dependencies_.secret)) {
    callback(BookingOutcome::NotRun(InvalidTicketError()));
    return;
  }
  BookAsIssuer(ticket_text, *ticket, std::move(booking), deadline,
               std::move(callback));
}

void BookingController::BookAsIssuer(const std::string& ticket_text,
                                     const Ticket& ticket,
                                     Booking booking,
                                     base::Instant deadline,
                                     BookingCallback callback) {
  EraseExpiredRecords();
  const base::Instant now = dependencies_.scheduler.Now();
  const base::Instant forget_at = ticket.expiry + rules_.retention;
  std::optional<BookingOutcome> known_outcome;
  bool must_start = false;
  records_.With(ticket.sequence, [&](Records& records) {
    const auto found = records.find(ticket.sequence);
    if (found == records.end()) {
      if (now >= forget_at) {
        known_outcome = BookingOutcome::Unknown(OutcomeLostError());
      } else if (now >= ticket.expiry) {
        known_outcome = BookingOutcome::NotRun(
            Error(ErrorKind::kTimeout, "the ticket has expired unused",
                  "request a new ticket"));
      } else {
        Record& record = records[ticket.sequence];
        record.booking = booking;
        record.forget_at = forget_at;
        record.waiters.push_back(std::move(callback));
        must_start = true;
      }
    } else if (found->second.booking != booking &&
               found->second.booking != Booking()) {
      known_outcome = BookingOutcome::NotRun(
          Error(ErrorKind::kConflict,
                "the ticket was used for another booking, which may have run",
                "request one ticket for each booking"));
    } else if (found->second.finished) {
      known_outcome = found->second.outcome;
    } else {
      found->second.waiters.push_back(std::move(callback));
    }
  });
  if (known_outcome)
    callback(*std::move(known_outcome));
  if (must_start)
    AdmitAndRun(ticket_text, ticket, booking, deadline);
}

void BookingController::AdmitAndRun(const std::string& ticket_text,
                                    const Ticket& ticket,
                                    const Booking& booking,
                                    base::Instant deadline) {
  dependencies_.admit(booking, [this, ticket_text, ticket, booking,
                                deadline](std::optional<base::Error> reason) {
    if (reason)
      Finish(ticket.sequence, BookingOutcome::NotRun(*std::move(reason)));
    else
      StartRun(ticket_text, ticket, booking, deadline);
  });
}

BookingOutcome BookingController::RefuseAttempt(const std::string& ticket_text,
                                                const std::string& party,
                                                const base::Error& reason) {
  const auto ticket = ParseTicket(ticket_text);
  const bool is_issued_here =
      ticket && ticket->node_id == dependencies_.node_id &&
      ticket->process_id == dependencies_.process_id &&
      IsTicketMacValid(ticket_text, party, dependencies_.secret);
  if (!is_issued_here)
    return BookingOutcome::Unknown(reason);
  return records_.With(ticket->sequence, [&](Records& records) {
    const auto [found, is_new] = records.try_emplace(ticket->sequence);
    Record& record = found->second;
    if (is_new) {
      record.forget_at = ticket->expiry + rules_.retention;
      record.finished = true;
      record.outcome = BookingOutcome::NotRun(reason);
    }
    return record.finished ? record.outcome : BookingOutcome::Unknown(reason);
  });
}

void BookingController::StartRun(const std::string& ticket_text,
                                 const Ticket& ticket,
                                 const Booking& booking,
                                 base::Instant deadline) {
  const auto snapshot = dependencies_.snapshots.Newest(booking.upstream);
  const uint32_t shard =
      snapshot ? ShardOfKey(booking.key, snapshot->shard_count()) : 0;
  const uint32_t service =
      snapshot ? snapshot->service_of_shard[shard] : upstream::kNoService;
  std::vector<std::string> nodes;
  if (service != upstream::kNoService)
    nodes = dependencies_.holders()->HoldersOf(booking.upstream, service);
  const base::Instant run_deadline = std::min(deadline, ticket.expiry);
  RunAtNextNode(std::move(nodes), {ticket_text, booking, service, {}},
                run_deadline, ticket.sequence);
}

// Tries the holders in order. Goes on to the next holder only if the one before
// proves that it did not run the booking.
void BookingController::RunAtNextNode(std::vector<std::string> nodes,
                                      BookingRun run,
                                      base::Instant deadline,
                                      uint64_t sequence) {
  const base::Instant now = dependencies_.scheduler.Now();
  if (nodes.empty() || now >= deadline) {
    Finish(sequence, BookingOutcome::NotRun(
                         Error(ErrorKind::kUnavailable,
                               "no server could accept the booking in time",
                               "request a new ticket and book again")));
    return;
  }
  const std::string node = nodes.front();
  nodes.erase(nodes.begin());
  run.time_left = deadline - now;
  dependencies_.executor.Run(
      node, run,
      [this, nodes = std::move(nodes), run, deadline,
       sequence](BookingOutcome outcome) mutable {
        if (outcome.status == BookingStatus::kNotRun && !nodes.empty())
          RunAtNextNode(std::move(nodes), std::move(run), deadline, sequence);
        else
          Finish(sequence, std::move(outcome));
      });
}

void BookingController::Finish(uint64_t sequence, BookingOutcome outcome) {
  if (outcome.status == BookingStatus::kUnknown)
    base::Log(base::Event::kBookingUnknown,
              {{"sequence", std::to_string(sequence)},
               {"reason", outcome.error.message()}});
  std::vector<BookingCallback> waiters;
  Booking booking;
  records_.With(sequence, [&](Records& records) {
    Record& record = records[sequence];
    booking = record.booking;
    record.finished = true;
    record.outcome = outcome;
    waiters = std::exchange(record.waiters, {});
  });
  if (outcome.status != BookingStatus::kNotRun)
    dependencies_.on_possible_run(booking);
  for (const BookingCallback& waiter : waiters)
    waiter(outcome);
}

void BookingController::EraseExpiredRecords() {
  const base::Instant now = dependencies_.scheduler.Now();
  auto due = next_sweep_us_.load();
  const auto now_us = now.time_since_epoch().count();
  if (now_us < due || !next_sweep_us_.compare_exchange_strong(
                          due, now_us + kSweepPeriod.count()))
    return;
  records_.ForEachStripe([&](Records& records) {
    std::erase_if(records, [&](const auto& entry) {
      return entry.second.finished && now >= entry.second.forget_at;
    });
  });
}

size_t BookingController::remembered_count() {
  size_t count = 0;
  records_.ForEachStripe([&](Records& records) { count += records.size(); });
  return count;
}

}  // namespace query
