#include "sched/admission.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <optional>
#include <vector>

#include "sched/candidates.h"
#include "sched/critical_path.h"
#include "sched/expected_end.h"
#include "sched/ownership.h"
#include "sched/rank.h"
#include "sched/run_times.h"

// Load pattern: short jobs arrive at three times their usual rate and wide ones
// at 2.5 times, while a third of the VMs leave. For seconds there is more work
// than room, and the queue outlasts the value of what joins it last.

namespace almondtally::sched {
namespace {

/// A queue rejects jobs once one exceeds its limit this many times; it then
/// goes on while jobs exceed their limit at all.
constexpr double kBeginRejectingAt = 1.25;
/// Rejected callers are remembered for this long after they are due back.
constexpr Duration kRememberLateCallers{10'000};
/// Callers who are due back within this time are expected to come.
constexpr Duration kExpectLateCallers{1'000};
constexpr Duration kMinRetryAfter{1'000};
constexpr Duration kMaxRetryAfter{10'000};
/// Callers are told to come back in whole numbers of this.
constexpr Duration kRetrySlot{1'000};
/// Callers are spread over this time after the room is expected.
constexpr Duration kRetrySpread{10'000};
constexpr size_t kRetrySlots =
    static_cast<size_t>((kMaxRetryAfter + kRetrySpread) / kRetrySlot) + 1;
/// Number of jobs from which the sizes of a queue are known.
constexpr size_t kRecentSizes = 100;
constexpr size_t kMinSizes = 10;
/// Jobs above this quantile of the sizes are large.
constexpr double kLargeQuantile = 0.7;
/// After this time, a decision counts half.
constexpr double kDecisionHalfLifeMs = 10'000;
/// Share of their reserved CPU that serving tasks use at least, approximately.
constexpr double kServingCpuUse = 0.5;
/// Wait where nothing is known of the room.
constexpr Duration kNoWait{0};

/// Resources times milliseconds.
struct Work {
  double cpu = 0;
  double memory = 0;
  double accelerators = 0;
};

void AddWork(Work& sum, const Resources& size, bool counts_cpu, double ms) {
  if (counts_cpu) sum.cpu += static_cast<double>(size.cpu.value) * ms;
  sum.memory += static_cast<double>(size.memory.value) * ms;
  sum.accelerators += static_cast<double>(size.accelerators.value) * ms;
}

double Divide(double work, int64_t rate) {
  return work <= 0 ? 0 : work / static_cast<double>(std::max<int64_t>(1, rate));
}

/// @return the time in which `room` does `work`.
Duration TimeFor(const Work& work, const Resources& room) {
  const double ms = std::max(
      {Divide(work.cpu, room.cpu.value), Divide(work.memory, room.memory.value),
       Divide(work.accelerators, room.accelerators.value)});
  return Duration(static_cast<int64_t>(ms));
}

bool HasLabel(const VmEntity& vm, const std::string& label) {
  const auto& labels = vm.worker.labels;
  return label.empty() ||
         std::find(labels.begin(), labels.end(), label) != labels.end();
}

Resources SizeFor(const StepSpec& step) {
  Resources out = step.each;
  if (step.filler) out.cpu = MilliCpu(0);
  return out;
}

/// @return true if tasks of a step could run on a VM if nothing else did.
bool IsFitting(const VmEntity& vm, const ServiceId& service,
               const StepSpec& step) {
  return vm.synced && vm.worker.service == service && !vm.worker.draining &&
         HasLabel(vm, step.required_label) &&
         Fits(SizeFor(step), vm.worker.capacity);
}

/// @return what a lasting task takes from tasks of a step.
Resources LastingShare(const VmRun& run, const StepSpec& step) {
  Resources out = run.size;
  if (run.filler) {
    out.cpu = MilliCpu(0);
  } else if (step.filler && run.tail_target_ms > 0) {
    out.cpu = MilliCpu(static_cast<int64_t>(
        static_cast<double>(run.size.cpu.value) * kServingCpuUse));
  }
  return out;
}

MilliCpu Scale(MilliCpu cpu, double factor) {
  return MilliCpu(
      static_cast<int64_t>(static_cast<double>(cpu.value) * factor));
}

/// @return the component-wise maximum.
Resources Largest(const Resources& a, const Resources& b) {
  return {std::max(a.cpu, b.cpu), std::max(a.memory, b.memory),
          std::max(a.accelerators, b.accelerators)};
}

/// Room and work of the VMs that fit a step.
struct Pool {
  int64_t vms = 0;
  Resources room;
  Work ahead;
  /// Longest time that a task ahead still takes.
  Duration longest{};
  /// Shortest time until a run ends, if there is one.
  std::optional<Duration> next_end;
};

/// Adds a VM, and what runs on it, to a pool.
void AddVm(const ShardState& shard, MonotonicTime now, const VmEntity& vm,
           const StepSpec& step, Pool& pool, Resources& in_use) {
  ++pool.vms;
  Resources room = vm.worker.capacity;
  for (const auto& [key, run] : vm.runs) {
    const StepSpec* spec = FindStep(shard, key);
    if (spec == nullptr) continue;
    if (spec->lasting) {
      room -= LastingShare(run, *spec);
      continue;
    }
    const bool counts_cpu = step.filler || !run.filler;
    const Duration low =
        EstimateRunTime(shard, now, shard.jobs.at(key.job), key.step).low;
    const bool is_running = run.running_since != MonotonicTime{};
    const Duration used = is_running ? now - run.running_since : Duration(0);
    const Duration left = std::max(Duration(0), low - used);
    AddWork(pool.ahead, run.size, counts_cpu,
            static_cast<double>(left.count()));
    pool.longest = std::max(pool.longest, left);
    pool.next_end = std::min(pool.next_end.value_or(left), left);
    Resources size = run.size;
    if (!counts_cpu) size.cpu = MilliCpu(0);
    in_use += size;
  }
  room.cpu = Scale(room.cpu, std::min(1.0, SpeedOf(shard, vm, now)));
  pool.room += room;
}

/// Adds the ready tasks that go before a job to a pool.
void AddWaiting(const ShardState& shard, MonotonicTime now,
                const JobEntity& job, const JobRank& rank, const StepSpec& step,
                Pool& pool) {
  for (const JobId& id : shard.open_jobs) {
    const JobEntity& other = shard.jobs.at(id);
    if (other.terms.service != job.terms.service) continue;
    for (const auto& [number, occurrence] : other.occurrences) {
      if (!(RankOf(shard, other, occurrence, now) < rank)) continue;
      for (uint32_t i = 0; i < occurrence.steps.size(); ++i) {
        const StepSpec& spec = other.record.spec.steps[i];
        const StepEntity& entity = occurrence.steps[i];
        if (spec.lasting || !entity.ready ||
            spec.required_label != step.required_label) {
          continue;
        }
        const auto idle = std::count_if(
            entity.tasks.begin(), entity.tasks.end(),
            [](const auto& it) { return it.phase == TaskPhase::kIdle; });
        if (idle == 0) continue;
        const Duration low = EstimateRunTime(shard, now, other, i).low;
        AddWork(pool.ahead, spec.each, step.filler || !spec.filler,
                static_cast<double>(low.count()) * static_cast<double>(idle));
        pool.longest = std::max(pool.longest, low);
      }
    }
  }
}

Pool MakePool(const ShardState& shard, MonotonicTime now, const JobEntity& job,
              const JobRank& rank, const StepSpec& step) {
  Pool pool;
  Resources in_use;
  for (const auto& [id, vm] : shard.vms) {
    if (IsFitting(vm, job.terms.service, step))
      AddVm(shard, now, vm, step, pool, in_use);
  }
  // Lasting tasks may end; what others use now does not become less by itself.
  pool.room = Largest(pool.room, Largest(in_use, step.each));
  AddWaiting(shard, now, job, rank, step, pool);
  return pool;
}

/// @return the least time until a task can start that goes after the others. It
/// may start while the last of them runs.
Duration WaitFor(const Pool& pool) {
  const Duration all = TimeFor(pool.ahead, pool.room);
  return std::max(pool.next_end.value_or(kNoWait), all - pool.longest);
}

Work OwnWork(const ShardState& shard, MonotonicTime now, const JobEntity& job,
             bool filler) {
  Work out;
  const auto& steps = job.record.spec.steps;
  for (uint32_t i = 0; i < steps.size(); ++i) {
    const Duration low = EstimateRunTime(shard, now, job, i).low;
    AddWork(
        out, steps[i].each, filler || !steps[i].filler,
        static_cast<double>(low.count()) * static_cast<double>(steps[i].count));
  }
  return out;
}

/// @return the critical path by the low estimates.
Duration ShortestPath(const ShardState& shard, MonotonicTime now,
                      const JobEntity& job) {
  return CriticalPath(job.record.spec, [&](uint32_t step) {
    return EstimateRunTime(shard, now, job, step).low;
  });
}

/// @return true if the job is to wait for its time, or has no end.
bool IsWithoutObjective(const JobSpec& spec) {
  return spec.occurrences > 0 ||
         std::any_of(spec.steps.begin(), spec.steps.end(),
                     [](const auto& it) { return it.lasting; });
}

void Decay(QueueAdmission& queue, MonotonicTime now) {
  const auto age = static_cast<double>((now - queue.counted_at).count());
  const double factor = std::exp2(-age / kDecisionHalfLifeMs);
  queue.counted_at = now;
  queue.decided *= factor;
  queue.rejected *= factor;
  queue.large_decided *= factor;
  queue.large_rejected *= factor;
}

/// @return true if a job is among the largest of its queue.
bool IsLarge(const QueueAdmission& queue, double size) {
  const auto smaller =
      std::count_if(queue.sizes.begin(), queue.sizes.end(),
                    [&](double other) { return other < size; });
  return static_cast<double>(smaller) >=
         kLargeQuantile * static_cast<double>(queue.sizes.size());
}

/// @return true if one more rejection would make large jobs rejected more often
/// than all jobs of the queue.
bool AreLargeJobsBehind(const QueueAdmission& queue) {
  return (queue.large_rejected + 1) * (queue.decided + 1) >
         (queue.rejected + 1) * (queue.large_decided + 1);
}

void CountDecision(QueueAdmission& queue, double size, bool large,
                   bool rejected) {
  queue.sizes.push_back(size);
  if (queue.sizes.size() > kRecentSizes) queue.sizes.pop_front();
  ++queue.decided;
  if (rejected) ++queue.rejected;
  if (!large) return;
  ++queue.large_decided;
  if (rejected) ++queue.large_rejected;
}

void ForgetCallers(AdmissionState& state, MonotonicTime now) {
  std::erase_if(state.rejected, [&](const auto& it) {
    return it.second.due_back_at + kRememberLateCallers < now;
  });
}

/// @return the work of callers who are due back within `wait`, as the time in
/// which the room does it.
Duration WorkDueBack(const AdmissionState& state, MonotonicTime now,
                     const ServiceId& service, Duration wait) {
  Duration sum{0};
  for (const auto& [id, caller] : state.rejected) {
    const bool is_due = caller.due_back_at + kExpectLateCallers >= now &&
                        caller.due_back_at <= now + wait;
    if (is_due && caller.service == service) sum += caller.work;
  }
  return sum;
}

/// @return the first time at or after `earliest` for which the room has not
/// been promised to others yet.
Duration ChooseRetryAfter(const AdmissionState& state, MonotonicTime now,
                          const ServiceId& service, Duration earliest) {
  std::array<Duration, kRetrySlots> promised{};
  for (const auto& [id, caller] : state.rejected) {
    if (caller.service != service || caller.due_back_at < now) continue;
    const auto slot =
        static_cast<size_t>((caller.due_back_at - now) / kRetrySlot);
    if (slot < promised.size()) promised[slot] += caller.work;
  }
  const Duration first = std::clamp(earliest, kMinRetryAfter, kMaxRetryAfter);
  auto slot =
      static_cast<size_t>((first + kRetrySlot - Duration(1)) / kRetrySlot);
  while (slot + 1 < promised.size() && promised[slot] >= kRetrySlot) ++slot;
  return static_cast<int64_t>(slot) * kRetrySlot;
}

}  // namespace

RoomAhead EstimateRoomAhead(ShardState& shard, MonotonicTime now,
                            const JobEntity& job) {
  RoomAhead out;
  const auto candidates =
      ListCandidateVms(shard, now, ListSuspectTests(shard, now));
  const OccurrenceEntity& occurrence = job.occurrences.at(0);
  const JobRank rank = RankOf(shard, job, occurrence, now);
  bool is_first = true;
  for (uint32_t i = 0; i < occurrence.steps.size(); ++i) {
    if (!occurrence.steps[i].ready) continue;
    const StepSpec& step = job.record.spec.steps[i];
    const Pool pool = MakePool(shard, now, job, rank, step);
    const bool has_free_vm =
        std::any_of(candidates.begin(), candidates.end(), [&](const auto& it) {
          return IsOpenToInnocent(it) && HasRoom(it, job.terms, step);
        });
    const Duration wait = has_free_vm ? kNoWait : WaitFor(pool);
    out.fitting_vms += pool.vms;
    out.has_free_vm = out.has_free_vm || has_free_vm;
    if (!is_first && wait >= out.wait) continue;
    is_first = false;
    out.wait = wait;
    out.room = pool.room;
    out.own_work = TimeFor(OwnWork(shard, now, job, step.filler), pool.room);
  }
  return out;
}

AdmissionDecision DecideAdmission(ShardState& shard, AdmissionState& state,
                                  MonotonicTime now, const JobEntity& job) {
  AdmissionDecision out;
  const JobSpec& spec = job.record.spec;
  out.first_seen_at = now;
  if (IsWithoutObjective(spec) || IsRecovering(shard)) return out;
  ForgetCallers(state, now);
  const auto earlier = state.rejected.find(spec.id);
  const bool is_back = earlier != state.rejected.end();
  if (is_back) out.first_seen_at = earlier->second.first_seen_at;

  const OccurrenceEntity& occurrence = job.occurrences.at(0);
  const JobRank rank = RankOf(shard, job, occurrence, now);
  const double size = rank.work_left;
  QueueAdmission& queue = state.queues[spec.queue];
  Decay(queue, now);
  const bool is_large = IsLarge(queue, size);
  out.room = EstimateRoomAhead(shard, now, job);
  Duration wait = out.room.wait;
  if (!is_back) wait += WorkDueBack(state, now, job.terms.service, wait);
  out.needed =
      wait + std::max(ShortestPath(shard, now, job), out.room.own_work);
  const Duration objective = rank.late_at - occurrence.due_at;
  out.left = out.first_seen_at + objective * kNoValueAfterObjectives - now;

  const double limit =
      static_cast<double>(std::max<int64_t>(1, out.left.count()));
  const double excess = static_cast<double>(out.needed.count()) / limit;
  const bool is_late = excess > (queue.rejecting ? 1 : kBeginRejectingAt);
  const bool may_reject = out.room.fitting_vms > 0 && !out.room.has_free_vm;
  if (is_late && may_reject) {
    // Until the sizes are known, any job may be a large one.
    const bool keeps_share = queue.sizes.size() < kMinSizes ||
                             (is_large && AreLargeJobsBehind(queue));
    out.rejected = !keeps_share;
    out.reason =
        keeps_share ? "large jobs keep their share" : "surely too late";
  }
  out.rejecting = is_late && may_reject;
  out.rejecting_changed = out.rejecting != queue.rejecting;
  queue.rejecting = out.rejecting;
  if (!is_back) CountDecision(queue, size, is_large, out.rejected);
  if (!out.rejected) {
    state.rejected.erase(spec.id);
    return out;
  }
  state.rejected.erase(spec.id);
  out.retry_after = ChooseRetryAfter(state, now, job.terms.service, wait);
  if (state.rejected.size() < kMaxRejectedCallers) {
    state.rejected[spec.id] = {out.first_seen_at, now + out.retry_after,
                               job.terms.service, out.room.own_work};
  }
  return out;
}

}  // namespace almondtally::sched
