#include "sched/near_place.h"

#include <algorithm>
#include <set>

#include "sched/expected_end.h"
#include "sched/placement_pass.h"
#include "sched/run_times.h"

// Load pattern: many jobs have their data on one rack, and it is full. A task
// takes a multiple of its time on another rack, so that a short wait pays for
// the first of them, and the others do better elsewhere at once. The same holds
// for gangs that run slower when they are spread over racks.

namespace almondtally::sched {
namespace {

/// Times at which it is considered whether a rack has room for a gang.
constexpr Duration kGangTimeStep{250};

/// @return what a run gives back, for tasks that are fillers or not, when it
/// ends.
Resources ReturnedSize(const VmRun& run, bool for_filler) {
  Resources out = run.size;
  // A filler takes idle CPU only, which the others can claim at any time.
  if (run.filler && !for_filler) out.cpu = MilliCpu(0);
  return out;
}

std::vector<RoomChange> ListRunEnds(const ShardState& shard, MonotonicTime now,
                                    const VmEntity& vm, bool for_filler) {
  std::vector<RoomChange> out;
  for (const auto& [key, run] : vm.runs) {
    const auto job = shard.jobs.find(key.job);
    const StepSpec* const step = FindStep(shard, key);
    if (job == shard.jobs.end() || step == nullptr || step->lasting) continue;
    out.push_back({ExpectedRemainingTime(shard, now, vm, job->second, key, run),
                   ReturnedSize(run, for_filler)});
  }
  std::sort(out.begin(), out.end(),
            [](const auto& a, const auto& b) { return a.after < b.after; });
  return out;
}

std::vector<RoomChange>& ChangesOf(const ShardState& shard, MonotonicTime now,
                                   NearPlaces& places, const VmEntity& vm,
                                   bool for_filler) {
  const auto [it, is_new] = places.changes.try_emplace({vm.id, for_filler});
  if (is_new) it->second = ListRunEnds(shard, now, vm, for_filler);
  return it->second;
}

/// @return the resources of a VM that a task of the step could use now.
Resources UsableRoom(const CandidateVm& candidate, const StepSpec& step) {
  Resources out = candidate.free;
  if (step.filler)
    out.cpu = MilliCpu(candidate.idle_cpu - candidate.filler_cpu);
  return out;
}

Resources NeedOf(const StepSpec& step) {
  Resources out = step.each;
  if (step.filler) {
    out.cpu = MilliCpu(static_cast<int64_t>(static_cast<double>(out.cpu.value) *
                                            kMinFillerSpeed));
  }
  return out;
}

/// @return true if the VM suits the step, apart from its room.
bool IsSuitable(const CandidateVm& candidate, const JobEntity& job,
                const StepSpec& step) {
  const WorkerReport& worker = candidate.vm->worker;
  const auto& labels = worker.labels;
  return IsOpenToInnocent(candidate) && !candidate.unreliable &&
         worker.service == job.terms.service &&
         (step.required_label.empty() ||
          std::find(labels.begin(), labels.end(), step.required_label) !=
              labels.end());
}

void Insert(std::vector<RoomChange>& changes, const RoomChange& change) {
  const auto at = std::upper_bound(
      changes.begin(), changes.end(), change.after,
      [](Duration after, const auto& it) { return after < it.after; });
  changes.insert(at, change);
}

Duration WaitedSoFar(const TaskEntity& task, MonotonicTime now) {
  return task.near_wait_since == MonotonicTime{} ? Duration(0)
                                                 : now - task.near_wait_since;
}

void BeginNearWait(ShardState& shard, MonotonicTime now, TaskEntity& task) {
  if (task.near_wait_since != MonotonicTime{}) return;
  task.near_wait_since = now;
  ++shard.near_waits.begun;
}

Resources Negative(const Resources& size) { return Resources{} - size; }

/// @return how many tasks of a step fit on a VM after some time.
uint32_t CountFitting(const CandidateVm& candidate,
                      const std::vector<RoomChange>& changes,
                      const StepSpec& step, Duration after) {
  Resources free = UsableRoom(candidate, step);
  for (const RoomChange& it : changes) {
    if (it.after <= after) free += it.size;
  }
  const Resources need = NeedOf(step);
  const uint32_t limit =
      step.max_per_vm == 0 ? step.count : std::min(step.count, step.max_per_vm);
  uint32_t n = 0;
  while (n < limit && Fits(need, free)) {
    free -= need;
    ++n;
  }
  return n;
}

}  // namespace

bool PaysToWait(Duration wait, Duration near_run, Duration far_run,
                Duration waited) {
  return waited + wait <= kMaxNearWait && wait + near_run < far_run;
}

std::optional<Duration> TimeUntilFits(Resources free,
                                      const std::vector<RoomChange>& changes,
                                      const Resources& need) {
  std::optional<Duration> out;
  if (Fits(need, free)) out = Duration(0);
  for (const RoomChange& it : changes) {
    if (it.after > kMaxNearWait) break;
    free += it.size;
    // Room that another task is promised is not free before it.
    if (!Fits(need, free)) {
      out.reset();
    } else if (!out) {
      out = it.after;
    }
  }
  return out;
}

std::optional<NearPlace> FindNearPlace(const ShardState& shard,
                                       MonotonicTime now, NearPlaces& places,
                                       std::vector<CandidateVm>& candidates,
                                       const JobEntity& job,
                                       const TaskKey& key) {
  const StepSpec& step = job.record.spec.steps[key.step];
  std::optional<NearPlace> best;
  for (CandidateVm& candidate : candidates) {
    const VmEntity& vm = *candidate.vm;
    if (FarFactor(shard, vm, step) > 1) continue;
    if (!IsSuitable(candidate, job, step)) continue;
    if (!IsOpenToTask(candidate, step, key)) continue;
    const auto wait = TimeUntilFits(
        UsableRoom(candidate, step),
        ChangesOf(shard, now, places, vm, step.filler), NeedOf(step));
    if (!wait) continue;
    const Duration run_time = ExpectedRunTime(shard, now, vm, job, key.step);
    if (best && *wait + run_time >= best->wait + best->run_time) continue;
    best = {&candidate, *wait, run_time};
  }
  return best;
}

void Promise(NearPlaces& places, const NearPlace& place, const StepSpec& step) {
  auto& changes = places.changes[{place.vm->vm->id, step.filler}];
  const Resources need = NeedOf(step);
  Insert(changes, {place.wait, Negative(need)});
  Insert(changes, {place.wait + place.run_time, need});
}

std::optional<Duration> TimeUntilRackFits(const ShardState& shard,
                                          MonotonicTime now, NearPlaces& places,
                                          std::vector<CandidateVm>& candidates,
                                          const JobEntity& job,
                                          const TaskKey& first_of_gang) {
  const StepSpec& step = job.record.spec.steps[first_of_gang.step];
  for (Duration after{0}; after <= kMaxNearWait; after += kGangTimeStep) {
    std::map<RackId, uint32_t> fitting;
    for (CandidateVm& candidate : candidates) {
      if (!IsSuitable(candidate, job, step)) continue;
      uint32_t& n = fitting[candidate.vm->worker.rack];
      n += CountFitting(
          candidate, ChangesOf(shard, now, places, *candidate.vm, step.filler),
          step, after);
      if (n >= step.count) return after;
    }
  }
  return std::nullopt;
}

Duration GainOfOneRack(const ShardState& shard, MonotonicTime now,
                       const JobEntity& job, const TaskKey& key) {
  const Duration one = EstimateRunTime(shard, now, job, key.step).typical;
  const double more = std::max(1.0, shard.features.far_factor) - 1;
  return Duration(
      static_cast<int64_t>(static_cast<double>(one.count()) * more));
}

bool WaitsForNearPlace(ShardState& shard, MonotonicTime now,
                       const ReadyStep& ready_step, PlacementPass& pass,
                       const TaskKey& key, TaskEntity& task,
                       const VmEntity& chosen, Decisions& log) {
  const JobEntity& job = *ready_step.job;
  const StepSpec& step = job.record.spec.steps[key.step];
  const bool matters =
      shard.features.far_factor > 1 && !step.data_rack.empty() && !step.lasting;
  if (!matters) return false;
  const Duration run_time = ExpectedRunTime(shard, now, chosen, job, key.step);
  if (FarFactor(shard, chosen, step) <= 1) {
    const auto far = Duration(static_cast<int64_t>(
        static_cast<double>(run_time.count()) * shard.features.far_factor));
    EndNearWait(shard, now, key, task, true, far - run_time, log);
    return false;
  }
  const auto place =
      FindNearPlace(shard, now, pass.near_places, pass.candidates, job, key);
  if (place && PaysToWait(place->wait, place->run_time, run_time,
                          WaitedSoFar(task, now))) {
    Promise(pass.near_places, *place, step);
    BeginNearWait(shard, now, task);
    return true;
  }
  EndNearWait(shard, now, key, task, false, Duration(0), log);
  return false;
}

bool WaitsForOneRack(ShardState& shard, MonotonicTime now,
                     const ReadyStep& ready_step, PlacementPass& pass,
                     const TaskKey& key, TaskEntity& first) {
  const JobEntity& job = *ready_step.job;
  const auto wait = TimeUntilRackFits(shard, now, pass.near_places,
                                      pass.candidates, job, key);
  const Duration near_run = EstimateRunTime(shard, now, job, key.step).typical;
  const Duration far_run = near_run + GainOfOneRack(shard, now, job, key);
  if (!wait || !PaysToWait(*wait, near_run, far_run, WaitedSoFar(first, now))) {
    return false;
  }
  BeginNearWait(shard, now, first);
  return true;
}

void EndNearWait(ShardState& shard, MonotonicTime now, const TaskKey& key,
                 TaskEntity& task, bool near, Duration gained, Decisions& log) {
  if (task.near_wait_since == MonotonicTime{}) return;
  const Duration waited = WaitedSoFar(task, now);
  task.near_wait_since = {};
  if (near) {
    ++shard.near_waits.won;
    shard.near_waits.gained += gained - waited;
  }
  Decision decision;
  decision.kind = Decision::Kind::kNearWait;
  decision.task = key;
  decision.run = task.run;
  decision.outcome = near ? "near" : "far";
  decision.reason = "expected gain " + std::to_string(gained.count()) + " ms";
  decision.age_ms = waited.count();
  log.push_back(std::move(decision));
}

}  // namespace almondtally::sched
