#pragma once

#include <cstdint>
#include <vector>

#include "target/task_table.h"

namespace almondtally {

/// When a VM counts as pressed, in percent of its capacity. The gap between
/// the two processor limits keeps the response from flapping.
struct PressureLimits {
  int64_t cpu_high = 90;
  int64_t cpu_low = 70;
  int64_t memory_high = 92;
  /// Listings in a row that must agree before anything is done.
  int rounds = 3;
};

/// What the pressure loop remembers.
struct PressureState {
  int high_rounds = 0;
  int low_rounds = 0;
  int memory_rounds = 0;
};

/// Sets the speed of a run, in percent.
struct ThrottleCall {
  WorkerRun run;
  int64_t speed = 100;
};

struct PressureResponse {
  std::vector<ThrottleCall> throttles;
  /// Runs to be checkpointed and evicted.
  std::vector<WorkerRun> evictions;
};

/// Weighs the newest listing: throttles one batch run a round while services
/// compete for processors, releases one when there is room, and evicts one
/// only for memory, which throttling does not give back.
PressureResponse RespondToPressure(PressureState& state,
                                   const PressureLimits& limits,
                                   const TaskTable& table);

}  // namespace almondtally
