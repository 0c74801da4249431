#include <algorithm>

#include "sched/shard_head.h"
#include "sched/shard_state.h"

namespace almondtally::sched {

JobProgress MakeProgressRow(const JobEntity& job) {
  JobProgress out;
  if (IsFinal(job.state)) {
    out.state = job.state;
    out.ended_at_ms = job.ended_at_ms;
  }
  size_t suspects = 0;
  for (const auto& [number, occurrence] : job.occurrences) {
    for (uint32_t i = 0; i < occurrence.steps.size(); ++i) {
      StepProgress row;
      row.occurrence = number;
      row.step = i;
      bool has_progress = false;
      for (uint32_t k = 0; k < occurrence.steps[i].tasks.size(); ++k) {
        const TaskEntity& task = occurrence.steps[i].tasks[k];
        const bool done = task.phase == TaskPhase::kDone;
        row.done += done ? '1' : '0';
        has_progress = has_progress || done || !task.failed_runs.empty() ||
                       !task.crashed_runs.empty();
        if (!task.failed_runs.empty() && !done) {
          row.failures.push_back({k, task.failed_runs});
        }
        if (!task.crashed_runs.empty() && !done &&
            ++suspects <= kMaxStoredSuspects) {
          row.crashes.push_back({k, task.crashed_runs});
        }
      }
      if (has_progress) out.steps.push_back(std::move(row));
    }
  }
  return out;
}

std::optional<AgentRow> DecodeAgentRow(const std::string& bytes,
                                       JobReason& why) {
  auto row = DecodeRow<AgentRow>(bytes, why);
  if (!row) return row;
  row->former_lease_ms =
      std::clamp<int64_t>(row->former_lease_ms, 0, kMaxRecordedLease.count());
  if (ParseAddress(row->address)) return row;
  why.Set(JobError::kBadRow, "not an address");
  return std::nullopt;
}

std::optional<ShardHead> FindShardHead(const StoreRows& rows) {
  JobReason why;
  for (const StoreRow& row : rows.rows) {
    if (row.at.key == kHeadKey) return DecodeRow<ShardHead>(row.value, why);
  }
  return std::nullopt;
}

}  // namespace almondtally::sched
