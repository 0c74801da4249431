#pragma once

#include <cstdint>

#include "base/clock.h"
#include "base/ids.h"

/// The speed of VMs, measured by the progress of their runs against others of
/// the same step, and by the tail latency of their serving tasks against others
/// of the same job.
namespace almondtally::sched {

struct RunEndReport;
struct RunReport;
struct ShardState;
struct TaskKey;
struct VmEntity;
struct VmRun;

/// Evidence about the speed of one VM, which fades within seconds.
struct VmSpeed {
  /// Sum of the weights of the evidence, and weighted sum of the logarithms of
  /// the observed speeds.
  double weight = 0;
  double log_sum = 0;
  MonotonicTime faded_at{};
  /// Latest estimate, relative to the other VMs of the service.
  double log_speed = 0;
  /// Held slow: tasks prefer other VMs.
  bool slow = false;
  /// Since when the evidence has spoken against `slow`.
  MonotonicTime contradicted_since{};
  MonotonicTime slow_since{};
  /// When there was last enough evidence for an estimate.
  MonotonicTime evidence_at{};
};

/// Progress of a run since a mark.
struct RunProgress {
  /// Agent's clock at the mark, in ms; negative if there is none.
  int64_t marked_at_ms = -1;
  int64_t percent = 0;
  /// Share of the work that is done per ms, over the last window; 0 if unknown.
  double rate = 0;
};

/// A VM below this share of the usual speed makes no progress to speak of.
inline constexpr double kStandstillSpeed = 0.08;

/// Records the progress that a report shows, before it is applied to `run`.
void RecordProgress(ShardState& shard, MonotonicTime now, VmEntity& vm,
                    const TaskKey& key, VmRun& run, const RunReport& report);

/// Records the run time of a run that has ended in success.
void RecordEndOfRun(ShardState& shard, MonotonicTime now, VmEntity& vm,
                    const RunEndReport& end, const VmRun& run);

/// Records the tail latency of a serving task.
/// @param excess log of the ratio of the tail latency to the one expected from
/// the load of its job and from the fillers beside it.
/// @param beside_fillers fillers may cause the excess as well.
void RecordTailExcess(const ShardState& shard, VmEntity& vm, double excess,
                      bool beside_fillers);

/// @return true if the measurements of a VM do not show the load of its tasks:
/// the VM is slow or may be.
bool MayBeSlow(const VmEntity& vm);

/// @return true if the VM is held slow and its runs stand still.
bool StandsStill(const VmEntity& vm);

}  // namespace almondtally::sched
