#include "sched/candidates.h"

#include <algorithm>
#include <map>
#include <set>

#include "sched/expected_end.h"
#include "sched/ownership.h"

namespace almondtally::sched {
namespace {

/// Share of their reserved CPU that serving tasks use at peak load,
/// approximately.
constexpr double kServingCpuUse = 0.6;

/// @return true if the VM did not carry out its last start, or if its agent is
/// late with its report. Such a VM has more room than others, since nothing
/// starts there.
bool IsUnreliable(const VmEntity& vm, MonotonicTime now) {
  return vm.avoided_until > now || !HasReportedRecently(vm, now);
}

/// @return true if tasks would fail or stand still on the VM.
bool IsSetAside(const VmEntity& vm, MonotonicTime now) {
  return vm.set_aside_until > now || StandsStill(vm);
}

/// @return the services of which most VMs are set aside. Their failures are due
/// to the tasks, and no other VM would do better.
std::set<ServiceId> ListServicesMostlySetAside(const ShardState& shard,
                                               MonotonicTime now) {
  std::map<ServiceId, int> balance;
  for (const auto& [id, vm] : shard.vms) {
    if (!AcceptsTasks(shard, vm, now)) continue;
    balance[vm.worker.service] += IsSetAside(vm, now) ? 1 : -1;
  }
  std::set<ServiceId> out;
  for (const auto& [service, surplus] : balance) {
    if (surplus > 0) out.insert(service);
  }
  return out;
}

uint32_t CountRunsOfStep(const VmEntity& vm, const TaskKey& key) {
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

}  // namespace

bool AcceptsTasks(const ShardState& shard, const VmEntity& vm,
                  MonotonicTime now) {
  return vm.synced && !vm.partial && !vm.row_unproven &&
         !IsLeaseUnproven(shard, vm, now) && vm.worker.responsive &&
         !vm.worker.draining && !vm.evacuated && !vm.starts_held &&
         !vm.unregistered;
}

std::vector<CandidateVm> ListCandidateVms(ShardState& shard, MonotonicTime now,
                                          const SuspectTests& tests) {
  std::vector<CandidateVm> out;
  const auto mostly_set_aside = ListServicesMostlySetAside(shard, now);
  for (auto& [id, vm] : shard.vms) {
    const WorkerReport& worker = vm.worker;
    const bool set_aside =
        IsSetAside(vm, now) && !mostly_set_aside.contains(worker.service);
    if (!AcceptsTasks(shard, vm, now) || set_aside) continue;
    CandidateVm candidate;
    candidate.vm = &vm;
    candidate.free = worker.capacity;
    candidate.idle_cpu = worker.capacity.cpu.value;
    candidate.testing_suspect = tests.vms.contains(id);
    candidate.busy_with_suspect = tests.busy.contains(id);
    candidate.reserved_for_suspects = vm.reserved_for_suspects_until > now;
    candidate.unreliable = IsUnreliable(vm, now) || vm.has_former_lease;
    candidate.speed = SpeedOf(shard, vm, now);
    for (const auto& [task, run] : vm.runs) {
      Resources size = run.size;
      if (run.filler) {
        candidate.filler_cpu += size.cpu.value;
        size.cpu = MilliCpu(0);
      }
      candidate.free -= size;
      const double used = run.tail_target_ms > 0 ? kServingCpuUse : 1;
      candidate.idle_cpu -=
          static_cast<int64_t>(static_cast<double>(size.cpu.value) * used);
    }
    out.push_back(candidate);
  }
  return out;
}

double SpeedOnIdleCpu(const CandidateVm& candidate, const StepSpec& step) {
  const auto wanted =
      static_cast<double>(std::max<int64_t>(1, step.each.cpu.value));
  const auto idle =
      static_cast<double>(candidate.idle_cpu - candidate.filler_cpu);
  return std::clamp(idle / wanted, 0.0, 1.0);
}

bool HasRoom(const CandidateVm& candidate, const QueueTerms& terms,
             const StepSpec& step) {
  Resources need = step.each;
  if (step.filler) need.cpu = MilliCpu(0);
  if (!Fits(need, candidate.free)) return false;
  if (step.filler && SpeedOnIdleCpu(candidate, step) < kMinFillerSpeed)
    return false;
  const WorkerReport& worker = candidate.vm->worker;
  if (worker.service != terms.service) return false;
  const auto& labels = worker.labels;
  return step.required_label.empty() ||
         std::find(labels.begin(), labels.end(), step.required_label) !=
             labels.end();
}

bool IsOpenToInnocent(const CandidateVm& candidate) {
  return !candidate.testing_suspect && !candidate.reserved_for_suspects;
}

bool HasEarlierRun(const CandidateVm& candidate, const TaskKey& key) {
  return candidate.vm->runs.contains(key);
}

bool IsOpenToTask(const CandidateVm& candidate, const StepSpec& step,
                  const TaskKey& key) {
  if (HasEarlierRun(candidate, key)) return false;
  return step.max_per_vm == 0 ||
         CountRunsOfStep(*candidate.vm, key) < step.max_per_vm;
}

void Reserve(const ShardState& shard, CandidateVm& candidate,
             const StepSpec& step) {
  Resources size = step.each;
  if (step.filler) {
    candidate.filler_cpu += size.cpu.value;
    size.cpu = MilliCpu(0);
    if (candidate.serving)
      AddFillerLoad(shard, *candidate.vm, step, *candidate.serving);
  }
  if (step.tail_target_ms > 0) candidate.serving.reset();
  candidate.free -= size;
  candidate.idle_cpu -= size.cpu.value;
}

void Release(CandidateVm& candidate, const StepSpec& step) {
  Resources size = step.each;
  if (step.filler) {
    candidate.filler_cpu -= size.cpu.value;
    size.cpu = MilliCpu(0);
  }
  candidate.free += size;
  candidate.idle_cpu += size.cpu.value;
}

}  // namespace almondtally::sched
