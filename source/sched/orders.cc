#include "sched/shard_state.h"

namespace almondtally::sched {
namespace {

/// Layout of a fencing number, from the lowest bit: calls by one agent process,
/// agent processes within an epoch, epochs.
constexpr int kFencingLifeBits = 12;
constexpr int kFencingEpochBits = 24;

/// Limit for the starts of one batch. An agent's server accepts 1 MiB.
constexpr size_t kMaxStartBytesPerBatch = 512 << 10;
/// Size of an encoded start without its payload, checkpoint and names.
constexpr size_t kStartOverheadBytes = 256;

size_t EncodedSize(const StartOrder& order) {
  return kStartOverheadBytes + order.task.job.value.size() +
         order.payload.size() + order.checkpoint.size() + order.permit.size();
}

/// A start is not sent while ends of the VM may be missing: an earlier process
/// of the agent may have carried it out.
bool NeedsStart(const VmEntity& vm, const VmRun& run) {
  return !vm.partial && !vm.starts_held && !run.seen && run.start_batch == 0 &&
         !run.stop_wanted;
}

bool NeedsStop(const VmRun& run) {
  return run.stop_wanted && run.stop_batch == 0 &&
         (run.seen || run.start_batch != 0 || run.maybe_sent);
}

bool NeedsPace(const VmRun& run) {
  return run.filler && run.seen && run.phase == RunPhase::kRunning &&
         run.speed_limit_wanted != run.speed_limit_sent;
}

}  // namespace

bool HasUnsentOrders(const VmEntity& vm) {
  if (!vm.synced || vm.reporting_incarnation != vm.life) return false;
  for (const auto& [key, run] : vm.runs) {
    if (NeedsStart(vm, run) || NeedsStop(run) || NeedsPace(run)) return true;
    if (run.size_requested && run.known) return true;
  }
  return false;
}

void CollectOrders(ShardState& shard, VmEntity& vm, SyncRequest& request) {
  const uint64_t batch = ++vm.batch_sent;
  request.batch = batch;
  size_t start_bytes = 0;
  for (auto& [key, run] : vm.runs) {
    if (run.size_requested && run.known) {
      run.size_requested = false;
      run.size_batch = batch;
      request.sizes.push_back(
          {key, run.run, run.size, run.filler, run.tail_target_ms});
    }
    if (NeedsStop(run)) {
      run.stop_batch = batch;
      // This batch makes an earlier one with the start void.
      if (!run.seen && run.start_batch == 0) run.start_batch = batch;
      request.stops.push_back({key, run.run});
    }
    if (NeedsPace(run)) {
      run.speed_limit_sent = run.speed_limit_wanted;
      request.paces.push_back({key, run.run, run.speed_limit_wanted});
    }
    // The remaining starts follow in the next batch.
    if (!NeedsStart(vm, run) || start_bytes >= kMaxStartBytesPerBatch) continue;
    const TaskEntity* task = FindTask(shard, key);
    const auto job = shard.jobs.find(key.job);
    if (task == nullptr || job == shard.jobs.end()) {
      run.stop_wanted = true;
      continue;
    }
    run.start_batch = batch;
    run.speed_limit_sent = run.speed_limit_wanted;
    request.starts.push_back({key, run.run, run.size, run.filler,
                              job->second.record.spec.payload, task->checkpoint,
                              "", run.speed_limit_wanted, run.tail_target_ms});
    start_bytes += EncodedSize(request.starts.back());
  }
}

void MarkOrdersUnsent(VmEntity& vm, uint64_t batch) {
  for (auto& [key, run] : vm.runs) {
    if (run.start_batch == batch && !run.seen) {
      run.start_batch = 0;
      run.maybe_sent = true;
    }
    if (run.stop_batch == batch) run.stop_batch = 0;
    if (run.size_batch == batch) run.size_requested = true;
    // Unknown until the agent reports which limit is in force.
    if (run.speed_limit_sent == run.speed_limit_wanted)
      run.speed_limit_sent = -1;
  }
}

uint64_t FencingBase(const ShardState& shard, const VmEntity& vm) {
  return (shard.epoch.value << kFencingEpochBits) +
         (vm.incarnations_seen << kFencingLifeBits);
}

}  // namespace almondtally::sched
