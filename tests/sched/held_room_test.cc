#include <doctest/doctest.h>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include "sched/shard_state.h"
#include "sched/shard_state_builder.h"

// Replays a service that is full of lasting tasks and of short tasks that keep
// arriving, without a network.

namespace almondtally::sched {
namespace {

constexpr Duration kTick{50};
constexpr Duration kShortRun{800};
/// From when a lasting task that does not run counts as lost if the service has
/// capacity for it: 6 s after its last run, for 3 s.
constexpr Duration kLostAfter{9'000};
constexpr int64_t kVmCpu = 4'000;

StepSpec LastingStep(uint32_t count, int64_t cpu) {
  StepSpec step = Step(count, cpu);
  step.lasting = true;
  return step;
}

StepSpec ShortStep() {
  StepSpec step = Step(1, 1'000);
  step.estimate_ms = kShortRun.count();
  return step;
}

/// Short tasks of 1,000m arrive so fast that some always wait.
struct BusyService {
  ShardState shard = NewBoard();
  MonotonicTime now = kNow;
  Duration elapsed{};
  uint32_t vms = 0;
  size_t accepted = 0;
  size_t ended = 0;
};

VmId NameOfVm(uint32_t i) { return VmId("vm-" + std::to_string(i)); }

/// Accepts short jobs that are on time for as long as any of them waits.
void AcceptShort(BusyService& service, size_t n) {
  constexpr int64_t kTargetMs = 10'000;
  for (size_t i = 0; i < n; ++i) {
    JobRecord record;
    record.spec.id = JobId("short-" + std::to_string(service.accepted++));
    record.spec.queue = QueueId("queue");
    record.spec.steps = {ShortStep()};
    record.terms.service = kPool;
    record.terms.max_attempts = 1;
    record.terms.latency_target_ms = kTargetMs;
    record.accepted_at_ms = service.now.time_since_epoch().count();
    AddJob(service.shard, service.now, record).accepted = true;
  }
}

JobEntity& AcceptLasting(BusyService& service, const std::string& id,
                         uint32_t count, int64_t cpu = 3'000) {
  JobEntity& job = AcceptJob(service.shard, id, {LastingStep(count, cpu)});
  for (auto& [number, occurrence] : job.occurrences) {
    for (TaskEntity& task : occurrence.steps.front().tasks)
      task.since = service.now;
  }
  return job;
}

/// Reports all runs of a VM, and the end of those that are done.
void Report(BusyService& service, VmEntity& vm) {
  std::vector<std::pair<TaskKey, RunNumber>> done;
  for (const auto& [key, run] : vm.runs) {
    const StepSpec* step = FindStep(service.shard, key);
    if (step == nullptr || step->lasting) continue;
    if (run.running_since == MonotonicTime{}) continue;
    if (service.now - run.running_since >= kShortRun)
      done.emplace_back(key, run.run);
  }
  for (const auto& [key, run] : done) {
    EndRun(service.shard, vm, key, run, RunEnd::kDone, service.now);
    ++service.ended;
  }
  ReportAllRunning(service.shard, vm, service.now);
}

/// @param waiting how many short tasks wait at the beginning of each pass.
void Advance(BusyService& service, Duration time, size_t waiting = 40) {
  for (Duration end = service.elapsed + time; service.elapsed < end;) {
    service.elapsed += kTick;
    service.now = kNow + service.elapsed;
    for (uint32_t i = 0; i < service.vms; ++i) {
      VmEntity& vm = service.shard.vms.at(NameOfVm(i));
      if (vm.worker.responsive) Report(service, vm);
    }
    size_t running = 0;
    for (const auto& [id, vm] : service.shard.vms) {
      running +=
          std::count_if(vm.runs.begin(), vm.runs.end(), [](const auto& it) {
            return it.first.job.value.rfind("short-", 0) == 0;
          });
    }
    const size_t idle = service.accepted - service.ended - running;
    if (idle < waiting) AcceptShort(service, waiting - idle);
    Place(service.shard, service.now);
  }
}

/// @return a service whose VMs are full of short tasks that end at different
/// times.
BusyService MakeBusyService(uint32_t vms) {
  BusyService out;
  out.vms = vms;
  for (uint32_t i = 0; i < vms; ++i) {
    VmEntity& vm = AddVm(out.shard, NameOfVm(i).value, 0);
    vm.worker.capacity = Size(0, 100'000);
  }
  for (int64_t cpu = 1'000; cpu <= kVmCpu; cpu += 1'000) {
    for (uint32_t i = 0; i < vms; ++i) {
      out.shard.vms.at(NameOfVm(i)).worker.capacity = Size(cpu, 100'000);
    }
    Advance(out, Duration(200));
  }
  Advance(out, Duration(2'000));
  return out;
}

size_t CountPlaced(const BusyService& service, const std::string& job) {
  size_t n = 0;
  for (const auto& [id, vm] : service.shard.vms) {
    n += std::count_if(vm.runs.begin(), vm.runs.end(), [&](const auto& it) {
      return it.first.job == JobId(job);
    });
  }
  return n;
}

TEST_CASE("a lasting task gets the room that short tasks take by pieces") {
  BusyService service = MakeBusyService(8);
  AcceptLasting(service, "census", 1);
  Advance(service, kLostAfter);
  CHECK(CountPlaced(service, "census") == 1);
}

TEST_CASE("lasting tasks of several jobs get room one after the other") {
  BusyService service = MakeBusyService(16);
  for (const std::string job : {"a", "b", "c", "d"})
    AcceptLasting(service, job, 1);
  Advance(service, kLostAfter);
  for (const std::string job : {"a", "b", "c", "d"})
    CHECK(CountPlaced(service, job) == 1);
}

TEST_CASE("a lasting task gets room elsewhere if the VM that holds it fails") {
  BusyService service = MakeBusyService(8);
  AcceptLasting(service, "census", 1);
  Duration waited{};
  while (service.shard.room_holds.empty() && waited < kLostAfter) {
    Advance(service, kTick);
    waited += kTick;
  }
  REQUIRE(service.shard.room_holds.size() == 1);
  const VmId held = service.shard.room_holds.begin()->first;
  service.shard.vms.at(held).worker.responsive = false;
  Advance(service, kLostAfter - waited);
  REQUIRE(CountPlaced(service, "census") == 1);
  CHECK(service.shard.vms.at(held).runs.count(Key("census", 0, 0)) == 0);
}

TEST_CASE("room that is held for a task whose job is cancelled is free again") {
  BusyService service = MakeBusyService(8);
  JobEntity& job = AcceptLasting(service, "census", 1);
  Duration waited{};
  while (service.shard.room_holds.empty() && waited < kLostAfter) {
    Advance(service, kTick);
    waited += kTick;
  }
  REQUIRE(service.shard.room_holds.size() == 1);
  CancelJob(service.shard, service.now, job);
  Advance(service, kTick);
  CHECK(service.shard.room_holds.empty());
}

TEST_CASE("short tasks keep room however many lasting tasks wait") {
  BusyService service = MakeBusyService(16);
  AcceptLasting(service, "census", 40);
  size_t most_held = 0;
  for (int i = 0; i < 600; ++i) {
    Advance(service, kTick);
    most_held = std::max(most_held, service.shard.room_holds.size());
  }
  CHECK(most_held <= 2);
  CHECK(CountPlaced(service, "census") == 12);
  const size_t ended = service.ended;
  Advance(service, Duration(10'000));
  // A quarter of the VMs has no lasting task: 16 short tasks at a time there,
  // and one on each of the others, or about 33 a second.
  CHECK(service.ended - ended > 300);
}

TEST_CASE("no room is held where only lasting tasks have it") {
  BusyService service;
  service.vms = 1;
  VmEntity& vm = AddVm(service.shard, NameOfVm(0).value, kVmCpu);
  AcceptJob(service.shard, "first", {LastingStep(1, 3'000)});
  Place(service.shard, service.now);
  ReportAllRunning(service.shard, vm);
  AcceptLasting(service, "census", 1);
  Advance(service, Duration(20'000));
  CHECK(service.shard.room_holds.empty());
  CHECK(vm.runs.size() == 2);
}

TEST_CASE("a filler starts where room is held for a lasting task") {
  BusyService service = MakeBusyService(1);
  AcceptLasting(service, "census", 1, 4'000);
  Duration waited{};
  while (service.shard.room_holds.empty() && waited < kLostAfter) {
    Advance(service, kTick);
    waited += kTick;
  }
  REQUIRE(service.shard.room_holds.size() == 1);
  VmEntity& vm = service.shard.vms.at(NameOfVm(0));
  StepSpec filler = Step(1, 1'000);
  filler.filler = true;
  AcceptJob(service.shard, "filler", {filler});
  while (vm.runs.size() == 4 && waited < kLostAfter) {
    Advance(service, kTick);
    waited += kTick;
  }
  Advance(service, kTick);
  CHECK(vm.runs.count(Key("filler", 0, 0)) == 1);
}

}  // namespace
}  // namespace almondtally::sched
