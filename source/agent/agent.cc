#include "agent/agent.h"

#include <algorithm>
#include <utility>

#include "agent/tail_guard.h"
#include "base/log.h"
#include "base/random.h"
#include "sched/shard_state.h"

namespace almondtally::sched {
namespace {

constexpr Duration kTickInterval{20};
/// Pause after a renewal that returned unrecorded ends. The worker answers at
/// once while there are any, so renewals would otherwise run in a tight loop.
constexpr Duration kRenewPause{15};
constexpr Duration kRenewRetryDelay{100};
constexpr const char* kShard = "shard-0";
constexpr int kOk = 200;
constexpr int kBadRequest = 400;

}  // namespace

Agent::Agent(EventLoop& loop, const Store& store, Metrics& metrics,
             WorkerCalls worker, AgentSettings settings)
    : loop_(loop),
      store_(store),
      metrics_(metrics),
      worker_(std::move(worker)),
      settings_(std::move(settings)) {
  Random random = SeededFromSystem();
  // Less than 64 bits, so that every codec preserves the value exactly.
  constexpr int kUnusedLifeBits = 12;
  table_.life = AgentIncarnation((random() >> kUnusedLifeBits) | 1);
  table_.started_at = loop_.now();
  table_.max_worker_lease = settings_.max_worker_lease;
  BeginRegistration(table_, loop_.now());
}

void Agent::Start() {
  loop_.RunEvery(kTickInterval, [this] { Tick(); });
}

StoreKey Agent::RowKey() const {
  return {table::kAgents, kShard, settings_.vm.value};
}

void Agent::Register() {
  switch (NextRegistrationStep(registration_, table_, loop_.now())) {
    case RegistrationStep::kNone:
      return;
    case RegistrationStep::kReadRow:
      return ReadAgentRow();
    case RegistrationStep::kWriteRow:
      return WriteAgentRow();
    case RegistrationStep::kReadHead:
      return ReadHead();
  }
}

void Agent::ReadAgentRow() {
  registration_.call_in_flight = true;
  store_.read(
      table::kAgents, kShard, settings_.vm.value,
      [this](const std::optional<StoreRows>& rows, const PlatformReason&) {
        FinishRowRead(registration_, table_, loop_.now(), rows, RowKey());
        Register();
      });
}

void Agent::WriteAgentRow() {
  const RowContent content = BeginRowWrite(registration_, table_);
  StoreTransaction rows;
  rows.checks.push_back({RowKey(), registration_.row_version});
  rows.puts.push_back(
      {RowKey(),
       EncodeRow(AgentRow{ToString(settings_.peer), settings_.data_centre,
                          content.former_lease_ms, content.drained})});
  store_.commit(rows, [this, content](const StoreCommitResult& result) {
    FinishRowWrite(registration_, loop_.now(), content, result);
    if (!registration_.row_written) {
      return Log(Event::kStoreLost, {{"reason", result.text}});
    }
    Log(Event::kAgentListed,
        {{"vm", settings_.vm.value},
         {"row_version", static_cast<int64_t>(result.version.value)},
         {"former_lease_ms", content.former_lease_ms},
         {"drained", content.drained ? "yes" : "no"}});
    Register();
  });
}

void Agent::ReadHead() {
  registration_.call_in_flight = true;
  store_.read(
      table::kHead, kShard, kHeadKey,
      [this](const std::optional<StoreRows>& rows, const PlatformReason&) {
        const PlannerEpoch previous_epoch = table_.epoch;
        const bool was_recorded = table_.former_lease_recorded;
        FinishHeadRead(registration_, table_, loop_.now(), rows);
        if (table_.epoch != previous_epoch) LogPlanner(previous_epoch);
        if (table_.former_lease_recorded && !was_recorded) {
          Log(Event::kFormerLeaseRecorded,
              {{"worker", table_.worker.id.value},
               {"lease_left_ms",
                (*table_.leases.taken_until - loop_.now()).count()},
               {"epoch", static_cast<int64_t>(table_.epoch.value)}});
        }
        AnswerPendingSyncs();
      });
}

void Agent::LogPlanner(PlannerEpoch previous_epoch) const {
  Log(Event::kPlannerHeard,
      {{"planner", table_.planner},
       {"epoch", static_cast<int64_t>(table_.epoch.value)},
       {"was", static_cast<int64_t>(previous_epoch.value)}});
}

void Agent::HandleSync(const Exchange& exchange) {
  WireReason why;
  const auto request = DecodeMessage<SyncRequest>(exchange.request().body, why);
  if (!request) {
    Log(Event::kPeerGarbage, {{"path", path::kSync}, {"reason", why.text}});
    metrics_.CountBadInput();
    return exchange.Answer(kBadRequest, {}, why.text);
  }
  const PlannerEpoch previous_epoch = table_.epoch;
  const bool was_evacuated = table_.evacuation.evacuated;
  const bool current = ApplySyncRequest(table_, loop_.now(), *request);
  if (table_.epoch != previous_epoch) LogPlanner(previous_epoch);
  if (table_.evacuation.evacuated != was_evacuated) {
    Log(Event::kVmEvacuated,
        {{"data_centre", settings_.data_centre.value},
         {"evacuated", was_evacuated ? "no" : "yes"},
         {"row_version", static_cast<int64_t>(table_.evacuation.as_of.value)},
         {"epoch", static_cast<int64_t>(request->epoch.value)}});
  }
  SendWorkerCalls();
  if (!current || request->wait_ms == 0 ||
      HasUnreportedChanges(table_, *request)) {
    Answer(exchange, *request);
  } else {
    pending_syncs_.push_back(
        {exchange, *request, loop_.now() + Duration(request->wait_ms)});
  }
  AnswerPendingSyncs();
}

void Agent::Answer(const Exchange& exchange, const SyncRequest& request) {
  exchange.Answer(kOk, {},
                  EncodeMessage(MakeReport(table_, loop_.now(), request)));
}

void Agent::AnswerPendingSyncs() {
  const MonotonicTime now = loop_.now();
  for (auto it = pending_syncs_.begin(); it != pending_syncs_.end();) {
    if (it->exchange.closed()) {
      it = pending_syncs_.erase(it);
      continue;
    }
    const bool due = now >= it->answer_by ||
                     HasUnreportedChanges(table_, it->request) ||
                     it->request.epoch < table_.epoch;
    if (!due) {
      ++it;
      continue;
    }
    const PendingSync done = std::move(*it);
    it = pending_syncs_.erase(it);
    Answer(done.exchange, done.request);
  }
}

void Agent::LogWorker() const {
  Log(Event::kWorkerHeard,
      {{"worker", table_.worker.id.value},
       {"born_ms", table_.worker_born_ms},
       {"cpu_milli", table_.worker.capacity.cpu.value},
       {"memory_mb", table_.worker.capacity.memory.value}});
}

void Agent::LogFormerLease() const {
  Log(Event::kFormerLease,
      {{"worker", table_.worker.id.value},
       {"born_ms", table_.worker_born_ms},
       {"lease_left_ms", (*table_.leases.taken_until - loop_.now()).count()},
       {"runs", static_cast<int64_t>(table_.runs.size())}});
}

void Agent::HandleWorkerHello(const WorkerHello& hello) {
  const bool was_draining = table_.worker.draining;
  const bool was_unproven = table_.unproven_hello.has_value();
  const bool is_new_worker = ReceiveWorkerHello(table_, loop_.now(), hello);
  if (is_new_worker) {
    ++renewal_generation_;
    renewal_in_flight_ = false;
    LogWorker();
  }
  if (table_.unproven_hello && !was_unproven) {
    Log(Event::kWorkerUnproven, {{"worker", hello.worker.id.value},
                                 {"born_ms", hello.born_ms},
                                 {"was", table_.worker.id.value}});
  }
  if (table_.worker.draining && !was_draining) {
    Log(Event::kWorkerDraining, {{"worker", hello.worker.id.value},
                                 {"remaining_ms", hello.worker.remaining_ms}});
  }
  Register();
  Renew();
  AnswerPendingSyncs();
}

void Agent::HandleWorkerLeave(const WorkerId& worker) {
  Log(Event::kWorkerLeft, {{"worker", worker.value}});
  if (worker != table_.worker.id) return;
  WorkerHello hello;
  hello.worker = table_.worker;
  hello.worker.draining = true;
  HandleWorkerHello(hello);
}

void Agent::Renew() {
  if (renewal_in_flight_) {
    const bool is_waiting = renewal_wait_end_ > loop_.now();
    // A renewal that waits for an end is superseded if an immediate one is
    // needed.
    if (!table_.renew_immediately || !is_waiting) return;
    ++renewal_generation_;
  }
  if (!table_.renew_immediately && loop_.now() < next_renewal_at_) return;
  const auto call = BeginRenewal(table_, loop_.now());
  if (!call) return;
  renewal_in_flight_ = true;
  renewal_wait_end_ = loop_.now() + call->wait;
  const uint64_t generation = ++renewal_generation_;
  worker_.renew(
      call->call, call->recorded, call->wait,
      [this, call = *call, generation](std::optional<WorkerListing> listing,
                                       const CallResult& result) {
        if (generation != renewal_generation_) return;
        renewal_in_flight_ = false;
        const bool was_responsive = table_.worker.responsive;
        const bool had_former_lease = table_.has_former_lease;
        const int64_t born_before_ms = table_.worker_born_ms;
        const MonotonicTime now = loop_.now();
        if (listing) {
          ApplyWorkerListing(table_, now, call, *listing);
          const bool unrecorded =
              table_.worker_end_seen > table_.worker_end_recorded;
          next_renewal_at_ = unrecorded ? now + kRenewPause : now;
        } else {
          HandleRenewalFailure(table_, now, call, result);
          next_renewal_at_ = now + kRenewRetryDelay;
        }
        LogSettledStarts();
        if (table_.has_former_lease && !had_former_lease) LogFormerLease();
        Register();
        const bool is_new_worker = table_.worker.id != call.call.worker ||
                                   table_.worker_born_ms != born_before_ms;
        if (is_new_worker) LogWorker();
        if (was_responsive != table_.worker.responsive) {
          Log(Event::kWorkerSilent,
              {{"worker", call.call.worker.value},
               {"responsive", table_.worker.responsive ? "yes" : "no"},
               {"reason", result.text}});
        }
        SendWorkerCalls();
        AnswerPendingSyncs();
        Renew();
      });
}

void Agent::ReportCallResult(const char* what, const TaskKey& task,
                             RunNumber run, const CallResult& result,
                             const WorkerCall& call) {
  metrics_.CountTaskEvent(
      std::string(what) +
      (result.outcome == CallOutcome::kOk ? "_ok" : "_failed"));
  if (result.outcome == CallOutcome::kOk) return;
  Log(Event::kWorkerCallFailed,
      {{"call", what},
       {"task", ToString(task)},
       {"run", static_cast<int64_t>(run.value)},
       {"worker", call.worker.value},
       {"born_ms", table_.worker_born_ms},
       {"fencing", static_cast<int64_t>(call.fencing)},
       {"outcome", static_cast<int64_t>(result.outcome)},
       {"reason", result.text}});
}

void Agent::LogSettledStarts() {
  for (const SettledStart& it : std::exchange(table_.settled_starts, {})) {
    Log(Event::kStartSettled,
        {{"task", ToString(it.task)},
         {"run", static_cast<int64_t>(it.run.value)},
         {"worker", table_.worker.id.value},
         {"fencing", static_cast<int64_t>(it.call_fencing)},
         {"outcome", it.outcome},
         {"age_ms", it.age.count()}});
  }
}

void Agent::LogHeldRuns() {
  for (const HeldRunNote& it : std::exchange(table_.held_run_notes, {})) {
    Log(Event::kRunHeld, {{"task", ToString(it.task)},
                          {"run", static_cast<int64_t>(it.run.value)},
                          {"worker", table_.worker.id.value},
                          {"left_ms", it.left.count()}});
  }
}

void Agent::LogLapses() {
  constexpr int64_t kNoLease = -1;
  const auto in_ms = [](const std::optional<Duration>& time) {
    return time ? time->count() : kNoLease;
  };
  for (const LapseNote& it : std::exchange(table_.lapse_notes, {})) {
    Log(Event::kRunsLapsed, {{"worker", table_.worker.id.value},
                             {"born_ms", table_.worker_born_ms},
                             {"runs", it.runs},
                             {"since_sent_ms", in_ms(it.since_sent)},
                             {"since_taken_ms", in_ms(it.since_taken)},
                             {"age_ms", it.age.count()}});
  }
}

void Agent::LogDraining() {
  const char* const reason =
      table_.worker.draining ? WhyNotDrained(table_) : nullptr;
  if (std::exchange(not_drained_reason_, reason) == reason) return;
  if (reason == nullptr) return;
  Log(Event::kNotYetDrained,
      {{"worker", table_.worker.id.value}, {"reason", reason}});
}

void Agent::LogMissedTargets() {
  for (const PaceNote& it : std::exchange(table_.pace_notes, {})) {
    Log(Event::kPauseConfirmed, {{"task", ToString(it.task)},
                                 {"run", static_cast<int64_t>(it.run.value)},
                                 {"percent", it.percent},
                                 {"told_ms", it.requested_for.count()},
                                 {"sent_ms", it.sent_for.count()},
                                 {"missed_ms", it.missed_for.count()}});
  }
  for (const HoldNote& it : std::exchange(table_.hold_notes, {})) {
    if (it.holds) ++filler_holds_;
    Log(Event::kFillersHeld,
        {{"held", it.holds ? "yes" : "no"},
         {"fillers", it.fillers},
         {"missed_ms", it.missed_for.count()},
         {"planner_age_ms", (loop_.now() - table_.last_grant_at).count()}});
  }
  for (const LongMissNote& it : std::exchange(table_.long_misses, {})) {
    ++targets_missed_long_;
    Log(Event::kTargetMissedLong, {{"task", ToString(it.task)},
                                   {"run", static_cast<int64_t>(it.run.value)},
                                   {"tail_ms", it.tail_ms},
                                   {"target_ms", it.target_ms},
                                   {"missed_ms", it.missed_for.count()},
                                   {"fillers_at_work", it.fillers_at_work}});
  }
}

void Agent::SendWorkerCalls() {
  const MonotonicTime now = loop_.now();
  for (const StartCall& it : BeginStartCalls(table_, now)) {
    worker_.start(it.call, it.start, [this, it](const CallResult& result) {
      ReportCallResult("start", it.start.task, it.start.run, result, it.call);
      FinishStartCall(table_, loop_.now(), it, result);
      Renew();
      AnswerPendingSyncs();
    });
  }
  for (const StopCall& it : BeginStopCalls(table_, now)) {
    worker_.stop(it.call, it.task, it.run,
                 [this, it](const CallResult& result) {
                   ReportCallResult("stop", it.task, it.run, result, it.call);
                   FinishStopCall(table_, loop_.now(), it, result);
                   Renew();
                   AnswerPendingSyncs();
                 });
  }
  for (const PaceCall& it : BeginPaceCalls(table_, now)) {
    worker_.pace(it.call, it.task, it.run, it.percent,
                 [this, it](const CallResult& result) {
                   ReportCallResult("pace", it.task, it.run, result, it.call);
                   FinishPaceCall(table_, loop_.now(), it, result);
                   AnswerPendingSyncs();
                 });
  }
}

void Agent::Tick() {
  ExpireLeases(table_, loop_.now());
  LogSettledStarts();
  LogHeldRuns();
  LogLapses();
  LogDraining();
  Renew();
  SendWorkerCalls();
  LogMissedTargets();
  Register();
  AnswerPendingSyncs();
}

void Agent::UpdateMetrics() {
  const MonotonicTime now = loop_.now();
  const auto set = [&](const char* name, auto value) {
    metrics_.SetGauge(name, static_cast<double>(value));
  };
  set("runs", table_.runs.size());
  set("ends_unrecorded", table_.ends.size());
  set("lease_left_ms", (table_.lease_until - now).count());
  set("planner_age_ms", (now - table_.last_grant_at).count());
  set("worker_responsive", table_.worker.responsive ? 1 : 0);
  set("epoch", table_.epoch.value);
  set("target_missed_longest_ms", LongestMiss(table_, now).count());
  set("filler_holds", filler_holds_);
  set("targets_missed_beside_fillers", targets_missed_long_);
  set("evacuated", table_.evacuation.evacuated ? 1 : 0);
  set("evacuation_refusals", table_.evacuation_refusals);
}

}  // namespace almondtally::sched
