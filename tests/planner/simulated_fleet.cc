#include "planner/simulated_fleet.h"

#include <algorithm>

namespace almondtally::sched {
namespace {

constexpr Duration kStep{5};
constexpr Duration kLinkDelay{2};
constexpr Duration kStoreDelay{3};
constexpr Duration kStoreTimeout{1'000};
constexpr Duration kFeedInterval{200};
constexpr int kPort = 7000;
const ServiceId kService{"pool"};

/// Reading of the processes' clocks at the start of the simulation.
constexpr Duration kClockAtStart{1'000'000};
constexpr int64_t kUnixMsAtStart = 1'800'000'000'000;
/// A worker shortens longer leases.
constexpr Duration kMaxHold{10'000};
/// How long a task of a gang waits for the others.
constexpr Duration kGangTimeout{3'000};
/// As in the agent.
constexpr Duration kRenewRetryDelay{100};
/// As in the agent's client of its worker.
constexpr Duration kWorkerCallTimeout{250};

bool PassesAnnouncements(WorkerLink link) {
  return link == WorkerLink::kUp || link == WorkerLink::kCarriedOutLate;
}

bool CanRead(StoreLink link) {
  return link == StoreLink::kUp || link == StoreLink::kAppliedLate;
}

/// @return the share of its work that a run has done, in percent; 100 for one
/// that runs until it is stopped.
int64_t PercentDone(const SimulatedRun& run, MonotonicTime now) {
  if (run.due_at == MonotonicTime::max()) return 100;
  return 100 * (now - run.started_at) /
         std::max(Duration(1), run.due_at - run.started_at);
}

/// @return the first task of the same step.
TaskKey FirstOfStep(TaskKey task) {
  task.index = 0;
  return task;
}

}  // namespace

JobCall MakeSubmission(const std::string& id, uint32_t tasks, MilliCpu each) {
  JobCall call;
  call.verb = JobVerb::kSubmit;
  call.job = JobId(id);
  call.queue = QueueId("q");
  call.spec.id = call.job;
  call.spec.queue = call.queue;
  call.spec.steps.resize(1);
  call.spec.steps[0].count = tasks;
  call.spec.steps[0].each = {each, Mebibytes(10), Accelerators(0)};
  call.terms.service = kService;
  return call;
}

SimulatedFleet::Entry::Entry(SimulatedFleet& fleet, size_t number,
                             uint64_t process)
    : process(process),
      links(loop),
      store(fleet.MakeStore(loop, EntryAddress(number))),
      planner(loop, links, store, fleet.metrics_,
              {EntryId("entry" + std::to_string(number)), EntryAddress(number),
               Duration(0), MilliCpu(0), Duration(120'000), kDefaultTailLimit,
               fleet.features_, [&fleet] { return fleet.unix_ms(); },
               fleet.max_evacuation_age_}),
      gateway(loop, links, planner) {
  fleet.StartClock(loop);
  links.SetTransport(
      [&fleet, number, process](const Address& to, const char* path,
                                const std::string& bytes, Duration timeout,
                                const PeerLinks::BytesCallback& fn) {
        fleet.Send(number, process, to, path, bytes, timeout, fn);
      });
  planner.Start();
}

SimulatedFleet::SimulatedFleet(size_t entries, size_t vms,
                               PlanningFeatures features,
                               Duration max_evacuation_age)
    : features_(features),
      max_evacuation_age_(max_evacuation_age),
      store_(memory_.Make()) {
  vms_.resize(vms);
  for (size_t i = 0; i < vms; ++i) {
    memory_.Apply(
        {{},
         {{{table::kAgents, "shard-0", VmIdOf(i).value},
           EncodeRow(AgentRow{ToString(AgentAddress(i)), DataCentreOf(i), 0})}},
         {}});
    vms_[i].worker.id = WorkerId("worker" + std::to_string(i));
    vms_[i].worker.born_at = now_;
    StartAgent(i);
    Agent& agent = *vms_[i].agent;
    agent.registration.row_read = true;
    agent.registration.row_written = true;
    agent.registration.row_version = RowVersion(memory_.version);
    agent.table.awaits_registration = false;
    agent.table.unanswered_lease_ms = 0;
    agent.table.former_lease_end_ms = 0;
    agent.table.earlier_starts_arrive_by.reset();
  }
  for (size_t i = 0; i < entries; ++i) {
    entries_.push_back(std::make_unique<Entry>(*this, i, ++last_process_));
  }
}

Address SimulatedFleet::EntryAddress(size_t entry) {
  return {"10.0.1." + std::to_string(entry + 1), kPort};
}

Address SimulatedFleet::AgentAddress(size_t vm) {
  return {"10.0.2." + std::to_string(vm + 1), kPort};
}

VmId SimulatedFleet::VmIdOf(size_t vm) {
  return VmId("vm" + std::to_string(vm));
}

DataCentreId SimulatedFleet::DataCentreOf(size_t vm) {
  return DataCentreId("dc" + std::to_string(vm));
}

void SimulatedFleet::Advance(Duration by) {
  for (const MonotonicTime end = now_ + by; now_ < end;) {
    now_ += kStep;
    DeliverHeldMessages();
    std::erase_if(late_commits_, [&](const LateCommit& it) {
      if (now_ < it.due_at) return false;
      memory_.Apply(it.rows);
      return true;
    });
    for (auto& entry : entries_) {
      almondtally::Advance(entry->loop.clock_for_tests(), kStep);
      if (!entry->frozen) entry->loop.RunDueTimers();
    }
    for (size_t i = 0; i < vms_.size(); ++i) {
      StepWorker(i);
      Agent& agent = *vms_[i].agent;
      almondtally::Advance(agent.loop.clock_for_tests(), kStep);
      if (agent.frozen) continue;
      agent.loop.RunDueTimers();
      StepAgent(i);
    }
  }
}

int64_t SimulatedFleet::unix_ms() const {
  return kUnixMsAtStart + now_.time_since_epoch().count();
}

void SimulatedFleet::StartClock(EventLoop& loop) const {
  Clock& clock = loop.clock_for_tests();
  Pause(clock);
  clock.paused_at = now_ + kClockAtStart;
}

void SimulatedFleet::CutBothWays(const Address& a, const Address& b) {
  Cut(a, b);
  Cut(b, a);
}

std::vector<size_t> SimulatedFleet::ListPlanners() const {
  std::vector<size_t> out;
  for (size_t i = 0; i < entries_.size(); ++i) {
    if (entries_[i]->planner.planning()) out.push_back(i);
  }
  return out;
}

void SimulatedFleet::Call(size_t entry, const JobCall& call, Duration timeout,
                          Planner::AnswerFn fn) {
  if (call.verb == JobVerb::kSubmit) specs_[call.job] = call.spec;
  EventLoop& loop = entries_[entry]->loop;
  loop.RunAfter(kLinkDelay, [this, call, timeout, fn = std::move(fn), entry,
                             process = entries_[entry]->process] {
    Entry* const it = FindEntry(entry, process);
    if (it != nullptr) it->gateway.Call(call, timeout, fn);
  });
}

void SimulatedFleet::RestartEntry(size_t entry) {
  ended_entries_.push_back(std::move(entries_[entry]));
  entries_[entry] = std::make_unique<Entry>(*this, entry, ++last_process_);
}

void SimulatedFleet::SetFrozen(const Address& process, bool frozen) {
  for (size_t i = 0; i < entries_.size(); ++i) {
    if (EntryAddress(i) == process) entries_[i]->frozen = frozen;
  }
  for (size_t i = 0; i < vms_.size(); ++i) {
    if (AgentAddress(i) == process) vms_[i].agent->frozen = frozen;
  }
}

void SimulatedFleet::SetWorkerLink(size_t vm, WorkerLink link) {
  const WorkerLink former = std::exchange(vms_[vm].link, link);
  if (former != WorkerLink::kUp || link == WorkerLink::kUp) return;
  Agent& agent = *vms_[vm].agent;
  if (!agent.renewal || agent.renewal_failure) return;
  // It has reached the worker, which waits for an end.
  CarryOut(vm, *agent.renewal);
  agent.renewal_failure = {CallOutcome::kUnknown, "cut"};
}

void SimulatedFleet::RestartAgent(size_t vm, RenewalOnItsWay renewal) {
  const Agent& former = *vms_[vm].agent;
  const bool on_its_way = former.renewal && !former.renewal_failure;
  if (on_its_way && renewal == RenewalOnItsWay::kCarriedOut)
    vms_[vm].late_calls.push_back({now_, *former.renewal});
  ended_agents_.push_back(std::move(vms_[vm].agent));
  StartAgent(vm);
}

void SimulatedFleet::RestartWorker(size_t vm, RenewalOnItsWay renewal) {
  Worker& worker = vms_[vm].worker;
  for (const auto& [task, index] : worker.running) {
    runs_[index].ended_at = now_;
    runs_[index].end = RunEnd::kWorkerLost;
    LeaveGang(index);
  }
  const WorkerId id = worker.id;
  worker = {};
  worker.id = id;
  worker.born_at = now_;
  Agent& agent = *vms_[vm].agent;
  if (agent.renewal && !agent.renewal_failure) {
    const RenewCall call = *std::exchange(agent.renewal, std::nullopt);
    if (renewal == RenewalOnItsWay::kCarriedOut) CarryOut(vm, call);
    HandleRenewalFailure(agent.table, agent.loop.now(), call,
                         {CallOutcome::kUnknown, "reset"});
  }
  vms_[vm].announced = false;
  Announce(vm);
}

size_t SimulatedFleet::CountRunning(size_t vm) const {
  return vms_[vm].worker.running.size();
}

// The store.

StoreLink SimulatedFleet::LinkToStore(const Address& process) const {
  const auto it = store_links_.find(process);
  return it == store_links_.end() ? StoreLink::kUp : it->second;
}

Store SimulatedFleet::MakeStore(EventLoop& loop, const Address& process) {
  Store out;
  out.commit = [this, &loop, process](const StoreTransaction& tx,
                                      const Store::CommitFn& fn) {
    if (LinkToStore(process) == StoreLink::kUnreachable) {
      loop.RunAfter(kStoreDelay, [fn] {
        fn({PlatformError::kUnreachable, {}, {}, "cut"});
      });
      return;
    }
    loop.RunAfter(kStoreDelay, [this, &loop, process, tx, fn] {
      if (LinkToStore(process) == StoreLink::kAppliedLate) {
        late_commits_.push_back({now_ + late_commit_delay_, tx});
        loop.RunAfter(kStoreTimeout, [fn] {
          fn({PlatformError::kUnknown, {}, {}, "late"});
        });
        return;
      }
      store_.commit(tx, [&](const StoreCommitResult& result) {
        const bool lost = LinkToStore(process) != StoreLink::kUp;
        loop.RunAfter(lost ? kStoreTimeout : kStoreDelay, [result, lost, fn] {
          fn(lost ? StoreCommitResult{PlatformError::kUnknown, {}, {}, "lost"}
                  : result);
        });
      });
    });
  };
  out.read = [this, &loop, process](
                 const std::string& table, const std::string& partition,
                 const std::string& from, const Store::ReadFn& fn) {
    loop.RunAfter(kStoreDelay, [this, &loop, process, table, partition, from,
                                fn] {
      if (!CanRead(LinkToStore(process))) {
        return fn(std::nullopt, {PlatformError::kUnreachable, "cut"});
      }
      store_.read(
          table, partition, from,
          [&](const std::optional<StoreRows>& rows, const PlatformReason& why) {
            loop.RunAfter(kStoreDelay, [rows, why, fn] { fn(rows, why); });
          });
    });
  };
  out.changes = [this, &loop, process](const std::string& table,
                                       RowVersion after, Duration,
                                       const Store::FeedFn& fn) {
    loop.RunAfter(kFeedInterval, [this, process, table, after, fn] {
      if (!CanRead(LinkToStore(process))) {
        return fn(FeedStatus::kFailed, {});
      }
      StoreRows changed;
      changed.version = RowVersion(memory_.version);
      for (const auto& [at, row] : memory_.rows) {
        if (at.table == table && row.version > after)
          changed.rows.push_back(row);
      }
      fn(FeedStatus::kOk, changed);
    });
  };
  return out;
}

// Links between processes.

SimulatedFleet::Entry* SimulatedFleet::FindEntry(size_t entry,
                                                 uint64_t process) {
  Entry* const it = entries_[entry].get();
  return it->process == process ? it : nullptr;
}

void SimulatedFleet::Send(size_t entry, uint64_t process, const Address& to,
                          const std::string& path, const std::string& bytes,
                          Duration timeout,
                          const PeerLinks::BytesCallback& fn) {
  const Address from = EntryAddress(entry);
  const auto done = std::make_shared<bool>(false);
  // Runs in the process that sent the message, unless it has ended.
  const auto finish = [this, entry, process, done, fn](
                          Duration delay,
                          const std::optional<std::string>& answer,
                          const WireReason& why) {
    Entry* const sender = FindEntry(entry, process);
    if (sender == nullptr) return;
    sender->loop.RunAfter(delay, [done, fn, answer, why] {
      if (std::exchange(*done, true)) return;
      fn(answer, why);
    });
  };
  finish(timeout, std::nullopt, {WireError::kTimeout, "no answer"});
  const auto deliver = [this, from, to, path, bytes, finish] {
    Deliver(to, path, bytes,
            [this, from, to, finish](const std::optional<std::string>& answer,
                                     const WireReason& why) {
              if (!IsCut(to, from)) finish(kLinkDelay, answer, why);
            });
  };
  if (IsCut(from, to)) return HoldMessage(from, to, deliver);
  deliver();
}

SimulatedFleet::Agent* SimulatedFleet::FindAgent(const Address& address) {
  for (size_t i = 0; i < vms_.size(); ++i) {
    if (AgentAddress(i) == address) return vms_[i].agent.get();
  }
  return nullptr;
}

void SimulatedFleet::HoldMessage(const Address& from, const Address& to,
                                 std::function<void()> deliver) {
  const Agent* const agent = FindAgent(to);
  if (agent == nullptr || message_hold_time_ == Duration(0)) return;
  held_messages_.push_back({from, to, now_ + message_hold_time_,
                            agent->table.life, std::move(deliver)});
}

void SimulatedFleet::DeliverHeldMessages() {
  std::erase_if(held_messages_, [&](const HeldMessage& it) {
    const bool lost =
        now_ >= it.expires_at || FindAgent(it.to)->table.life != it.life;
    if (lost) return true;
    if (IsCut(it.from, it.to)) return false;
    it.deliver();
    return true;
  });
}

void SimulatedFleet::Deliver(const Address& to, const std::string& path,
                             const std::string& bytes,
                             const PeerLinks::BytesCallback& reply) {
  for (size_t i = 0; i < vms_.size(); ++i) {
    if (AgentAddress(i) != to) continue;
    vms_[i].agent->loop.RunAfter(
        kLinkDelay, [this, i, bytes, reply, life = vms_[i].agent->table.life] {
          if (vms_[i].agent->table.life == life) HandleSync(i, bytes, reply);
        });
  }
  for (size_t i = 0; i < entries_.size(); ++i) {
    if (EntryAddress(i) != to || path != path::kJobCall) continue;
    entries_[i]->loop.RunAfter(
        kLinkDelay, [this, i, bytes, reply, process = entries_[i]->process] {
          Entry* const entry = FindEntry(i, process);
          if (entry == nullptr) return;
          WireReason why;
          const auto call = DecodeMessage<JobCall>(bytes, why);
          entry->planner.Handle(*call, [reply](const JobAnswer& answer) {
            reply(EncodeMessage(answer), {});
          });
        });
  }
}

bool SimulatedFleet::HasLateStart(size_t vm) const {
  const auto& calls = vms_[vm].late_calls;
  return std::any_of(calls.begin(), calls.end(), [](const LateCall& it) {
    return std::holds_alternative<StartCall>(it.call);
  });
}

void SimulatedFleet::DrainWorker(size_t vm) {
  vms_[vm].worker.draining = true;
  Announce(vm);
}

// Agents.

void SimulatedFleet::StartAgent(size_t vm) {
  auto agent = std::make_unique<Agent>();
  StartClock(agent->loop);
  agent->store = MakeStore(agent->loop, AgentAddress(vm));
  agent->table.life = AgentIncarnation(++last_process_);
  agent->table.started_at = agent->loop.now();
  BeginRegistration(agent->table, agent->loop.now());
  vms_[vm].agent = std::move(agent);
  vms_[vm].announced = false;
  Announce(vm);
}

void SimulatedFleet::Announce(size_t vm) {
  if (!PassesAnnouncements(vms_[vm].link)) return;
  vms_[vm].announced = true;
  Agent& agent = *vms_[vm].agent;
  WorkerHello hello;
  hello.worker.id = vms_[vm].worker.id;
  hello.worker.service = kService;
  hello.worker.draining = vms_[vm].worker.draining;
  hello.worker.capacity = {MilliCpu(8'000), Mebibytes(8'000), Accelerators(0)};
  hello.born_ms = vms_[vm].worker.born_at.time_since_epoch().count() + 1;
  if (!ReceiveWorkerHello(agent.table, agent.loop.now(), hello)) return;
  agent.renewal.reset();
  agent.renewal_failure.reset();
}

void SimulatedFleet::Register(size_t vm) {
  Agent& agent = *vms_[vm].agent;
  const StoreKey row{table::kAgents, "shard-0", VmIdOf(vm).value};
  switch (
      NextRegistrationStep(agent.registration, agent.table, agent.loop.now())) {
    case RegistrationStep::kNone:
      return;
    case RegistrationStep::kReadRow:
      agent.registration.call_in_flight = true;
      return agent.store.read(
          row.table, row.partition, row.key,
          [&agent, row](const std::optional<StoreRows>& rows,
                        const PlatformReason&) {
            FinishRowRead(agent.registration, agent.table, agent.loop.now(),
                          rows, row);
          });
    case RegistrationStep::kWriteRow:
      return WriteAgentRow(vm, row);
    case RegistrationStep::kReadHead:
      agent.registration.call_in_flight = true;
      return agent.store.read(table::kHead, row.partition, kHeadKey,
                              [&agent](const std::optional<StoreRows>& rows,
                                       const PlatformReason&) {
                                FinishHeadRead(agent.registration, agent.table,
                                               agent.loop.now(), rows);
                              });
  }
}

void SimulatedFleet::WriteAgentRow(size_t vm, const StoreKey& row) {
  Agent& agent = *vms_[vm].agent;
  const RowContent content = BeginRowWrite(agent.registration, agent.table);
  StoreTransaction rows;
  rows.checks.push_back({row, agent.registration.row_version});
  rows.puts.push_back(
      {row, EncodeRow(AgentRow{ToString(AgentAddress(vm)), DataCentreOf(vm),
                               content.former_lease_ms, content.drained})});
  agent.store.commit(rows, [&agent, content](const StoreCommitResult& result) {
    FinishRowWrite(agent.registration, agent.loop.now(), content, result);
  });
}

void SimulatedFleet::HandleSync(size_t vm, const std::string& bytes,
                                const PeerLinks::BytesCallback& reply) {
  Agent& agent = *vms_[vm].agent;
  WireReason why;
  const auto request = DecodeMessage<SyncRequest>(bytes, why);
  const MonotonicTime now = agent.loop.now();
  const bool current = ApplySyncRequest(agent.table, now, *request);
  const Duration wait(current ? request->wait_ms : 0);
  agent.pending.push_back({*request, now + wait, reply});
  StepAgent(vm);
}

void SimulatedFleet::AnswerSyncs(Agent& agent) {
  const MonotonicTime now = agent.loop.now();
  std::erase_if(agent.pending, [&](const PendingSync& it) {
    const bool due = now >= it.answer_by ||
                     HasUnreportedChanges(agent.table, it.request) ||
                     it.request.epoch < agent.table.epoch;
    if (due) {
      it.reply(EncodeMessage(MakeReport(agent.table, now, it.request)), {});
    }
    return due;
  });
}

void SimulatedFleet::StepAgent(size_t vm) {
  Agent& agent = *vms_[vm].agent;
  const MonotonicTime now = agent.loop.now();
  if (!vms_[vm].announced) Announce(vm);
  TimeOutCalls(agent);
  for (const StartCall& call : BeginStartCalls(agent.table, now))
    SendToWorker(vm, call);
  for (const StopCall& call : BeginStopCalls(agent.table, now))
    SendToWorker(vm, call);
  Renew(vm);
  ExpireLeases(agent.table, now);
  AnswerSyncs(agent);
  Register(vm);
}

void SimulatedFleet::FinishCall(Agent& agent, const StartCall& call,
                                const CallResult& result) {
  FinishStartCall(agent.table, agent.loop.now(), call, result);
}

void SimulatedFleet::FinishCall(Agent& agent, const StopCall& call,
                                const CallResult& result) {
  FinishStopCall(agent.table, agent.loop.now(), call, result);
}

template <typename CallType>
void SimulatedFleet::SendToWorker(size_t vm, const CallType& call) {
  Agent& agent = *vms_[vm].agent;
  if (vms_[vm].link == WorkerLink::kUp)
    return FinishCall(agent, call, CarryOut(vm, call));
  agent.unanswered.push_back({agent.loop.now() + kWorkerCallTimeout,
                              HandToImpairedLink(vm, call), call});
}

void SimulatedFleet::TimeOutCalls(Agent& agent) {
  const MonotonicTime now = agent.loop.now();
  std::erase_if(agent.unanswered, [&](const UnansweredCall& it) {
    if (now < it.times_out_at) return false;
    std::visit([&](const auto& call) { FinishCall(agent, call, it.result); },
               it.call);
    return true;
  });
}

CallResult SimulatedFleet::HandToImpairedLink(size_t vm,
                                              const AnyWorkerCall& call) {
  switch (vms_[vm].link) {
    case WorkerLink::kUp:
    case WorkerLink::kLost:
      break;
    case WorkerLink::kUnreachable:
      return {CallOutcome::kRejected, "not connected"};
    case WorkerLink::kCarriedOutLate:
      vms_[vm].late_calls.push_back({now_ + late_call_delay_, call});
  }
  return {CallOutcome::kUnknown, "no answer"};
}

bool SimulatedFleet::AwaitsLostRenewal(size_t vm) {
  Agent& agent = *vms_[vm].agent;
  if (!agent.renewal || !agent.renewal_failure) return false;
  const RenewCall call = *agent.renewal;
  const MonotonicTime now = agent.loop.now();
  const Duration age = now - call.sent_at;
  const bool timed_out = age >= call.wait + kWorkerCallTimeout;
  const bool superseded = agent.table.renew_immediately && age < call.wait;
  if (!timed_out && !superseded) return true;
  agent.renewal.reset();
  const CallResult failure = *std::exchange(agent.renewal_failure, {});
  if (superseded) return false;
  HandleRenewalFailure(agent.table, now, call, failure);
  agent.next_renewal_at = now + kRenewRetryDelay;
  return false;
}

void SimulatedFleet::Renew(size_t vm) {
  if (AwaitsLostRenewal(vm)) return;
  Agent& agent = *vms_[vm].agent;
  Worker& worker = vms_[vm].worker;
  const MonotonicTime now = agent.loop.now();
  if (agent.table.renew_immediately) {
    agent.renewal.reset();
  } else if (now < agent.next_renewal_at) {
    return;
  }
  if (!agent.renewal) {
    agent.renewal = BeginRenewal(agent.table, now);
    if (agent.renewal && vms_[vm].link != WorkerLink::kUp)
      agent.renewal_failure = HandToImpairedLink(vm, *agent.renewal);
  }
  if (!agent.renewal || agent.renewal_failure) return;
  const bool fenced = agent.renewal->call.fencing < worker.fencing;
  const bool has_end = worker.last_end > agent.renewal->recorded &&
                       !worker.unacknowledged.empty();
  const bool waits = now - agent.renewal->sent_at < agent.renewal->wait;
  if (!fenced && !has_end && waits) return;
  const RenewCall call = *std::exchange(agent.renewal, std::nullopt);
  const CallResult result = CarryOut(vm, call);
  if (result.outcome != CallOutcome::kOk)
    return HandleRenewalFailure(agent.table, now, call, result);
  ApplyWorkerListing(agent.table, now, call, List(vm, call.recorded));
}

// Workers.

MonotonicTime SimulatedFleet::LeaseEnd(size_t vm,
                                       int64_t lease_until_ms) const {
  // A slow clock takes longer for the same time; rounded up.
  const int rate = vms_[vm].clock_rate_percent;
  const auto true_time = [rate](Duration time) {
    return (time * 100 + Duration(rate - 1)) / rate;
  };
  return std::min(vms_[vm].worker.born_at + true_time(Duration(lease_until_ms)),
                  now_ + true_time(kMaxHold));
}

WorkerListing SimulatedFleet::List(size_t vm, uint64_t acknowledged) const {
  const Worker& worker = vms_[vm].worker;
  WorkerListing out;
  out.clock_ms =
      (now_ - worker.born_at).count() * vms_[vm].clock_rate_percent / 100;
  out.born_ms = worker.born_at.time_since_epoch().count() + 1;
  for (const auto& [task, index] : worker.running) {
    const SimulatedRun& run = runs_[index];
    out.running.push_back({task, run.run, "", PercentDone(run, now_), -1});
  }
  for (const size_t index : worker.unacknowledged) {
    const SimulatedRun& run = runs_[index];
    if (run.end_number <= acknowledged) continue;
    out.ended.push_back({run.end_number, run.task, run.run, run.end, ""});
  }
  return out;
}

void SimulatedFleet::CarryOutLateCalls(size_t vm) {
  std::erase_if(vms_[vm].late_calls, [&](const LateCall& it) {
    if (now_ < it.due_at) return false;
    std::visit([&](const auto& call) { CarryOut(vm, call); }, it.call);
    return true;
  });
}

void SimulatedFleet::StepWorker(size_t vm) {
  CarryOutLateCalls(vm);
  Worker& worker = vms_[vm].worker;
  for (const auto& [task, index] : std::map(worker.running)) {
    if (now_ >= runs_[index].due_at) EndRun(worker, index, runs_[index].end);
  }
  if (now_ < worker.lease_until) return;
  for (const size_t index : worker.unacknowledged) {
    runs_[index].lapsed_after_end = true;
  }
  for (const auto& [task, index] : std::map(worker.running)) {
    EndRun(worker, index, RunEnd::kLapsed);
  }
}

CallResult SimulatedFleet::CarryOut(size_t vm, const RenewCall& call) {
  Worker& worker = vms_[vm].worker;
  if (call.call.fencing < worker.fencing)
    return {CallOutcome::kFenced, "fence"};
  worker.fencing = call.call.fencing;
  if (call.call.lease_until_ms > 0) {
    worker.lease_until =
        std::max(worker.lease_until, LeaseEnd(vm, call.call.lease_until_ms));
  }
  Acknowledge(worker, call.recorded);
  return {};
}

CallResult SimulatedFleet::CarryOut(size_t vm, const StopCall& call) {
  Worker& worker = vms_[vm].worker;
  if (call.call.fencing < worker.fencing) return {CallOutcome::kFenced, ""};
  const auto it = worker.running.find(call.task);
  if (it != worker.running.end() && runs_[it->second].run == call.run) {
    EndRun(worker, it->second, RunEnd::kStopped);
  } else {
    RunNumber& ended = worker.ended[call.task];
    ended = std::max(ended, call.run);
  }
  return {};
}

CallResult SimulatedFleet::CarryOut(size_t vm, const StartCall& call) {
  Worker& worker = vms_[vm].worker;
  if (call.call.fencing < worker.fencing) return {CallOutcome::kFenced, ""};
  worker.fencing = call.call.fencing;
  const MonotonicTime lease_until = LeaseEnd(vm, call.call.lease_until_ms);
  worker.lease_until = std::max(worker.lease_until, lease_until);
  if (lease_until <= now_) return {CallOutcome::kRejected, "late"};
  const auto running = worker.running.find(call.start.task);
  if (running != worker.running.end() &&
      runs_[running->second].run == call.start.run) {
    return {};
  }
  const auto ended = worker.ended.find(call.start.task);
  const bool is_old =
      running != worker.running.end() ||
      (ended != worker.ended.end() && ended->second >= call.start.run);
  if (is_old) return {CallOutcome::kRejected, "old"};
  SimulatedRun run;
  run.task = call.start.task;
  run.run = call.start.run;
  run.vm = vm;
  run.started_at = now_;
  const StepSpec* const spec = FindSpec(run.task);
  const bool is_gang = spec != nullptr && spec->gang;
  if (is_gang) {
    run.end = RunEnd::kGangIncomplete;
    run.due_at = now_ + kGangTimeout;
  } else if (fate_) {
    const auto [end, after] = fate_(run.task, run.run);
    run.end = end;
    if (after) run.due_at = now_ + *after;
  }
  worker.running[run.task] = runs_.size();
  runs_.push_back(run);
  if (is_gang) JoinGang(runs_.size() - 1);
  return {};
}

void SimulatedFleet::EndRun(Worker& worker, size_t index, RunEnd end) {
  SimulatedRun& run = runs_[index];
  run.ended_at = now_;
  run.end = end;
  run.end_number = ++worker.last_end;
  worker.running.erase(run.task);
  worker.ended[run.task] = run.run;
  worker.unacknowledged.push_back(index);
  LeaveGang(index);
}

const StepSpec* SimulatedFleet::FindSpec(const TaskKey& task) const {
  const auto it = specs_.find(task.job);
  if (it == specs_.end() || task.step >= it->second.steps.size())
    return nullptr;
  return &it->second.steps[task.step];
}

void SimulatedFleet::JoinGang(size_t index) {
  const SimulatedRun& run = runs_[index];
  const TaskKey first = FirstOfStep(run.task);
  std::vector<size_t>& members = gang_runs_[{first, run.run}].members;
  members.push_back(index);
  const bool is_complete =
      members.size() == FindSpec(run.task)->count &&
      std::none_of(members.begin(), members.end(),
                   [&](size_t it) { return runs_[it].ended_at.has_value(); });
  if (!is_complete) return;
  std::pair<RunEnd, std::optional<Duration>> fate{RunEnd::kDone, std::nullopt};
  if (fate_) fate = fate_(first, run.run);
  for (const size_t it : members) {
    runs_[it].due_at = fate.second ? now_ + *fate.second : MonotonicTime::max();
    runs_[it].end = fate.first;
    // The failure of one task breaks off the others.
    if (fate.first == RunEnd::kFailed && it != index)
      runs_[it].end = RunEnd::kGangBroken;
  }
}

void SimulatedFleet::LeaveGang(size_t index) {
  const SimulatedRun& run = runs_[index];
  if (run.end == RunEnd::kDone) return;
  const auto gang = gang_runs_.find({FirstOfStep(run.task), run.run});
  if (gang == gang_runs_.end()) return;
  for (const size_t it : gang->second.members) {
    if (runs_[it].ended_at || runs_[it].due_at <= now_) continue;
    runs_[it].end = RunEnd::kGangBroken;
    runs_[it].due_at = now_;
  }
}

void SimulatedFleet::Acknowledge(Worker& worker, uint64_t number) {
  std::erase_if(worker.unacknowledged, [&](size_t index) {
    SimulatedRun& run = runs_[index];
    if (run.end_number > number) return false;
    run.acknowledged = true;
    run.acknowledged_at = now_;
    return true;
  });
}

}  // namespace almondtally::sched
