// Cost of a planner's decisions against the number of VMs, with a backlog that
// exceeds the capacity. One VM runs about 15 tasks; two of them serve users.

#include <benchmark/benchmark.h>

#include <string>

#include "sched/shard_state.h"

namespace almondtally::sched {
namespace {

constexpr int64_t kVmCpu = 36'000;
constexpr int64_t kBacklogJobsPerVm = 2;
constexpr int64_t kEndedJobsPerVm = 12;
constexpr int64_t kImages = 40;
const ServiceId kPool{"pool"};
const MonotonicTime kStart{Duration(1'000'000)};

std::string JobName(const std::string& kind, int64_t i) {
  std::string digits = std::to_string(i);
  return kind + std::string(15 - digits.size(), '0') + digits;
}

StepSpec MakeStep(uint32_t count, int64_t cpu, int64_t image) {
  StepSpec step;
  step.count = count;
  step.each = {MilliCpu(cpu), Mebibytes(2'000), Accelerators(0)};
  step.estimate_ms = 1'000;
  step.image = "image-" + std::to_string(image);
  return step;
}

JobEntity& Accept(ShardState& shard, const std::string& id, StepSpec step,
                  int64_t priority) {
  JobRecord record;
  record.spec.id = JobId(id);
  record.spec.steps = {std::move(step)};
  record.terms.service = kPool;
  record.terms.priority = priority;
  record.terms.stretch = 2;
  record.accepted_at_ms = kStart.time_since_epoch().count();
  JobEntity& job = AddJob(shard, kStart, record);
  job.accepted = true;
  return job;
}

SyncReport ReportOf(const VmEntity& vm, int64_t number) {
  SyncReport report;
  report.life = AgentIncarnation(7);
  report.stamp = AgentTime(500 + number);
  report.settled = true;
  report.version = vm.seen_version + 1;
  report.batch = vm.batch_sent;
  report.complete = !vm.synced;
  report.worker.id = WorkerId("worker-" + vm.id.value);
  report.worker.service = kPool;
  report.worker.capacity = {MilliCpu(kVmCpu), Mebibytes(125'000),
                            Accelerators(0)};
  report.worker.labels = {"a", "rack"};
  report.worker.responsive = true;
  for (const auto& [task, run] : vm.runs) {
    RunReport it;
    it.task = task;
    it.run = run.run;
    it.phase = RunPhase::kRunning;
    it.percent = 50;
    it.measurement = run.filler ? run.size.cpu.value : 10 + number % 5;
    report.runs.push_back(std::move(it));
  }
  return report;
}

/// VMs that are full, with jobs that wait and jobs that have ended.
ShardState FullShard(int64_t vms) {
  ShardState shard;
  shard.epoch = PlannerEpoch(1);
  shard.last_earlier_proof_at = kStart;
  Decisions log;
  for (int64_t i = 0; i < vms; ++i) {
    VmEntity& vm = shard.vms[VmId("side-" + std::to_string(i))];
    vm.id = VmId("side-" + std::to_string(i));
    ApplyReport(shard, kStart, vm, ReportOf(vm, 0), log);
  }
  for (int64_t i = 0; i < vms / 8; ++i) {
    StepSpec serving = MakeStep(16, 4'000, i % 5);
    serving.lasting = true;
    serving.tail_target_ms = 18;
    serving.max_per_vm = 2;
    Accept(shard, JobName("s", i), serving, 0);
  }
  for (int64_t i = 0; i < vms * kBacklogJobsPerVm; ++i) {
    StepSpec filler = MakeStep(40, 3'500, 5 + i % kImages);
    filler.filler = true;
    filler.checkpoints = true;
    Accept(shard, JobName("f", i), filler, 2);
  }
  PlaceTasks(shard, kStart, log);
  for (auto& [id, vm] : shard.vms) {
    SyncRequest request;
    CollectOrders(shard, vm, request);
    ApplyReport(shard, kStart, vm, ReportOf(vm, 1), log);
  }
  for (int64_t i = 0; i < vms * kEndedJobsPerVm; ++i) {
    JobEntity& job = Accept(shard, JobName("e", i), MakeStep(13, 1'000, 0), 0);
    job.state = JobState::kCompleted;
    job.recorded = JobState::kCompleted;
  }
  return shard;
}

/// @param uneven a quarter of the VMs is held slow.
void RunPlanningPasses(benchmark::State& state, bool uneven) {
  ShardState shard = FullShard(state.range(0));
  shard.features.uneven_vms = uneven;
  int64_t i = 0;
  for (auto& [id, vm] : shard.vms) {
    vm.speed.slow = uneven && i++ % 4 == 0;
    vm.speed.log_speed = -2;
  }
  Decisions log;
  MonotonicTime now = kStart + Duration(3'000);
  // Fillers that have waited long enough take their places in the first pass.
  PlaceTasks(shard, now, log);
  for (auto _ : state) {
    now += Duration(5);
    StopRunsToMove(shard, now, log);
    PlaceTasks(shard, now, log);
    UpdateFillerSpeedLimits(shard, now, log);
    int64_t orders = 0;
    for (const auto& [id, vm] : shard.vms) orders += HasUnsentOrders(vm);
    benchmark::DoNotOptimize(orders);
    log.clear();
  }
}
void PlanningPass(benchmark::State& state) { RunPlanningPasses(state, false); }
void PlanningPassUnevenVms(benchmark::State& state) {
  RunPlanningPasses(state, true);
}
BENCHMARK(PlanningPassUnevenVms)->Arg(1'000)->Unit(benchmark::kMicrosecond);
BENCHMARK(PlanningPass)
    ->Arg(30)
    ->Arg(100)
    ->Arg(300)
    ->Arg(1'000)
    ->Unit(benchmark::kMicrosecond);

void OneReport(benchmark::State& state) {
  ShardState shard = FullShard(state.range(0));
  Decisions log;
  MonotonicTime now = kStart + Duration(3'000);
  int64_t number = 1;
  auto at = shard.vms.begin();
  for (auto _ : state) {
    state.PauseTiming();
    if (++at == shard.vms.end()) at = shard.vms.begin();
    now += Duration(1);
    const SyncReport report = ReportOf(at->second, ++number);
    state.ResumeTiming();
    ApplyReport(shard, now, at->second, report, log);
    log.clear();
  }
}
BENCHMARK(OneReport)->Arg(30)->Arg(100)->Arg(300)->Arg(1'000)->Unit(
    benchmark::kMicrosecond);

void OneReportOnTheWire(benchmark::State& state) {
  ShardState shard = FullShard(30);
  const std::string bytes =
      EncodeMessage(ReportOf(shard.vms.begin()->second, 2));
  for (auto _ : state) {
    WireReason why;
    benchmark::DoNotOptimize(DecodeMessage<SyncReport>(bytes, why));
  }
  state.counters["bytes"] = static_cast<double>(bytes.size());
}
BENCHMARK(OneReportOnTheWire)->Unit(benchmark::kMicrosecond);

void OneRequestOnTheWire(benchmark::State& state) {
  SyncRequest request;
  request.planner = "edge-catania-1";
  request.planner_address = "10.0.0.1:7000";
  for (auto _ : state) benchmark::DoNotOptimize(EncodeMessage(request));
}
BENCHMARK(OneRequestOnTheWire)->Unit(benchmark::kMicrosecond);

}  // namespace
}  // namespace almondtally::sched

BENCHMARK_MAIN();
