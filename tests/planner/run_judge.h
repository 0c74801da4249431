#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "sched/job.h"
#include "sched/messages.h"
#include "sched/worker.h"

/// Judges a simulation by the rules that callers rely on, from what workers and
/// callers saw, without knowledge of any planner.
namespace almondtally::sched {

/// A run as its worker saw it. Times are those of the simulation.
struct SimulatedRun {
  TaskKey task;
  RunNumber run;
  size_t vm = 0;
  MonotonicTime started_at{};
  /// When the run ends by itself.
  MonotonicTime due_at = MonotonicTime::max();
  std::optional<MonotonicTime> ended_at;
  RunEnd end = RunEnd::kDone;
  uint64_t end_number = 0;
  /// The lease lapsed after the end, before the end was acknowledged.
  bool lapsed_after_end = false;
  bool acknowledged = false;
  /// When the end was acknowledged, if it was.
  MonotonicTime acknowledged_at{};
};

/// A caller's look at a job.
struct JobReading {
  size_t entry = 0;
  MonotonicTime sent_at{};
  /// Empty if there was no answer in time.
  std::optional<JobAnswer> answer;
  MonotonicTime answered_at{};
};

/// A job as its callers saw it.
struct JudgedJob {
  JobSpec spec;
  QueueTerms terms;
  /// Attempts to hand the job in, and those answered with "not accepted".
  size_t attempts = 0;
  size_t refused_attempts = 0;
  std::optional<MonotonicTime> accepted_at;
  std::optional<MonotonicTime> cancel_sent_at;
  std::optional<MonotonicTime> cancel_answered_at;
  std::vector<JobReading> readings;
};

/// All that happened in a simulation.
struct SimulatedDay {
  std::deque<SimulatedRun> runs;
  std::map<JobId, JudgedJob> jobs;
  /// Unix time minus time of the simulation, in ms.
  int64_t unix_offset_ms = 0;
  /// When the last impairment ended.
  MonotonicTime healed_at{};
  MonotonicTime ended_at{};
};

/// What broke a rule.
struct Breach {
  /// Name of the rule, such as "TWICE".
  std::string rule;
  std::string text;
};

/// A task runs on one VM at a time, and is not started again after an end as
/// done that was acknowledged, then or later.
std::vector<std::string> FindDoubledRuns(const std::deque<SimulatedRun>& runs);

/// Applies the rules TWICE, BUDGET, GANG, ORDER, REFUSED, UNASKED, MIXED and
/// LOST.
std::vector<Breach> FindBreaches(const SimulatedDay& day);

}  // namespace almondtally::sched
