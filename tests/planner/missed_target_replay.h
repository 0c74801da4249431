#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "agent/run_table.h"
#include "sched/shard_state.h"

namespace almondtally::sched {

/// One VM with a serving task and fillers, its agent and a planner that can be
/// replaced, on a clock of their own and without a network. While `disturbed`
/// is set, the serving task misses its target whenever a filler is at work, and
/// meets it otherwise.
class MissedTargetReplay {
 public:
  /// How long the target may be missed on end while fillers are at work.
  static constexpr Duration kTailLimit{5'000};

  /// Runs until the tasks are at work and the target is met.
  /// @param fillers number of filler tasks; further ones come with AddFiller.
  explicit MissedTargetReplay(uint32_t fillers = 2);

  void Advance(Duration by);
  /// Ends the planner; the agent hears nothing from then on.
  void StopPlanner() { planner_.reset(); }
  /// Starts a planner of the next epoch, which knows only the stored jobs.
  void StartPlanner();
  /// Ends the agent's process and starts another one; the worker goes on.
  void RestartAgent();
  /// Submits a filler job.
  void AddFiller();
  /// @return true if the planner has reported fillers as paused, or as at work.
  bool AreFillersAtWork() const;
  const ShardState& shard() const { return *planner_; }
  const RunTable& table() const { return table_; }
  MonotonicTime now() const { return now_; }

  bool disturbed = false;
  /// Time that a message between planner and agent takes.
  Duration message_time{5};
  /// Messages between planner and agent are lost.
  bool link_cut = false;
  /// Calls to pause a filler and to start one that the worker carries out, but
  /// does not answer.
  int lost_pause_answers = 0;
  int lost_start_answers = 0;
  /// Calls to pause a filler that do not reach the worker.
  int lost_pauses = 0;
  /// Listings that show this measure whatever the tail is.
  int wrong_listings = 0;
  int64_t wrong_measure_ms = 10;

  /// The longest time for which the target had been missed on end at a moment
  /// at which a filler was at work.
  Duration longest_miss() const { return longest_miss_; }
  /// Total time for which fillers were at rest.
  Duration time_paused() const { return time_paused_; }

 private:
  struct WorkerRunState {
    RunNumber run;
    int64_t pace = 100;
    std::optional<int64_t> next_pace;
    MonotonicTime next_pace_at{};
  };
  struct Timer {
    MonotonicTime due_at{};
    std::function<void()> fn;
  };

  void After(Duration delay, std::function<void()> fn);
  void StepWorker();
  void StepAgent();
  void StepPlanner();
  void RunPlanningPass();
  SyncRequest MakeRequest() const;
  /// Sends a request, and the agent's report back.
  void Exchange(const SyncRequest& request, bool is_poll);
  void AnswerPolls();
  void Answer(const SyncRequest& request, bool is_poll);
  void HandleReport(const SyncReport& report, bool is_poll, uint64_t epoch);
  WorkerListing List();
  bool IsServing(const TaskKey& task) const;
  VmEntity& vm() { return planner_->vms.at(VmId("vm")); }

  MonotonicTime now_{Duration(1'000'000)};
  RunTable table_;
  uint64_t agents_ = 0;
  std::optional<ShardState> planner_;
  uint64_t epoch_ = 0;
  uint32_t filler_jobs_ = 0;
  uint32_t first_fillers_;
  bool poll_in_flight_ = false;
  MonotonicTime poll_sent_at_{};
  MonotonicTime next_pass_at_{};
  std::vector<SyncRequest> held_polls_;
  std::map<TaskKey, WorkerRunState> on_worker_;
  std::deque<int64_t> tails_;
  std::vector<Timer> timers_;
  bool renewal_in_flight_ = false;
  MonotonicTime over_since_{};
  Duration longest_miss_{};
  Duration time_paused_{};
};

}  // namespace almondtally::sched
