#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "sched/candidates.h"
#include "sched/near_place.h"
#include "sched/rank.h"

/// What a planning pass works on: the steps that wait, the candidates, and the
/// functions that place the tasks of one step.
namespace almondtally::sched {

/// A request that no VM could satisfy in this pass.
struct UnmetRequest {
  ServiceId service;
  std::string required_label;
  bool filler = false;
  Resources each;
  /// Set if some VM had room but its serving tasks ruled the image out.
  std::optional<std::string> image;
  /// Slow VMs had room and were left to tasks that have waited for longer.
  bool usual_vms_only = false;
};

/// Candidates of one planning pass, and the requests that they cannot satisfy.
/// With many steps waiting for the same resources, only the first of them
/// searches all VMs.
struct PlacementPass {
  std::vector<CandidateVm> candidates;
  std::vector<UnmetRequest> unmet;
  std::map<ServiceId, SuspectLimits> suspect_limits;
  /// Speed of the fastest of the slow VMs; 0 if no VM is slow.
  double fastest_slow = 0;
  /// Of the step that is being placed; see MaxFillerWait.
  Duration max_filler_wait{};
  NearPlaces near_places;
};

/// Result of the search for a VM.
struct VmChoice {
  CandidateVm* vm = nullptr;
  /// Other tasks of the step may find a VM although this one did not.
  bool others_may_fit = false;
};

/// A ready step that has idle tasks.
struct ReadyStep {
  JobEntity* job = nullptr;
  uint32_t occurrence = 0;
  uint32_t step = 0;
  JobRank rank;
  /// How many tasks may be placed.
  size_t max_tasks = std::numeric_limits<size_t>::max();
};

/// @return the best VM for a task that is not a suspect.
VmChoice ChooseVm(const ShardState& shard, MonotonicTime now,
                  PlacementPass& pass, const QueueTerms& terms,
                  const StepSpec& step, const TaskKey& key,
                  const TaskEntity& task);

/// @return the number of a task's next run.
RunNumber NextRunNumber(const ShardState& shard, RunNumber last);
/// Records the decision that a task runs on a VM.
void AssignTask(ShardState& shard, MonotonicTime now, VmEntity& vm,
                const StepSpec& step, const TaskKey& key, TaskEntity& task,
                RunNumber number, Decisions& log);

/// Holds room for lasting tasks that wait while short tasks take the room by
/// pieces, and places those whose held room is free. Reduces what the
/// candidates have free for others.
void HoldRoom(ShardState& shard, MonotonicTime now,
              const std::vector<ReadyStep>& ready_steps, PlacementPass& pass,
              Decisions& log);

/// Places the idle suspects of a step, each on the VM where a crash does least
/// harm.
void PlaceSuspects(ShardState& shard, MonotonicTime now,
                   const ReadyStep& ready_step, PlacementPass& pass,
                   Decisions& log);

/// Decides whether a task that could start on a VM waits for a place near its
/// data instead.
bool WaitsForNearPlace(ShardState& shard, MonotonicTime now,
                       const ReadyStep& ready_step, PlacementPass& pass,
                       const TaskKey& key, TaskEntity& task,
                       const VmEntity& chosen, Decisions& log);
/// Decides whether a gang that could start now, spread over racks, waits for
/// one rack instead.
/// @param first its first task.
bool WaitsForOneRack(ShardState& shard, MonotonicTime now,
                     const ReadyStep& ready_step, PlacementPass& pass,
                     const TaskKey& key, TaskEntity& first);
/// Notes that a task, or the first one of a gang, is placed.
/// @param gained the time that it takes less at its place than elsewhere.
/// @param near the place is near its data, or the gang is on one rack.
void EndNearWait(ShardState& shard, MonotonicTime now, const TaskKey& key,
                 TaskEntity& task, bool near, Duration gained, Decisions& log);

/// Places all tasks of a gang, or none.
void PlaceGang(ShardState& shard, MonotonicTime now,
               const ReadyStep& ready_step, PlacementPass& pass,
               Decisions& log);

}  // namespace almondtally::sched
