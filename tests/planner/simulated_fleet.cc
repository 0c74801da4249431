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

std::string Describe(const SimulatedRun& run) {
  return ToString(run.task) + " run " + std::to_string(run.run.value) +
         " on vm" + std::to_string(run.vm) + " from " +
         std::to_string(run.started_at.time_since_epoch().count()) + " ms" +
         (run.ended_at
              ? " to " +
                    std::to_string(run.ended_at->time_since_epoch().count()) +
                    " ms, " + std::string(ToString(run.end))
              : "");
}

}  // namespace

SimulatedFleet::Entry::Entry(SimulatedFleet& fleet, size_t number,
                             uint64_t process)
    : process(process),
      links(loop),
      store(fleet.MakeStore(loop, EntryAddress(number))),
      planner(loop, links, store, fleet.metrics_,
              {EntryId("entry" + std::to_string(number)), EntryAddress(number),
               Duration(0), MilliCpu(0), Duration(120'000)}),
      gateway(loop, links, planner) {
  Pause(loop.clock_for_tests());
  links.SetTransport(
      [&fleet, number, process](const Address& to, const char* path,
                                const std::string& bytes, Duration timeout,
                                const PeerLinks::BytesCallback& fn) {
        fleet.Send(number, process, to, path, bytes, timeout, fn);
      });
  planner.Start();
}

SimulatedFleet::SimulatedFleet(size_t entries, size_t vms)
    : store_(memory_.Make()) {
  vms_.resize(vms);
  for (size_t i = 0; i < vms; ++i) {
    memory_.Apply({{},
                   {{{table::kAgents, "shard-0", VmIdOf(i).value},
                     EncodeRow(AgentRow{ToString(AgentAddress(i)), {}})}},
                   {}});
    vms_[i].worker.id = WorkerId("worker" + std::to_string(i));
    vms_[i].worker.born_at = now_;
    StartAgent(i);
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

void SimulatedFleet::Advance(Duration by) {
  for (const MonotonicTime end = now_ + by; now_ < end;) {
    now_ += kStep;
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
  entries_[entry]->gateway.Call(call, timeout, std::move(fn));
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

void SimulatedFleet::RestartAgent(size_t vm) {
  ended_agents_.push_back(std::move(vms_[vm].agent));
  StartAgent(vm);
}

void SimulatedFleet::RestartWorker(size_t vm) {
  Worker& worker = vms_[vm].worker;
  for (const auto& [task, index] : worker.running) {
    runs_[index].ended_at = now_;
    runs_[index].end = RunEnd::kWorkerLost;
  }
  const WorkerId id = worker.id;
  worker = {};
  worker.id = id;
  worker.born_at = now_;
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
      if (LinkToStore(process) != StoreLink::kUp) {
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
      if (LinkToStore(process) != StoreLink::kUp) {
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
  if (IsCut(from, to)) return;
  Deliver(to, path, bytes,
          [this, from, to, finish](const std::optional<std::string>& answer,
                                   const WireReason& why) {
            if (!IsCut(to, from)) finish(kLinkDelay, answer, why);
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

// Agents.

void SimulatedFleet::StartAgent(size_t vm) {
  auto agent = std::make_unique<Agent>();
  Pause(agent->loop.clock_for_tests());
  agent->table.life = AgentIncarnation(++last_process_);
  agent->table.started_at = agent->loop.now();
  vms_[vm].agent = std::move(agent);
  Announce(vm);
}

void SimulatedFleet::Announce(size_t vm) {
  Agent& agent = *vms_[vm].agent;
  WorkerHello hello;
  hello.worker.id = vms_[vm].worker.id;
  hello.worker.service = kService;
  hello.worker.capacity = {MilliCpu(8'000), Mebibytes(8'000), Accelerators(0)};
  hello.born_ms = vms_[vm].worker.born_at.time_since_epoch().count() + 1;
  ReceiveWorkerHello(agent.table, agent.loop.now(), hello);
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
  for (const StartCall& call : BeginStartCalls(agent.table, now)) {
    FinishStartCall(agent.table, now, call, StartRun(vm, call));
  }
  for (const StopCall& call : BeginStopCalls(agent.table, now)) {
    Worker& worker = vms_[vm].worker;
    const bool fenced = call.call.fencing < worker.fencing;
    const auto it = worker.running.find(call.task);
    const bool runs = it != worker.running.end() &&
                      runs_[it->second].run == call.run && !fenced;
    if (runs) EndRun(worker, it->second, RunEnd::kStopped);
    FinishStopCall(agent.table, now, call,
                   {fenced ? CallOutcome::kFenced : CallOutcome::kOk, ""});
  }
  Renew(vm);
  ExpireLeases(agent.table, now);
  AnswerSyncs(agent);
}

void SimulatedFleet::Renew(size_t vm) {
  Agent& agent = *vms_[vm].agent;
  Worker& worker = vms_[vm].worker;
  const MonotonicTime now = agent.loop.now();
  if (agent.table.renew_immediately) agent.renewal.reset();
  if (!agent.renewal) agent.renewal = BeginRenewal(agent.table, now);
  if (!agent.renewal) return;
  const bool fenced = agent.renewal->call.fencing < worker.fencing;
  const bool has_end = worker.last_end > agent.renewal->recorded &&
                       !worker.unacknowledged.empty();
  const bool waits = now - agent.renewal->sent_at < agent.renewal->wait;
  if (!fenced && !has_end && waits) return;
  const RenewCall call = *std::exchange(agent.renewal, std::nullopt);
  if (fenced) {
    return HandleRenewalFailure(agent.table, now, call,
                                {CallOutcome::kFenced, "fence"});
  }
  worker.fencing = call.call.fencing;
  if (call.call.lease_until_ms > 0) {
    worker.lease_until =
        std::max(worker.lease_until,
                 worker.born_at + Duration(call.call.lease_until_ms));
  }
  Acknowledge(worker, call.recorded);
  ApplyWorkerListing(agent.table, now, call, List(worker, call.recorded));
}

// Workers.

WorkerListing SimulatedFleet::List(const Worker& worker,
                                   uint64_t acknowledged) const {
  WorkerListing out;
  out.clock_ms = (now_ - worker.born_at).count();
  out.born_ms = worker.born_at.time_since_epoch().count() + 1;
  for (const auto& [task, index] : worker.running) {
    out.running.push_back({task, runs_[index].run, "", 100, -1});
  }
  for (const size_t index : worker.unacknowledged) {
    const SimulatedRun& run = runs_[index];
    if (run.end_number <= acknowledged) continue;
    out.ended.push_back({run.end_number, run.task, run.run, run.end, ""});
  }
  return out;
}

void SimulatedFleet::StepWorker(size_t vm) {
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

CallResult SimulatedFleet::StartRun(size_t vm, const StartCall& call) {
  Worker& worker = vms_[vm].worker;
  if (call.call.fencing < worker.fencing) return {CallOutcome::kFenced, ""};
  worker.fencing = call.call.fencing;
  const MonotonicTime lease_until =
      worker.born_at + Duration(call.call.lease_until_ms);
  worker.lease_until = std::max(worker.lease_until, lease_until);
  if (lease_until <= now_) return {CallOutcome::kRejected, "late"};
  if (worker.running.contains(call.start.task)) {
    return {CallOutcome::kRejected, "old"};
  }
  SimulatedRun run;
  run.task = call.start.task;
  run.run = call.start.run;
  run.vm = vm;
  run.started_at = now_;
  if (fate_) {
    const auto [end, after] = fate_(run.task, run.run);
    run.end = end;
    if (after) run.due_at = now_ + *after;
  }
  for (const SimulatedRun& other : runs_) {
    if (other.task != run.task) continue;
    if (!other.ended_at) ReportDoubled("two runs at once", other, run);
    const bool is_final = other.ended_at && other.end == RunEnd::kDone &&
                          other.acknowledged && !other.lapsed_after_end;
    if (is_final) ReportDoubled("started after an end as done", other, run);
  }
  worker.running[run.task] = runs_.size();
  runs_.push_back(run);
  return {};
}

void SimulatedFleet::EndRun(Worker& worker, size_t index, RunEnd end) {
  SimulatedRun& run = runs_[index];
  run.ended_at = now_;
  run.end = end;
  run.end_number = ++worker.last_end;
  worker.running.erase(run.task);
  worker.unacknowledged.push_back(index);
}

void SimulatedFleet::Acknowledge(Worker& worker, uint64_t number) {
  std::erase_if(worker.unacknowledged, [&](size_t index) {
    SimulatedRun& run = runs_[index];
    if (run.end_number > number) return false;
    run.acknowledged = true;
    if (run.end != RunEnd::kDone || run.lapsed_after_end) return true;
    for (const SimulatedRun& later : runs_) {
      if (later.task == run.task && later.started_at > *run.ended_at)
        ReportDoubled("started after an end as done", run, later);
    }
    return true;
  });
}

void SimulatedFleet::ReportDoubled(const std::string& what,
                                   const SimulatedRun& first,
                                   const SimulatedRun& second) {
  doubled_.push_back(what + ": " + Describe(first) + "; " + Describe(second));
}

}  // namespace almondtally::sched
