#include "sched/vm_speed.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <string>
#include <vector>

#include "sched/detail.h"
#include "sched/run_times.h"

// Load pattern: a quarter of the VMs turns several times slower within a
// moment, or their tasks stand still, for 10 to 30 s. Each step has a task
// there, so that all jobs are late. Fillers beside serving tasks progress
// slowly as well when these need the CPU, and serving tasks miss their target
// beside fillers, both on VMs of usual speed. Progress is therefore measured
// against the CPU that a run got, and counts more than tail latencies.

namespace almondtally::sched {
namespace {

constexpr Duration kUpdateInterval{250};
/// Shortest time over which progress is measured: reports are up to 300 ms
/// apart.
constexpr int64_t kMinWindowMs = 400;
/// Least progress, in percent of the work, that is expected in a window.
constexpr double kMinExpectedPercent = 10;
/// A run stands still if it has not progressed for this long although more than
/// this progress was expected.
constexpr int64_t kStandstillMs = 800;
constexpr int64_t kStandstillAfterStartMs = 1'500;
constexpr double kStandstillExpectedPercent = 20;
/// Fillers that get less of their CPU than this are not measured.
constexpr double kMinCpuUse = 0.2;

/// Evidence fades by half in this time.
constexpr double kHalfLifeMs = 700;
/// Standard deviation of the speed of VMs, as a logarithm, before there is any
/// evidence.
constexpr double kUsualSpread = 0.35;
/// Standard deviations that a tail latency is worth. Beside fillers, it tells
/// a slow VM only together with the progress of runs.
constexpr double kTailError = 0.9;
constexpr double kTailErrorBesideFillers = 1.8;
/// A higher excess is due to a backlog, whose size says little.
constexpr double kMaxTailExcess = 1.8;
constexpr double kMaxLogSpeed = 0.4;
constexpr double kMinLogSpeed = -3;
/// Weight from which there is enough evidence for an estimate.
constexpr double kMinWeight = 5;

/// Share of the usual speed below which a VM is held slow, above which it is
/// not any more if that lasts, and below which its measurements are left out of
/// the models of load and interference.
constexpr double kSlowSpeed = 0.5;
constexpr double kUsualSpeed = 0.7;
constexpr double kSuspiciousSpeed = 0.65;
constexpr Duration kReleaseDelay{750};
/// A VM without evidence is tried again after this time.
constexpr Duration kMaxAgeOfEvidence{8'000};

double WeightOf(double error) { return 1 / (error * error); }

void AddEvidence(VmSpeed& speed, double log_speed, double error) {
  const double weight = WeightOf(error);
  speed.weight += weight;
  speed.log_sum += weight * std::clamp(log_speed, kMinLogSpeed, kMaxLogSpeed);
}

void Fade(VmSpeed& speed, MonotonicTime now) {
  if (speed.faded_at != MonotonicTime{}) {
    const auto age = static_cast<double>((now - speed.faded_at).count());
    const double factor = std::exp2(-age / kHalfLifeMs);
    speed.weight *= factor;
    speed.log_sum *= factor;
  }
  speed.faded_at = now;
}

/// @return the estimate that assumes a usual VM until the evidence outweighs
/// that.
double CautiousLogSpeed(const VmSpeed& speed) {
  return speed.log_sum / (speed.weight + WeightOf(kUsualSpread));
}

bool IsMeasurable(const StepSpec& step) { return !step.lasting && !step.gang; }

bool IsAtFullSpeed(const VmRun& run) {
  return run.speed_limit_wanted >= 100 && run.speed_limit_sent >= 100;
}

/// @return the share of its CPU that a run got; 0 if it is not known or too
/// small to tell anything.
double CpuUse(const VmRun& run, int64_t measurement) {
  if (!run.filler) return 1;
  if (measurement <= 0 || run.size.cpu.value <= 0) return 0;
  const double use = static_cast<double>(measurement) /
                     static_cast<double>(run.size.cpu.value);
  return use < kMinCpuUse ? 0 : std::min(1.0, use);
}

double ExpectedPercent(const ReferenceRunTime& reference, int64_t elapsed_ms) {
  constexpr double kAll = 100;
  return kAll * static_cast<double>(elapsed_ms) /
         static_cast<double>(std::max<int64_t>(1, reference.time.count()));
}

/// Records runs without progress. They are not reported, as nothing changes.
void RecordStandstill(const ShardState& shard, MonotonicTime now,
                      VmEntity& vm) {
  for (auto& [key, run] : vm.runs) {
    if (run.phase != RunPhase::kRunning || run.stop_wanted) continue;
    if (!run.known || !IsAtFullSpeed(run)) continue;
    const StepSpec* step = FindStep(shard, key);
    if (step == nullptr || !IsMeasurable(*step)) continue;
    RunProgress& progress = run.progress;
    const bool is_marked = progress.marked_at_ms >= 0;
    if (is_marked && run.percent != progress.percent) continue;
    if (CpuUse(run, run.measurement) == 0) continue;
    const int64_t since =
        is_marked ? progress.marked_at_ms : run.running_since_stamp.value;
    const int64_t elapsed = vm.stamp.value - since;
    if (since <= 0 ||
        elapsed < (is_marked ? kStandstillMs : kStandstillAfterStartMs)) {
      continue;
    }
    const ReferenceRunTime reference =
        ReferenceRunTimeOf(shard, now, shard.jobs.at(key.job), key);
    if (ExpectedPercent(reference, elapsed) < kStandstillExpectedPercent)
      continue;
    AddEvidence(vm.speed, kMinLogSpeed, reference.error);
    progress = {vm.stamp.value - kMinWindowMs, run.percent, 0};
  }
}

/// @return by service, how much slower than usual its VMs are as a whole, as a
/// logarithm; at most 0.
std::map<ServiceId, double> CommonLogSpeeds(const ShardState& shard) {
  std::map<ServiceId, std::vector<double>> speeds;
  for (const auto& [id, vm] : shard.vms) {
    if (vm.speed.weight < kMinWeight) continue;
    speeds[vm.worker.service].push_back(CautiousLogSpeed(vm.speed));
  }
  std::map<ServiceId, double> out;
  for (auto& [service, values] : speeds) {
    const auto middle =
        values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    out[service] = std::min(0.0, *middle);
  }
  return out;
}

void LogChange(const VmEntity& vm, MonotonicTime now, const char* reason,
               Decisions& log) {
  Decision decision;
  decision.kind =
      vm.speed.slow ? Decision::Kind::kVmSlow : Decision::Kind::kVmUsual;
  decision.vm = vm.id;
  decision.outcome = "speed " + std::to_string(std::exp(vm.speed.log_speed)) +
                     ", weight " + std::to_string(vm.speed.weight) + ", " +
                     std::to_string(vm.runs.size()) + " runs";
  decision.reason = reason;
  if (!vm.speed.slow) decision.age_ms = (now - vm.speed.slow_since).count();
  log.push_back(std::move(decision));
}

void UpdateState(VmEntity& vm, MonotonicTime now, double common,
                 Decisions& log) {
  VmSpeed& speed = vm.speed;
  const bool is_known = speed.weight >= kMinWeight;
  const double cautious = CautiousLogSpeed(speed) - common;
  if (is_known) {
    speed.log_speed = speed.log_sum / (speed.weight + 1) - common;
    speed.evidence_at = now;
  }
  if (!speed.slow) {
    if (!is_known || cautious > std::log(kSlowSpeed)) return;
    speed.slow = true;
    speed.slow_since = now;
    speed.contradicted_since = {};
    return LogChange(vm, now, "its runs progress slowly", log);
  }
  const char* reason = "its runs progress as usual";
  if (is_known) {
    if (speed.log_speed < std::log(kUsualSpeed)) {
      speed.contradicted_since = {};
      return;
    }
    if (speed.contradicted_since == MonotonicTime{})
      speed.contradicted_since = now;
    if (now - speed.contradicted_since < kReleaseDelay) return;
  } else {
    if (now - speed.evidence_at < kMaxAgeOfEvidence) return;
    reason = "nothing has shown its speed for some time";
  }
  speed.slow = false;
  LogChange(vm, now, reason, log);
  if (!is_known) speed = {};
}

}  // namespace

void RecordProgress(ShardState& shard, MonotonicTime now, VmEntity& vm,
                    const TaskKey& key, VmRun& run, const RunReport& report) {
  if (!shard.features.uneven_vms || !run.known) return;
  const StepSpec* step = FindStep(shard, key);
  if (step == nullptr || !IsMeasurable(*step)) return;
  RunProgress& progress = run.progress;
  const bool is_new = run.run != report.run;
  constexpr int64_t kFullSpeed = 100;
  if (report.phase != RunPhase::kRunning || is_new || !IsAtFullSpeed(run) ||
      report.pace != kFullSpeed || report.percent <= 0) {
    progress = {};
    return;
  }
  const int64_t elapsed = vm.stamp.value - progress.marked_at_ms;
  const int64_t percent = report.percent - progress.percent;
  if (progress.marked_at_ms < 0 || percent < 0 || elapsed < 0) {
    progress = {vm.stamp.value, report.percent, 0};
    return;
  }
  if (elapsed < kMinWindowMs || percent == 0) return;
  const double use = CpuUse(run, report.measurement);
  JobEntity& job = shard.jobs.at(key.job);
  const ReferenceRunTime reference = ReferenceRunTimeOf(shard, now, job, key);
  if (ExpectedPercent(reference, elapsed) < kMinExpectedPercent) return;
  constexpr double kAll = 100;
  progress = {
      vm.stamp.value, report.percent,
      static_cast<double>(percent) / kAll / static_cast<double>(elapsed)};
  if (use == 0) return;
  const double run_time_ms = use / progress.rate;
  AddEvidence(
      vm.speed,
      std::log(static_cast<double>(reference.time.count()) / run_time_ms),
      reference.error);
  if (MayBeSlow(vm)) return;
  RecordRunTime(now, job, key, Duration(std::llround(run_time_ms)), false);
}

void RecordEndOfRun(ShardState& shard, MonotonicTime now, VmEntity& vm,
                    const RunEndReport& end, const VmRun& run) {
  if (!shard.features.uneven_vms || end.end != RunEnd::kDone) return;
  const StepSpec* step = FindStep(shard, end.task);
  // The time of a run that has resumed, waited for CPU or been slowed down is
  // not that of the task.
  if (step == nullptr || !IsMeasurable(*step)) return;
  if (step->checkpoints || step->filler || !IsAtFullSpeed(run)) return;
  if (run.run != end.run || run.running_since_stamp.value <= 0) return;
  const Duration time(
      std::max<int64_t>(1, vm.stamp.value - run.running_since_stamp.value));
  JobEntity& job = shard.jobs.at(end.task.job);
  const ReferenceRunTime reference =
      ReferenceRunTimeOf(shard, now, job, end.task);
  AddEvidence(vm.speed,
              std::log(static_cast<double>(reference.time.count()) /
                       static_cast<double>(time.count())),
              reference.error);
  if (!MayBeSlow(vm)) RecordRunTime(now, job, end.task, time, true);
}

void RecordTailExcess(const ShardState& shard, VmEntity& vm, double excess,
                      bool beside_fillers) {
  if (!shard.features.uneven_vms) return;
  AddEvidence(vm.speed, -std::min(excess, kMaxTailExcess),
              beside_fillers ? kTailErrorBesideFillers : kTailError);
}

bool MayBeSlow(const VmEntity& vm) {
  return vm.speed.slow ||
         CautiousLogSpeed(vm.speed) < std::log(kSuspiciousSpeed);
}

bool StandsStill(const VmEntity& vm) {
  return vm.speed.slow && vm.speed.log_speed < std::log(kStandstillSpeed);
}

void UpdateVmSpeeds(ShardState& shard, MonotonicTime now, Decisions& log) {
  if (!shard.features.uneven_vms || now < shard.next_speed_update_at) return;
  shard.next_speed_update_at = now + kUpdateInterval;
  for (auto& [id, vm] : shard.vms) {
    Fade(vm.speed, now);
    if (HasReportedRecently(vm, now)) RecordStandstill(shard, now, vm);
  }
  const auto common = CommonLogSpeeds(shard);
  for (auto& [id, vm] : shard.vms) {
    if (!HasReportedRecently(vm, now)) continue;
    const auto it = common.find(vm.worker.service);
    UpdateState(vm, now, it == common.end() ? 0 : it->second, log);
  }
}

}  // namespace almondtally::sched
