#include "target/task_table.h"

#include <algorithm>

namespace almondtally {
namespace {

constexpr Duration kCallRetry{500};
/// Minimum time between two checkpoint announcements of one run.
constexpr Duration kCheckpointAnnounceInterval{10'000};
/// Duration of leases of services, which need no proof.
constexpr Duration kServiceLease{30'000};

bool IsLive(const Run& run) { return run.phase != RunPhase::kEnded; }

StartResult Result(const StartItem& item, StartVerdict verdict,
                   std::string reason) {
  return {item.run(), verdict, std::move(reason)};
}

StartResult Refuse(TaskTable& table, MonotonicTime now, const StartItem& item,
                   std::string reason) {
  // A start call of the previous target process may still reach the worker
  // until the lease in that call expires. A final refusal before then could be
  // wrong.
  if (now < table.started_at + kLease + kClockDriftMargin) {
    return Result(item, StartVerdict::kRetry, "starting up: " + reason);
  }
  table.tombstones[item.run()] = {StartVerdict::kRefused, now};
  return Result(item, StartVerdict::kRefused, std::move(reason));
}

void EndRun(Run& run, RunOutcome outcome, const std::string& reason) {
  run.phase = RunPhase::kEnded;
  run.outcome = outcome;
  run.reason = reason;
  run.call_in_flight = false;
}

bool HasOlderExclusiveRuns(const TaskTable& table, Generation generation) {
  return std::any_of(table.runs.begin(), table.runs.end(), [&](const auto& it) {
    const Run& run = it.second;
    return IsLive(run) && run.item.exclusive &&
           run.item.generation < generation;
  });
}

void StopOlderRuns(TaskTable& table, Generation generation) {
  for (auto& [key, run] : table.runs) {
    if (!IsLive(run) || !run.item.exclusive) continue;
    if (run.item.generation >= generation) continue;
    Stop(table, key, RunOutcome::kEvicted, "the VM was fenced");
  }
}

StartItem MakeItem(const WorkerTask& task) {
  StartItem item;
  item.task = task.task;
  item.epoch = task.epoch;
  item.generation = task.generation;
  item.exclusive = task.exclusive;
  item.service = task.service;
  item.claimed = task.claimed;
  return item;
}

/// Adopts a run that the worker lists but this process did not admit: one of
/// the previous target process, or one started by an abandoned call.
void Adopt(TaskTable& table, const WorkerTask& task, MonotonicTime now) {
  const WorkerRun key{task.task, task.epoch};
  Run& run = table.runs[key];
  run.item = MakeItem(task);
  run.phase = RunPhase::kRunning;
  run.confirmed_at = now;
  const bool refused = table.tombstones.contains(key);
  const Generation least = std::max(table.generation, table.pending_generation);
  const bool fenced = task.exclusive && task.generation < least;
  if (refused || fenced) {
    Stop(table, key, RunOutcome::kEvicted, refused ? "refused" : "fenced");
  }
}

void ApplyWorkerTask(TaskTable& table, const WorkerTask& task,
                     MonotonicTime received_at) {
  const WorkerRun key{task.task, task.epoch};
  if (!table.runs.contains(key)) {
    const auto tombstone = table.tombstones.find(key);
    const bool over = task.state == WorkerTaskState::kFinished ||
                      task.state == WorkerTaskState::kFailed;
    // The end was acknowledged, and the worker is about to discard the task.
    if (tombstone != table.tombstones.end() && over) return;
    Adopt(table, task, received_at);
  }
  Run& run = table.runs[key];
  if (run.phase == RunPhase::kEnded) return;
  run.confirmed_at = received_at;
  run.used = task.used;
  run.speed = task.speed;
  run.port = task.port;
  run.checkpoint = task.checkpoint;
  if (run.phase == RunPhase::kStarting) run.phase = RunPhase::kRunning;
  if (task.state == WorkerTaskState::kFinished) {
    EndRun(run, RunOutcome::kFinished, "");
  } else if (task.state == WorkerTaskState::kFailed) {
    EndRun(run, RunOutcome::kFailed, "the task failed on its worker");
  }
}

/// Ends runs that the worker confirmed earlier and no longer lists.
void EndMissingRuns(TaskTable& table, MonotonicTime asked_at,
                    const std::vector<WorkerTask>& listed) {
  for (auto& [key, run] : table.runs) {
    const bool confirmed =
        run.phase == RunPhase::kRunning || run.phase == RunPhase::kStopping;
    if (!confirmed || run.confirmed_at >= asked_at || run.call_in_flight) {
      continue;
    }
    const bool found = std::any_of(
        listed.begin(), listed.end(), [&id = key](const WorkerTask& task) {
          return task.task == id.task && task.epoch == id.epoch;
        });
    if (found) continue;
    const RunOutcome outcome =
        run.phase == RunPhase::kStopping ? run.outcome : RunOutcome::kEvicted;
    EndRun(run, outcome, "the worker no longer has it");
  }
}

Resources ElementwiseMax(const Resources& a, const Resources& b) {
  return {std::max(a.cpu, b.cpu), std::max(a.memory, b.memory),
          std::max(a.accelerators, b.accelerators)};
}

/// Converts `at` to the worker's clock. The result is never late.
WorkerTime ToWorkerTime(const TaskTable& table, MonotonicTime at) {
  return WorkerTime(table.worker_time.value +
                    (at - table.worker_time_received_at).count());
}

WorkerTime LeaseEnd(const TaskTable& table, bool exclusive, MonotonicTime now) {
  if (!exclusive) return ToWorkerTime(table, now + kServiceLease);
  return ToWorkerTime(table, ValidUntil(table.proof).value_or(now));
}

}  // namespace

Resources CommittedResources(const TaskTable& table) {
  Resources sum;
  for (const auto& [key, run] : table.runs) {
    if (IsLive(run)) sum += run.item.claimed;
  }
  return sum;
}

Resources ReservedResources(const TaskTable& table) {
  Resources sum;
  for (const auto& [key, run] : table.runs) {
    if (IsLive(run)) sum += ElementwiseMax(run.item.claimed, run.used);
  }
  return sum;
}

bool MayRunExclusive(const TaskTable& table, MonotonicTime now) {
  return table.generation.value != 0 &&
         table.pending_generation <= table.generation &&
         IsValid(table.proof, now);
}

StartResult AdmitRun(TaskTable& table, MonotonicTime now,
                     const StartRequest& request, const StartItem& item) {
  if (const auto it = table.runs.find(item.run()); it != table.runs.end()) {
    Run& known = it->second;
    const bool ended =
        known.phase == RunPhase::kEnded || known.phase == RunPhase::kStopping;
    if (known.entry != request.entry) {
      known.entry = request.entry;
      known.announced_checkpoint.clear();
      known.next_checkpoint_at = now;
    }
    return Result(item, ended ? StartVerdict::kEnded : StartVerdict::kAccepted,
                  "");
  }
  if (request.incarnation != table.incarnation) {
    return Result(item, StartVerdict::kRetry, "meant for a former process");
  }
  const auto age = now.time_since_epoch() - Duration(request.as_of_ms.value);
  if (age > kMaxStartMessageAge) {
    return Result(item, StartVerdict::kRetry, "the message is too old");
  }
  if (const auto it = table.tombstones.find(item.run());
      it != table.tombstones.end()) {
    return Result(item, it->second.verdict, "remembered");
  }
  if (!table.worker_listed) {
    return Result(item, StartVerdict::kRetry, "the worker's list is not known");
  }
  if (item.exclusive && !MayRunExclusive(table, now)) {
    return Result(item, StartVerdict::kRetry, "no proof against a fence");
  }
  if (item.exclusive && item.generation < table.generation) {
    return Refuse(table, now, item, "assigned before the VM was fenced");
  }
  if (item.exclusive && item.generation > table.generation) {
    return Result(item, StartVerdict::kRetry, "generation not yet adopted");
  }
  if (table.draining) return Refuse(table, now, item, "the VM is draining");
  if (!Fits(ReservedResources(table) + item.claimed, table.capacity)) {
    return Refuse(table, now, item, "the VM is full");
  }
  Run run;
  run.item = item;
  run.checkpoint = item.checkpoint;
  run.entry = request.entry;
  run.announced_checkpoint = item.checkpoint;
  run.next_checkpoint_at = now + kCheckpointAnnounceInterval;
  run.next_call_at = now;
  table.runs[item.run()] = std::move(run);
  return Result(item, StartVerdict::kAccepted, "");
}

void ApplyWorkerListing(TaskTable& table, MonotonicTime asked_at,
                        MonotonicTime received_at, const WorkerState& state) {
  table.worker_listed = true;
  table.capacity = state.capacity;
  table.used = state.used;
  // Pairing the worker's clock with the time of receipt makes estimates of the
  // worker's time too early, never too late.
  table.worker_time = state.now_ms;
  table.worker_time_received_at = received_at;
  for (const WorkerTask& task : state.tasks) {
    ApplyWorkerTask(table, task, received_at);
  }
  EndMissingRuns(table, asked_at, state.tasks);
}

ProofEffect ApplyFenceProof(TaskTable& table, MonotonicTime asked_at,
                            const FenceProof& proof) {
  const Generation known = std::max(table.generation, table.pending_generation);
  if (proof.generation < known) return ProofEffect::kStale;
  if (proof.generation == known) {
    Renew(table.proof, asked_at, Duration(proof.read_age_ms));
    return ProofEffect::kNone;
  }
  const bool first = table.generation.value == 0;
  table.pending_generation = proof.generation;
  table.proof = NotFencedProof{};
  Renew(table.proof, asked_at, Duration(proof.read_age_ms));
  StopOlderRuns(table, proof.generation);
  return first ? ProofEffect::kAdopted : ProofEffect::kFenced;
}

std::vector<WorkerStart> CollectStarts(TaskTable& table, MonotonicTime now) {
  std::vector<WorkerStart> starts;
  for (auto& [key, run] : table.runs) {
    if (run.phase != RunPhase::kStarting || run.call_in_flight) continue;
    if (now < run.next_call_at) continue;
    if (run.item.exclusive && !MayRunExclusive(table, now)) continue;
    run.call_in_flight = true;
    run.start_sent = true;
    WorkerStart start;
    start.task = key.task;
    start.epoch = key.epoch;
    start.generation = run.item.generation;
    start.exclusive = run.item.exclusive;
    start.service = run.item.service;
    start.claimed = run.item.claimed;
    start.work_ms = run.item.work_ms;
    start.command = run.item.command;
    start.checkpoint = run.item.checkpoint;
    start.lease_until_ms = LeaseEnd(table, run.item.exclusive, now);
    starts.push_back(std::move(start));
  }
  return starts;
}

void ApplyStartReply(TaskTable& table, const WorkerRun& run, MonotonicTime now,
                     bool done, const PlatformReason& why) {
  const auto it = table.runs.find(run);
  if (it == table.runs.end()) return;
  Run& entity = it->second;
  entity.call_in_flight = false;
  const bool refused = !done && why.code == PlatformError::kRefused;
  const bool lost = !done && !refused;
  if (lost) {
    const auto lapses = entity.item.exclusive
                            ? ValidUntil(table.proof).value_or(now)
                            : now + kServiceLease;
    entity.start_may_arrive_until =
        std::max(entity.start_may_arrive_until, lapses);
    entity.next_call_at = now + kCallRetry;
  }
  if (entity.phase != RunPhase::kStarting) return;
  if (done) {
    entity.phase = RunPhase::kRunning;
    entity.confirmed_at = now;
    entity.start_may_arrive_until = MonotonicTime{};
  }
  if (!refused) return;
  if (now >= entity.start_may_arrive_until) {
    EndRun(entity, RunOutcome::kNotStarted, why.text);
    return;
  }
  // An earlier start call may still arrive; stop the run once that is ruled
  // out.
  Stop(table, run, RunOutcome::kNotStarted, why.text);
}

std::vector<StopCall> CollectStops(TaskTable& table, MonotonicTime now) {
  std::vector<StopCall> stops;
  for (auto& [key, run] : table.runs) {
    if (run.phase != RunPhase::kStopping || run.call_in_flight) continue;
    if (now < run.next_call_at || now < run.start_may_arrive_until) continue;
    run.call_in_flight = true;
    const bool fenced =
        run.item.exclusive &&
        run.item.generation <
            std::max(table.generation, table.pending_generation);
    // The task of a fenced run may already have resumed on another VM from an
    // older checkpoint, so this run must not write a newer one.
    const bool keep = run.outcome == RunOutcome::kEvicted && !fenced;
    stops.push_back({key, keep});
  }
  return stops;
}

void ApplyStopReply(TaskTable& table, const WorkerRun& run, MonotonicTime now,
                    const std::optional<WorkerStopped>& stopped) {
  const auto it = table.runs.find(run);
  if (it == table.runs.end()) return;
  Run& entity = it->second;
  entity.call_in_flight = false;
  if (entity.phase != RunPhase::kStopping) return;
  if (!stopped) {
    entity.next_call_at = now + kCallRetry;
    return;
  }
  if (!stopped->checkpoint.empty()) entity.checkpoint = stopped->checkpoint;
  const bool finished = stopped->state == WorkerTaskState::kFinished;
  EndRun(entity, finished ? RunOutcome::kFinished : entity.outcome,
         entity.reason);
}

bool Stop(TaskTable& table, const WorkerRun& run, RunOutcome outcome,
          const std::string& reason) {
  const auto it = table.runs.find(run);
  if (it == table.runs.end()) return false;
  Run& entity = it->second;
  const bool may_stop =
      entity.phase == RunPhase::kStarting || entity.phase == RunPhase::kRunning;
  if (!may_stop) return false;
  const bool never_called =
      entity.phase == RunPhase::kStarting && !entity.start_sent;
  if (never_called) {
    EndRun(entity, RunOutcome::kNotStarted, reason);
    return true;
  }
  entity.phase = RunPhase::kStopping;
  entity.outcome = outcome;
  entity.reason = reason;
  entity.next_call_at = MonotonicTime{};
  return true;
}

void CancelRun(TaskTable& table, const WorkerRun& run, MonotonicTime now) {
  if (Stop(table, run, RunOutcome::kCancelled, "cancelled")) return;
  if (table.runs.contains(run) || table.tombstones.contains(run)) return;
  if (!table.worker_listed ||
      now < table.started_at + kLease + kClockDriftMargin)
    return;
  Run& entity = table.runs[run];
  entity.item.task = run.task;
  entity.item.epoch = run.epoch;
  EndRun(entity, RunOutcome::kCancelled, "cancelled before it started");
}

std::vector<Renewal> Renewals(const TaskTable& table, MonotonicTime now) {
  Renewal exclusive;
  Renewal services;
  for (const auto& [key, run] : table.runs) {
    if (run.phase != RunPhase::kRunning) continue;
    (run.item.exclusive ? exclusive : services).runs.push_back(key);
  }
  std::vector<Renewal> out;
  if (!exclusive.runs.empty() && MayRunExclusive(table, now)) {
    exclusive.until = LeaseEnd(table, true, now);
    out.push_back(std::move(exclusive));
  }
  if (!services.runs.empty()) {
    services.until = LeaseEnd(table, false, now);
    out.push_back(std::move(services));
  }
  return out;
}

std::vector<EndedRun> EndedRuns(const TaskTable& table) {
  std::vector<EndedRun> ended;
  for (const auto& [key, run] : table.runs) {
    if (run.phase != RunPhase::kEnded) continue;
    ended.push_back({key, run.outcome, run.checkpoint, run.reason});
  }
  return ended;
}

std::vector<RunCheckpoint> CollectCheckpoints(TaskTable& table,
                                              const EntryId& entry,
                                              MonotonicTime now) {
  std::vector<RunCheckpoint> out;
  for (auto& [key, run] : table.runs) {
    const bool is_new = run.checkpoint != run.announced_checkpoint;
    if (run.phase != RunPhase::kRunning || run.entry != entry || !is_new) {
      continue;
    }
    if (now < run.next_checkpoint_at) continue;
    run.announced_checkpoint = run.checkpoint;
    run.next_checkpoint_at = now + kCheckpointAnnounceInterval;
    out.push_back({key, run.checkpoint});
  }
  return out;
}

bool Acknowledge(TaskTable& table, const WorkerRun& run, MonotonicTime now) {
  const auto it = table.runs.find(run);
  if (it == table.runs.end() || it->second.phase != RunPhase::kEnded) {
    return false;
  }
  table.tombstones[run] = {StartVerdict::kEnded, now};
  table.runs.erase(it);
  return true;
}

void RunMaintenance(TaskTable& table, MonotonicTime now) {
  std::erase_if(table.tombstones, [&](const auto& it) {
    return now - it.second.since > kTombstoneLifetime;
  });
  if (table.pending_generation <= table.generation || !table.worker_listed)
    return;
  if (HasOlderExclusiveRuns(table, table.pending_generation)) return;
  table.generation = table.pending_generation;
}

bool IsEmpty(const TaskTable& table) { return table.runs.empty(); }

}  // namespace almondtally
