#include "sched/admission.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "sched/shard_state_builder.h"

namespace almondtally::sched {
namespace {

constexpr Duration kStep{50};
constexpr int64_t kVmCpu = 4'000;
/// Half of their capacity is reserved for lasting tasks.
constexpr int kVms = 24;
/// Tasks take their declared time divided by this.
constexpr int64_t kOverstated = 2;

QueueTerms Terms(int64_t priority, double stretch, int64_t target_ms) {
  QueueTerms terms;
  terms.service = kPool;
  terms.priority = priority;
  terms.max_attempts = 2;
  terms.stretch = stretch;
  terms.latency_target_ms = target_ms;
  return terms;
}

/// @return a job as a caller submits it.
JobRecord Record(const std::string& id, const std::string& queue,
                 const StepSpec& step, MonotonicTime at) {
  JobRecord record;
  record.spec.id = JobId(id);
  record.spec.queue = QueueId(queue);
  record.spec.steps = {step};
  record.terms = queue == "short" ? Terms(0, 0.75, 300) : Terms(2, 1, 1'000);
  record.accepted_at_ms = at.time_since_epoch().count();
  return record;
}

StepSpec ShortStep(uint32_t tasks) {
  StepSpec step = Step(tasks, 500);
  step.estimate_ms = 800;
  return step;
}

StepSpec WideStep(uint32_t tasks) {
  StepSpec step = Step(tasks, 1'000);
  step.estimate_ms = 3'000;
  return step;
}

AdmissionDecision Decide(ShardState& shard, AdmissionState& state,
                         const JobRecord& record, MonotonicTime now = kNow) {
  return DecideAdmission(shard, state, now, MakeJob(shard, now, record));
}

/// Makes the sizes of a queue known: all jobs alike, all accepted.
void LearnSizes(AdmissionState& state, const std::string& queue) {
  QueueAdmission& known = state.queues[QueueId(queue)];
  known.sizes.assign(50, 1e9);
  known.decided = 50;
  known.counted_at = kNow;
}

/// Fills VMs with runs of accepted jobs, and adds jobs that wait.
void Overload(ShardState& shard, int jobs_waiting) {
  for (int i = 0; i < jobs_waiting; ++i) {
    JobEntity& job = AddJob(
        shard, kNow,
        Record("busy" + std::to_string(i), "short", ShortStep(40), kNow));
    job.accepted = true;
  }
  Place(shard);
  for (auto& [id, vm] : shard.vms) ReportAllRunning(shard, vm);
}

struct Caller {
  JobRecord record;
  bool large = false;
  MonotonicTime first_seen_at{};
  MonotonicTime next_try_at{};
  int rejections = 0;
  bool accepted = false;
  bool done = false;
  MonotonicTime done_at{};
  Duration objective{};
};

struct Outcome {
  int jobs = 0;
  int on_time = 0;
  int rejections = 0;
  int done = 0;
};

/// Callers and VMs over some seconds: short jobs come at three times their
/// usual rate from 3 s to 13 s, wide ones at 2.5 times from 6 s to 16 s, and
/// from 5 s on, a third of the VMs is draining.
class Play {
 public:
  Play(bool admission, bool crunch) : admission_(admission), crunch_(crunch) {
    for (int i = 0; i < kVms; ++i)
      AddVm(shard_, "vm" + std::to_string(i), kVmCpu);
    StepSpec lasting = Step(24, 2'000);
    lasting.lasting = true;
    AddJob(shard_, kNow, Record("lasting", "lasting", lasting, kNow)).accepted =
        true;
    for (Duration at{0}; at < Duration(20'000); at += kStep) AddCallers(at);
  }

  void Run() {
    for (Duration at{0}; at < Duration(90'000); at += kStep) {
      const MonotonicTime now = kNow + at;
      shard_.ownership_proven_at = now;
      for (Caller& it : callers_) {
        if (it.next_try_at == now) Submit(it, now);
      }
      Place(shard_, now);
      Report(now, crunch_ && at >= Duration(5'000));
    }
  }

  Outcome Count(const std::string& queue, bool large_only) const {
    Outcome out;
    for (const Caller& it : callers_) {
      if (it.record.spec.queue != QueueId(queue)) continue;
      if (large_only && !it.large) continue;
      ++out.jobs;
      out.rejections += it.rejections;
      if (!it.done) continue;
      ++out.done;
      if (it.done_at - it.first_seen_at <= it.objective) ++out.on_time;
    }
    return out;
  }

  /// Rejections while a VM had room for the job.
  int rejections_with_room() const { return rejections_with_room_; }
  const std::deque<Caller>& callers() const { return callers_; }

 private:
  void AddCallers(Duration at) {
    const auto within = [&](int64_t from, int64_t to) {
      return crunch_ && at >= Duration(from) && at < Duration(to);
    };
    due_short_ += within(3'000, 13'000) ? 2.4 : 0.8;
    due_wide_ += within(6'000, 16'000) ? 0.2 : 0.08;
    for (; due_short_ >= 1; --due_short_) AddCaller("short", at);
    for (; due_wide_ >= 1; --due_wide_) AddCaller("wide", at);
  }

  void AddCaller(const std::string& queue, Duration at) {
    const int n = ++numbers_[queue];
    const bool large = n % 10 == 0;
    const uint32_t tasks = large ? 12 : 2 + n % 4;
    Caller caller;
    caller.record = Record(
        queue + std::to_string(n), queue,
        queue == "short" ? ShortStep(tasks) : WideStep(2 * tasks), kNow + at);
    caller.large = large;
    caller.first_seen_at = kNow + at;
    caller.next_try_at = kNow + at;
    callers_.push_back(caller);
  }

  void Submit(Caller& caller, MonotonicTime now) {
    caller.objective = MakeJob(shard_, now, caller.record).objective;
    if (admission_) {
      const AdmissionDecision decision =
          Decide(shard_, state_, caller.record, now);
      if (decision.rejected) {
        if (decision.room.has_free_vm) ++rejections_with_room_;
        ++caller.rejections;
        constexpr Duration kSecond{1'000};
        CHECK(decision.retry_after >= kSecond);
        if (caller.rejections <= 4)
          caller.next_try_at = now + decision.retry_after;
        return;
      }
    }
    AddJob(shard_, now, caller.record).accepted = true;
    caller.accepted = true;
  }

  void Report(MonotonicTime now, bool some_drain) {
    int number = 0;
    for (auto& [id, vm] : shard_.vms) {
      SyncRequest request;
      if (HasUnsentOrders(vm)) CollectOrders(shard_, vm, request);
      SyncReport report = sched::Report(vm, kVmCpu);
      report.stamp = AgentTime(now.time_since_epoch().count());
      report.worker.draining = some_drain && number++ >= kVms - kVms / 3;
      for (const auto& [task, run] : vm.runs) {
        const bool is_running = run.running_since != MonotonicTime{};
        const StepSpec* step = FindStep(shard_, task);
        const bool ends = is_running && !step->lasting &&
                          now - run.running_since >=
                              Duration(step->estimate_ms) / kOverstated;
        if (ends) {
          report.ends.push_back({vm.seen_end + report.ends.size() + 1, task,
                                 run.run, RunEnd::kDone, "", ""});
        } else {
          report.runs.push_back(Running(task, run.run));
        }
      }
      Decisions log;
      ApplyReport(shard_, now, vm, report, log);
    }
    for (Caller& it : callers_) {
      if (!it.accepted || it.done) continue;
      const JobEntity& job = shard_.jobs.at(it.record.spec.id);
      it.done = job.state == JobState::kCompleted;
      it.done_at = now;
    }
  }

  bool admission_;
  bool crunch_;
  ShardState shard_ = NewBoard();
  AdmissionState state_;
  std::deque<Caller> callers_;
  std::map<std::string, int> numbers_;
  double due_short_ = 0;
  double due_wide_ = 0;
  int rejections_with_room_ = 0;
};

TEST_CASE("under the usual load no job is rejected") {
  Play play(true, false);
  play.Run();
  CHECK(play.Count("short", false).rejections == 0);
  CHECK(play.Count("wide", false).rejections == 0);
}

TEST_CASE(
    "in a crunch, late jobs are rejected, and callers lose nothing by it") {
  Play with(true, true);
  with.Run();
  Play without(false, true);
  without.Run();
  const Outcome wide = with.Count("wide", false);
  MESSAGE("short: ", with.Count("short", false).on_time, " instead of ",
          without.Count("short", false).on_time, " of ",
          with.Count("short", false).jobs, " on time; wide: ", wide.on_time,
          " instead of ", without.Count("wide", false).on_time, " of ",
          wide.jobs, "; rejections: ", with.Count("short", false).rejections,
          " and ", wide.rejections);
  CHECK(with.Count("short", false).rejections + wide.rejections > 0);
  CHECK(with.rejections_with_room() == 0);
  CHECK(with.Count("short", false).on_time >=
        without.Count("short", false).on_time);
  CHECK(wide.on_time >= without.Count("wide", false).on_time);
  // What was accepted was done.
  for (const Caller& it : with.callers()) {
    if (it.accepted) CHECK(it.done);
  }
}

TEST_CASE("in a crunch, the largest jobs keep being served") {
  Play play(true, true);
  play.Run();
  for (const std::string queue : {"short", "wide"}) {
    const Outcome all = play.Count(queue, false);
    const Outcome large = play.Count(queue, true);
    CHECK(2 * large.done * all.jobs >= all.done * large.jobs);
  }
}

TEST_CASE("a job that surely ends too late is rejected, to come back later") {
  ShardState shard = NewBoard();
  AddVm(shard, "a");
  Overload(shard, 20);
  AdmissionState state;
  LearnSizes(state, "wide");
  const AdmissionDecision decision =
      Decide(shard, state, Record("j", "wide", WideStep(4), kNow));
  CHECK(decision.rejected);
  CHECK(decision.needed > decision.left);
  CHECK(decision.retry_after >= Duration(1'000));
}

TEST_CASE("a job is not rejected") {
  ShardState shard = NewBoard();
  AddVm(shard, "a");
  Overload(shard, 20);
  AdmissionState state;
  LearnSizes(state, "wide");
  JobRecord record = Record("j", "wide", WideStep(4), kNow);
  SUBCASE("while a VM has room") { AddVm(shard, "b"); }
  SUBCASE("if it is lasting") { record.spec.steps[0].lasting = true; }
  SUBCASE("if it is due later") { record.spec.occurrences = 2; }
  SUBCASE("if no VM has its label") {
    record.spec.steps[0].required_label = "nobody";
  }
  SUBCASE("if no VM is large enough") {
    record.spec.steps[0].each = Size(2 * kVmCpu);
  }
  SUBCASE("while runs of an earlier planner may be unknown") {
    VmEntity& vm = shard.vms[VmId("silent")];
    vm.awaiting_first_sync = true;
    shard.ownership_proven_at = kNow;
  }
  SUBCASE("while the sizes of its queue are not known") {
    state.queues.clear();
  }
  CHECK_FALSE(Decide(shard, state, record).rejected);
}

TEST_CASE("the time of a rejected caller counts from the first attempt") {
  ShardState shard = NewBoard();
  AddVm(shard, "a");
  Overload(shard, 20);
  AdmissionState state;
  LearnSizes(state, "wide");
  const JobRecord record = Record("j", "wide", WideStep(4), kNow);
  REQUIRE(Decide(shard, state, record).rejected);
  const MonotonicTime later = kNow + Duration(2'000);
  AddVm(shard, "b");
  const AdmissionDecision decision = Decide(shard, state, record, later);
  CHECK_FALSE(decision.rejected);
  CHECK(decision.first_seen_at == kNow);
  CHECK(state.rejected.empty());
}

TEST_CASE("rejected callers do not come back all at once") {
  ShardState shard = NewBoard();
  AddVm(shard, "a");
  Overload(shard, 20);
  AdmissionState state;
  LearnSizes(state, "wide");
  std::map<Duration, int> callers;
  for (int i = 0; i < 30; ++i) {
    const auto decision =
        Decide(shard, state,
               Record("j" + std::to_string(i), "wide", WideStep(2), kNow));
    if (decision.rejected) ++callers[decision.retry_after];
  }
  CHECK(callers.size() >= 3);
}

TEST_CASE("callers who are due back count as work ahead of new ones") {
  ShardState shard = NewBoard();
  AddVm(shard, "a");
  Overload(shard, 20);
  AdmissionState state;
  LearnSizes(state, "wide");
  const JobRecord back = Record("back", "wide", WideStep(2), kNow);
  REQUIRE(Decide(shard, state, back).rejected);
  state.rejected.at(JobId("back")).due_back_at = kNow;
  const auto returning = Decide(shard, state, back);
  state.rejected.at(JobId("back")).due_back_at = kNow;
  const auto fresh =
      Decide(shard, state, Record("new", "wide", WideStep(2), kNow));
  CHECK(fresh.needed > returning.needed);
}

TEST_CASE("decisions do not flap") {
  ShardState shard = NewBoard();
  AddVm(shard, "a");
  Overload(shard, 20);
  AdmissionState state;
  LearnSizes(state, "wide");
  JobRecord record = Record("a", "wide", WideStep(2), kNow);
  const auto first = Decide(shard, state, record);
  REQUIRE(first.rejected);
  CHECK(first.rejecting_changed);
  // A job that exceeds its limit by less than a quarter.
  record.spec.id = JobId("b");
  const double objective_ms = static_cast<double>(first.needed.count()) / 3.3;
  record.terms.stretch = 0;
  record.terms.latency_target_ms = static_cast<int64_t>(objective_ms);
  CHECK(Decide(shard, state, record).rejected);
  state.queues[QueueId("wide")].rejecting = false;
  state.rejected.clear();
  record.spec.id = JobId("c");
  CHECK_FALSE(Decide(shard, state, record).rejected);
}

}  // namespace
}  // namespace almondtally::sched
