// Structured logs with numbered events. docs/EVENTS.md is the catalogue; a
// test compares it with this list.

#ifndef LIBBASE_LOG_H_
#define LIBBASE_LOG_H_

#include <cstdint>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>

namespace base {

enum class Severity { kInfo, kWarning, kError };

enum class Event : uint16_t {
  kNodeStarted = 100,
  kNodeDraining = 101,
  kNodeStopped = 102,
  kListenFailed = 103,
  kPauseDetected = 104,
  kSettingsReload = 105,
  kLogLinesDropped = 106,
  kConfigurationInForce = 200,
  kConfigurationRejected = 201,
  kStoreUnavailable = 202,
  kStoreRecovered = 203,
  kPeerSuspected = 300,
  kPeerDead = 301,
  kPeerJoined = 302,
  kPeerCallFailed = 303,
  kFactRejected = 304,
  kServerLeaving = 400,
  kServerUnreachable = 401,
  kServerProtocolError = 402,
  kSnapshotChanged = 403,
  kClaimRejected = 404,
  kBookingUnknown = 500,
  kUsageWritten = 600,
  kUsageWriteFailed = 601,
  kRequestEnded = 700,
  kDelegatedWorkEnded = 701,
};

struct EventDescription {
  Event event;
  Severity severity;
  std::string_view name;
  std::string_view text;
};

std::span<const EventDescription> EventCatalogue();

struct LogField {
  std::string_view key;
  std::string value;
};

// Writes one line to standard output: time, event number, name, fields. Never
// waits for the reader: lines beyond a bounded queue are dropped and counted.
void Log(Event event, std::initializer_list<LogField> fields = {});
void Log(Event event, std::span<const LogField> fields);

// Adds the process's name to each line. Call once, before other threads start.
void InitializeLog(std::string process_name);

// Writes what is queued. Returns false if the reader takes nothing for a while.
bool FlushLog();

// Ends the process after FlushLog, without waiting for a stalled reader.
[[noreturn]] void FlushLogAndExit(int code);

// Lines that were dropped since the start.
uint64_t DroppedLogLines();

// Drops all events; for tests and benchmarks.
void DisableLog();

}  // namespace base

#endif  // LIBBASE_LOG_H_
