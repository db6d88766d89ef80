// Writes events with Boost.Log, one JSON object per line.

#include "LibBase/log.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <future>
#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>

#include "LibBase/time.h"

namespace base {

namespace {

// A node writes at most about this many lines in a second.
constexpr size_t kMaxQueuedLines = 1000;
constexpr std::chrono::milliseconds kFlushTimeout{200};

constexpr std::array kCatalogue = std::to_array<EventDescription>({
    {Event::kNodeStarted, Severity::kInfo, "node_started",
     "The node is listening on its addresses."},
    {Event::kNodeDraining, Severity::kInfo, "node_draining",
     "The node was asked to stop and finishes its running requests."},
    {Event::kNodeStopped, Severity::kInfo, "node_stopped",
     "The node exits; no request was running any more."},
    {Event::kListenFailed, Severity::kError, "listen_failed",
     "The node can't listen on an address from its settings."},
    {Event::kPauseDetected, Severity::kWarning, "pause_detected",
     "The process was paused for longer than its leases allow."},
    {Event::kSettingsReload, Severity::kInfo, "settings_reload",
     "A reload of the settings file was requested; it takes effect at the next "
     "start."},
    {Event::kLogLinesDropped, Severity::kWarning, "log_lines_dropped",
     "Log lines were dropped because the reader of the log was too slow."},
    {Event::kEventLoopStalled, Severity::kError, "event_loop_stalled",
     "An event loop has run no task for seconds; restart the process."},
    {Event::kEventLoopResumed, Severity::kWarning, "event_loop_resumed",
     "An event loop that had stalled runs tasks again."},
    {Event::kWorkSummary, Severity::kInfo, "work_summary",
     "What the process did since the last such line."},
    {Event::kConfigurationInForce, Severity::kInfo, "configuration_in_force",
     "A higher revision of the configuration took effect."},
    {Event::kConfigurationRejected, Severity::kError, "configuration_rejected",
     "The content of a configuration revision is missing, damaged or invalid."},
    {Event::kStoreUnavailable, Severity::kWarning, "store_unavailable",
     "The key-value service does not answer."},
    {Event::kStoreRecovered, Severity::kInfo, "store_recovered",
     "The key-value service answers again."},
    {Event::kStoreReadFailed, Severity::kWarning, "store_read_failed",
     "A call to the key-value service got no usable answer."},
    {Event::kStoreEraChanged, Severity::kWarning, "store_era_changed",
     "The key-value service came back from an older copy of its contents."},
    {Event::kStoreEntriesOutdated, Severity::kWarning, "store_entries_outdated",
     "Entries of the key-value service were ignored as older than what is "
     "known."},
    {Event::kStoreEraRejected, Severity::kWarning, "store_era_rejected",
     "An answer of the key-value service names an invalid era."},
    {Event::kPeerSuspected, Severity::kWarning, "peer_suspected",
     "A peer did not answer a probe."},
    {Event::kPeerDead, Severity::kWarning, "peer_dead",
     "A suspected peer did not refute the suspicion in time."},
    {Event::kPeerJoined, Severity::kInfo, "peer_joined",
     "A peer became usable for the first time or again."},
    {Event::kPeerCallFailed, Severity::kWarning, "peer_call_failed",
     "A call to a peer ended without an answer."},
    {Event::kFactRejected, Severity::kError, "fact_rejected",
     "A fact received by gossip can't be parsed."},
    {Event::kMembersMissing, Severity::kWarning, "members_missing",
     "The node knows far fewer members than its peers do."},
    {Event::kMembersComplete, Severity::kInfo, "members_complete",
     "The node knows about as many members as its peers again."},
    {Event::kServerLeaving, Severity::kInfo, "server_leaving",
     "A server of an upstream is leaving and gets no new work."},
    {Event::kServerUnreachable, Severity::kWarning, "server_unreachable",
     "A connection to a server failed."},
    {Event::kServerProtocolError, Severity::kError, "server_protocol_error",
     "A server's answer is damaged or belongs to another request."},
    {Event::kSnapshotChanged, Severity::kInfo, "snapshot_changed",
     "New queries use another index version of an upstream."},
    {Event::kClaimRejected, Severity::kWarning, "claim_rejected",
     "An entry of the server registry is invalid and was ignored."},
    {Event::kServerLimitChanged, Severity::kInfo, "server_limit_changed",
     "A server named another limit of its requests, or none any more."},
    {Event::kServerStatementRejected, Severity::kWarning,
     "server_statement_rejected",
     "What a server said of itself is invalid and was ignored."},
    {Event::kBookingUnknown, Severity::kWarning, "booking_unknown",
     "A booking ended without a known outcome."},
    {Event::kUsageWritten, Severity::kInfo, "usage_written",
     "Usage counters were written to the key-value service."},
    {Event::kUsageWriteFailed, Severity::kWarning, "usage_write_failed",
     "Usage counters couldn't be written to the key-value service yet."},
    {Event::kRequestEnded, Severity::kInfo, "request_ended",
     "A forwarded request failed, was late, got a partial answer, or was "
     "sampled."},
    {Event::kDelegatedWorkEnded, Severity::kInfo, "delegated_work_ended",
     "Work that another node delegated to this one ended incomplete."},
});

std::string& ProcessName() {
  static std::string name = "celerycroft";
  return name;
}

std::string_view SeverityName(Severity severity) {
  switch (severity) {
    case Severity::kInfo:
      return "info";
    case Severity::kWarning:
      return "warning";
    case Severity::kError:
      return "error";
  }
  return "error";
}

std::atomic<uint64_t>& DroppedLineCount() {
  static std::atomic<uint64_t> count{0};
  return count;
}

// The overflow policy of the queue: drops and counts a line that finds the
// queue full, so that a stalled reader of the log doesn't stall the process.
class DropAndCountOnOverflow {
 protected:
  template <typename Lock>
  static bool on_overflow(const boost::log::record_view&, Lock&) {
    ++DroppedLineCount();
    return false;
  }
  static void on_queue_space_available() {}
  static void interrupt() {}
};

namespace sinks = boost::log::sinks;
using QueuedSink = sinks::asynchronous_sink<
    sinks::text_ostream_backend,
    sinks::bounded_fifo_queue<kMaxQueuedLines, DropAndCountOnOverflow>>;

boost::shared_ptr<QueuedSink>& CurrentSink() {
  static boost::shared_ptr<QueuedSink> sink;
  return sink;
}

void WriteLine(Event event, std::span<const LogField> fields) {
  const auto description =
      std::ranges::find(kCatalogue, event, &EventDescription::event);
  nlohmann::ordered_json line = {
      {"unixMs", UnixMilliseconds()},
      {"process", ProcessName()},
      {"severity", SeverityName(description->severity)},
      {"event", static_cast<int>(event)},
      {"name", description->name},
  };
  for (const LogField& field : fields)
    line[std::string(field.key)] = field.value;
  static boost::log::sources::logger_mt logger;
  BOOST_LOG(logger) << line.dump(
      -1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

// Logs the number of dropped lines once for each series of drops. A series has
// ended when no line was dropped since the previous call.
void ReportDroppedLines() {
  static std::atomic<uint64_t> reported{0};
  static std::atomic<uint64_t> last_seen{0};
  const uint64_t dropped = DroppedLineCount();
  uint64_t reported_before = reported.load();
  const bool is_still_dropping = last_seen.exchange(dropped) != dropped;
  if (dropped == reported_before || is_still_dropping ||
      !reported.compare_exchange_strong(reported_before, dropped))
    return;
  const std::array<LogField, 1> fields = {
      LogField{"lines", std::to_string(dropped - reported_before)}};
  WriteLine(Event::kLogLinesDropped, fields);
}

}  // namespace

std::span<const EventDescription> EventCatalogue() {
  return kCatalogue;
}

void InitializeLog(std::string process_name) {
  ProcessName() = std::move(process_name);
  auto backend = boost::make_shared<sinks::text_ostream_backend>();
  backend->add_stream(
      boost::shared_ptr<std::ostream>(&std::cout, boost::null_deleter()));
  backend->auto_flush(true);
  CurrentSink() = boost::make_shared<QueuedSink>(backend);
  boost::log::core::get()->add_sink(CurrentSink());
  boost::log::core::get()->set_logging_enabled(true);
}

bool FlushLog() {
  if (!CurrentSink())
    return true;
  // NOTE: Boost.Log's flush has no time limit and would wait for a stalled
  // reader, so it runs on a thread of its own.
  auto done = std::make_shared<std::promise<void>>();
  std::thread([sink = CurrentSink(), done] {
    sink->flush();
    done->set_value();
  }).detach();
  return done->get_future().wait_for(kFlushTimeout) ==
         std::future_status::ready;
}

void FlushLogAndExit(int exit_code) {
  // NOTE: If FlushLog times out, a write that waits for the reader still holds
  // the lock of standard output, so flushing that would wait as well.
  if (FlushLog()) {
    std::cout.flush();
    std::fflush(nullptr);
  }
  // NOTE: A normal exit would destroy the sink, which waits for the reader.
  std::_Exit(exit_code);
}

uint64_t DroppedLogLines() {
  return DroppedLineCount();
}

void DisableLog() {
  boost::log::core::get()->set_logging_enabled(false);
}

void Log(Event event, std::initializer_list<LogField> fields) {
  Log(event, std::span<const LogField>(fields.begin(), fields.size()));
}

void Log(Event event, std::span<const LogField> fields) {
  if (!boost::log::core::get()->get_logging_enabled())
    return;
  ReportDroppedLines();
  WriteLine(event, fields);
}

}  // namespace base
