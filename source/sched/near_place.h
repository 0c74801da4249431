#pragma once

#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/resources.h"
#include "sched/candidates.h"

/// How long a task waits for a place near its data, and a gang for one rack,
/// although it could start elsewhere now and take longer there.
namespace almondtally::sched {

/// Longest wait for such a place, however much it would gain. Callers are
/// guaranteed a start within 3 s while most of the capacity is free.
inline constexpr Duration kMaxNearWait{2'000};

/// @return true if a task is expected to end earlier if it waits.
/// @param wait until the near place is expected to be free.
/// @param near_run run time there.
/// @param far_run run time at a place that is free now.
/// @param waited how long the task has waited for a near place so far.
bool PaysToWait(Duration wait, Duration near_run, Duration far_run,
                Duration waited);

/// A change of a VM's free resources.
struct RoomChange {
  Duration after{};
  /// Negative for resources that a task will take.
  Resources size;
};

/// @return when a task fits on a VM; empty if not within kMaxNearWait.
/// @param free resources that are free now.
/// @param changes expected ones, in order.
std::optional<Duration> TimeUntilFits(Resources free,
                                      const std::vector<RoomChange>& changes,
                                      const Resources& need);

/// Expected changes of the VMs' free resources in one planning pass, with the
/// places that waiting tasks are promised: of many tasks that want one rack,
/// only as many wait as it is expected to take in time.
struct NearPlaces {
  /// By VM, separately for fillers, which reserve no CPU but need idle CPU.
  std::map<std::pair<VmId, bool>, std::vector<RoomChange>> changes;
};

/// A place on the rack of a task's data that is expected to be free soon.
struct NearPlace {
  CandidateVm* vm = nullptr;
  Duration wait{};
  Duration run_time{};
};

/// @return the place near its data where a task is expected to end first; empty
/// if none is expected to be free within kMaxNearWait.
std::optional<NearPlace> FindNearPlace(const ShardState& shard,
                                       MonotonicTime now, NearPlaces& places,
                                       std::vector<CandidateVm>& candidates,
                                       const JobEntity& job,
                                       const TaskKey& key);
/// Notes that a task waits for a place, so that others do not count on it.
void Promise(NearPlaces& places, const NearPlace& place, const StepSpec& step);

/// @return how much longer a gang takes on several racks than on one.
Duration GainOfOneRack(const ShardState& shard, MonotonicTime now,
                       const JobEntity& job, const TaskKey& key);

/// @return when one rack is expected to have room for all tasks of a gang;
/// empty if none within kMaxNearWait.
std::optional<Duration> TimeUntilRackFits(const ShardState& shard,
                                          MonotonicTime now, NearPlaces& places,
                                          std::vector<CandidateVm>& candidates,
                                          const JobEntity& job,
                                          const TaskKey& first_of_gang);

}  // namespace almondtally::sched
