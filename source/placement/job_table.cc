#include "placement/job_table.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <tuple>

#include "base/log.h"

namespace almondtally {
namespace {

constexpr uint32_t kMaxFailures = 5;
constexpr size_t kMaxRowsPerCommit = 96;
constexpr size_t kMaxAvoidedVms = 4;
constexpr Duration kStartResendInterval{1'000};

template <typename Table>
auto FindChunk(Table& job_table, const TaskId& task)
    -> decltype(&job_table.jobs.begin()->second.chunks.begin()->second) {
  const auto job = job_table.jobs.find(task.job);
  if (job == job_table.jobs.end()) return nullptr;
  const uint32_t first = task.index / kTasksPerChunk * kTasksPerChunk;
  const auto it = job->second.chunks.find(first);
  if (it == job->second.chunks.end()) return nullptr;
  if (task.index - first >= it->second.committed.tasks.size()) return nullptr;
  return &it->second;
}

bool IsAssignedAs(const TaskRecord& task, const VmId& vm, Epoch epoch) {
  return task.state == TaskState::kAssigned && task.vm == vm &&
         task.epoch == epoch;
}

void ResetToPending(TaskRecord& task, bool cancelled) {
  task.state = cancelled ? TaskState::kCancelled : TaskState::kPending;
  task.vm = VmId();
  task.generation = Generation(0);
}

void AddAvoidedVm(TaskRuntimeState& runtime, const VmId& vm) {
  runtime.avoided_vms.push_back(vm);
  if (runtime.avoided_vms.size() > kMaxAvoidedVms)
    runtime.avoided_vms.erase(runtime.avoided_vms.begin());
}

/// Applies the end of a run to the desired record of its task.
void ApplyRunOutcome(const JobEntity& job, TaskRecord& task,
                     TaskRuntimeState& runtime, const VmId& vm,
                     const EndedRun& ended) {
  if (!ended.checkpoint.empty()) task.checkpoint = ended.checkpoint;
  runtime.confirmed_by = Incarnation(0);
  switch (ended.outcome) {
    case RunOutcome::kFinished:
      task.state = TaskState::kDone;
      return;
    case RunOutcome::kFailed:
      ++task.failures;
      AddAvoidedVm(runtime, vm);
      if (task.failures >= kMaxFailures && job.row.spec.exclusive()) {
        task.state = TaskState::kFailed;
        return;
      }
      break;
    case RunOutcome::kEvicted:
      ++task.evictions;
      break;
    case RunOutcome::kNotStarted:
      AddAvoidedVm(runtime, vm);
      break;
    case RunOutcome::kCancelled:
      break;
  }
  ResetToPending(task, job.row.cancelled);
}

void LogEndedRun(const VmId& vm, const EndedRun& ended) {
  const std::string task = ToString(ended.run.task);
  const auto epoch = static_cast<int64_t>(ended.run.epoch.value);
  const std::string outcome(ToString(ended.outcome));
  Event event = Event::kTaskFinished;
  if (ended.outcome == RunOutcome::kEvicted) event = Event::kTaskEvicted;
  if (ended.outcome == RunOutcome::kFailed) event = Event::kTaskFailed;
  if (ended.outcome == RunOutcome::kCancelled) event = Event::kTaskCancelled;
  if (ended.outcome == RunOutcome::kNotStarted) event = Event::kTaskRefused;
  Log(event, {{"task", task},
              {"epoch", epoch},
              {"vm", vm.value},
              {"outcome", outcome},
              {"checkpoint", ended.checkpoint},
              {"reason", ended.reason}});
}

/// One pending task: its job, its chunk and its position in the chunk.
struct Candidate {
  JobEntity* job;
  TrackedChunk* chunk;
  size_t at;
};

struct JobOrder {
  bool urgent;
  int64_t share;
  int64_t submitted;
  JobEntity* job;
};

/// CPU used by the team per unit of its weight, for weighted fair sharing.
int64_t WeightedUsage(const std::map<TeamId, Resources>& use,
                      const Config& config, const TeamId& team) {
  constexpr int64_t kScale = 1'000;
  const auto it = use.find(team);
  if (it == use.end()) return 0;
  const auto team_config = FindTeam(config, team);
  const int64_t weight = team_config ? team_config->weight : 1;
  return it->second.cpu.value * kScale / std::max<int64_t>(1, weight);
}

bool HasPending(const JobEntity& job) {
  for (const auto& [first, chunk] : job.chunks) {
    if (chunk.stale) continue;
    for (const TaskRecord& task : chunk.wanted.tasks) {
      if (task.state == TaskState::kPending) return true;
    }
  }
  return false;
}

std::vector<JobOrder> JobsInPlacementOrder(
    JobTable& job_table, const Config& config,
    const std::map<TeamId, Resources>& use) {
  std::vector<JobOrder> order;
  for (auto& [id, job] : job_table.jobs) {
    if (!HasPending(job)) continue;
    const JobSpec& spec = job.row.spec;
    // Services rank with urgent work because users wait for their answers.
    order.push_back({spec.urgent || !spec.exclusive(),
                     WeightedUsage(use, config, spec.team),
                     job.row.submitted_at_ms, &job});
  }
  std::sort(order.begin(), order.end(), [](const auto& a, const auto& b) {
    return std::tuple(!a.urgent, a.share, a.submitted) <
           std::tuple(!b.urgent, b.share, b.submitted);
  });
  return order;
}

JobSpread ComputeSpread(const JobEntity& job, const VmTable& vms) {
  JobSpread spread;
  if (job.row.spec.exclusive()) return spread;
  for (const auto& [first, chunk] : job.chunks) {
    for (const TaskRecord& task : chunk.wanted.tasks) {
      if (task.state != TaskState::kAssigned) continue;
      const auto vm = vms.find(task.vm);
      if (vm == vms.end()) continue;
      ++spread.on_vm[task.vm];
      ++spread.on_rack[vm->second.rack];
      ++spread.in_data_centre[vm->second.data_centre];
    }
  }
  return spread;
}

/// @return why the quota forbids another task, or empty if it allows one.
std::string QuotaReason(const Config& config, const JobSpec& spec,
                        const Resources& in_use) {
  const auto team = FindTeam(config, spec.team);
  if (!team) return "the team does not exist";
  if (!Fits(in_use + spec.each, team->quota)) return "the team's quota is used";
  return "";
}

void Park(JobEntity& job, const std::string& reason, Event event) {
  if (job.parked == reason) return;
  job.parked = reason;
  Log(event, {{"job", job.row.spec.id.value}, {"reason", reason}});
}

/// Assigns one task to a VM. Changes only the desired state; the assignment
/// takes effect once it is committed.
void Assign(Candidate candidate, PlacementContext view,
            const PlacementChoice& choice) {
  VmRecord& vm = view.vms.at(choice.vm);
  TaskRecord& task = candidate.chunk->wanted.tasks[candidate.at];
  TaskRuntimeState& runtime = candidate.chunk->notes[candidate.at];
  task.state = TaskState::kAssigned;
  ++task.epoch.value;
  task.vm = choice.vm;
  task.generation = vm.generation;
  runtime.confirmed_by = Incarnation(0);
  runtime.checkpoint.clear();
  runtime.next_start_at = MonotonicTime{};
  runtime.reason = choice.reason;
  candidate.chunk->dirty = true;
  const TaskId id{
      candidate.job->row.spec.id,
      candidate.chunk->wanted.first + static_cast<uint32_t>(candidate.at)};
  vm.reservations[{id, task.epoch}] = {candidate.job->row.spec.each, {}};
  Log(Event::kTaskPlaced, {{"task", ToString(id)},
                           {"epoch", static_cast<int64_t>(task.epoch.value)},
                           {"vm", choice.vm.value},
                           {"reason", choice.reason}});
}

/// Places the job's pending tasks and stops at the first one that cannot be
/// placed.
/// @return the number of tasks placed.
size_t PlaceJob(JobEntity& job, PlacementContext view, Resources& team_use,
                size_t most) {
  JobSpread spread = ComputeSpread(job, view.vms);
  const JobSpec& spec = job.row.spec;
  size_t placed = 0;
  for (auto& [first, chunk] : job.chunks) {
    if (chunk.stale) continue;
    for (size_t i = 0; i < chunk.wanted.tasks.size(); ++i) {
      if (chunk.wanted.tasks[i].state != TaskState::kPending) continue;
      if (placed >= most) return placed;
      const std::string quota = QuotaReason(view.config, spec, team_use);
      if (!quota.empty()) {
        Park(job, quota, Event::kTaskUnplaced);
        return placed;
      }
      PlacementRequest request{spec.each, spec.exclusive(),
                               chunk.notes[i].avoided_vms};
      NoPlacement why = NoPlacement::kNoRoom;
      auto choice =
          ChooseVm(view.vms, view.config, request, spread, view.now, why);
      if (!choice && !request.avoided_vms.empty()) {
        // Fall back to the avoided VMs rather than leave the task pending.
        request.avoided_vms.clear();
        choice =
            ChooseVm(view.vms, view.config, request, spread, view.now, why);
      }
      if (!choice) {
        const bool infeasible = why == NoPlacement::kInfeasible;
        Park(job,
             infeasible ? "no VM is large enough for one task"
                        : "no VM has room at present",
             infeasible ? Event::kJobParked : Event::kTaskUnplaced);
        return placed;
      }
      job.parked.clear();
      Assign({&job, &chunk, i}, view, *choice);
      const VmRecord& vm = view.vms.at(choice->vm);
      ++spread.on_vm[vm.vm];
      ++spread.on_rack[vm.rack];
      ++spread.in_data_centre[vm.data_centre];
      team_use += spec.each;
      ++placed;
    }
  }
  return placed;
}

bool IsFenceWaitOver(const JobTable& job_table, PlacementContext view,
                     const TaskRecord& task) {
  const auto it = job_table.observed_fences.find(task.vm);
  if (it == job_table.observed_fences.end()) return false;
  const auto& [generation, seen_at] = it->second;
  return generation > task.generation && view.now - seen_at >= kFenceWait;
}

/// Executors of services need not be exclusive, so they are replaced as soon
/// as their VM is silent, without waiting for a fence.
bool IsServiceLost(PlacementContext view, const TaskRecord& task) {
  const auto vm = view.vms.find(task.vm);
  return vm == view.vms.end() ||
         IsSilent(vm->second, view.now, kVmSilenceTimeout) ||
         vm->second.generation > task.generation;
}

void RecordFences(JobTable& job_table, PlacementContext view) {
  for (const auto& [key, object] : view.config.objects) {
    if (key.kind != ConfigKind::kFence) continue;
    const VmId vm(key.name);
    const Generation generation = CurrentGeneration(view.config, vm);
    auto [it, is_new] =
        job_table.observed_fences.try_emplace(vm, generation, view.now);
    if (!is_new && it->second.first < generation) {
      it->second = {generation, view.now};
    }
  }
}

template <typename Fn>
void ForEachAssigned(JobTable& job_table, Fn fn) {
  for (auto& [id, job] : job_table.jobs) {
    for (auto& [first, chunk] : job.chunks) {
      if (chunk.stale) continue;
      for (size_t i = 0; i < chunk.committed.tasks.size(); ++i) {
        const TaskRecord& task = chunk.committed.tasks[i];
        const bool unchanged =
            i < chunk.wanted.tasks.size() && task == chunk.wanted.tasks[i];
        if (task.state == TaskState::kAssigned && unchanged) {
          fn(job, chunk, i);
        }
      }
    }
  }
}

StartItem MakeStartItem(const JobEntity& job, const TrackedChunk& chunk,
                        size_t at) {
  const TaskRecord& task = chunk.committed.tasks[at];
  StartItem item;
  item.task = {job.row.spec.id,
               chunk.committed.first + static_cast<uint32_t>(at)};
  item.epoch = task.epoch;
  item.generation = task.generation;
  item.exclusive = job.row.spec.exclusive();
  item.service = job.row.spec.service;
  item.claimed = job.row.spec.each;
  item.work_ms = item.exclusive ? job.row.spec.work_ms : 0;
  item.command = job.row.spec.command;
  item.checkpoint = task.checkpoint;
  return item;
}

std::string EncodeFinishedJob(const JobEntity& job) {
  nlohmann::json counts;
  for (const auto& [state, n] : CountTasks(job)) {
    counts[std::string(ToString(state))] = n;
  }
  return nlohmann::json{{"spec", job.row.spec},
                        {"cancelled", job.row.cancelled},
                        {"tasks", counts}}
      .dump();
}

void ResizeService(JobEntity& job, const ServiceConfig& config) {
  const auto wanted = static_cast<uint32_t>(config.executors);
  job.row.spec.each = config.each;
  for (uint32_t first = 0; first < wanted; first += kTasksPerChunk) {
    const auto [it, is_new] = job.chunks.try_emplace(first);
    TrackedChunk& chunk = it->second;
    if (is_new) {
      chunk.committed = {job.row.spec.id, first, {}};
      chunk.wanted = chunk.committed;
    }
    const size_t size = std::min(kTasksPerChunk, wanted - first);
    if (chunk.wanted.tasks.size() >= size) continue;
    chunk.wanted.tasks.resize(size);
    chunk.notes.resize(size);
    chunk.dirty = true;
  }
  for (auto& [first, chunk] : job.chunks) {
    for (size_t i = 0; i < chunk.wanted.tasks.size(); ++i) {
      TaskRecord& task = chunk.wanted.tasks[i];
      const bool needed = first + i < wanted;
      if (needed && IsTerminal(task.state)) {
        task.state = TaskState::kPending;
        chunk.dirty = true;
      } else if (!needed && task.state == TaskState::kPending) {
        task.state = TaskState::kCancelled;
        chunk.dirty = true;
      }
    }
  }
}

/// Whether the task is an executor beyond the configured number or belongs to
/// a removed service.
bool IsSurplus(const JobEntity& job, const Config& config, uint32_t index) {
  if (job.row.spec.exclusive()) return false;
  const auto service = FindService(config, job.row.spec.service);
  return !service || index >= static_cast<uint32_t>(service->executors);
}

}  // namespace

void ApplyJobRow(JobTable& job_table, const JobRow& row, RowVersion version) {
  JobEntity& job = job_table.jobs[row.spec.id];
  job.stale = false;
  if (version < job.version) return;
  job.row = row;
  job.version = version;
  if (!row.cancelled) return;
  for (auto& [first, chunk] : job.chunks) {
    for (TaskRecord& task : chunk.wanted.tasks) {
      if (task.state != TaskState::kPending) continue;
      task.state = TaskState::kCancelled;
      chunk.dirty = true;
    }
  }
}

void ApplyChunkRow(JobTable& job_table, const Chunk& chunk, RowVersion version,
                   MonotonicTime sent) {
  const auto job = job_table.jobs.find(chunk.job);
  if (job == job_table.jobs.end()) return;
  TrackedChunk& entity = job->second.chunks[chunk.first];
  if (entity.in_flight || version < entity.version) return;
  // The in-memory state of unchanged tasks is still valid.
  std::vector<TaskRuntimeState> notes(chunk.tasks.size());
  for (size_t i = 0; i < notes.size() && i < entity.notes.size(); ++i) {
    if (entity.committed.tasks.size() > i &&
        entity.committed.tasks[i] == chunk.tasks[i]) {
      notes[i] = entity.notes[i];
    }
  }
  entity.version = version;
  entity.committed = chunk;
  entity.wanted = chunk;
  entity.notes = std::move(notes);
  entity.dirty = false;
  entity.stale = false;
  entity.validated_at = sent;
  ApplyJobRow(job_table, job->second.row, job->second.version);
}

void MarkAllStale(JobTable& job_table) {
  for (auto& [id, job] : job_table.jobs) {
    job.stale = true;
    for (auto& [first, chunk] : job.chunks) chunk.stale = true;
  }
}

std::vector<std::string> StaleKeys(const JobTable& job_table) {
  std::vector<std::string> keys;
  for (const auto& [id, job] : job_table.jobs) {
    if (job.stale) keys.push_back(JobKey(id));
    for (const auto& [first, chunk] : job.chunks) {
      if (chunk.stale && !chunk.in_flight) keys.push_back(ChunkKey(id, first));
    }
  }
  return keys;
}

EndedEffect ApplyEndedRun(JobTable& job_table, PlacementContext view,
                          const VmId& vm, const EndedRun& ended) {
  TrackedChunk* chunk = FindChunk(job_table, ended.run.task);
  if (chunk == nullptr) return EndedEffect::kUnknownJob;
  const size_t at = ended.run.task.index - chunk->committed.first;
  const TaskRecord& committed = chunk->committed.tasks[at];
  if (committed.epoch < ended.run.epoch) {
    chunk->stale = true;
    return EndedEffect::kWait;
  }
  if (chunk->stale) return EndedEffect::kWait;
  if (!IsAssignedAs(committed, vm, ended.run.epoch)) {
    return EndedEffect::kAcknowledge;
  }
  TaskRecord& wanted = chunk->wanted.tasks[at];
  if (!(wanted == committed)) return EndedEffect::kWait;
  JobEntity& job = job_table.jobs.at(ended.run.task.job);
  ApplyRunOutcome(job, wanted, chunk->notes[at], vm, ended);
  chunk->dirty = true;
  LogEndedRun(vm, ended);
  const auto row = view.vms.find(vm);
  if (row == view.vms.end()) return EndedEffect::kWait;
  const bool failed = ended.outcome == RunOutcome::kFailed;
  const bool ended_well = ended.outcome == RunOutcome::kFinished;
  if ((failed || ended_well) &&
      RecordTaskOutcome(row->second, ended.run.task.job, failed, view.now)) {
    Log(Event::kWorkerQuarantined, {{"vm", vm.value}});
  }
  return EndedEffect::kWait;
}

void ApplyStartResult(JobTable& job_table, PlacementContext view,
                      const VmId& vm, Incarnation asked,
                      const StartResult& result) {
  const auto row = view.vms.find(vm);
  if (row != view.vms.end() && result.verdict != StartVerdict::kRetry) {
    const auto it = row->second.reservations.find(result.run);
    if (it != row->second.reservations.end()) {
      it->second.answered_at = view.now;
      if (result.verdict == StartVerdict::kRefused) {
        row->second.reservations.erase(it);
      }
    }
  }
  TrackedChunk* chunk = FindChunk(job_table, result.run.task);
  if (chunk == nullptr || chunk->stale) return;
  const size_t at = result.run.task.index - chunk->committed.first;
  const TaskRecord& committed = chunk->committed.tasks[at];
  if (!IsAssignedAs(committed, vm, result.run.epoch)) return;
  TaskRuntimeState& runtime = chunk->notes[at];
  switch (result.verdict) {
    case StartVerdict::kAccepted:
      runtime.confirmed_by = asked;
      return;
    case StartVerdict::kEnded:
    case StartVerdict::kRetry:
      runtime.reason = result.reason;
      return;
    case StartVerdict::kRefused:
      break;
  }
  TaskRecord& wanted = chunk->wanted.tasks[at];
  if (!(wanted == committed)) return;
  Log(Event::kTaskRefused,
      {{"task", ToString(result.run.task)},
       {"epoch", static_cast<int64_t>(result.run.epoch.value)},
       {"vm", vm.value},
       {"reason", result.reason}});
  ResetToPending(wanted, job_table.jobs.at(result.run.task.job).row.cancelled);
  AddAvoidedVm(runtime, vm);
  chunk->dirty = true;
}

void RecordCheckpoint(JobTable& job_table, const VmId& vm,
                      const RunCheckpoint& checkpoint) {
  TrackedChunk* chunk = FindChunk(job_table, checkpoint.run.task);
  if (chunk == nullptr || chunk->stale) return;
  const size_t at = checkpoint.run.task.index - chunk->committed.first;
  const TaskRecord& task = chunk->committed.tasks[at];
  if (!IsAssignedAs(task, vm, checkpoint.run.epoch)) return;
  chunk->notes[at].checkpoint = checkpoint.checkpoint;
}

void ReleaseUnusedReservations(const JobTable& job_table, VmTable& vms) {
  for (auto& [id, vm] : vms) {
    std::erase_if(vm.reservations, [&, vm_id = id](const auto& it) {
      const auto& [run, reservation] = it;
      if (reservation.answered_at) return false;
      const TrackedChunk* chunk = FindChunk(job_table, run.task);
      if (chunk == nullptr) return true;
      const size_t at = run.task.index - chunk->wanted.first;
      return !IsAssignedAs(chunk->wanted.tasks[at], vm_id, run.epoch);
    });
  }
}

void PlacePending(JobTable& job_table, PlacementContext view, size_t most) {
  std::map<TeamId, Resources> use = UsageByTeam(job_table);
  for (const JobOrder& order :
       JobsInPlacementOrder(job_table, view.config, use)) {
    if (most == 0) return;
    JobEntity& job = *order.job;
    most -= PlaceJob(job, view, use[job.row.spec.team], most);
  }
}

std::vector<JobRow> SyncServices(JobTable& job_table, const Config& config,
                                 const std::set<TeamId>& teams) {
  std::vector<JobRow> missing;
  for (const ServiceId& service : Services(config)) {
    const auto it = FindService(config, service);
    if (!it || !teams.contains(it->team)) continue;
    const JobId id = ServiceJobId(service);
    const auto job = job_table.jobs.find(id);
    if (job != job_table.jobs.end()) {
      ResizeService(job->second, *it);
      continue;
    }
    JobRow row;
    row.spec.id = id;
    row.spec.team = it->team;
    row.spec.service = service;
    row.spec.count = static_cast<uint32_t>(it->executors);
    row.spec.each = it->each;
    missing.push_back(std::move(row));
  }
  return missing;
}

void RequeueLostTasks(JobTable& job_table, PlacementContext view) {
  RecordFences(job_table, view);
  ForEachAssigned(
      job_table, [&](JobEntity& job, TrackedChunk& chunk, size_t at) {
        const TaskRecord task = chunk.committed.tasks[at];
        const bool exclusive = job.row.spec.exclusive();
        const bool lost = exclusive ? IsFenceWaitOver(job_table, view, task)
                                    : IsServiceLost(view, task);
        if (!lost) return;
        const TaskId id{job.row.spec.id,
                        chunk.committed.first + static_cast<uint32_t>(at)};
        Log(Event::kTaskLost,
            {{"task", ToString(id)},
             {"epoch", static_cast<int64_t>(task.epoch.value)},
             {"vm", task.vm.value},
             {"reason", exclusive ? "fence wait over" : "VM silent"}});
        TaskRecord& wanted = chunk.wanted.tasks[at];
        if (exclusive) ++wanted.evictions;
        const std::string& checkpoint = chunk.notes[at].checkpoint;
        if (!checkpoint.empty()) wanted.checkpoint = checkpoint;
        ResetToPending(wanted, job.row.cancelled);
        chunk.notes[at].confirmed_by = Incarnation(0);
        chunk.dirty = true;
      });
}

std::vector<std::pair<VmId, Generation>> VmsToFence(const JobTable& job_table,
                                                    PlacementContext view) {
  std::map<VmId, Generation> out;
  for (const auto& [id, job] : job_table.jobs) {
    if (!job.row.spec.exclusive()) continue;
    for (const auto& [first, chunk] : job.chunks) {
      for (const TaskRecord& task : chunk.committed.tasks) {
        if (task.state != TaskState::kAssigned) continue;
        const auto vm = view.vms.find(task.vm);
        const bool silent = vm == view.vms.end() ||
                            IsSilent(vm->second, view.now, kVmSilenceTimeout);
        const bool fenced =
            CurrentGeneration(view.config, task.vm) > task.generation;
        if (silent && !fenced) out[task.vm] = task.generation;
      }
    }
  }
  return {out.begin(), out.end()};
}

std::optional<CommitBatch> TakeCommit(JobTable& job_table, MonotonicTime now) {
  CommitBatch batch;
  batch.sent = now;
  for (auto& [id, job] : job_table.jobs) {
    for (auto& [first, chunk] : job.chunks) {
      if (batch.chunks.size() >= kMaxRowsPerCommit) break;
      if (!chunk.dirty || chunk.in_flight || chunk.stale) continue;
      const std::string key = ChunkKey(id, first);
      batch.transaction.checks.push_back({key, chunk.version});
      batch.transaction.puts.push_back({key, Encode(chunk.wanted)});
      batch.chunks.emplace_back(id, first);
      chunk.in_flight = true;
      chunk.dirty = false;
      chunk.committed.tasks.resize(chunk.wanted.tasks.size());
    }
  }
  if (batch.chunks.empty()) return std::nullopt;
  return batch;
}

void TakeCommitted(JobTable& job_table, const CommitBatch& batch,
                   const std::optional<Committed>& done) {
  for (size_t i = 0; i < batch.chunks.size(); ++i) {
    const auto& [id, first] = batch.chunks[i];
    const auto job = job_table.jobs.find(id);
    if (job == job_table.jobs.end()) continue;
    TrackedChunk& chunk = job->second.chunks[first];
    chunk.in_flight = false;
    // After a conflict or a lost answer, only the stored row shows whether the
    // write took effect.
    JobReason why;
    auto sent = DecodeChunk(batch.transaction.puts[i].value, why);
    if (!done || !sent) {
      chunk.stale = true;
      continue;
    }
    chunk.version = done->version;
    chunk.committed = std::move(*sent);
    chunk.validated_at = batch.sent;
  }
}

std::vector<StartBatch> CollectStartMessages(JobTable& job_table,
                                             PlacementContext view,
                                             const EntryId& self) {
  std::map<VmId, StartBatch> batches;
  ForEachAssigned(
      job_table, [&](JobEntity& job, TrackedChunk& chunk, size_t at) {
        const TaskRecord& task = chunk.committed.tasks[at];
        TaskRuntimeState& runtime = chunk.notes[at];
        if (view.now < runtime.next_start_at || job.row.cancelled) return;
        const auto vm = view.vms.find(task.vm);
        if (vm == view.vms.end()) return;
        if (runtime.confirmed_by == vm->second.incarnation) return;
        if (IsSilent(vm->second, view.now, kVmSilenceTimeout)) return;
        if (view.now - chunk.validated_at > kMaxTableReadAge) {
          chunk.stale = true;
          return;
        }
        runtime.next_start_at = view.now + kStartResendInterval;
        StartBatch& batch = batches[task.vm];
        batch.vm = task.vm;
        batch.request.entry = self;
        batch.request.incarnation = vm->second.incarnation;
        batch.request.as_of_ms = vm->second.as_of;
        batch.request.starts.push_back(MakeStartItem(job, chunk, at));
      });
  std::vector<StartBatch> out;
  out.reserve(batches.size());
  for (auto& [vm, batch] : batches) out.push_back(std::move(batch));
  return out;
}

std::map<VmId, std::vector<WorkerRun>> RunsToStop(const JobTable& job_table,
                                                  const Config& config) {
  std::map<VmId, std::vector<WorkerRun>> out;
  for (const auto& [id, job] : job_table.jobs) {
    for (const auto& [first, chunk] : job.chunks) {
      for (size_t i = 0; i < chunk.committed.tasks.size(); ++i) {
        const TaskRecord& task = chunk.committed.tasks[i];
        if (task.state != TaskState::kAssigned) continue;
        const uint32_t index = first + static_cast<uint32_t>(i);
        if (!job.row.cancelled && !IsSurplus(job, config, index)) continue;
        out[task.vm].push_back({{id, index}, task.epoch});
      }
    }
  }
  return out;
}

std::vector<FinishedJob> CollectFinishedJobs(JobTable& job_table) {
  std::vector<FinishedJob> out;
  for (auto& [id, job] : job_table.jobs) {
    if (job.finishing || job.stale || job.chunks.empty()) continue;
    if (!job.row.spec.exclusive()) continue;
    FinishedJob finished{id, {}};
    finished.transaction.checks.push_back({JobKey(id), job.version});
    finished.transaction.deletes.push_back(JobKey(id));
    finished.transaction.puts.push_back({DoneKey(id), EncodeFinishedJob(job)});
    size_t tasks = 0;
    bool all_over = true;
    for (const auto& [first, chunk] : job.chunks) {
      tasks += chunk.committed.tasks.size();
      if (chunk.dirty || chunk.in_flight || chunk.stale) all_over = false;
      for (const TaskRecord& task : chunk.committed.tasks) {
        if (!IsTerminal(task.state)) all_over = false;
      }
      const std::string key = ChunkKey(id, first);
      finished.transaction.checks.push_back({key, chunk.version});
      finished.transaction.deletes.push_back(key);
    }
    if (!all_over || tasks < job.row.spec.count) continue;
    job.finishing = true;
    out.push_back(std::move(finished));
  }
  return out;
}

std::map<TaskState, uint32_t> CountTasks(const JobEntity& job) {
  std::map<TaskState, uint32_t> counts;
  for (const auto& [first, chunk] : job.chunks) {
    for (const TaskRecord& task : chunk.wanted.tasks) ++counts[task.state];
  }
  return counts;
}

std::map<TeamId, Resources> UsageByTeam(const JobTable& job_table) {
  std::map<TeamId, Resources> use;
  for (const auto& [id, job] : job_table.jobs) {
    for (const auto& [first, chunk] : job.chunks) {
      for (const TaskRecord& task : chunk.wanted.tasks) {
        if (task.state != TaskState::kAssigned) continue;
        use[job.row.spec.team] += job.row.spec.each;
      }
    }
  }
  return use;
}

}  // namespace almondtally
