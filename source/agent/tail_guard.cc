#include "agent/tail_guard.h"

#include <algorithm>
#include <utility>

namespace almondtally::sched {
namespace {

/// How late a missed target is noticed: the listed measure is a mean over the
/// last 500 ms, and the worker is asked every 300 ms.
constexpr Duration kNoticeDelay{800};
/// The platform's time until a speed limit takes effect.
constexpr Duration kPaceDelay{100};
/// One call that is not answered within its timeout of 250 ms, a tick of the
/// agent before it is repeated, and the call that then is answered.
constexpr Duration kCallAllowance{300};
/// How long before the end of the allowed time the agent pauses fillers itself.
/// A planner in contact with the agent is earlier: it begins 1.7 s before
/// (sched/pace.cc), and its count is at most one report, 300 ms, behind.
constexpr Duration kHoldBefore = kNoticeDelay + kPaceDelay + kCallAllowance;

/// @return the number of fillers that are not known to be paused.
int64_t CountFillersAtWork(const RunTable& table) {
  return std::count_if(table.runs.begin(), table.runs.end(),
                       [](const auto& it) {
                         const AgentRun& run = it.second;
                         return run.order.filler && run.pace != 0 &&
                                run.phase == RunPhase::kRunning;
                       });
}

}  // namespace

void UpdateMissedTarget(AgentRun& run, MonotonicTime now) {
  const int64_t target_ms = run.order.tail_target_ms;
  if (target_ms <= 0 || run.measurement <= target_ms) {
    run.over_target_since = {};
    run.long_miss_logged = false;
  } else if (run.over_target_since == MonotonicTime{}) {
    run.over_target_since = now;
  }
}

Duration MissedFor(const AgentRun& run, MonotonicTime now) {
  if (run.over_target_since == MonotonicTime{}) return Duration(0);
  return now - run.over_target_since;
}

Duration LongestMiss(const RunTable& table, MonotonicTime now) {
  Duration longest{0};
  for (const auto& [task, run] : table.runs) {
    longest = std::max(longest, MissedFor(run, now));
  }
  return longest;
}

void UpdateFillerHold(RunTable& table, MonotonicTime now) {
  if (table.tail_limit <= Duration(0)) return;
  const Duration missed_for = LongestMiss(table, now);
  const bool holds = missed_for >= table.tail_limit - kHoldBefore;
  if (holds == table.holds_fillers) return;
  table.holds_fillers = holds;
  HoldNote note{holds, 0, missed_for};
  for (auto& [task, run] : table.runs) {
    if (!run.order.filler) continue;
    run.version = ++table.version;
    if (run.requested_pace == 0) continue;
    ++note.fillers;
    run.pace_requested_at = now;
    run.pace_sent_at = {};
  }
  if (note.fillers > 0) table.hold_notes.push_back(note);
}

bool IsHeld(const RunTable& table, const AgentRun& run) {
  return table.holds_fillers && run.order.filler;
}

int64_t WantedPace(const RunTable& table, const AgentRun& run) {
  return IsHeld(table, run) ? 0 : run.requested_pace;
}

void NoteLongMisses(RunTable& table, MonotonicTime now) {
  if (table.tail_limit <= Duration(0)) return;
  if (LongestMiss(table, now) < table.tail_limit) return;
  const int64_t at_work = CountFillersAtWork(table);
  if (at_work == 0) return;
  for (auto& [task, run] : table.runs) {
    const Duration missed_for = MissedFor(run, now);
    if (missed_for < table.tail_limit || run.long_miss_logged) continue;
    run.long_miss_logged = true;
    table.long_misses.push_back({task, run.order.run, run.measurement,
                                 run.order.tail_target_ms, missed_for,
                                 at_work});
  }
}

void NoteConfirmedPace(RunTable& table, MonotonicTime now, const AgentRun& run,
                       int64_t percent) {
  if (run.pace == percent || (run.pace != 0 && percent != 0)) return;
  PaceNote note{run.order.task, run.order.run, percent};
  note.missed_for = LongestMiss(table, now);
  if (run.pace_sent_at != MonotonicTime{}) {
    note.requested_for = now - run.pace_requested_at;
    note.sent_for = now - run.pace_sent_at;
  }
  table.pace_notes.push_back(std::move(note));
}

}  // namespace almondtally::sched
