// Structured logs with numbered events. docs/EVENTS.md documents the events;
// event_catalogue_test compares it with the list here.

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
  kEventLoopStalled = 107,
  kEventLoopResumed = 108,
  kWorkSummary = 109,
  kConfigurationInForce = 200,
  kConfigurationRejected = 201,
  kStoreUnavailable = 202,
  kStoreRecovered = 203,
  kStoreReadFailed = 204,
  kStoreEraChanged = 205,
  kStoreEntriesOutdated = 206,
  kStoreEraRejected = 207,
  kPeerSuspected = 300,
  kPeerDead = 301,
  kPeerJoined = 302,
  kPeerCallFailed = 303,
  kFactRejected = 304,
  kMembersMissing = 305,
  kMembersComplete = 306,
  kServerLeaving = 400,
  kServerUnreachable = 401,
  kServerProtocolError = 402,
  kSnapshotChanged = 403,
  kClaimRejected = 404,
  kServerLimitChanged = 405,
  kServerStatementRejected = 406,
  kBookingUnknown = 500,
  kUsageWritten = 600,
  kUsageWriteFailed = 601,
  kRequestEnded = 700,
  kDelegatedWorkEnded = 701,
};

// What EventCatalogue tells about one event.
struct EventDescription {
  Event event;
  Severity severity;
  std::string_view name;
  std::string_view text;  // One sentence about what happened.
};

// Returns the descriptions of all events.
std::span<const EventDescription> EventCatalogue();

// A field of a log line, beside those that every line has.
struct LogField {
  std::string_view key;
  std::string value;
};

// Writes one JSON object as a line to standard output. It holds the time, the
// process name, the severity, the number and name of the event, and `fields`.
// Never waits for the reader of the log: lines for which a bounded queue has no
// room are dropped and counted.
void Log(Event event, std::initializer_list<LogField> fields = {});
void Log(Event event, std::span<const LogField> fields);

// Starts to write log lines to standard output, each with `process_name` in it;
// nodes pass their node id. Must be called once, before other threads start.
void InitializeLog(std::string process_name);

// Writes the queued lines. Returns false if the reader of the log doesn't take
// them within a short time limit.
bool FlushLog();

// Calls FlushLog and ends the process with the exit status `exit_code`. Doesn't
// wait for a stalled reader of the log.
[[noreturn]] void FlushLogAndExit(int exit_code);

// Returns the number of lines dropped since the start of the process.
uint64_t DroppedLogLines();

// Discards all log lines from now on, without counting them as dropped; for
// tests and benchmarks.
void DisableLog();

}  // namespace base

#endif  // LIBBASE_LOG_H_
