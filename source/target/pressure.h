#pragma once

#include <cstdint>
#include <vector>

#include "target/task_table.h"

namespace almondtally {

/// Thresholds of resource pressure, in percent of the VM's capacity. The gap
/// between the two CPU thresholds is the hysteresis that prevents flapping.
struct PressureLimits {
  int64_t cpu_high = 90;
  int64_t cpu_low = 70;
  int64_t memory_high = 92;
  /// Consecutive worker listings past a threshold before the target reacts.
  int rounds = 3;
};

/// Number of consecutive listings past each threshold.
struct PressureState {
  int cpu_high_rounds = 0;
  int cpu_low_rounds = 0;
  int memory_high_rounds = 0;
};

/// A change of a run's speed, in percent of full speed.
struct ThrottleCall {
  WorkerRun run;
  int64_t speed = 100;
};

struct PressureResponse {
  std::vector<ThrottleCall> throttles;
  /// Runs to checkpoint and evict.
  std::vector<WorkerRun> evictions;
};

/// Decides how to react to the resource use in the latest listing. While CPU
/// use is high and services run here, one batch run at a time is throttled;
/// once CPU use is low, one at a time is sped up again. A batch run is evicted
/// only under memory pressure, since throttling does not free memory.
PressureResponse RespondToPressure(PressureState& state,
                                   const PressureLimits& limits,
                                   const TaskTable& table);

}  // namespace almondtally
