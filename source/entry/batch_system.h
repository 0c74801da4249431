#pragma once

#include <functional>

#include "entry/entry_context.h"

namespace almondtally {

/// Runs the systems over the job board and carries out what they return.
class BatchSystem {
 public:
  explicit BatchSystem(EntryContext& context);

  /// Places, commits, starts and stops. Call each tick.
  void Tick();

  /// Reads the jobs of this entry's teams, fences silent VMs and looks up
  /// unknown jobs. Call about once a second.
  void SlowTick();

  /// Reads one job soon, because somebody said that it changed.
  void Look(const JobId& job);

 private:
  bool KnowsTheVms() const;
  void DetectPause();
  void ScanJobs();
  void TakeJobRows(const std::vector<Row>& rows);
  void LoadChunks(const JobId& job);
  void ReadStale();
  void CommitStaged();
  void SendStarts();
  void SendStops();
  void FenceSilentVms();
  void CreateServiceJobs();
  void RetireFinished();
  void LookUpUnknown();
  void DropForeign();

  EntryContext& context_;
  MonotonicTime started_at_;
  MonotonicTime last_tick_{};
  MonotonicTime next_scan_{};
  bool scanning_ = false;
  bool reading_stale_ = false;
  bool committing_ = false;
  std::set<JobId> loading_;
  std::set<JobId> creating_;
  std::set<VmId> fencing_;
};

}  // namespace almondtally
