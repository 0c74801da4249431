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

/// Lines of one event in one second. The busiest entry of the target size
/// starts 430 tasks a second.
constexpr int64_t kLinesPerSecond = 500;
/// A pipe that polls as writable takes this much without waiting (POSIX).
constexpr size_t kAtomicWrite = 4'096;
constexpr int64_t kSecondMs = 1'000;

/// Lines of one event in the present second.
struct Budget {
  int64_t second = 0;
  int64_t lines = 0;
  int64_t left_out = 0;
};

struct LogState {
  std::string process;
  LogLevel least = LogLevel::kInfo;
  std::map<Event, Budget> budgets;
  LogLosses losses;
};

LogState& State() {
  static LogState state;
  return state;
}

const EventInfo& Find(Event event) {
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

/// Writes lines without waiting for the reader of standard output.
class Writer : public el::LogDispatchCallback {
 protected:
  void handle(const el::LogDispatchData* data) override {
    const el::LogMessage* message = data->logMessage();
    std::string line = message->logger()->logBuilder()->build(message, true);
    if (line.size() > kAtomicWrite) {
      line.resize(kAtomicWrite - 1);
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

/// @return false if the event has used up its lines of this second.
bool TakeBudget(Event event) {
  Budget& budget = State().budgets[event];
  const int64_t second = WallClockMillis() / kSecondMs;
  if (budget.second != second) {
    const int64_t left_out = std::exchange(budget.left_out, 0);
    budget.second = second;
    budget.lines = 0;
    if (left_out > 0) {
      Log(Event::kLogSuppressed,
          {{"event", static_cast<int64_t>(event)}, {"lines", left_out}});
    }
  }
  if (budget.lines < kLinesPerSecond) {
    ++budget.lines;
    return true;
  }
  ++budget.left_out;
  ++State().losses.suppressed;
  return false;
}

}  // namespace

LogLosses LossesOfLog() { return State().losses; }

const std::vector<EventInfo>& EventCatalogue() {
  using enum LogType;
  using enum LogLevel;
  static const std::vector<EventInfo> all = {
      {Event::kProcessStarted, "process.started", kProcess, kInfo,
       "the process listens and its settings were accepted"},
      {Event::kProcessDraining, "process.draining", kProcess, kInfo,
       "a planned stop began: nothing new is taken"},
      {Event::kProcessStopped, "process.stopped", kProcess, kInfo,
       "the process ends; open=0 means nothing was cut"},
      {Event::kSettingsRejected, "settings.rejected", kProcess, kError,
       "a flag or environment variable was refused at start"},
      {Event::kLogSuppressed, "log.suppressed", kProcess, kWarning,
       "lines of an event were left out, in all so far, for their number"},
      {Event::kRequestRouted, "request.routed", kRouting, kInfo,
       "a request was sent to a target, with the reason for the choice"},
      {Event::kRequestRefused, "request.refused", kRouting, kWarning,
       "a request was refused and has not run"},
      {Event::kRequestUnknown, "request.unknown", kRouting, kWarning,
       "the link was lost and the target could not be asked in time"},
      {Event::kRequestWithdrawn, "request.withdrawn", kRouting, kInfo,
       "after a lost link the target told what became of a request"},
      {Event::kRequestAdmitted, "request.admitted", kRouting, kInfo,
       "a target gave a request one of its slots"},
      {Event::kRequestReplayed, "request.replayed", kRouting, kInfo,
       "an idempotency key was seen before; the first answer was returned"},
      {Event::kTargetEjected, "target.ejected", kRouting, kWarning,
       "a target failed repeatedly and gets no requests for a while"},
      {Event::kTaskPlaced, "task.placed", kPlacement, kInfo,
       "a task was assigned to a VM, with the reason for the choice"},
      {Event::kTaskUnplaced, "task.unplaced", kPlacement, kInfo,
       "no VM can take a task at present, with the reason"},
      {Event::kTaskRefused, "task.refused", kPlacement, kWarning,
       "the target process refused a task that an entry had placed"},
      {Event::kTaskStarted, "task.started", kPlacement, kInfo,
       "a worker runs a task under a lease"},
      {Event::kTaskFinished, "task.finished", kPlacement, kInfo,
       "a task ended and its outcome was committed"},
      {Event::kTaskEvicted, "task.evicted", kPlacement, kWarning,
       "a task was stopped to relieve its VM and will resume elsewhere"},
      {Event::kTaskLost, "task.lost", kPlacement, kWarning,
       "the fence wait of a VM is over; its task is placed again"},
      {Event::kTaskCancelled, "task.cancelled", kPlacement, kInfo,
       "a cancellation was committed"},
      {Event::kTaskThrottled, "task.throttled", kPlacement, kInfo,
       "a batch task was slowed, or released, because of pressure"},
      {Event::kJobAccepted, "job.accepted", kPlacement, kInfo,
       "a job was written to the table"},
      {Event::kJobParked, "job.parked", kPlacement, kWarning,
       "a job can run on no VM at present; it blocks nothing behind it"},
      {Event::kWorkerQuarantined, "worker.quarantined", kPlacement, kWarning,
       "a worker failed several different tasks and is set aside"},
      {Event::kTaskFailed, "task.failed", kPlacement, kWarning,
       "a task failed on its worker, with the number of tries"},
      {Event::kFenceWritten, "fence.written", kLease, kWarning,
       "a silent VM was fenced; its tasks wait for a full lease"},
      {Event::kFenceObserved, "fence.observed", kLease, kWarning,
       "a target found itself fenced and stopped its exclusive tasks"},
      {Event::kProofExpired, "proof.expired", kLease, kWarning,
       "no recent proof against a fence: exclusive tasks are frozen"},
      {Event::kProofRestored, "proof.restored", kLease, kInfo,
       "a proof arrived: frozen tasks go on in place"},
      {Event::kConfigAccepted, "config.accepted", kConfig, kInfo,
       "a configuration change was committed"},
      {Event::kConfigApplied, "config.applied", kConfig, kInfo,
       "a process put a configuration version in force"},
      {Event::kConfigConflict, "config.conflict", kConfig, kWarning,
       "two operators changed the same object; the later was refused"},
      {Event::kLimitOverridden, "limit.overridden", kConfig, kWarning,
       "a declared limit is higher than what the VM bears; the lower holds"},
      {Event::kTargetJoined, "target.joined", kMembership, kInfo,
       "a target announced itself"},
      {Event::kTargetLeaving, "target.leaving", kMembership, kInfo,
       "a target announced that it leaves"},
      {Event::kTargetLost, "target.lost", kMembership, kWarning,
       "a target has been silent for too long"},
      {Event::kEntryJoined, "entry.joined", kMembership, kInfo,
       "another entry was seen alive"},
      {Event::kEntryLost, "entry.lost", kMembership, kWarning,
       "another entry's row stopped changing"},
      {Event::kPlatformError, "platform.error", kPlatform, kWarning,
       "a call of the table or object store failed"},
      {Event::kPlatformRestored, "platform.restored", kPlatform, kInfo,
       "the table answers again"},
      {Event::kPeerGarbage, "peer.garbage", kWire, kWarning,
       "a peer sent a message that cannot be decoded"},
      {Event::kBadInput, "input.rejected", kWire, kWarning,
       "a caller or an operator sent something invalid"},
      {Event::kShardClaimed, "shard.claimed", kPlanning, kInfo,
       "this process wrote itself into the head row of the shard"},
      {Event::kShardClaimFailed, "shard.claim_failed", kPlanning, kInfo,
       "another process was faster, or the store did not answer"},
      {Event::kShardReleaseFailed, "shard.release_failed", kPlanning, kWarning,
       "the shard was not handed over at a planned stop"},
      {Event::kPlanningStarted, "planning.started", kPlanning, kInfo,
       "all rows were read; this process plans the shard"},
      {Event::kPlanningStopped, "planning.stopped", kPlanning, kWarning,
       "this process no longer plans the shard, with the reason"},
      {Event::kEpochPassed, "planning.epoch_passed", kPlanning, kWarning,
       "an agent has heard of a newer planner"},
      {Event::kStoreLost, "store.lost", kPlanning, kWarning,
       "a commit failed or went unanswered; no jobs are accepted"},
      {Event::kStoreRegained, "store.regained", kPlanning, kInfo,
       "a commit succeeded again"},
      {Event::kRowUnreadable, "store.row_unreadable", kPlanning, kError,
       "a row of the store cannot be read and is passed over"},
      {Event::kJobCancelled, "job.cancelled", kPlanning, kInfo,
       "a caller cancelled a job"},
      {Event::kJobEnded, "job.ended", kPlanning, kInfo,
       "a job's end is recorded and shown from now on"},
      {Event::kJobRefused, "job.refused", kPlanning, kWarning,
       "a caller's request was refused, with whether it may have run"},
      {Event::kRunPlaced, "run.placed", kPlanning, kInfo,
       "a task was given to a VM; age is the time it waited"},
      {Event::kRunEnded, "run.ended", kPlanning, kInfo,
       "an agent reported the end of a run"},
      {Event::kRunAdopted, "run.adopted", kPlanning, kInfo,
       "a run of an earlier planner goes on under this one"},
      {Event::kRunTakenBack, "run.taken_back", kPlanning, kInfo,
       "a run is stopped to go on elsewhere, with the reason"},
      {Event::kFillersPaced, "fillers.paced", kPlanning, kInfo,
       "the speed limit of a VM's fillers changed"},
      {Event::kVmListed, "vm.listed", kPlanning, kInfo,
       "an agent's row was read"},
      {Event::kVmSynced, "vm.synced", kPlanning, kInfo,
       "an agent reported all that runs on its VM"},
      {Event::kVmLost, "vm.lost", kPlanning, kWarning,
       "a VM was silent until its leases ran out; age since it was heard"},
      {Event::kVmForgotten, "vm.forgotten", kPlanning, kInfo,
       "a VM that stays silent was removed from the list"},
      {Event::kVmSetAside, "vm.set_aside", kPlanning, kWarning,
       "a VM gets no new tasks for a while, with the reason"},
      {Event::kOrdersUnanswered, "vm.orders_unanswered", kPlanning, kWarning,
       "a batch of orders went unanswered and is sent again"},
      {Event::kWorkerHeard, "worker.heard", kMembership, kInfo,
       "the VM's worker said that it is there, in this life"},
      {Event::kWorkerDraining, "worker.draining", kMembership, kInfo,
       "the VM's worker said that it will leave"},
      {Event::kWorkerLeft, "worker.left", kMembership, kInfo,
       "the VM's worker signed off"},
      {Event::kWorkerSilent, "worker.silent", kMembership, kWarning,
       "the VM's worker did not answer, or answers again"},
      {Event::kWorkerCallFailed, "worker.call_failed", kMembership, kWarning,
       "an order was rejected by the worker or went unanswered"},
      {Event::kPlannerHeard, "planner.heard", kMembership, kInfo,
       "the first order of a planner under a new epoch"},
      {Event::kAgentListed, "agent.listed", kMembership, kInfo,
       "this agent wrote its row"},
      {Event::kSettingsReloaded, "settings.reloaded", kProcess, kInfo,
       "the settings were read again, with what changed"},
  };
  return all;
}

std::string_view EventName(Event event) { return Find(event).name; }

std::string FormatLogLine(Event event, std::initializer_list<LogField> fields) {
  const EventInfo& info = Find(event);
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

void InitLog(const std::string& process, LogLevel least) {
  State().process = process;
  State().least = least;
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
  el::Helpers::installLogDispatchCallback<Writer>("Writer");
}

void Log(Event event, std::initializer_list<LogField> fields) {
  const LogLevel level = Find(event).level;
  if (level < State().least) return;
  if (event != Event::kLogSuppressed && !TakeBudget(event)) return;
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
