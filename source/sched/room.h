#pragma once

#include <optional>
#include <string>
#include <vector>

#include "sched/shard_state.h"

namespace almondtally::sched {

/// A serving task on a VM, as seen by a filler that may run beside it.
struct ServingTask {
  std::string image;
  /// How much its log tail may still rise, net of the fillers on the VM.
  double headroom = 0;
  /// Weight from which a filler counts as interfering.
  double min_harmful_weight = 0;
};

/// @return the serving tasks of a VM.
/// @param except a filler that is left out of the headroom.
std::vector<ServingTask> ListServingTasks(const ShardState& shard,
                                          const VmEntity& vm,
                                          const std::optional<TaskKey>& except);

/// Reduces the headroom of serving tasks by a filler that was placed on their
/// VM.
void AddFillerLoad(const ShardState& shard, const VmEntity& vm,
                   const StepSpec& filler, std::vector<ServingTask>& serving);

/// @return the largest share of full speed at which a filler can run beside the
/// given serving tasks without pushing them over their planned latency;
/// negative if the other fillers already do.
double AllowedFillerSpeed(const ShardState& shard, const VmEntity& vm,
                          const StepSpec& filler,
                          const std::vector<ServingTask>& serving);

/// @return true if fillers of this image are expected to raise the tail latency
/// of one of the serving tasks noticeably.
bool MayInterfere(const ShardState& shard, const std::string& filler_image,
                  const std::vector<ServingTask>& serving);

}  // namespace almondtally::sched
