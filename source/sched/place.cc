#include <algorithm>
#include <limits>
#include <map>
#include <vector>

#include "sched/board.h"
#include "sched/rank.h"

// Load pattern: lasting tasks that serve users occupy most of every VM. Fillers
// use the remaining CPU and interfere with some of these tasks. Tasks that
// count against a VM's capacity are therefore packed, and fillers are placed
// where they interfere least, so that some VMs stay free of sensitive tasks.

namespace almondtally::sched {
namespace {

/// A filler waits if it would run below this share of full speed.
constexpr double kLeastFillerShare = 0.7;
/// Longest wait of a filler for a VM without interference; after that, slow
/// progress is better than none. Callers are guaranteed a start within 3 s
/// while most of the capacity is free.
constexpr Duration kLongestFillerWait{2'300};
/// Share of their reserved CPU that serving tasks use at peak load,
/// approximately.
constexpr double kServingUse = 0.6;
constexpr double kNotHere = std::numeric_limits<double>::lowest();
/// Run numbers available to one task within one planner epoch.
constexpr uint64_t kRunsPerEpoch = 1'000;

/// A VM that accepts tasks. The remaining capacity is updated with each task
/// that is placed.
struct Slot {
  VmEntity* vm = nullptr;
  /// Capacity not reserved; fillers reserve memory and accelerators, no CPU.
  Resources free;
  /// CPU, in thousandths, that tasks other than fillers are expected to leave
  /// idle.
  int64_t idle_cpu = 0;
  /// CPU that the fillers on the VM ask for.
  int64_t filler_cpu = 0;
};

/// A ready step that has idle tasks.
struct Candidate {
  JobEntity* job = nullptr;
  uint32_t occurrence = 0;
  uint32_t step = 0;
  JobRank rank;
};

std::vector<Slot> MakeSlots(Board& board, MonotonicTime now) {
  std::vector<Slot> out;
  for (auto& [id, vm] : board.vms) {
    const WorkerReport& worker = vm.worker;
    const bool usable = vm.synced && worker.responsive && !worker.draining &&
                        vm.set_aside_until <= now;
    if (!usable) continue;
    Slot slot;
    slot.vm = &vm;
    slot.free = worker.capacity;
    slot.idle_cpu = worker.capacity.cpu.value;
    for (const auto& [task, run] : vm.runs) {
      Resources size = run.size;
      if (run.filler) {
        slot.filler_cpu += size.cpu.value;
        size.cpu = MilliCpu(0);
      }
      slot.free -= size;
      const StepSpec* step = FindStep(board, task);
      const bool serves = step != nullptr && step->tail_target_ms > 0;
      const double used = serves ? kServingUse : 1;
      slot.idle_cpu -=
          static_cast<int64_t>(static_cast<double>(size.cpu.value) * used);
    }
    out.push_back(slot);
  }
  return out;
}

std::vector<Candidate> MakeCandidates(Board& board, MonotonicTime now) {
  std::vector<Candidate> out;
  const bool recovering = IsRecovering(board, now);
  for (auto& [id, job] : board.jobs) {
    if (!job.accepted || IsFinal(job.state)) continue;
    if (recovering && job.inherited) continue;
    for (auto& [number, occurrence] : job.occurrences) {
      for (uint32_t i = 0; i < occurrence.steps.size(); ++i) {
        const StepEntity& step = occurrence.steps[i];
        if (!step.ready || step.done == step.tasks.size()) continue;
        const bool idle = std::any_of(
            step.tasks.begin(), step.tasks.end(),
            [](const auto& t) { return t.phase == TaskPhase::kIdle; });
        if (!idle) continue;
        Candidate it;
        it.job = &job;
        it.occurrence = number;
        it.step = i;
        it.rank = RankOf(job, occurrence, now);
        out.push_back(it);
      }
    }
  }
  std::sort(out.begin(), out.end(),
            [](const auto& a, const auto& b) { return a.rank < b.rank; });
  return out;
}

uint32_t CountOfStep(const VmEntity& vm, const TaskKey& key) {
  uint32_t n = 0;
  const TaskKey first{key.job, key.occurrence, key.step, 0};
  for (auto it = vm.runs.lower_bound(first); it != vm.runs.end(); ++it) {
    const TaskKey& at = it->first;
    if (at.job != key.job || at.occurrence != key.occurrence ||
        at.step != key.step) {
      break;
    }
    ++n;
  }
  return n;
}

bool IsEligible(const Slot& slot, const QueueTerms& terms, const StepSpec& step,
                const TaskKey& key) {
  const WorkerReport& worker = slot.vm->worker;
  if (worker.service != terms.service) return false;
  const auto& labels = worker.labels;
  if (!step.required_label.empty() &&
      std::find(labels.begin(), labels.end(), step.required_label) ==
          labels.end()) {
    return false;
  }
  Resources need = step.each;
  if (step.filler) need.cpu = MilliCpu(0);
  if (!Fits(need, slot.free)) return false;
  if (slot.vm->runs.contains(key)) return false;
  return step.max_per_vm == 0 || CountOfStep(*slot.vm, key) < step.max_per_vm;
}

/// @return the share of full speed that the idle CPU of a VM allows a filler.
double RoomShare(const Slot& slot, const StepSpec& step) {
  const auto wanted =
      static_cast<double>(std::max<int64_t>(1, step.each.cpu.value));
  const auto idle = static_cast<double>(slot.idle_cpu - slot.filler_cpu);
  return std::clamp(idle / wanted, 0.0, 1.0);
}

/// @return the score of a VM for a task, where higher is better; kNotHere if
/// the task should wait instead.
double Score(const Board& board, MonotonicTime now, const Slot& slot,
             const StepSpec& step, const TaskKey& key, const TaskEntity& task) {
  const auto capacity = static_cast<double>(
      std::max<int64_t>(1, slot.vm->worker.capacity.cpu.value));
  const auto left = static_cast<double>(slot.idle_cpu - slot.filler_cpu);
  double score = left / capacity;
  if (step.filler) {
    // Fillers that together exceed the idle CPU only slow each other down.
    const double by_room = RoomShare(slot, step);
    if (by_room < kLeastFillerShare) return kNotHere;
    const double share =
        std::min(by_room, AllowedShare(board, *slot.vm, step, key));
    const bool patient = now - task.since < kLongestFillerWait;
    if (share < kLeastFillerShare && patient) return kNotHere;
    // Prefer the highest speed, then the VM with the most idle CPU.
    score = 4 * share + score;
  } else {
    // Best fit: prefer the VM with the least unreserved CPU.
    score = -static_cast<double>(slot.free.cpu.value) / capacity;
  }
  const auto& failed = task.failed_on;
  if (std::find(failed.begin(), failed.end(), slot.vm->id) != failed.end()) {
    score -= 8;
  }
  if (!slot.vm->failing_jobs.empty()) score -= 4;
  if (!step.data_rack.empty() && slot.vm->worker.rack.value != step.data_rack) {
    score -= 2;
  }
  return score;
}

Slot* ChooseSlot(const Board& board, MonotonicTime now,
                 std::vector<Slot>& slots, const QueueTerms& terms,
                 const StepSpec& step, const TaskKey& key,
                 const TaskEntity& task) {
  Slot* best = nullptr;
  double best_score = kNotHere;
  for (Slot& slot : slots) {
    if (!IsEligible(slot, terms, step, key)) continue;
    const double score = Score(board, now, slot, step, key, task);
    if (score <= best_score) continue;
    best = &slot;
    best_score = score;
  }
  return best;
}

void Claim(Slot& slot, const StepSpec& step) {
  Resources size = step.each;
  if (step.filler) {
    slot.filler_cpu += size.cpu.value;
    size.cpu = MilliCpu(0);
  }
  slot.free -= size;
  slot.idle_cpu -= size.cpu.value;
}

void Release(Slot& slot, const StepSpec& step) {
  Resources size = step.each;
  if (step.filler) {
    slot.filler_cpu -= size.cpu.value;
    size.cpu = MilliCpu(0);
  }
  slot.free += size;
  slot.idle_cpu += size.cpu.value;
}

RunNumber NextRun(const Board& board, RunNumber last) {
  const uint64_t first = (board.epoch.value - 1) * kRunsPerEpoch + 1;
  return RunNumber(std::max(first, last.value + 1));
}

void PlaceOn(Board& board, MonotonicTime now, VmEntity& vm,
             const StepSpec& step, const TaskKey& key, TaskEntity& task,
             RunNumber number, Decisions& log) {
  Decision line;
  line.kind = Decision::Kind::kPlaced;
  line.task = key;
  line.vm = vm.id;
  line.run = number;
  line.age_ms = (now - task.since).count();
  log.push_back(std::move(line));
  ++board.starts;
  task.phase = TaskPhase::kPlaced;
  task.run = number;
  task.vm = vm.id;
  task.since = now;
  VmRun run;
  run.run = number;
  run.size = step.each;
  run.filler = step.filler;
  run.known = true;
  vm.runs[key] = run;
  // Update the speed limits at once, so that a new filler starts with the right
  // one.
  vm.next_pace_at = now;
}

void PlaceSingles(Board& board, MonotonicTime now, const Candidate& candidate,
                  std::vector<Slot>& slots, Decisions& log) {
  const StepSpec& spec = candidate.job->record.spec.steps[candidate.step];
  StepEntity& step =
      candidate.job->occurrences.at(candidate.occurrence).steps[candidate.step];
  TaskKey key{candidate.job->record.spec.id, candidate.occurrence,
              candidate.step, 0};
  for (; key.index < step.tasks.size(); ++key.index) {
    TaskEntity& task = step.tasks[key.index];
    if (task.phase != TaskPhase::kIdle || task.not_before > now) continue;
    Slot* slot =
        ChooseSlot(board, now, slots, candidate.job->terms, spec, key, task);
    if (slot == nullptr) {
      // The other tasks of the step need the same resources, so none of them
      // fits either, unless the VMs to avoid differ.
      if (task.failed_on.empty()) return;
      continue;
    }
    Claim(*slot, spec);
    PlaceOn(board, now, *slot->vm, spec, key, task, NextRun(board, task.run),
            log);
  }
}

/// Places all tasks of a gang, or none.
void PlaceGang(Board& board, MonotonicTime now, const Candidate& candidate,
               std::vector<Slot>& slots, Decisions& log) {
  const StepSpec& spec = candidate.job->record.spec.steps[candidate.step];
  StepEntity& step =
      candidate.job->occurrences.at(candidate.occurrence).steps[candidate.step];
  TaskKey key{candidate.job->record.spec.id, candidate.occurrence,
              candidate.step, 0};
  RunNumber number;
  std::string checkpoint;
  for (const TaskEntity& task : step.tasks) {
    if (task.phase != TaskPhase::kIdle || task.not_before > now) return;
    number = std::max(number, task.run);
    if (!task.checkpoint.empty()) checkpoint = task.checkpoint;
  }
  std::set<RackId> racks;
  for (const Slot& slot : slots) {
    racks.insert(spec.one_rack ? slot.vm->worker.rack : RackId());
  }
  for (const RackId& rack : racks) {
    std::vector<Slot*> chosen;
    for (key.index = 0; key.index < step.tasks.size(); ++key.index) {
      Slot* best = nullptr;
      for (Slot& slot : slots) {
        if (spec.one_rack && slot.vm->worker.rack != rack) continue;
        if (!IsEligible(slot, candidate.job->terms, spec, key)) continue;
        const auto here = std::count(chosen.begin(), chosen.end(), &slot);
        if (spec.max_per_vm != 0 && here >= spec.max_per_vm) continue;
        if (best == nullptr || slot.idle_cpu > best->idle_cpu) best = &slot;
      }
      if (best == nullptr) break;
      Claim(*best, spec);
      chosen.push_back(best);
    }
    if (chosen.size() < step.tasks.size()) {
      for (Slot* slot : chosen) Release(*slot, spec);
      continue;
    }
    number = NextRun(board, number);
    for (key.index = 0; key.index < chosen.size(); ++key.index) {
      TaskEntity& task = step.tasks[key.index];
      task.checkpoint = checkpoint;
      PlaceOn(board, now, *chosen[key.index]->vm, spec, key, task, number, log);
    }
    return;
  }
}

}  // namespace

void PlaceTasks(Board& board, MonotonicTime now, Decisions& log) {
  const auto candidates = MakeCandidates(board, now);
  if (candidates.empty()) return;
  auto slots = MakeSlots(board, now);
  for (const Candidate& it : candidates) {
    if (it.job->record.spec.steps[it.step].gang) {
      PlaceGang(board, now, it, slots, log);
    } else {
      PlaceSingles(board, now, it, slots, log);
    }
  }
}

}  // namespace almondtally::sched
