// Boost.Log behind numbered events; one JSON object a line.

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

// About a second of a node's lines at most.
constexpr size_t kQueuedLines = 1000;
constexpr std::chrono::milliseconds kFlushLimit{200};

constexpr std::array kCatalogue = std::to_array<EventDescription>({
    {Event::kNodeStarted, Severity::kInfo, "node_started",
     "The node listens on its addresses."},
    {Event::kNodeDraining, Severity::kInfo, "node_draining",
     "The node was asked to stop; it finishes what runs."},
    {Event::kNodeStopped, Severity::kInfo, "node_stopped",
     "The node ends with nothing left to finish."},
    {Event::kListenFailed, Severity::kError, "listen_failed",
     "An address of the settings can't be listened on."},
    {Event::kPauseDetected, Severity::kWarning, "pause_detected",
     "The process did not run for longer than its leases allow."},
    {Event::kSettingsReload, Severity::kInfo, "settings_reload",
     "The settings file was announced as changed; it holds from the next "
     "start."},
    {Event::kLogLinesDropped, Severity::kWarning, "log_lines_dropped",
     "The reader of the log was too slow for the lines."},
    {Event::kConfigurationInForce, Severity::kInfo, "configuration_in_force",
     "A higher revision took effect."},
    {Event::kConfigurationRejected, Severity::kError, "configuration_rejected",
     "A revision's content is missing, damaged or invalid."},
    {Event::kStoreUnavailable, Severity::kWarning, "store_unavailable",
     "The key-value service does not answer."},
    {Event::kStoreRecovered, Severity::kInfo, "store_recovered",
     "The key-value service answers again."},
    {Event::kPeerSuspected, Severity::kWarning, "peer_suspected",
     "A peer missed its probe."},
    {Event::kPeerDead, Severity::kWarning, "peer_dead",
     "A suspected peer did not refute in time."},
    {Event::kPeerJoined, Severity::kInfo, "peer_joined",
     "A peer is known for the first time, or again."},
    {Event::kPeerCallFailed, Severity::kWarning, "peer_call_failed",
     "A call to a peer ended without an answer."},
    {Event::kFactRejected, Severity::kError, "fact_rejected",
     "A fact that a peer spread can't be read."},
    {Event::kServerLeaving, Severity::kInfo, "server_leaving",
     "A server of an upstream gets no new work."},
    {Event::kServerUnreachable, Severity::kWarning, "server_unreachable",
     "A connection to a server failed."},
    {Event::kServerProtocolError, Severity::kError, "server_protocol_error",
     "A server's answer is damaged or belongs to another request."},
    {Event::kSnapshotChanged, Severity::kInfo, "snapshot_changed",
     "Queries pin another index version."},
    {Event::kClaimRejected, Severity::kWarning, "claim_rejected",
     "An entry of the server registry can't be used."},
    {Event::kBookingUnknown, Severity::kWarning, "booking_unknown",
     "A booking ended without a known outcome."},
    {Event::kUsageWritten, Severity::kInfo, "usage_written",
     "Usage counters were stored."},
    {Event::kUsageWriteFailed, Severity::kWarning, "usage_write_failed",
     "Usage counters wait for the key-value service."},
    {Event::kRequestEnded, Severity::kInfo, "request_ended",
     "A forwarded request ended badly, late or partly, or was sampled."},
    {Event::kDelegatedWorkEnded, Severity::kInfo, "delegated_work_ended",
     "What this node did for another node's request was incomplete."},
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

std::atomic<uint64_t>& Dropped() {
  static std::atomic<uint64_t> dropped{0};
  return dropped;
}

// Drops the newest line of a full queue, so that a stalled reader stalls
// nothing else.
class CountingDrop {
 protected:
  template <typename Lock>
  static bool on_overflow(const boost::log::record_view&, Lock&) {
    ++Dropped();
    return false;
  }
  static void on_queue_space_available() {}
  static void interrupt() {}
};

namespace sinks = boost::log::sinks;
using QueuedSink = sinks::asynchronous_sink<
    sinks::text_ostream_backend,
    sinks::bounded_fifo_queue<kQueuedLines, CountingDrop>>;

boost::shared_ptr<QueuedSink>& CurrentSink() {
  static boost::shared_ptr<QueuedSink> sink;
  return sink;
}

void Write(Event event, std::span<const LogField> fields) {
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

// Tells once for each series of dropped lines, when lines are written again:
// the count stood still from one line to the next.
void ReportDropped() {
  static std::atomic<uint64_t> reported{0};
  static std::atomic<uint64_t> last_seen{0};
  const uint64_t dropped = Dropped();
  uint64_t before = reported.load();
  const bool is_still_dropping = last_seen.exchange(dropped) != dropped;
  if (dropped == before || is_still_dropping ||
      !reported.compare_exchange_strong(before, dropped))
    return;
  const std::array<LogField, 1> fields = {
      LogField{"lines", std::to_string(dropped - before)}};
  Write(Event::kLogLinesDropped, fields);
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
  // NOTE: A flush without a limit would wait for a reader that has stalled.
  auto done = std::make_shared<std::promise<void>>();
  std::thread([sink = CurrentSink(), done] {
    sink->flush();
    done->set_value();
  }).detach();
  return done->get_future().wait_for(kFlushLimit) == std::future_status::ready;
}

void FlushLogAndExit(int code) {
  // NOTE: Standard output is locked by a write that waits for its reader.
  if (FlushLog()) {
    std::cout.flush();
    std::fflush(nullptr);
  }
  // NOTE: The sink's destructor would wait for its reader.
  std::_Exit(code);
}

uint64_t DroppedLogLines() {
  return Dropped();
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
  ReportDropped();
  Write(event, fields);
}

}  // namespace base
