#include "planner/run_judge.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>
#include <string>

// Each rule of the judge holds for a day without faults and breaks for the
// least change that breaks it.

namespace almondtally::sched {
namespace {

constexpr uint32_t kAttempts = 2;
const JobId kJob{"j"};

MonotonicTime At(int64_t ms) { return MonotonicTime(Duration(ms)); }

/// A job of two steps, a gang of two tasks and then one task, that was
/// completed, and seen so.
struct Day {
  SimulatedDay day;

  Day() {
    JudgedJob& job = day.jobs[kJob];
    job.spec.id = kJob;
    job.spec.steps.resize(2);
    job.spec.steps[0].count = 2;
    job.spec.steps[0].gang = true;
    job.spec.steps[1].after = {0};
    job.terms.max_attempts = kAttempts;
    job.attempts = 1;
    job.accepted_at = At(500);
    AddRun({kJob, 0, 0, 0}, 1, 1'000, 2'000, RunEnd::kDone);
    AddRun({kJob, 0, 0, 1}, 1, 1'000, 2'000, RunEnd::kDone);
    AddRun({kJob, 0, 1, 0}, 1, 2'500, 3'000, RunEnd::kDone);
    Read(30'000, JobVerdict::kOk, JobState::kCompleted);
    day.healed_at = At(20'000);
    day.ended_at = At(80'000);
  }

  JudgedJob& job() { return day.jobs[kJob]; }
  SimulatedRun& last_run() { return day.runs.back(); }

  SimulatedRun& AddRun(const TaskKey& task, uint64_t number, int64_t from,
                       int64_t to, RunEnd end) {
    SimulatedRun run;
    run.task = task;
    run.run = RunNumber(number);
    run.started_at = At(from);
    run.ended_at = At(to);
    run.end = end;
    run.acknowledged = true;
    run.acknowledged_at = At(to);
    day.runs.push_back(run);
    return day.runs.back();
  }

  void Read(int64_t at, JobVerdict verdict, JobState state) {
    JobReading reading;
    reading.sent_at = At(at);
    reading.answered_at = At(at + 10);
    reading.answer = JobAnswer();
    reading.answer->verdict = verdict;
    reading.answer->state = state;
    job().readings.push_back(reading);
  }

  std::set<std::string> BrokenRules() const {
    std::set<std::string> out;
    for (const Breach& it : FindBreaches(day)) out.insert(it.rule);
    return out;
  }
  bool Holds() const { return BrokenRules().empty(); }
  bool Breaks(const char* rule) const { return BrokenRules().contains(rule); }
};

const TaskKey kLastTask{kJob, 0, 1, 0};

TEST_CASE("the judge finds no breach in a day without faults") {
  CHECK(Day().Holds());
}

TEST_CASE("TWICE: two runs at once") {
  Day day;
  day.AddRun(kLastTask, 2, 2'999, 3'100, RunEnd::kStopped);
  CHECK(day.Breaks("TWICE"));
  day.last_run().started_at = At(2'400);
  CHECK(day.Breaks("TWICE"));
}

TEST_CASE("TWICE: a start after an end as done that is acknowledged") {
  Day day;
  day.AddRun(kLastTask, 2, 3'000, 3'100, RunEnd::kStopped);
  CHECK(day.Breaks("TWICE"));
  SUBCASE("an end that is never acknowledged") {
    day.day.runs[2].acknowledged = false;
  }
  SUBCASE("the lease lapses before") {
    day.day.runs[2].lapsed_after_end = true;
  }
  SUBCASE("another end") { day.day.runs[2].end = RunEnd::kStopped; }
  CHECK_FALSE(day.Breaks("TWICE"));
}

TEST_CASE("TWICE: steps that allow copies") {
  Day day;
  day.job().spec.steps[1].copies_allowed = true;
  day.AddRun(kLastTask, 2, 2'600, 3'100, RunEnd::kStopped);
  CHECK(day.Holds());
  SUBCASE("not for other steps") {
    day.job().spec.steps[1].copies_allowed = false;
    CHECK(day.Breaks("TWICE"));
  }
  SUBCASE("a start over a second after an end as done was acknowledged") {
    day.day.runs[2].acknowledged_at = At(30'000);
    day.last_run().ended_at = At(31'100);
    day.last_run().started_at = At(31'000);
    day.job().readings.back().answered_at = At(32'000);
    CHECK(day.Holds());
    day.last_run().started_at = At(31'001);
    CHECK(day.Breaks("TWICE"));
    day.day.runs[2].acknowledged = false;
    CHECK(day.Holds());
  }
  SUBCASE("a start over a second after the job was shown as completed") {
    day.day.runs[2].acknowledged = false;
    day.last_run().ended_at = At(31'100);
    day.last_run().started_at = At(31'010);
    CHECK(day.Holds());
    day.last_run().started_at = At(31'011);
    CHECK(day.Breaks("TWICE"));
    day.day.healed_at = At(28'100);
    CHECK_FALSE(day.Breaks("TWICE"));
  }
}

TEST_CASE("BUDGET: steps that allow copies") {
  Day day;
  day.job().spec.steps[1].copies_allowed = true;
  for (uint32_t i = 0; i < kAttempts; ++i)
    day.AddRun(kLastTask, 2 + i, 2'600, 30'000, RunEnd::kFailed);
  day.day.runs[2].acknowledged = false;
  day.job().readings.back().answered_at = At(40'000);
  day.AddRun(kLastTask, 9, 31'000, 31'050, RunEnd::kStopped);
  CHECK_FALSE(day.Breaks("BUDGET"));
  day.last_run().started_at = At(31'001);
  CHECK(day.Breaks("BUDGET"));
}

TEST_CASE("BUDGET: a start after the last attempt") {
  Day day;
  for (uint32_t i = 0; i < kAttempts; ++i)
    day.AddRun(kLastTask, 2 + i, 4'000 + 100 * i, 4'050 + 100 * i,
               RunEnd::kFailed);
  CHECK_FALSE(day.Breaks("BUDGET"));
  day.AddRun(kLastTask, 9, 5'000, 5'050, RunEnd::kStopped);
  CHECK(day.Breaks("BUDGET"));
  day.day.runs[3].acknowledged = false;
  CHECK_FALSE(day.Breaks("BUDGET"));
}

TEST_CASE("GANG: tasks under two numbers at once") {
  Day day;
  day.day.runs[1].run = RunNumber(2);
  CHECK(day.Breaks("GANG"));
  day.day.runs[1].started_at = At(2'000);
  CHECK_FALSE(day.Breaks("GANG"));
}

TEST_CASE("GANG: a task that waits for the others in vain") {
  Day day;
  day.AddRun({kJob, 0, 0, 0}, 2, 40'000, 43'000, RunEnd::kGangIncomplete);
  CHECK(day.Breaks("GANG"));
  SUBCASE("shortly after an impairment") {
    day.last_run().started_at = At(21'000);
  }
  SUBCASE("the job was cancelled") { day.job().cancel_sent_at = At(42'000); }
  CHECK_FALSE(day.Breaks("GANG"));
}

TEST_CASE("ORDER: a start before the earlier step is done") {
  Day day;
  day.day.runs[2].started_at = At(1'999);
  CHECK(day.Breaks("ORDER"));
  day.day.runs[2].started_at = At(2'000);
  CHECK(day.Holds());
  day.day.runs[1].end = RunEnd::kLapsed;
  CHECK(day.Breaks("ORDER"));
}

TEST_CASE("ORDER: a start before its time") {
  Day day;
  day.job().spec.occurrences = 1;
  day.day.unix_offset_ms = 1'000'000;
  day.job().spec.first_due_ms = 1'001'250;
  CHECK(day.Holds());
  day.job().spec.first_due_ms = 1'001'251;
  CHECK(day.Breaks("ORDER"));
}

TEST_CASE("REFUSED: a task of a job that was refused starts") {
  Day day;
  day.job().accepted_at.reset();
  day.job().attempts = 2;
  day.job().refused_attempts = 1;
  CHECK(day.Holds());
  day.job().refused_attempts = 2;
  CHECK(day.Breaks("REFUSED"));
}

TEST_CASE("UNASKED: a start after the job was cancelled") {
  Day day;
  day.job().cancel_sent_at = At(10'000);
  day.job().cancel_answered_at = At(10'100);
  CHECK(day.Holds());
  day.AddRun(kLastTask, 2, 30'000, 30'100, RunEnd::kStopped);
  CHECK(day.Breaks("UNASKED"));
}

TEST_CASE("UNASKED: a task of a cancelled job goes on") {
  Day day;
  day.job().cancel_sent_at = At(10'000);
  day.job().cancel_answered_at = At(10'100);
  day.day.runs[2].ended_at.reset();
  CHECK(day.Breaks("UNASKED"));
}

TEST_CASE("UNASKED: a task that nobody has submitted starts") {
  Day day;
  day.AddRun({JobId("other"), 0, 0, 0}, 1, 1'000, 1'100, RunEnd::kDone);
  CHECK(day.Breaks("UNASKED"));
}

TEST_CASE("MIXED: shown as completed before its tasks are done") {
  Day day;
  day.Read(2'989, JobVerdict::kOk, JobState::kCompleted);
  CHECK(day.Breaks("MIXED"));
}

TEST_CASE("LOST: an accepted job is not known") {
  Day day;
  day.Read(3'500, JobVerdict::kUnknownJob, JobState::kPending);
  CHECK(day.Holds());
  day.Read(3'501, JobVerdict::kUnknownJob, JobState::kPending);
  CHECK(day.Breaks("LOST"));
}

TEST_CASE("LOST: no answer about an accepted job after all is healed") {
  Day day;
  SUBCASE("none") {
    day.Read(40'000, JobVerdict::kOk, JobState::kRunning);
    day.job().readings.back().answer.reset();
  }
  SUBCASE("a refusal") {
    day.Read(40'000, JobVerdict::kUnavailable, JobState::kPending);
  }
  CHECK(day.Breaks("LOST"));
}

TEST_CASE("LOST: shown as failed or cancelled without cause") {
  Day day;
  SUBCASE("too few ends as failed") {
    day.Read(50'000, JobVerdict::kOk, JobState::kFailed);
    day.AddRun(kLastTask, 2, 4'000, 4'050, RunEnd::kFailed);
    CHECK(day.Breaks("LOST"));
    day.AddRun(kLastTask, 3, 5'000, 5'050, RunEnd::kFailed);
  }
  SUBCASE("not cancelled") {
    day.Read(50'000, JobVerdict::kOk, JobState::kCancelled);
    CHECK(day.Breaks("LOST"));
    day.job().cancel_sent_at = At(49'000);
  }
  CHECK_FALSE(day.Breaks("LOST"));
}

TEST_CASE("LOST: a job does not end") {
  Day day;
  day.job().readings.clear();
  CHECK(day.Breaks("LOST"));
}

TEST_CASE("LOST: a job stands still for long after all is healed") {
  Day day;
  day.job().readings.clear();
  day.Read(43'000, JobVerdict::kOk, JobState::kCompleted);
  CHECK(day.Holds());
  day.job().readings.clear();
  day.Read(43'001, JobVerdict::kOk, JobState::kCompleted);
  CHECK(day.Breaks("LOST"));
  day.AddRun(kLastTask, 2, 38'000, 38'100, RunEnd::kStopped);
  CHECK_FALSE(day.Breaks("LOST"));
}

TEST_CASE("LOST: a lasting task does not run") {
  Day day;
  for (StepSpec& step : day.job().spec.steps) step.lasting = true;
  day.job().readings.clear();
  CHECK(day.Breaks("LOST"));
  for (SimulatedRun& run : day.day.runs) run.ended_at.reset();
  CHECK_FALSE(day.Breaks("LOST"));
}

}  // namespace
}  // namespace almondtally::sched
