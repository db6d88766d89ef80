// Boost.Log behind numbered events; one JSON object a line.

#include "LibBase/log.h"

#include <algorithm>
#include <array>
#include <boost/log/core.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <chrono>
#include <iostream>
#include <nlohmann/json.hpp>

namespace base {

namespace {

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

int64_t UnixMilliseconds() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

}  // namespace

std::span<const EventDescription> EventCatalogue() {
  return kCatalogue;
}

void InitializeLog(std::string process_name) {
  ProcessName() = std::move(process_name);
  boost::log::add_console_log(std::clog,
                              boost::log::keywords::auto_flush = true);
}

void DisableLog() {
  boost::log::core::get()->set_logging_enabled(false);
}

void Log(Event event, std::initializer_list<LogField> fields) {
  if (!boost::log::core::get()->get_logging_enabled())
    return;
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

}  // namespace base
