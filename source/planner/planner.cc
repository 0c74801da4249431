#include "planner/planner.h"

#include <algorithm>
#include <string>
#include <utility>

#include "base/log.h"
#include "planner/detail.h"
#include "sched/ownership.h"

namespace almondtally::sched {
namespace {

/// Retry-after sent to callers while the store is unavailable.
constexpr int64_t kStoreAwayRetryAfterMs = 1'000;
constexpr const char* kShard = "shard-0";
/// Planning runs at least this often.
constexpr Duration kTickInterval{50};
/// Changes that arrive within this time are planned together.
constexpr Duration kPlanningDelay{1};
/// The pause before a planning pass, in durations of the previous one. Leaves
/// most of the processor to requests and reports when a pass takes long.
constexpr int64_t kPlanningPauseFactor = 2;
/// A commit that is unanswered for this long means that the store is too slow
/// to accept new jobs; they are refused until the commit succeeds.
constexpr Duration kSlowCommitThreshold{1'200};
/// Ended jobs are kept this much longer than the configured retention time.
constexpr Duration kRetentionMargin{15'000};
constexpr size_t kDeletesPerCommit = 20;

JobState VisibleState(const JobEntity& job) {
  if (IsFinal(job.recorded)) return job.recorded;
  return job.started ? JobState::kRunning : JobState::kPending;
}

/// @return true if a job is known to a request about it. Until a job is
/// accepted it can be cancelled or submitted again, but not read.
bool IsKnown(const ShardState& board, const JobCall& call) {
  const auto it = board.jobs.find(call.job);
  if (it == board.jobs.end()) return false;
  return it->second.accepted || call.verb != JobVerb::kRead;
}

JobAnswer MakeUnprovenAnswer(PlannerEpoch epoch) {
  JobAnswer answer =
      MakeAnswer(JobVerdict::kUnavailable, "ownership of the shard unproven");
  answer.store_away = true;
  answer.owner_epoch = epoch;
  return answer;
}

}  // namespace

JobAnswer MakeAnswer(JobVerdict verdict, std::string reason) {
  JobAnswer out;
  out.verdict = verdict;
  out.reason = std::move(reason);
  if (verdict == JobVerdict::kUnavailable) {
    out.retry_after_ms = kStoreAwayRetryAfterMs;
  }
  return out;
}

Planner::Planner(EventLoop& loop, PeerLinks& links, const Store& store,
                 Metrics& metrics, PlannerSettings settings)
    : loop_(loop),
      links_(links),
      store_(store),
      metrics_(metrics),
      settings_(std::move(settings)),
      journal_(store, kShard) {
  evacuations_.max_age = settings_.max_evacuation_age;
}

void Planner::Start() {
  WatchHead();
  loop_.RunEvery(kTickInterval, [this] { Tick(); });
}

// Callers' requests.

bool Planner::StoreIsDown() const {
  if (store_failed_) return true;
  return commit_in_flight_ &&
         loop_.now() - commit_in_flight_->sent_at > kSlowCommitThreshold;
}

void Planner::Handle(const JobCall& call, AnswerFn fn) {
  if (!planning_) {
    JobAnswer answer = MakeAnswer(JobVerdict::kUnknown, "not planning");
    answer.no_effect = true;
    answer.stopped = !loading_;
    if (owner_) {
      answer.owner_epoch = owner_->epoch;
      answer.owner_address = ToString(owner_->address);
    }
    return fn(answer);
  }
  switch (call.verb) {
    case JobVerb::kSubmit:
      return Submit(call, std::move(fn));
    case JobVerb::kCancel:
      return Cancel(call, std::move(fn));
    case JobVerb::kRead:
      return Read(call, std::move(fn));
    case JobVerb::kCount: {
      JobAnswer answer = MakeAnswer(JobVerdict::kOk);
      answer.pending_jobs = CountPendingJobs(board_, call.queue);
      return fn(answer);
    }
  }
}

void Planner::Submit(const JobCall& call, AnswerFn fn) {
  const auto it = board_.jobs.find(call.spec.id);
  if (it != board_.jobs.end()) {
    if (it->second.accepted) return fn(MakeAnswer(JobVerdict::kOk, "known"));
    pending_submissions_[call.spec.id].push_back(std::move(fn));
    return;
  }
  JobReason why;
  if (!ValidateJob(call.spec, why)) {
    return fn(MakeAnswer(JobVerdict::kRejected, why.text));
  }
  if (StoreIsDown()) {
    JobAnswer answer =
        MakeAnswer(JobVerdict::kUnavailable, "the store is away");
    answer.store_away = true;
    answer.owner_epoch = board_.epoch;
    return fn(answer);
  }
  JobRecord record;
  record.spec = call.spec;
  record.terms = call.terms;
  record.accepted_at_ms =
      board_.unix_offset_ms + loop_.now().time_since_epoch().count();
  if (!ValidateRowSizes(record, why)) {
    return fn(MakeAnswer(JobVerdict::kRejected, why.text));
  }
  if (settings_.features.admission) {
    const auto rejection = RejectLateJob(record);
    if (rejection) return HandleUnknownJob(call, *rejection, std::move(fn));
  }
  AddJob(board_, loop_.now(), record);
  pending_submissions_[call.spec.id].push_back(std::move(fn));
  CommitPending();
}

std::optional<JobAnswer> Planner::RejectLateJob(JobRecord& record) {
  const MonotonicTime now = loop_.now();
  const JobSpec& spec = record.spec;
  const AdmissionDecision decision =
      DecideAdmission(board_, admission_, now, MakeJob(board_, now, record));
  // The value of a job counts from its caller's first attempt.
  record.accepted_at_ms -= (now - decision.first_seen_at).count();
  LogAdmission(spec, decision);
  if (!decision.rejected) return std::nullopt;
  metrics_.CountRefusal("late");
  JobAnswer answer = MakeAnswer(JobVerdict::kRejected, decision.reason);
  answer.retry_after_ms = decision.retry_after.count();
  return answer;
}

void Planner::LogAdmission(const JobSpec& spec,
                           const AdmissionDecision& decision) {
  const auto log = [&](Event event) {
    Log(event, {{"job", spec.id.value},
                {"queue", spec.queue.value},
                {"reason", decision.reason},
                {"needed_ms", decision.needed.count()},
                {"left_ms", decision.left.count()},
                {"wait_ms", decision.room.wait.count()},
                {"own_ms", decision.room.own_work.count()},
                {"vms", decision.room.fitting_vms},
                {"room_milli_cpu", decision.room.room.cpu.value},
                {"room_mib", decision.room.room.memory.value},
                {"retry_after_ms", decision.retry_after.count()},
                {"waited_ms", (loop_.now() - decision.first_seen_at).count()}});
  };
  if (decision.rejected) log(Event::kJobRejectedLate);
  if (decision.rejecting_changed) {
    log(decision.rejecting ? Event::kRejectingBegan : Event::kRejectingEnded);
  }
  if (decision.room.fitting_vms == 0) return;
  metrics_.SetGauge("admission_wait_ms",
                    static_cast<double>(decision.room.wait.count()));
  metrics_.SetGauge("admission_room_milli_cpu",
                    static_cast<double>(decision.room.room.cpu.value));
}

void Planner::HandleUnknownJob(const JobCall& call, const JobAnswer& answer,
                               AnswerFn fn) {
  const MonotonicTime now = loop_.now();
  if (now - board_.ownership_proven_at >= kOwnerTimeout) {
    return fn(MakeUnprovenAnswer(board_.epoch));
  }
  absence_waiters_.push_back({call, now, std::move(fn), answer});
  CommitPending();
}

void Planner::AnswerProvenAbsences() {
  std::vector<AbsenceWaiter> proven;
  std::erase_if(absence_waiters_, [&](AbsenceWaiter& waiter) {
    if (!IsOwnershipProvenSince(board_, waiter.arrived_at)) return false;
    proven.push_back(std::move(waiter));
    return true;
  });
  for (AbsenceWaiter& waiter : proven) {
    // The job may have been accepted meanwhile.
    if (IsKnown(board_, waiter.call)) {
      Handle(waiter.call, std::move(waiter.fn));
    } else {
      waiter.fn(waiter.answer);
    }
  }
}

void Planner::RefuseUnprovenAbsences() {
  const MonotonicTime now = loop_.now();
  std::vector<AnswerFn> fns;
  std::erase_if(absence_waiters_, [&](AbsenceWaiter& waiter) {
    if (now - waiter.arrived_at < kOwnerTimeout) return false;
    fns.push_back(std::move(waiter.fn));
    return true;
  });
  for (auto& fn : fns) fn(MakeUnprovenAnswer(board_.epoch));
}

void Planner::Cancel(const JobCall& call, AnswerFn fn) {
  if (!IsKnown(board_, call)) {
    return HandleUnknownJob(call, MakeAnswer(JobVerdict::kUnknownJob),
                            std::move(fn));
  }
  const auto it = board_.jobs.find(call.job);
  if (IsFinal(it->second.recorded)) return fn(MakeAnswer(JobVerdict::kOk));
  CancelJob(board_, loop_.now(), it->second);
  Log(Event::kJobCancelled,
      {{"job", call.job.value},
       {"request", call.request.value},
       {"epoch", static_cast<int64_t>(board_.epoch.value)}});
  change_waiters_.push_back({board_.change, std::move(fn)});
  SchedulePlanning();
}

void Planner::Read(const JobCall& call, AnswerFn fn) {
  if (!IsKnown(board_, call)) {
    return HandleUnknownJob(call, MakeAnswer(JobVerdict::kUnknownJob),
                            std::move(fn));
  }
  JobAnswer answer = MakeAnswer(JobVerdict::kOk);
  answer.state = VisibleState(board_.jobs.at(call.job));
  fn(answer);
}

void Planner::SetQueues(const std::map<QueueId, QueueTerms>& queues) {
  queues_ = queues;
  if (!planning_) return;
  sched::SetQueues(board_, queues);
  SchedulePlanning();
}

void Planner::SetEvacuations(const EvacuationReading& reading) {
  const bool changed = AdoptReading(evacuations_.reading, reading);
  board_.evacuations = evacuations_;
  if (!changed) return;
  std::string names;
  for (const DataCentreId& id : evacuations_.reading.data_centres) {
    names += (names.empty() ? "" : " ") + id.value;
  }
  const auto vms =
      std::count_if(board_.vms.begin(), board_.vms.end(), [&](const auto& it) {
        return IsEvacuated(evacuations_, it.second.data_centre);
      });
  Log(Event::kEvacuationsChanged,
      {{"data_centres", names},
       {"row_version",
        static_cast<int64_t>(evacuations_.reading.version.value)},
       {"vms", static_cast<int64_t>(vms)}});
  if (planning_) SchedulePlanning();
}

// Planning.

void Planner::SchedulePlanning() {
  if (planning_scheduled_) return;
  planning_scheduled_ = true;
  const Duration delay =
      std::max(kPlanningDelay, kPlanningPauseFactor * last_pass_duration_);
  loop_.RunAfter(delay, [this] {
    planning_scheduled_ = false;
    RunPlanningPass();
  });
}

void Planner::RunPlanningPass() {
  if (!planning_) return;
  const MonotonicTime now = loop_.now();
  Decisions log;
  ApplyEvacuations(board_, now, log);
  ExpireVmLeases(board_, now, log);
  StartDueOccurrences(board_, now);
  StopRunsToMove(board_, now, log);
  PlaceTasks(board_, now, log);
  UpdateFillerSpeedLimits(board_, now, log);
  LogDecisions(log);
  SendOrders();
  CommitPending();
  last_pass_duration_ = loop_.now() - now;
  metrics_.ObservePlanningPass(last_pass_duration_);
}

void Planner::LogOutdatedEvacuations() {
  const MonotonicTime now = loop_.now();
  const bool outdated = IsOutdated(evacuations_, now);
  if (outdated == evacuations_outdated_) return;
  evacuations_outdated_ = outdated;
  Log(Event::kEvacuationsOutdated,
      {{"outdated", outdated ? "yes" : "no"},
       {"age_ms", (now - evacuations_.reading.read_at).count()}});
}

void Planner::Tick() {
  if (!planning_) return;
  LogOutdatedEvacuations();
  const MonotonicTime now = loop_.now();
  Decisions log;
  LogWaitingTasks(board_, now, log);
  LogTargetMisses(board_, log);
  LogDecisions(log);
  RefuseUnprovenAbsences();
  RemoveSilentVms();
  while (!board_.ended.empty()) {
    const auto it = board_.jobs.find(board_.ended.front());
    if (it != board_.jobs.end()) {
      const Duration age = now - it->second.ended_at;
      if (age < settings_.ended_job_retention + kRetentionMargin) break;
      if (pending_deletes_.size() >= kDeletesPerCommit) break;
      pending_deletes_.push_back(
          {table::kJobs, journal_.partition(), it->first.value});
      pending_deletes_.push_back(
          {table::kProgress, journal_.partition(), it->first.value});
      RemoveJob(board_, it->first);
    }
    board_.ended.pop_front();
  }
  RunPlanningPass();
}

void Planner::LogDecisions(const Decisions& log) {
  for (const Decision& it : log) {
    const auto event = [&] {
      switch (it.kind) {
        case Decision::Kind::kPlaced:
          return Event::kRunPlaced;
        case Decision::Kind::kEnded:
          return Event::kRunEnded;
        case Decision::Kind::kJobEnded:
          return Event::kJobEnded;
        case Decision::Kind::kVmSynced:
          return Event::kVmSynced;
        case Decision::Kind::kVmLost:
          return Event::kVmLost;
        case Decision::Kind::kVmSetAside:
          return Event::kVmSetAside;
        case Decision::Kind::kTakenBack:
          return Event::kRunTakenBack;
        case Decision::Kind::kPaced:
          return Event::kFillersPaced;
        case Decision::Kind::kAdopted:
          return Event::kRunAdopted;
        case Decision::Kind::kMissing:
          return Event::kRunMissing;
        case Decision::Kind::kSuspected:
          return Event::kTaskSuspected;
        case Decision::Kind::kCleared:
          return Event::kTaskCleared;
        case Decision::Kind::kGivenUp:
          return Event::kTaskGivenUp;
        case Decision::Kind::kWaiting:
          return Event::kTaskWaiting;
        case Decision::Kind::kOverTarget:
          return Event::kTailOverTarget;
        case Decision::Kind::kWithinTarget:
          return Event::kTailWithinTarget;
        case Decision::Kind::kCopyStarted:
          return Event::kCopyStarted;
        case Decision::Kind::kCopyAdopted:
          return Event::kCopyAdopted;
        case Decision::Kind::kCopyPromoted:
          return Event::kCopyPromoted;
        case Decision::Kind::kCopyWon:
          return Event::kCopyWon;
        case Decision::Kind::kCopyWasted:
          return Event::kCopyWasted;
        case Decision::Kind::kVmSlow:
          return Event::kVmSlow;
        case Decision::Kind::kVmUsual:
          return Event::kVmUsualSpeed;
        case Decision::Kind::kLeftSlowVm:
          return Event::kRunLeftSlowVm;
        case Decision::Kind::kNearWait:
          return Event::kNearWaitEnded;
        case Decision::Kind::kRoomHeld:
          return Event::kRoomHeld;
      }
      return Event::kRunPlaced;
    }();
    const bool about_task = !it.task.job.empty();
    const int64_t proof_age_ms =
        (loop_.now() - board_.ownership_proven_at).count();
    if (about_task) {
      Log(event, {{"task", ToString(it.task)},
                  {"run", static_cast<int64_t>(it.run.value)},
                  {"vm", it.vm.value},
                  {"outcome", it.outcome},
                  {"reason", it.reason},
                  {"age_ms", it.age_ms},
                  {"proof_age_ms", proof_age_ms},
                  {"epoch", static_cast<int64_t>(board_.epoch.value)}});
    } else {
      Log(event, {{"vm", it.vm.value},
                  {"outcome", it.outcome},
                  {"reason", it.reason},
                  {"age_ms", it.age_ms},
                  {"proof_age_ms", proof_age_ms}});
    }
    if (it.kind == Decision::Kind::kPlaced && !it.outcome.empty()) {
      metrics_.CountTaskEvent("placed_after_" + it.outcome);
    }
    metrics_.CountTaskEvent(it.kind == Decision::Kind::kEnded
                                ? "end_" + it.outcome
                                : std::string(EventName(event)));
  }
}

void Planner::UpdateMetrics() {
  const auto set = [&](const char* name, auto value) {
    metrics_.SetGauge(name, static_cast<double>(value));
  };
  set("planning", planning_ ? 1 : 0);
  set("epoch", board_.epoch.value);
  set("jobs", board_.jobs.size());
  set("vms", board_.vms.size());
  set("starts", board_.starts);
  set("vms_slow",
      std::count_if(board_.vms.begin(), board_.vms.end(),
                    [](const auto& it) { return it.second.speed.slow; }));
  set("runs_left_slow_vms", board_.runs_left_slow);
  set("run_time_error", board_.run_time_error);
  set("declared_time_error", board_.declared_time_error);
  set("near_waits", board_.near_waits.begun);
  set("near_waits_won", board_.near_waits.won);
  set("near_waits_gained_ms", board_.near_waits.gained.count());
  set("gangs_spread", board_.near_waits.spread_gangs);
  set("proof_age_ms",
      planning_ ? (loop_.now() - board_.ownership_proven_at).count() : -1);
  set("store_failed", store_failed_ ? 1 : 0);
  const MissedTargets missed = CountMissedTargets(board_, loop_.now());
  set("targets_missed", missed.runs);
  set("target_missed_longest_ms", missed.longest.count());
  set("fillers_paused", missed.fillers_paused);
  set("evacuated_data_centres", evacuations_.reading.data_centres.size());
  set("evacuations_outdated", IsOutdated(evacuations_, loop_.now()) ? 1 : 0);
}

}  // namespace almondtally::sched
