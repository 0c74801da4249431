#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

namespace almondtally {

/// Subsystems, used as the type of a log line.
enum class LogType : uint8_t {
  kProcess,
  kRouting,
  kPlacement,
  kLease,
  kConfig,
  kMembership,
  kPlatform,
  kWire,
  kPlanning,
};

enum class LogLevel : uint8_t { kInfo, kWarning, kError, kOff };

/// Numbered log events. The number never changes once released;
/// docs/LOG-EVENTS.md is the catalogue.
enum class Event : uint16_t {
  kProcessStarted = 1001,
  kProcessDraining = 1002,
  kProcessStopped = 1003,
  kSettingsRejected = 1004,
  kLogSuppressed = 1005,
  kRequestRouted = 2001,
  kRequestRefused = 2002,
  kRequestUnknown = 2003,
  kRequestWithdrawn = 2004,
  kRequestAdmitted = 2005,
  kRequestReplayed = 2006,
  kTargetEjected = 2007,
  kTaskPlaced = 3001,
  kTaskUnplaced = 3002,
  kTaskRefused = 3003,
  kTaskStarted = 3004,
  kTaskFinished = 3005,
  kTaskEvicted = 3006,
  kTaskLost = 3007,
  kTaskCancelled = 3008,
  kTaskThrottled = 3009,
  kJobAccepted = 3010,
  kJobParked = 3011,
  kWorkerQuarantined = 3012,
  kTaskFailed = 3013,
  kFenceWritten = 4001,
  kFenceObserved = 4002,
  kProofExpired = 4003,
  kProofRestored = 4004,
  kConfigAccepted = 5001,
  kConfigApplied = 5002,
  kConfigConflict = 5003,
  kLimitOverridden = 5004,
  kTargetJoined = 6001,
  kTargetLeaving = 6002,
  kTargetLost = 6003,
  kEntryJoined = 6004,
  kEntryLost = 6005,
  kPlatformError = 7001,
  kPlatformRestored = 7002,
  kPeerGarbage = 8001,
  kBadInput = 8002,
  kShardClaimed = 9001,
  kShardClaimFailed = 9002,
  kShardReleaseFailed = 9003,
  kPlanningStarted = 9004,
  kPlanningStopped = 9005,
  kEpochPassed = 9006,
  kStoreLost = 9007,
  kStoreRegained = 9008,
  kRowUnreadable = 9009,
  kJobCancelled = 9101,
  kJobEnded = 9102,
  kJobRefused = 9103,
  kRunPlaced = 9104,
  kRunEnded = 9105,
  kRunAdopted = 9106,
  kRunTakenBack = 9107,
  kFillersPaced = 9108,
  kVmListed = 9201,
  kVmSynced = 9202,
  kVmLost = 9203,
  kVmForgotten = 9204,
  kVmSetAside = 9205,
  kOrdersUnanswered = 9206,
  kWorkerHeard = 9301,
  kWorkerDraining = 9302,
  kWorkerLeft = 9303,
  kWorkerSilent = 9304,
  kWorkerCallFailed = 9305,
  kPlannerHeard = 9306,
  kAgentListed = 9307,
  kSettingsReloaded = 9401,
};

/// One row of the event catalogue.
struct EventInfo {
  Event event;
  std::string_view name;
  LogType type;
  LogLevel level;
  std::string_view meaning;
};

/// @return the whole catalogue, ordered by number.
const std::vector<EventInfo>& EventCatalogue();

/// @return the event's name in the catalogue, such as "run.placed".
std::string_view EventName(Event event);

/// One field of a log line.
struct LogField {
  std::string_view key;
  std::string value;

  LogField(std::string_view k, std::string v) : key(k), value(std::move(v)) {}
  LogField(std::string_view k, const char* v) : key(k), value(v) {}
  LogField(std::string_view k, int64_t v) : key(k), value(std::to_string(v)) {}
};

/// Sets where and how this process logs.
/// @param process name put on every line.
/// @param least drops lines below this level.
void InitLog(const std::string& process, LogLevel least);

/// Lines that were not written since the process began.
struct LogLosses {
  /// Beyond an event's budget.
  uint64_t suppressed = 0;
  /// Because the reader of standard output did not keep up.
  uint64_t dropped = 0;
};

/// @return the losses so far, for metrics.
LogLosses LossesOfLog();

/// Writes one line: event number, name and the fields as key=value. Never
/// waits: beyond a budget an event's lines are counted instead and the count
/// is logged a second later, and a line that standard output cannot take at
/// once is dropped.
void Log(Event event, std::initializer_list<LogField> fields);

/// @return the same line without its time stamp; exposed for tests.
std::string FormatLogLine(Event event, std::initializer_list<LogField> fields);

}  // namespace almondtally
