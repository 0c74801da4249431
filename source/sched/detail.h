#pragma once

#include "sched/board.h"

/// Helpers shared by the files of this package.
namespace almondtally::sched {

/// Marks steps whose predecessors are done.
void UpdateReady(const JobSpec& spec, OccurrenceEntity& occurrence,
                 MonotonicTime now);

/// @return what the fillers on a VM use, as last measured.
std::vector<FillerUse> FillersOn(const Board& board, const VmEntity& vm);

/// Learns loads and interference from the measures of a VM's report.
void LearnFromReport(Board& board, MonotonicTime now, VmEntity& vm,
                     const SyncReport& report);

/// @return true if a filler of this image may be what harms a serving task of
/// the VM.
bool MayHarm(const Board& board, const VmEntity& vm, const StepSpec& filler);

/// Ends a job: nothing of it is placed any more; its runs are stopped.
void EndJob(Board& board, MonotonicTime now, JobEntity& job, JobState state);

}  // namespace almondtally::sched
