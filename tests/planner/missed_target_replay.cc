#include "planner/missed_target_replay.h"

#include <algorithm>
#include <numeric>
#include <string>
#include <utility>

#include "sched/shard_state_builder.h"

namespace almondtally::sched {
namespace {

constexpr Duration kStep{5};
constexpr Duration kAgentTick{20};
constexpr Duration kPassInterval{50};
constexpr Duration kLongPoll{500};
constexpr Duration kRequestTimeout{1'000};
/// The platform's own times: a limit takes effect, a measure is the mean of.
constexpr Duration kPaceTime{100};
constexpr Duration kMeasureWindow{500};
constexpr Duration kCallTime{10};
constexpr Duration kCallTimeout{250};
constexpr Duration kRenewalTime{300};
constexpr Duration kSettling{6'000};
constexpr int64_t kTargetMs = 18;
constexpr int64_t kCalmTailMs = 10;
constexpr int64_t kDisturbedTailMs = 22;
const JobId kServing{"web"};

StepSpec ServingStep() {
  StepSpec step = Step(1, 8'000);
  step.lasting = true;
  step.image = "web";
  step.tail_target_ms = kTargetMs;
  return step;
}

StepSpec FillerStep(uint32_t count) {
  StepSpec step = Step(count, 4'000);
  step.filler = true;
  step.image = "batch";
  return step;
}

}  // namespace

MissedTargetReplay::MissedTargetReplay(uint32_t fillers)
    : first_fillers_(fillers) {
  RestartAgent();
  StartPlanner();
  Advance(kSettling);
  longest_miss_ = {};
  time_paused_ = {};
}

void MissedTargetReplay::After(Duration delay, std::function<void()> fn) {
  timers_.push_back({now_ + delay, std::move(fn)});
}

void MissedTargetReplay::Advance(Duration by) {
  const MonotonicTime end = now_ + by;
  while (now_ < end) {
    now_ += kStep;
    std::vector<Timer> due;
    std::erase_if(timers_, [&](Timer& it) {
      if (it.due_at > now_) return false;
      due.push_back(std::move(it));
      return true;
    });
    for (const Timer& it : due) it.fn();
    StepWorker();
    const bool is_tick = now_.time_since_epoch() % kAgentTick == Duration(0);
    if (is_tick) StepAgent();
    StepPlanner();
  }
}

bool MissedTargetReplay::IsServing(const TaskKey& task) const {
  return task.job == kServing;
}

bool MissedTargetReplay::AreFillersAtWork() const {
  return std::any_of(on_worker_.begin(), on_worker_.end(), [&](const auto& it) {
    return !IsServing(it.first) && it.second.pace > 0;
  });
}

void MissedTargetReplay::StepWorker() {
  for (auto& [task, run] : on_worker_) {
    if (!run.next_pace || now_ < run.next_pace_at) continue;
    run.pace = *run.next_pace;
    run.next_pace.reset();
  }
  const bool at_work = AreFillersAtWork();
  const int64_t tail = disturbed && at_work ? kDisturbedTailMs : kCalmTailMs;
  tails_.push_back(tail);
  if (static_cast<int64_t>(tails_.size()) > kMeasureWindow / kStep) {
    tails_.pop_front();
  }
  if (tail <= kTargetMs) over_since_ = {};
  if (tail > kTargetMs && over_since_ == MonotonicTime{}) over_since_ = now_;
  const bool is_harmed = at_work && over_since_ != MonotonicTime{};
  if (is_harmed) longest_miss_ = std::max(longest_miss_, now_ - over_since_);
  if (!at_work) time_paused_ += kStep;
}

WorkerListing MissedTargetReplay::List() {
  WorkerListing out;
  out.clock_ms = now_.time_since_epoch().count();
  out.born_ms = 100;
  const int64_t sum = std::accumulate(tails_.begin(), tails_.end(), int64_t{0});
  const bool is_wrong = wrong_listings > 0;
  if (is_wrong) --wrong_listings;
  for (const auto& [task, run] : on_worker_) {
    WorkerRun it;
    it.task = task;
    it.run = run.run;
    it.percent = 10;
    it.measurement = 4'000;
    if (IsServing(task)) {
      it.measurement = is_wrong ? wrong_measure_ms
                                : sum / static_cast<int64_t>(tails_.size());
    }
    out.running.push_back(it);
  }
  return out;
}

void MissedTargetReplay::RestartAgent() {
  table_ = RunTable();
  table_.life = AgentIncarnation(++agents_);
  table_.started_at = now_;
  held_polls_.clear();
  renewal_in_flight_ = false;
  WorkerHello hello;
  hello.worker.id = WorkerId("w");
  hello.worker.service = kPool;
  hello.worker.capacity = Size(32'000, 100'000);
  hello.born_ms = 100;
  ApplyWorkerHello(table_, now_, hello);
}

void MissedTargetReplay::StepAgent() {
  const AgentIncarnation life = table_.life;
  ExpireLeases(table_, now_);
  if (!renewal_in_flight_) {
    if (const auto renewal = BeginRenewal(table_, now_)) {
      renewal_in_flight_ = true;
      const bool waits = renewal->wait > Duration(0);
      After(waits ? kRenewalTime : kCallTime, [this, life, call = *renewal] {
        if (life != table_.life) return;
        renewal_in_flight_ = false;
        ApplyWorkerListing(table_, now_, call, List());
      });
    }
  }
  for (const StartCall& call : BeginStartCalls(table_, now_)) {
    const bool is_lost = !IsServing(call.start.task) && lost_start_answers > 0;
    if (is_lost) --lost_start_answers;
    on_worker_[call.start.task] = {call.start.run};
    After(is_lost ? kCallTimeout : kCallTime, [this, life, call, is_lost] {
      if (life != table_.life) return;
      CallResult result;
      if (is_lost) result = {CallOutcome::kUnknown, "timeout"};
      FinishStartCall(table_, now_, call, result);
    });
  }
  for (const StopCall& call : BeginStopCalls(table_, now_)) {
    on_worker_.erase(call.task);
    FinishStopCall(table_, now_, call, {});
  }
  for (const PaceCall& call : BeginPaceCalls(table_, now_)) {
    const bool is_pause = call.percent == 0;
    const bool is_lost = is_pause && lost_pauses > 0;
    const bool is_unanswered = is_pause && lost_pause_answers > 0;
    if (is_lost) --lost_pauses;
    if (is_unanswered && !is_lost) --lost_pause_answers;
    const auto run = on_worker_.find(call.task);
    if (!is_lost && run != on_worker_.end() && run->second.run == call.run) {
      run->second.next_pace = call.percent;
      run->second.next_pace_at = now_ + kPaceTime;
    }
    const bool is_answered = !is_lost && !is_unanswered;
    After(is_answered ? kCallTime : kCallTimeout,
          [this, life, call, is_answered] {
            if (life != table_.life) return;
            CallResult result;
            if (!is_answered) result = {CallOutcome::kUnknown, "timeout"};
            FinishPaceCall(table_, now_, call, result);
          });
  }
  AnswerPolls();
}

void MissedTargetReplay::StartPlanner() {
  planner_.emplace(NewBoard());
  planner_->epoch = PlannerEpoch(++epoch_);
  planner_->last_earlier_proof_at = now_;
  planner_->tail_limit = kTailLimit;
  AcceptJob(*planner_, kServing.value, {ServingStep()});
  AcceptJob(*planner_, "batch", {FillerStep(first_fillers_)});
  for (uint32_t i = 0; i < filler_jobs_; ++i) {
    AcceptJob(*planner_, "more-" + std::to_string(i), {FillerStep(1)});
  }
  for (auto& [id, job] : planner_->jobs) job.loaded_from_store = true;
  VmEntity& vm = planner_->vms[VmId("vm")];
  vm.id = VmId("vm");
  vm.listed_at = now_;
  vm.awaiting_first_sync = true;
  poll_in_flight_ = false;
}

void MissedTargetReplay::AddFiller() {
  AcceptJob(*planner_, "more-" + std::to_string(filler_jobs_++),
            {FillerStep(1)});
}

SyncRequest MissedTargetReplay::MakeRequest() const {
  const VmEntity& vm = planner_->vms.at(VmId("vm"));
  SyncRequest out;
  out.epoch = planner_->epoch;
  out.life = vm.reporting_incarnation;
  out.worker = vm.worker.id;
  out.fencing_base = FencingBase(*planner_, vm);
  out.tail_limit_ms = kTailLimit.count();
  if (vm.reporting_incarnation != vm.life) return out;
  out.seen_version = vm.synced ? vm.seen_version : 0;
  out.seen_end = vm.seen_end;
  out.ends_recorded = vm.ends_recorded;
  out.stamp = vm.stamp;
  out.grant_ms = kLeaseGrantDuration.count();
  return out;
}

void MissedTargetReplay::StepPlanner() {
  if (!planner_) return;
  planner_->ownership_proven_at = now_;
  if (poll_in_flight_ && now_ - poll_sent_at_ > kRequestTimeout) {
    poll_in_flight_ = false;
  }
  if (!poll_in_flight_) {
    poll_in_flight_ = true;
    poll_sent_at_ = now_;
    SyncRequest request = MakeRequest();
    request.wait_ms = vm().synced ? kLongPoll.count() : 0;
    Exchange(request, true);
  }
  if (now_ >= next_pass_at_) RunPlanningPass();
}

void MissedTargetReplay::RunPlanningPass() {
  next_pass_at_ = now_ + kPassInterval;
  Decisions log;
  ExpireVmLeases(*planner_, now_, log);
  StopRunsToMove(*planner_, now_, log);
  PlaceTasks(*planner_, now_, log);
  UpdateFillerSpeedLimits(*planner_, now_, log);
  if (vm().batch_in_flight || !HasUnsentOrders(vm())) return;
  SyncRequest request = MakeRequest();
  CollectOrders(*planner_, vm(), request);
  vm().batch_in_flight = true;
  const uint64_t epoch = epoch_;
  Exchange(request, false);
  After(kRequestTimeout, [this, epoch, batch = request.batch] {
    if (!planner_ || epoch != epoch_) return;
    if (!vm().batch_in_flight || vm().batch_sent != batch) return;
    vm().batch_in_flight = false;
    MarkOrdersUnsent(vm(), batch);
  });
}

void MissedTargetReplay::Exchange(const SyncRequest& request, bool is_poll) {
  if (link_cut) return;
  After(message_time, [this, request, is_poll] {
    const bool is_current = ApplySyncRequest(table_, now_, request);
    const bool answers_now = !is_poll || !is_current || request.wait_ms == 0 ||
                             HasUnreportedChanges(table_, request);
    if (answers_now) return Answer(request, is_poll);
    held_polls_.push_back(request);
    After(kLongPoll, [this, request] {
      const auto it = std::find_if(
          held_polls_.begin(), held_polls_.end(), [&](const SyncRequest& held) {
            return held.stamp == request.stamp && held.epoch == request.epoch;
          });
      if (it == held_polls_.end()) return;
      held_polls_.erase(it);
      Answer(request, true);
    });
  });
}

void MissedTargetReplay::AnswerPolls() {
  for (const SyncRequest& request : std::exchange(held_polls_, {})) {
    if (HasUnreportedChanges(table_, request)) {
      Answer(request, true);
    } else {
      held_polls_.push_back(request);
    }
  }
}

void MissedTargetReplay::Answer(const SyncRequest& request, bool is_poll) {
  if (link_cut) return;
  // Through the encoding, as between processes.
  const nlohmann::json bytes = MakeReport(table_, now_, request);
  const auto report = bytes.get<SyncReport>();
  After(message_time, [this, report, is_poll, epoch = request.epoch.value] {
    HandleReport(report, is_poll, epoch);
  });
}

void MissedTargetReplay::HandleReport(const SyncReport& report, bool is_poll,
                                      uint64_t epoch) {
  if (!planner_ || epoch != epoch_) return;
  (is_poll ? poll_in_flight_ : vm().batch_in_flight) = false;
  Decisions log;
  ApplyReport(*planner_, now_, vm(), report, log);
  MarkChangesRecorded(*planner_, planner_->change);
  RunPlanningPass();
}

}  // namespace almondtally::sched
