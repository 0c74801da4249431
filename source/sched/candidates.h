#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "sched/detail.h"
#include "sched/room.h"
#include "sched/shard_state.h"

/// The VMs that may get tasks in one planning pass, and their remaining room.
namespace almondtally::sched {

/// A filler waits if it would run below this share of full speed.
inline constexpr double kMinFillerSpeed = 0.7;

/// A VM that accepts tasks. The remaining capacity is updated with each task
/// that is placed.
struct CandidateVm {
  VmEntity* vm = nullptr;
  /// Capacity not reserved; fillers reserve memory and accelerators, no CPU.
  Resources free;
  /// CPU, in thousandths, that tasks other than fillers are expected to leave
  /// idle.
  int64_t idle_cpu = 0;
  /// CPU that the fillers on the VM ask for.
  int64_t filler_cpu = 0;
  /// The VM's serving tasks; empty until they are needed.
  std::optional<std::vector<ServingTask>> serving;
  /// A suspect runs here, so that only suspects may start.
  bool testing_suspect = false;
  /// The suspects that were started last must run for a while before the next.
  bool busy_with_suspect = false;
  /// Suspects that were placed here in this pass.
  size_t suspects_placed = 0;
  /// Only suspects may start here.
  bool reserved_for_suspects = false;
  /// See SpeedOf.
  double speed = 1;
  /// Starts are likely not to be carried out here.
  bool unreliable = false;
  /// See LossOnCrash; empty until it is needed.
  std::optional<int64_t> loss_on_crash;
};

/// @return true if the planner may start tasks on the VM now.
bool AcceptsTasks(const ShardState& shard, const VmEntity& vm,
                  MonotonicTime now);

/// @return the VMs that accept tasks.
std::vector<CandidateVm> ListCandidateVms(ShardState& shard, MonotonicTime now,
                                          const SuspectTests& tests);

/// @return the share of full speed that the idle CPU of a VM allows a filler.
double SpeedOnIdleCpu(const CandidateVm& candidate, const StepSpec& step);

/// @return true if a VM could run tasks like those of a step.
bool HasRoom(const CandidateVm& candidate, const QueueTerms& terms,
             const StepSpec& step);

/// @return true if tasks that are not suspected of crashing workers may start.
bool IsOpenToInnocent(const CandidateVm& candidate);

/// @return true if the VM has an earlier run of the task.
bool HasEarlierRun(const CandidateVm& candidate, const TaskKey& key);

/// @return true unless the VM has an earlier run of the task, or as many tasks
/// of the step as allowed.
bool IsOpenToTask(const CandidateVm& candidate, const StepSpec& step,
                  const TaskKey& key);

/// Reserves room for one more task of a step.
void Reserve(const ShardState& shard, CandidateVm& candidate,
             const StepSpec& step);
/// Takes a reservation back.
void Release(CandidateVm& candidate, const StepSpec& step);

}  // namespace almondtally::sched
