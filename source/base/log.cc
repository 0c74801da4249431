#include "base/log.h"

#include <easylogging++.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cassert>
#include <map>
#include <utility>

#include "base/clock.h"

namespace almondtally {
namespace {

/// Rate limit of each event. It is above the 430 tasks per second that the
/// busiest entry starts in a deployment of the target size.
constexpr int64_t kMaxLinesPerSecond = 500;
/// A pipe that poll() reports as writable accepts a write of this size without
/// blocking (POSIX guarantee for writes up to PIPE_BUF).
constexpr size_t kMaxAtomicWriteBytes = 4'096;
constexpr int64_t kSecondMs = 1'000;

/// Rate limit state of one event.
struct EventRate {
  int64_t second = 0;
  int64_t lines = 0;
  int64_t suppressed_lines = 0;
};

struct LogState {
  std::string process;
  LogLevel min_level = LogLevel::kInfo;
  std::map<Event, EventRate> rates;
  LogLosses losses;
};

LogState& State() {
  static LogState state;
  return state;
}

const EventInfo& FindEventInfo(Event event) {
  const auto& all = EventCatalogue();
  const auto it = std::lower_bound(
      all.begin(), all.end(), event,
      [](const EventInfo& info, Event e) { return info.event < e; });
  assert(it != all.end() && it->event == event);
  return *it;
}

std::string_view TypeName(LogType type) {
  switch (type) {
    case LogType::kProcess:
      return "process";
    case LogType::kRouting:
      return "routing";
    case LogType::kPlacement:
      return "placement";
    case LogType::kLease:
      return "lease";
    case LogType::kConfig:
      return "config";
    case LogType::kMembership:
      return "membership";
    case LogType::kPlatform:
      return "platform";
    case LogType::kWire:
      return "wire";
    case LogType::kPlanning:
      return "planning";
  }
  return "unknown";
}

bool NeedsQuotes(const std::string& value) {
  return value.empty() ||
         value.find_first_of(" =\"\n\r\t\\") != std::string::npos;
}

void AppendValue(std::string& out, const std::string& value) {
  if (!NeedsQuotes(value)) {
    out += value;
    return;
  }
  out += '"';
  for (const char c : value) {
    if (c == '\n' || c == '\r' || c == '\t') {
      out += ' ';
      continue;
    }
    if (c == '"' || c == '\\') out += '\\';
    out += c;
  }
  out += '"';
}

/// Writes lines to standard output without blocking; counts the lines that it
/// drops.
class NonBlockingWriter : public el::LogDispatchCallback {
 protected:
  void handle(const el::LogDispatchData* data) override {
    const el::LogMessage* message = data->logMessage();
    std::string line = message->logger()->logBuilder()->build(message, true);
    if (line.size() > kMaxAtomicWriteBytes) {
      line.resize(kMaxAtomicWriteBytes - 1);
      line += '\n';
    }
    pollfd out{STDOUT_FILENO, POLLOUT, 0};
    const bool writable = poll(&out, 1, 0) == 1 && (out.revents & POLLOUT) != 0;
    const bool written =
        writable && write(STDOUT_FILENO, line.data(), line.size()) ==
                        static_cast<ssize_t>(line.size());
    if (!written) ++State().losses.dropped;
  }
};

/// @return false if the event has reached its rate limit in this second.
bool AllowLine(Event event) {
  EventRate& rate = State().rates[event];
  const int64_t second = WallClockMillis() / kSecondMs;
  if (rate.second != second) {
    const int64_t suppressed_lines = std::exchange(rate.suppressed_lines, 0);
    rate.second = second;
    rate.lines = 0;
    if (suppressed_lines > 0) {
      Log(Event::kLogSuppressed, {{"event", static_cast<int64_t>(event)},
                                  {"lines", suppressed_lines}});
    }
  }
  if (rate.lines < kMaxLinesPerSecond) {
    ++rate.lines;
    return true;
  }
  ++rate.suppressed_lines;
  ++State().losses.suppressed;
  return false;
}

}  // namespace

LogLosses GetLogLosses() { return State().losses; }

const std::vector<EventInfo>& EventCatalogue() {
  using enum LogType;
  using enum LogLevel;
  static const std::vector<EventInfo> all = {
      {Event::kProcessStarted, "process.started", kProcess, kInfo,
       "the process accepted its settings and is listening"},
      {Event::kProcessDraining, "process.draining", kProcess, kInfo,
       "a planned stop began; no new work is accepted"},
      {Event::kProcessStopped, "process.stopped", kProcess, kInfo,
       "the process is exiting; open=0 means no request was cut off"},
      {Event::kSettingsRejected, "settings.rejected", kProcess, kError,
       "a flag or environment variable was rejected at startup"},
      {Event::kLogSuppressed, "log.suppressed", kProcess, kWarning,
       "lines of an event were suppressed because it exceeded its rate limit"},
      {Event::kRequestRouted, "request.routed", kRouting, kInfo,
       "a request was sent to a target, with the reason for the choice"},
      {Event::kRequestRefused, "request.refused", kRouting, kWarning,
       "a request was refused and was not run"},
      {Event::kRequestUnknown, "request.unknown", kRouting, kWarning,
       "the connection was lost and the target could not be queried in time"},
      {Event::kRequestWithdrawn, "request.withdrawn", kRouting, kInfo,
       "after a lost connection the target reported the request's outcome"},
      {Event::kRequestAdmitted, "request.admitted", kRouting, kInfo,
       "a target assigned one of its slots to a request"},
      {Event::kRequestReplayed, "request.replayed", kRouting, kInfo,
       "an idempotency key was repeated; the first response was returned"},
      {Event::kTargetEjected, "target.ejected", kRouting, kWarning,
       "a target failed repeatedly and temporarily receives no requests"},
      {Event::kTaskPlaced, "task.placed", kPlacement, kInfo,
       "a task was assigned to a VM, with the reason for the choice"},
      {Event::kTaskUnplaced, "task.unplaced", kPlacement, kInfo,
       "no VM can currently accept a task, with the reason"},
      {Event::kTaskRefused, "task.refused", kPlacement, kWarning,
       "the target process refused a task that an entry had placed"},
      {Event::kTaskStarted, "task.started", kPlacement, kInfo,
       "a worker started a task under a lease"},
      {Event::kTaskFinished, "task.finished", kPlacement, kInfo,
       "a task ended and its outcome was committed"},
      {Event::kTaskEvicted, "task.evicted", kPlacement, kWarning,
       "a task was stopped to reduce load on its VM; it will resume elsewhere"},
      {Event::kTaskLost, "task.lost", kPlacement, kWarning,
       "the fence wait of a VM ended; its task is placed again"},
      {Event::kTaskCancelled, "task.cancelled", kPlacement, kInfo,
       "a cancellation was committed"},
      {Event::kTaskThrottled, "task.throttled", kPlacement, kInfo,
       "a batch task was throttled, or released, because of resource pressure"},
      {Event::kJobAccepted, "job.accepted", kPlacement, kInfo,
       "a job was written to the table"},
      {Event::kJobParked, "job.parked", kPlacement, kWarning,
       "no VM can currently run a job; it does not block later jobs"},
      {Event::kWorkerQuarantined, "worker.quarantined", kPlacement, kWarning,
       "a worker failed several different tasks and gets no new ones"},
      {Event::kTaskFailed, "task.failed", kPlacement, kWarning,
       "a task failed on its worker, with the number of attempts"},
      {Event::kFenceWritten, "fence.written", kLease, kWarning,
       "an unresponsive VM was fenced; its tasks wait for a full lease"},
      {Event::kFenceObserved, "fence.observed", kLease, kWarning,
       "a target detected that it is fenced and stopped its exclusive tasks"},
      {Event::kProofExpired, "proof.expired", kLease, kWarning,
       "no recent proof that the VM is not fenced; exclusive tasks are frozen"},
      {Event::kProofRestored, "proof.restored", kLease, kInfo,
       "a new proof arrived; frozen tasks resume in place"},
      {Event::kConfigAccepted, "config.accepted", kConfig, kInfo,
       "a configuration change was committed"},
      {Event::kConfigApplied, "config.applied", kConfig, kInfo,
       "a process applied a configuration version"},
      {Event::kConfigConflict, "config.conflict", kConfig, kWarning,
       "two operators changed the same object; the later change was rejected"},
      {Event::kLimitOverridden, "limit.overridden", kConfig, kWarning,
       "a declared limit exceeds what the VM sustains; the lower one applies"},
      {Event::kTargetJoined, "target.joined", kMembership, kInfo,
       "a target announced itself"},
      {Event::kTargetLeaving, "target.leaving", kMembership, kInfo,
       "a target announced that it is leaving"},
      {Event::kTargetLost, "target.lost", kMembership, kWarning,
       "a target has sent no announcement for too long"},
      {Event::kEntryJoined, "entry.joined", kMembership, kInfo,
       "another entry was detected"},
      {Event::kEntryLost, "entry.lost", kMembership, kWarning,
       "another entry stopped updating its row"},
      {Event::kPlatformError, "platform.error", kPlatform, kWarning,
       "a call to the table or object store failed"},
      {Event::kPlatformRestored, "platform.restored", kPlatform, kInfo,
       "the table responds again"},
      {Event::kPeerGarbage, "peer.garbage", kWire, kWarning,
       "a peer sent a message that cannot be decoded"},
      {Event::kInputRejected, "input.rejected", kWire, kWarning,
       "a caller or an operator sent something invalid"},
      {Event::kCallerRefused, "caller.refused", kWire, kWarning,
       "a request was refused before it was served, with the reason"},
      {Event::kCallerClosed, "caller.closed", kWire, kWarning,
       "a connection or stream was closed before its request was served, with "
       "the reason"},
      {Event::kShardClaimed, "shard.claimed", kPlanning, kInfo,
       "this process recorded itself as owner in the head row of the shard"},
      {Event::kShardClaimFailed, "shard.claim_failed", kPlanning, kInfo,
       "another process claimed the shard first, or the store did not respond"},
      {Event::kShardReleaseFailed, "shard.release_failed", kPlanning, kWarning,
       "the shard was not handed over at a planned stop"},
      {Event::kPlanningStarted, "planning.started", kPlanning, kInfo,
       "all rows were read; this process now plans the shard"},
      {Event::kPlanningStopped, "planning.stopped", kPlanning, kWarning,
       "this process no longer plans the shard, with the reason"},
      {Event::kEpochPassed, "planning.epoch_passed", kPlanning, kWarning,
       "an agent reported a planner with a newer epoch"},
      {Event::kStoreLost, "store.lost", kPlanning, kWarning,
       "a commit failed or got no response; no jobs are accepted"},
      {Event::kStoreRegained, "store.regained", kPlanning, kInfo,
       "a commit succeeded again"},
      {Event::kRowUnreadable, "store.row_unreadable", kPlanning, kError,
       "a row of the store cannot be decoded and is skipped"},
      {Event::kEarlierOwnerStopped, "planning.earlier_owner_stopped", kPlanning,
       kInfo, "an earlier planner of the shard grants no more leases"},
      {Event::kJobCancelled, "job.cancelled", kPlanning, kInfo,
       "a caller cancelled a job"},
      {Event::kJobEnded, "job.ended", kPlanning, kInfo,
       "the end of a job was recorded and is now visible"},
      {Event::kJobRefused, "job.refused", kPlanning, kWarning,
       "a caller's request was refused; states whether it may have run"},
      {Event::kRunPlaced, "run.placed", kPlanning, kInfo,
       "a task was assigned to a VM; age is its waiting time"},
      {Event::kRunEnded, "run.ended", kPlanning, kInfo,
       "an agent reported the end of a run"},
      {Event::kRunAdopted, "run.adopted", kPlanning, kInfo,
       "a run started by an earlier planner was taken over by this one"},
      {Event::kRunTakenBack, "run.taken_back", kPlanning, kInfo,
       "a run is stopped so that it can resume elsewhere, with the reason"},
      {Event::kFillersPaced, "fillers.paced", kPlanning, kInfo,
       "the speed limit of a VM's filler tasks changed"},
      {Event::kTaskSuspected, "task.suspected", kPlanning, kWarning,
       "a worker crashed soon after it started the task; age is the time "
       "between the two"},
      {Event::kTaskCleared, "task.cleared", kPlanning, kInfo,
       "a suspected task has run for a while and the worker has not crashed"},
      {Event::kTaskGivenUp, "task.given_up", kPlanning, kWarning,
       "a task is proven to crash workers; its job has failed"},
      {Event::kRunMissing, "run.missing", kPlanning, kWarning,
       "an agent does not have a run that was ordered or reported before, and "
       "reported no end of it; its task is idle again"},
      {Event::kTaskWaiting, "task.waiting", kPlanning, kWarning,
       "a ready task has not run for over 3 s, a lasting one for over 1 s, "
       "with the reason; age is how long it has waited. `without room` states "
       "the most CPU and memory that such a VM has free, and how many of them "
       "would fit the task without runs being stopped, runs that no worker has "
       "confirmed, runs of lower priority that do not last, and all runs that "
       "do not last"},
      {Event::kTailOverTarget, "tail.over_target", kPlanning, kInfo,
       "a serving task misses its target; the reason lists the weights of the "
       "fillers on its VM"},
      {Event::kTailWithinTarget, "tail.within_target", kPlanning, kInfo,
       "a serving task meets its target again; age is how long it missed it"},
      {Event::kRoomHeld, "task.room_held", kPlanning, kInfo,
       "nothing else starts on a VM until a lasting task that has waited fits "
       "there, for 3 s at most; age is how long it has waited"},
      {Event::kEvacuationsChanged, "evacuations.changed", kPlanning, kInfo,
       "other data centres are evacuated than before; vms counts the VMs there "
       "that this planner knows"},
      {Event::kEvacuationsOutdated, "evacuations.outdated", kPlanning, kWarning,
       "the planner starts nothing, since it could not read the evacuation "
       "requests for too long, or starts tasks again"},
      {Event::kVmEvacuated, "vm.evacuated", kPlanning, kInfo,
       "the agent was told that the data centre of its VM is evacuated and "
       "starts nothing more, or that it no longer is"},
      {Event::kEvacuationRowIgnored, "evacuations.row_ignored", kPlanning,
       kWarning, "an evacuation request names no data centre and is ignored"},
      {Event::kNearWaitEnded, "task.near_wait_ended", kPlanning, kInfo,
       "a task that waited for a place near its data, or a gang that waited "
       "for one rack, was placed there or elsewhere; age is how long it "
       "waited"},
      {Event::kVmSlow, "vm.slow", kPlanning, kWarning,
       "tasks prefer other VMs: runs on this one progress slowly compared with "
       "others of their steps, or its serving tasks with others of their jobs"},
      {Event::kVmUsualSpeed, "vm.usual_speed", kPlanning, kInfo,
       "a VM is no longer held slow, with the reason; age is how long it was"},
      {Event::kRunLeftSlowVm, "run.left_slow_vm", kPlanning, kInfo,
       "a run on a slow VM is stopped so that it can resume elsewhere; age is "
       "how long it would have taken there"},
      {Event::kJobRejectedLate, "job.rejected_late", kPlanning, kInfo,
       "a job was rejected because it surely ends too late to be of value; "
       "needed is the least time until it ends, left the time in which it is "
       "of value"},
      {Event::kRejectingBegan, "admission.rejecting", kPlanning, kWarning,
       "jobs of a queue surely end too late; the fields are those of the first "
       "one"},
      {Event::kRejectingEnded, "admission.accepting", kPlanning, kInfo,
       "jobs of a queue end in time again; the fields are those of the first "
       "one"},
      {Event::kCopyStarted, "copy.started", kPlanning, kInfo,
       "a second run of a task was placed, with the expected times; age is how "
       "long the first has been placed"},
      {Event::kCopyWon, "copy.won", kPlanning, kInfo,
       "a copy ended as done before the other run of its task; age is the time "
       "since it was placed"},
      {Event::kCopyWasted, "copy.wasted", kPlanning, kInfo,
       "a copy came to nothing, with the reason; age is the time since it was "
       "placed"},
      {Event::kCopyPromoted, "copy.promoted", kPlanning, kInfo,
       "a copy is the only run of its task that is left; the reason says how "
       "the other one ended"},
      {Event::kCopyAdopted, "copy.adopted", kPlanning, kInfo,
       "a second run of a task that this planner did not start is kept"},
      {Event::kVmListed, "vm.listed", kPlanning, kInfo,
       "an agent's row was read"},
      {Event::kVmSynced, "vm.synced", kPlanning, kInfo,
       "an agent reported all runs on its VM"},
      {Event::kVmLost, "vm.lost", kPlanning, kWarning,
       "a VM was unresponsive until its leases expired; age is the time since "
       "its last message"},
      {Event::kVmForgotten, "vm.forgotten", kPlanning, kInfo,
       "a VM that remained unresponsive was removed from the list"},
      {Event::kVmSetAside, "vm.set_aside", kPlanning, kWarning,
       "a VM temporarily gets no new tasks, with the reason"},
      {Event::kOrdersUnanswered, "vm.orders_unanswered", kPlanning, kWarning,
       "a batch of orders got no response and is sent again"},
      {Event::kWorkerHeard, "worker.heard", kMembership, kInfo,
       "the VM's worker reported that it is running, with its start time"},
      {Event::kWorkerDraining, "worker.draining", kMembership, kInfo,
       "the VM's worker reported that it will leave"},
      {Event::kWorkerLeft, "worker.left", kMembership, kInfo,
       "the VM's worker deregistered"},
      {Event::kWorkerSilent, "worker.silent", kMembership, kWarning,
       "the VM's worker did not respond, or responds again"},
      {Event::kWorkerCallFailed, "worker.call_failed", kMembership, kWarning,
       "the worker rejected an order or did not respond to it"},
      {Event::kPlannerHeard, "planner.heard", kMembership, kInfo,
       "the first order from a planner with a new epoch was received"},
      {Event::kAgentListed, "agent.listed", kMembership, kInfo,
       "this agent wrote its row, with what it says of longer leases, and "
       "whether the VM is drained"},
      {Event::kStartSettled, "start.settled", kMembership, kInfo,
       "the outcome of a start without an answer has become known; age is the "
       "time since the call was sent"},
      {Event::kWorkerUnproven, "worker.unproven", kMembership, kWarning,
       "another worker was announced; it is followed only if the present one "
       "no longer answers in its place"},
      {Event::kFormerLease, "worker.former_lease", kMembership, kWarning,
       "the worker started again under its id, and may have taken a lease that "
       "was meant for its former process and lasts for this long"},
      {Event::kPauseConfirmed, "filler.pause_confirmed", kMembership, kInfo,
       "the worker confirmed that a filler pauses or goes on; with the times "
       "since the agent was told and since it first called the worker, and the "
       "longest time for which a target on the VM had been missed"},
      {Event::kTargetMissedLong, "target.missed_beside_fillers", kMembership,
       kWarning,
       "by the agent's clock a serving task has missed its target for the "
       "allowed time while fillers on its VM were not known to be paused; once "
       "per missed target"},
      {Event::kFillersHeld, "fillers.held", kMembership, kWarning,
       "the agent itself pauses the fillers of its VM, or ceases to: a target "
       "was missed almost until the end of the allowed time; missed is how "
       "long, planner age the time since a planner last granted a lease"},
      {Event::kFormerLeaseRecorded, "worker.former_lease_recorded", kMembership,
       kInfo,
       "the store tells later planners of that lease; tasks may be started"},
      {Event::kRunHeld, "run.held_for_late_start", kMembership, kInfo,
       "the worker has been silent for longer than its leases, and a run is "
       "kept because a start call went unanswered, which the worker's next "
       "process may carry out; with the longest time for which it is kept"},
      {Event::kRunsLapsed, "worker.runs_lapsed", kMembership, kWarning,
       "the worker has been silent for longer than its leases, and its runs "
       "are ended; with the time since the end of the leases that this "
       "process sent, and of those that the worker took for its former "
       "process (-1: none), and the age of this process"},
      {Event::kNotYetDrained, "vm.not_yet_drained", kMembership, kInfo,
       "the worker is draining, and the VM cannot be called drained in its row "
       "yet, with the reason; once per change of the reason"},
      {Event::kSettingsReloaded, "settings.reloaded", kProcess, kInfo,
       "the settings were reloaded, with what changed"},
  };
  return all;
}

std::string_view EventName(Event event) { return FindEventInfo(event).name; }

std::string FormatLogLine(Event event, std::initializer_list<LogField> fields) {
  const EventInfo& info = FindEventInfo(event);
  std::string out = "event=" + std::to_string(static_cast<int>(event));
  out += " name=";
  out += info.name;
  out += " type=";
  out += TypeName(info.type);
  for (const LogField& field : fields) {
    out += ' ';
    out += field.key;
    out += '=';
    AppendValue(out, field.value);
  }
  return out;
}

void InitLog(const std::string& process, LogLevel min_level) {
  State().process = process;
  State().min_level = min_level;
  el::Configurations conf;
  conf.setToDefault();
  conf.setGlobally(el::ConfigurationType::ToFile, "false");
  conf.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  conf.setGlobally(el::ConfigurationType::Format,
                   "%datetime{%Y-%M-%dT%H:%m:%s.%g} level=%level process=" +
                       process + " %msg");
  el::Loggers::reconfigureAllLoggers(conf);
  el::Loggers::addFlag(el::LoggingFlag::DisableApplicationAbortOnFatalLog);
  el::Helpers::uninstallLogDispatchCallback<
      el::base::DefaultLogDispatchCallback>("DefaultLogDispatchCallback");
  el::Helpers::installLogDispatchCallback<NonBlockingWriter>("Writer");
}

void Log(Event event, std::initializer_list<LogField> fields) {
  const LogLevel level = FindEventInfo(event).level;
  if (level < State().min_level) return;
  if (event != Event::kLogSuppressed && !AllowLine(event)) return;
  const std::string line = FormatLogLine(event, fields);
  switch (level) {
    case LogLevel::kInfo:
      LOG(INFO) << line;
      break;
    case LogLevel::kWarning:
      LOG(WARNING) << line;
      break;
    case LogLevel::kError:
      LOG(ERROR) << line;
      break;
    case LogLevel::kOff:
      break;
  }
}

}  // namespace almondtally
