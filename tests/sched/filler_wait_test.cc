#include "sched/filler_wait.h"

#include <doctest/doctest.h>

#include "sched/shard_state_builder.h"

namespace almondtally::sched {
namespace {

// Replays the load: no VM is free of interference, and a job with a path of 1 s
// and an objective of 3 s waits for room in each of its steps.
TEST_CASE("fillers wait for at most half of the slack of their job") {
  constexpr Duration kLongest{2'300};
  ShardState shard = NewBoard();
  StepSpec filler = Step(1, 1'000);
  filler.filler = true;
  filler.estimate_ms = 1'000;
  JobEntity& job = AcceptJob(shard, "j", {filler});
  job.objective = Duration(3'000);
  const OccurrenceEntity& occurrence = job.occurrences.at(0);
  const auto wait_after = [&](Duration age) {
    const MonotonicTime now = occurrence.due_at + age;
    return MaxFillerWait(shard, now, job, occurrence,
                         RankOf(shard, job, occurrence, now));
  };
  CHECK(wait_after(Duration(0)) == kLongest);
  shard.features.admission = true;
  CHECK(wait_after(Duration(0)) == Duration(1'000));
  CHECK(wait_after(Duration(1'500)) == Duration(250));
  // No slack is left, and the job may still be on time.
  CHECK(wait_after(Duration(2'200)) == Duration(0));
  // Late jobs leave the serving tasks in peace.
  CHECK(wait_after(Duration(3'500)) == kLongest);
  job.objective = Duration(60'000);
  CHECK(wait_after(Duration(0)) == kLongest);
}

}  // namespace
}  // namespace almondtally::sched
