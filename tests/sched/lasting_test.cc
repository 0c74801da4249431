#include <doctest/doctest.h>

#include <string>

#include "sched/shard_state.h"
#include "sched/shard_state_builder.h"

namespace almondtally::sched {
namespace {

StepSpec LastingStep(uint32_t count, int64_t cpu) {
  StepSpec step = Step(count, cpu);
  step.lasting = true;
  return step;
}

std::string WaitReason(ShardState& shard, MonotonicTime now) {
  Decisions log;
  LogWaitingTasks(shard, now, log);
  return log.empty() ? "" : log.front().reason;
}

TEST_CASE("the log states why a lasting task waits") {
  ShardState shard = NewBoard();
  AddVm(shard, "full", 500);
  VmEntity& draining = AddVm(shard, "draining");
  draining.worker.draining = true;
  AcceptJob(shard, "watch", {LastingStep(1, 1'000)});
  Place(shard);
  CHECK(WaitReason(shard, kNow + Duration(500)).empty());
  CHECK(WaitReason(shard, kNow + Duration(1'500)) ==
        "vms: unavailable=1 without_room=1 closed_to_task=0 set_aside=0 "
        "suitable=0");
  // Once per interval.
  CHECK(WaitReason(shard, kNow + Duration(1'600)).empty());
}

TEST_CASE("the log names the fillers beside a task that misses its target") {
  ShardState shard = NewBoard();
  VmEntity& vm = AddVm(shard, "a");
  StepSpec serving = LastingStep(1, 1'000);
  serving.tail_target_ms = 10;
  serving.image = "serving";
  StepSpec filler = Step(1, 1'000);
  filler.filler = true;
  filler.image = "filler";
  AcceptJob(shard, "watch", {serving});
  AcceptJob(shard, "batch", {filler});
  Place(shard);
  ReportAllRunning(shard, vm);
  vm.runs.at(Key("watch", 0, 0)).over_target_since = kNow;
  Decisions log;
  LogTargetMisses(shard, log);
  REQUIRE(log.size() == 1);
  CHECK(log.front().reason.rfind("filler=", 0) == 0);
  LogTargetMisses(shard, log);
  CHECK(log.size() == 1);
  vm.runs.at(Key("watch", 0, 0)).over_target_since = {};
  LogTargetMisses(shard, log);
  CHECK(log.back().kind == Decision::Kind::kWithinTarget);
}

}  // namespace
}  // namespace almondtally::sched
