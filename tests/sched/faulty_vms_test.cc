#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "sched/shard_state.h"
#include "sched/shard_state_builder.h"

namespace almondtally::sched {
namespace {

constexpr Duration kStep{10};
constexpr Duration kConfirmDelay{10};
/// Time until an agent knows that an unanswered start did not take effect.
constexpr Duration kUnansweredDelay{260};
constexpr Duration kReportInterval{500};
constexpr Duration kRunTime{1'000};
constexpr Duration kFaultTime{16'000};
constexpr Duration kArrivalInterval{100};
/// Orders that an agent may have received just before it fell silent cannot be
/// taken back before their lease has expired, so jobs arrive later.
constexpr Duration kBeforeArrivals{1'000};
/// Rule LOST: no job may be without a running task for longer while less than
/// half of the capacity is in use.
constexpr Duration kMaxWait{3'000};
constexpr int kVms = 11;
constexpr int kFaultyVms = 4;
constexpr int64_t kVmCpu = 8'000;

enum class VmFault : uint8_t { kStartsUnanswered, kAgentSilent };

/// A planner's state and the agents of its VMs, of which some are faulty.
class Simulation {
 public:
  explicit Simulation(VmFault fault) : fault_(fault) {
    for (int i = 0; i < kVms; ++i) {
      const std::string id = "vm" + std::to_string(100 + i);
      AddVm(shard_, id, kVmCpu);
      if (i < kFaultyVms) faulty_.insert(VmId(id));
    }
  }

  void Submit(const StepSpec& step) {
    const std::string id = "j" + std::to_string(submitted_at_.size());
    AcceptJob(shard_, id, {step});
    for (TaskEntity& task :
         shard_.jobs.at(JobId(id)).occurrences.at(0).steps[0].tasks) {
      task.since = now_;
    }
    submitted_at_[JobId(id)] = now_;
  }

  void Run(Duration time) {
    for (const MonotonicTime end = now_ + time; now_ < end; now_ += kStep) {
      Decisions log;
      shard_.ownership_proven_at = now_;
      ExpireVmLeases(shard_, now_, log);
      PlaceTasks(shard_, now_, log);
      for (auto& [id, vm] : shard_.vms) Exchange(vm, faulty_.contains(id));
    }
  }

  /// @return the longest time that a job has waited for its first run.
  Duration LongestWait() const {
    Duration out = longest_wait_;
    for (const auto& [job, at] : submitted_at_) {
      if (!started_.contains(job)) out = std::max(out, now_ - at);
    }
    return out;
  }

 private:
  /// Delivers the orders to the agent of a VM, and its report to the planner.
  void Exchange(VmEntity& vm, bool is_faulty) {
    if (is_faulty && fault_ == VmFault::kAgentSilent) return;
    if (HasUnsentOrders(vm)) {
      SyncRequest request;
      CollectOrders(shard_, vm, request);
      for (const StartOrder& order : request.starts) {
        ordered_[{vm.id, order.task}] = now_;
      }
    }
    SyncReport report = Report(vm, kVmCpu);
    report.stamp = AgentTime(now_.time_since_epoch().count());
    bool changed = now_ - vm.last_report_at >= kReportInterval;
    for (const auto& [task, run] : vm.runs) {
      const auto ordered = ordered_.find({vm.id, task});
      if (ordered == ordered_.end()) continue;
      const Duration age = now_ - ordered->second;
      if (is_faulty && age < kUnansweredDelay) continue;
      if (!is_faulty && age < kConfirmDelay) continue;
      if (is_faulty || age >= kRunTime + kConfirmDelay) {
        RunEndReport end;
        end.number = vm.seen_end + report.ends.size() + 1;
        end.task = task;
        end.run = run.run;
        end.end = is_faulty ? RunEnd::kNotStarted : RunEnd::kDone;
        if (is_faulty) end.reason = "start unanswered";
        report.ends.push_back(end);
        ordered_.erase(ordered);
        continue;
      }
      report.runs.push_back(Running(task, run.run));
      changed = changed || !run.seen;
      if (!started_.insert(task.job).second) continue;
      longest_wait_ =
          std::max(longest_wait_, now_ - submitted_at_.at(task.job));
    }
    if (!changed && report.ends.empty()) return;
    Decisions log;
    ApplyReport(shard_, now_, vm, report, log);
  }

  VmFault fault_;
  ShardState shard_ = NewBoard();
  MonotonicTime now_ = kNow;
  std::set<VmId> faulty_;
  std::map<std::pair<VmId, TaskKey>, MonotonicTime> ordered_;
  std::map<JobId, MonotonicTime> submitted_at_;
  std::set<JobId> started_;
  Duration longest_wait_{};
};

/// @return the longest wait of jobs of one kind that arrive during a fault of
/// some VMs, while the others have twice the capacity that is needed.
Duration LongestWait(VmFault fault, const StepSpec& step) {
  Simulation simulation(fault);
  simulation.Run(kBeforeArrivals);
  for (Duration t{0}; t < kFaultTime; t += kArrivalInterval) {
    simulation.Submit(step);
    simulation.Run(kArrivalInterval);
  }
  return simulation.LongestWait();
}

StepSpec Filler() {
  StepSpec step = Step(2, 1'000);
  step.filler = true;
  step.image = "batch";
  return step;
}

StepSpec Gang() {
  StepSpec step = Step(2, 1'000);
  step.gang = true;
  return step;
}

TEST_CASE("jobs run while some VMs answer no start") {
  const Duration waits[] = {
      LongestWait(VmFault::kStartsUnanswered, Step(2, 1'000)),
      LongestWait(VmFault::kStartsUnanswered, Filler()),
      LongestWait(VmFault::kStartsUnanswered, Gang())};
  for (const Duration wait : waits) CHECK(wait.count() <= kMaxWait.count());
}

TEST_CASE("jobs run while the agents of some VMs are silent") {
  const Duration waits[] = {LongestWait(VmFault::kAgentSilent, Step(2, 1'000)),
                            LongestWait(VmFault::kAgentSilent, Filler()),
                            LongestWait(VmFault::kAgentSilent, Gang())};
  for (const Duration wait : waits) CHECK(wait.count() <= kMaxWait.count());
}

}  // namespace
}  // namespace almondtally::sched
