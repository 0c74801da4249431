#include "sched/board.h"

namespace almondtally::sched {
namespace {

/// Layout of a fencing number, from the lowest bit: calls by one agent process,
/// agent processes within an epoch, epochs.
constexpr int kFencingLifeBits = 12;
constexpr int kFencingEpochBits = 24;

bool NeedsStart(const VmRun& run) {
  return !run.seen && run.start_batch == 0 && !run.stop_wanted;
}

bool NeedsStop(const VmRun& run) {
  return run.stop_wanted && run.stop_batch == 0 &&
         (run.seen || run.start_batch != 0);
}

bool NeedsPace(const VmRun& run) {
  return run.seen && run.phase == RunPhase::kRunning &&
         run.pace_wanted != run.pace_sent;
}

}  // namespace

bool HasOrders(const VmEntity& vm) {
  if (!vm.synced || vm.present_life != vm.life) return false;
  for (const auto& [key, run] : vm.runs) {
    if (NeedsStart(run) || NeedsStop(run) || NeedsPace(run)) return true;
    if (run.size_wanted && run.known) return true;
  }
  return false;
}

void TakeOrders(Board& shard, VmEntity& vm, SyncRequest& request) {
  const uint64_t batch = ++vm.batch_sent;
  request.batch = batch;
  for (auto& [key, run] : vm.runs) {
    if (run.size_wanted && run.known) {
      run.size_wanted = false;
      request.sizes.push_back({key, run.run, run.size, run.filler});
    }
    if (NeedsStop(run)) {
      run.stop_batch = batch;
      request.stops.push_back({key, run.run});
    }
    if (NeedsPace(run)) {
      run.pace_sent = run.pace_wanted;
      request.paces.push_back({key, run.run, run.pace_wanted});
    }
    if (!NeedsStart(run)) continue;
    const TaskEntity* task = FindTask(shard, key);
    const auto job = shard.jobs.find(key.job);
    if (task == nullptr || job == shard.jobs.end()) {
      run.stop_wanted = true;
      continue;
    }
    run.start_batch = batch;
    run.pace_sent = run.pace_wanted;
    request.starts.push_back({key, run.run, run.size, run.filler,
                              job->second.record.spec.payload, task->checkpoint,
                              "", run.pace_wanted});
  }
}

void TakeOrderFailure(VmEntity& vm, uint64_t batch) {
  for (auto& [key, run] : vm.runs) {
    if (run.start_batch == batch && !run.seen) run.start_batch = 0;
    if (run.stop_batch == batch) run.stop_batch = 0;
    // Unknown until the agent reports which limit is in force.
    if (run.pace_sent == run.pace_wanted) run.pace_sent = -1;
  }
}

uint64_t FencingBase(const Board& shard, const VmEntity& vm) {
  return (shard.epoch.value << kFencingEpochBits) +
         (vm.lives << kFencingLifeBits);
}

}  // namespace almondtally::sched
