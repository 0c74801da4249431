#include "sched/job.h"

#include <doctest/doctest.h>

#include <limits>

#include "sched/shard_state_builder.h"

namespace almondtally::sched {
namespace {

JobSpec ValidSpec() {
  JobSpec spec;
  spec.id = JobId("j");
  spec.steps = {Step(1, 100)};
  return spec;
}

TEST_CASE("values that overflow the planner's sums are rejected") {
  constexpr int64_t kHuge = std::numeric_limits<int64_t>::max();
  JobReason why;
  SUBCASE("processors") {
    JobSpec spec = ValidSpec();
    spec.steps[0].each.cpu = MilliCpu(kHuge);
    CHECK_FALSE(ValidateJob(spec, why));
  }
  SUBCASE("memory") {
    JobSpec spec = ValidSpec();
    spec.steps[0].each.memory = Mebibytes(kHuge);
    CHECK_FALSE(ValidateJob(spec, why));
  }
  SUBCASE("run time") {
    JobSpec spec = ValidSpec();
    spec.steps[0].estimate_ms = kHuge;
    CHECK_FALSE(ValidateJob(spec, why));
    spec.steps[0].estimate_ms = -1;
    CHECK_FALSE(ValidateJob(spec, why));
  }
  SUBCASE("schedule") {
    JobSpec spec = ValidSpec();
    spec.occurrences = 2;
    spec.period_ms = kHuge;
    CHECK_FALSE(ValidateJob(spec, why));
    spec.period_ms = 1;
    spec.first_due_ms = kHuge;
    CHECK_FALSE(ValidateJob(spec, why));
  }
  CHECK_FALSE(why.text.empty());
}

JobRecord RecordOf(JobSpec spec) {
  JobRecord record;
  record.spec = std::move(spec);
  record.terms.max_attempts = 4;
  return record;
}

// The store rejects a row that is too large, and with it the commit of every
// other job's progress.
TEST_CASE("a job whose rows cannot be stored is rejected") {
  JobReason why;
  JobSpec spec = ValidSpec();
  CHECK(ValidateRowSizes(RecordOf(spec), why));
  SUBCASE("many steps of many tasks") {
    spec.steps.assign(64, Step(10'000, 100));
  }
  SUBCASE("a long list of predecessors") {
    spec.steps.push_back(Step(1, 100));
    spec.steps[1].after.assign(60'000, 0);
  }
  SUBCASE("many occurrences") { spec.occurrences = 100'000; }
  REQUIRE(ValidateJob(spec, why));
  CHECK_FALSE(ValidateRowSizes(RecordOf(spec), why));
  CHECK(why.text.find("too large") != std::string::npos);
}

TEST_CASE("the size limit covers the largest progress row of a job") {
  JobSpec spec = ValidSpec();
  spec.steps = {Step(400, 100), Step(400, 100)};
  const JobRecord record = RecordOf(spec);
  JobReason why;
  REQUIRE(ValidateRowSizes(record, why));
  ShardState shard = NewBoard();
  JobEntity& job = AddJob(shard, kNow, record);
  for (StepEntity& step : job.occurrences[0].steps) {
    for (TaskEntity& task : step.tasks) {
      task.failed_runs.assign(record.terms.max_attempts,
                              RunNumber(1'000'000'000'000));
      task.crashed_runs.assign(kMaxCrashes, {RunNumber(1'000'000'000'000),
                                             RunProof::kConfirmed, 60'000});
    }
  }
  CHECK(EncodeRow(MakeProgressRow(job)).size() <= kMaxRowBytes);
}

}  // namespace
}  // namespace almondtally::sched
