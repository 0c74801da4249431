#pragma once

#include <functional>

#include "entry/entry_context.h"

namespace almondtally {

/// Schedules batch jobs and service executors: runs the job board's functions
/// and performs the table commits and peer calls that they return.
class BatchScheduler {
 public:
  explicit BatchScheduler(EntryContext& context);

  /// Places pending tasks, commits staged changes, sends starts and retires
  /// finished jobs. Call each tick.
  void Tick();

  /// Scans the jobs of this entry's teams, fences silent VMs, sends stops and
  /// looks up unknown jobs. Call about once a second.
  void SlowTick();

  /// Reads one job from the table, after a hint that it changed.
  void RefreshJob(const JobId& job);

 private:
  bool IsWarmedUp() const;
  void DetectPause();
  void ScanJobs();
  void ApplyJobRows(const std::vector<Row>& rows);
  void LoadChunks(const JobId& job);
  void ReadStaleRows();
  void CommitStagedChanges();
  void SendStarts();
  void SendStops();
  void FenceSilentVms();
  void CreateServiceJobs();
  void RetireFinishedJobs();
  void LookUpUnknownJobs();
  void DropUnownedJobs();

  EntryContext& context_;
  MonotonicTime started_at_;
  MonotonicTime last_tick_{};
  MonotonicTime next_scan_{};
  bool scanning_ = false;
  bool reading_stale_ = false;
  bool committing_ = false;
  std::set<JobId> loading_chunks_;
  std::set<JobId> creating_jobs_;
  std::set<VmId> fencing_vms_;
};

}  // namespace almondtally
