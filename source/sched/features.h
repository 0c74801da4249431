#pragma once

namespace almondtally::sched {

/// Decisions that a deployment's settings call for. Without them, the planner
/// treats all VMs and jobs alike.
struct PlanningFeatures {
  /// There may be more work than room: jobs that surely end too late to be of
  /// value are rejected, and fillers wait for a better VM only while their job
  /// can afford it.
  bool admission = false;
  /// VMs may differ in speed: run times and speeds are learnt, and tasks go
  /// where they are expected to end first.
  bool uneven_vms = false;
  /// How many times as long a task takes away from its data, or a gang on more
  /// than one rack; 1 if the place makes no difference or is not known.
  double far_factor = 1;
};

}  // namespace almondtally::sched
