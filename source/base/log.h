#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

namespace almondtally {

/// The subsystem that writes a log line; printed as its type.
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

/// Log events. An event's number never changes once released. The catalogue is
/// docs/LOG-EVENTS.md.
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
  kInputRejected = 8002,
  kCallerRefused = 8010,
  kCallerClosed = 8011,
  kShardClaimed = 9001,
  kShardClaimFailed = 9002,
  kShardReleaseFailed = 9003,
  kPlanningStarted = 9004,
  kPlanningStopped = 9005,
  kEpochPassed = 9006,
  kStoreLost = 9007,
  kStoreRegained = 9008,
  kRowUnreadable = 9009,
  kEarlierOwnerStopped = 9010,
  kJobCancelled = 9101,
  kJobEnded = 9102,
  kJobRefused = 9103,
  kRunPlaced = 9104,
  kRunEnded = 9105,
  kRunAdopted = 9106,
  kRunTakenBack = 9107,
  kFillersPaced = 9108,
  kTaskSuspected = 9109,
  kTaskCleared = 9110,
  kTaskGivenUp = 9111,
  kRunMissing = 9112,
  kTaskWaiting = 9120,
  kTailOverTarget = 9121,
  kTailWithinTarget = 9122,
  kRoomHeld = 9123,
  kEvacuationsChanged = 9130,
  kEvacuationsOutdated = 9131,
  kVmEvacuated = 9132,
  kEvacuationRowIgnored = 9133,
  kNearWaitEnded = 9134,
  kVmSlow = 9140,
  kVmUsualSpeed = 9141,
  kRunLeftSlowVm = 9142,
  kJobRejectedLate = 9150,
  kRejectingBegan = 9151,
  kRejectingEnded = 9152,
  kCopyStarted = 9160,
  kCopyWon = 9161,
  kCopyWasted = 9162,
  kCopyPromoted = 9163,
  kCopyAdopted = 9164,
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
  kStartSettled = 9308,
  kWorkerUnproven = 9309,
  kFormerLease = 9310,
  kPauseConfirmed = 9311,
  kTargetMissedLong = 9312,
  kFillersHeld = 9313,
  kFormerLeaseRecorded = 9314,
  kRunHeld = 9315,
  kRunsLapsed = 9316,
  kNotYetDrained = 9317,
  kSettingsReloaded = 9401,
};

/// One entry of the event catalogue.
struct EventInfo {
  Event event;
  std::string_view name;
  LogType type;
  LogLevel level;
  std::string_view meaning;
};

/// @return the whole catalogue, ordered by number.
const std::vector<EventInfo>& EventCatalogue();

/// @return the event's name, such as "run.placed".
std::string_view EventName(Event event);

/// One field of a log line.
struct LogField {
  std::string_view key;
  std::string value;

  LogField(std::string_view field_key, std::string field_value)
      : key(field_key), value(std::move(field_value)) {}
  LogField(std::string_view field_key, const char* field_value)
      : key(field_key), value(field_value) {}
  LogField(std::string_view field_key, int64_t field_value)
      : key(field_key), value(std::to_string(field_value)) {}
};

/// Configures logging to standard output.
/// @param process process name that is added to every line.
/// @param min_level lines below this level are dropped.
void InitLog(const std::string& process, LogLevel min_level);

/// Number of lines that were not written since the process started.
struct LogLosses {
  /// Lines over the rate limit of their event.
  uint64_t suppressed = 0;
  /// Lines that standard output could not accept because its reader was too
  /// slow.
  uint64_t dropped = 0;
};

/// @return the current counts, for the metrics.
LogLosses GetLogLosses();

/// Writes one line with the event's number and name and the fields as
/// key=value. Never blocks: a line over the event's rate limit is only counted,
/// and the count is logged before the event's next line in a later second; a
/// line that standard output cannot accept immediately is dropped.
void Log(Event event, std::initializer_list<LogField> fields);

/// @return the line that `Log` writes, without timestamp, level and process;
/// exposed for tests.
std::string FormatLogLine(Event event, std::initializer_list<LogField> fields);

}  // namespace almondtally
