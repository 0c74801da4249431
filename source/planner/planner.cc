#include "planner/planner.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "base/log.h"

namespace almondtally::sched {
namespace {

constexpr const char* kShard = "shard-0";

/// How often processes that do not plan read the head row.
constexpr Duration kWatchEvery{400};
/// The owner commits at least this often, so that it is seen alive.
constexpr Duration kHeartbeat{400};
/// A head that has not changed for this long, over successful reads, belongs
/// to an owner that is gone: three heartbeats.
constexpr Duration kOwnerSilence{1'300};
/// How often a process tries to take over from a planner without the store.
constexpr Duration kOfferEvery{100};
/// Time between attempts to read all rows after a takeover.
constexpr Duration kLoadRetry{100};
/// Pause before a commit that failed is sent again.
constexpr Duration kCommitRetry{100};
/// How long ends wait to be recorded together; a caller's wait ends at once.
constexpr Duration kGroupEnds{60};
/// Rows in one transaction; the store takes 100, with the head among them.
constexpr size_t kRowsPerCommit = 90;
constexpr size_t kBytesPerCommit = 700'000;
/// Systems run at least this often.
constexpr Duration kTick{50};
/// A change is planned with what else arrives in this time.
constexpr Duration kPlanDelay{1};

/// How long an agent may hold back an empty answer.
constexpr Duration kPollWait{500};
/// Time beyond the wait before an agent counts as silent.
constexpr Duration kAgentTimeout{500};
constexpr Duration kPollRetry{100};
/// Pause between two polls of one agent, so that small news travel together.
constexpr Duration kPollGap{4};
/// How long the change feed of agents waits.
constexpr Duration kFeedWait{5'000};
constexpr Duration kFeedRetry{300};
/// A VM that is silent for this long is removed from the list; its agent
/// lists it again if it comes back.
constexpr Duration kForgetVm{20'000};
/// A commit without an answer for this long means that the store is not well
/// enough to accept jobs.
constexpr Duration kStoreSlow{1'200};
/// When a caller that was told that the store is away shall come back.
constexpr int64_t kStoreRetryAfterMs = 1'000;
/// Ended jobs are kept a little longer than promised.
constexpr Duration kKeepMargin{15'000};
constexpr size_t kDeletesPerCommit = 20;

JobAnswer MakeAnswer(JobVerdict verdict, std::string reason = "") {
  JobAnswer out;
  out.verdict = verdict;
  out.reason = std::move(reason);
  if (verdict == JobVerdict::kUnavailable) {
    out.retry_after_ms = kStoreRetryAfterMs;
  }
  return out;
}

JobState VisibleState(const JobEntity& job) {
  if (IsFinal(job.recorded)) return job.recorded;
  return job.started ? JobState::kRunning : JobState::kPending;
}

/// @return the steps in short, such as "8x3500m,4000MB,2200ms,filler".
std::string DescribeSteps(const JobSpec& spec) {
  std::string out;
  for (const StepSpec& step : spec.steps) {
    if (!out.empty()) out += ';';
    out += std::to_string(step.count) + "x" +
           std::to_string(step.each.cpu.value) + "m," +
           std::to_string(step.each.memory.value) + "MB," +
           std::to_string(step.estimate_ms) + "ms";
    if (step.checkpoints) out += ",saves";
    if (step.filler) out += ",filler";
    if (step.lasting) out += ",lasting";
    if (step.gang) out += ",gang";
    if (step.copies_allowed) out += ",copies";
    if (step.max_per_vm > 0) out += ",apart" + std::to_string(step.max_per_vm);
    if (step.tail_target_ms > 0) {
      out += ",tail" + std::to_string(step.tail_target_ms) + "ms";
    }
    if (!step.image.empty()) out += ",image=" + step.image;
  }
  return out;
}

}  // namespace

Planner::Planner(Loop& loop, Links& links, const Store& store, Metrics& metrics,
                 PlannerSettings settings)
    : loop_(loop),
      links_(links),
      store_(store),
      metrics_(metrics),
      settings_(std::move(settings)),
      journal_(store, kShard) {}

void Planner::Start() {
  WatchHead();
  loop_.Every(kTick, [this] { Tick(); });
}

// Ownership.

void Planner::WatchHead() {
  watch_.since = loop_.now();
  ReadHead();
  loop_.Every(kWatchEvery, [this] { ReadHead(); });
}

void Planner::ReadHead() {
  if (planning_ || loading_ || retiring_ || watch_.reading) {
    watch_.since = loop_.now();
    return;
  }
  watch_.reading = true;
  watch_.asked_at = loop_.now();
  journal_.Read([this](bool ok) {
    watch_.reading = false;
    store_read_failed_ = !ok;
    if (ok) NoteHead();
    if (planning_ || loading_ || retiring_) return;
    const MonotonicTime now = loop_.now();
    if (!ok) {
      // Nobody can be judged silent while the store is.
      watch_.since = now;
      return;
    }
    if (journal_.version() != watch_.version) {
      watch_.version = journal_.version();
      watch_.since = now;
    }
    if (IsOrphan(now)) TakeOver();
  });
}

bool Planner::IsOrphan(MonotonicTime now) const {
  const auto& head = journal_.head();
  const bool vacant = !head || head->planner.empty();
  const bool former_self = head && head->planner == settings_.id.value;
  const Duration took = now - watch_.asked_at;
  const Duration limit =
      vacant || former_self ? Duration(0) : kOwnerSilence + 2 * took;
  return now - watch_.since >= limit + settings_.take_over_delay;
}

void Planner::NoteHead() {
  const auto& head = journal_.head();
  if (head) TakeOwnerHint(head->epoch, head->address);
}

void Planner::TakeOwnerHint(PlannerEpoch epoch, const std::string& address) {
  if (owner_ && owner_->epoch > epoch) return;
  const auto parsed = ParseAddress(address);
  if (!parsed) {
    // The owner of that epoch retired.
    if (owner_ && owner_->epoch <= epoch) owner_.reset();
    return;
  }
  owner_ = Owner{epoch, *parsed};
}

bool Planner::OfferTakeOver(PlannerEpoch epoch) {
  if (planning_ || loading_) return true;
  if (retiring_ || store_read_failed_) return false;
  const MonotonicTime now = loop_.now();
  if (now - offered_at_ < kOfferEvery) return true;
  offered_at_ = now;
  journal_.Read([this, epoch](bool ok) {
    store_read_failed_ = !ok;
    if (!ok || planning_ || loading_ || retiring_) return;
    NoteHead();
    const auto& head = journal_.head();
    if (head && head->epoch == epoch) TakeOver();
  });
  return true;
}

void Planner::TakeOver() {
  loading_ = true;
  Head mine;
  mine.planner = settings_.id.value;
  mine.address = ToString(settings_.peer);
  const auto& head = journal_.head();
  mine.epoch = PlannerEpoch(head ? head->epoch.value + 1 : 1);
  const std::string from = head ? head->planner : "";
  const MonotonicTime sent_at = loop_.now();
  journal_.Claim(
      mine, [this, from, sent_at](JournalEnd end, const std::string& why) {
        if (end != JournalEnd::kCommitted) {
          loading_ = false;
          Log(Event::kShardClaimFailed, {{"reason", why}});
          return;
        }
        proof_at_ = sent_at;
        NoteHead();
        Log(Event::kShardClaimed,
            {{"epoch", static_cast<int64_t>(journal_.head()->epoch.value)},
             {"from", from}});
        LoadRows();
      });
}

void Planner::LoadRows() {
  const auto retry = [this] {
    loop_.After(kLoadRetry, [this] { LoadRows(); });
  };
  ReadAll(store_, table::kJobs, kShard,
          [this, retry](std::optional<StoreRows> jobs, const PlatformReason&) {
            if (!jobs) return retry();
            auto jobs_read = std::make_shared<StoreRows>(std::move(*jobs));
            ReadAll(store_, table::kProgress, kShard,
                    [this, retry, jobs_read](std::optional<StoreRows> progress,
                                             const PlatformReason&) {
                      if (!progress) return retry();
                      auto progress_read =
                          std::make_shared<StoreRows>(std::move(*progress));
                      ReadAll(store_, table::kAgents, kShard,
                              [this, retry, jobs_read, progress_read](
                                  std::optional<StoreRows> agents,
                                  const PlatformReason&) {
                                if (!agents) return retry();
                                BeginPlanning(jobs_read->rows,
                                              progress_read->rows, *agents);
                              });
                    });
          });
}

void Planner::BeginPlanning(const std::vector<StoreRow>& jobs,
                            const std::vector<StoreRow>& progress,
                            const StoreRows& agents) {
  const MonotonicTime now = loop_.now();
  board_ = {};
  board_.epoch = journal_.head()->epoch;
  board_.took_over_at = now;
  board_.queues = queues_;
  board_.tail_limit = settings_.tail_limit;
  board_.unix_offset_ms = WallClockMillis() - now.time_since_epoch().count();
  JobReason why;
  for (const StoreRow& row : jobs) {
    const auto record = DecodeRow<JobRecord>(row.value, why);
    if (!record) {
      Log(Event::kRowUnreadable, {{"row", row.at.key}, {"reason", why.text}});
      continue;
    }
    JobEntity& job = AddJob(board_, now, *record);
    job.accepted = true;
    job.inherited = true;
  }
  for (const StoreRow& row : progress) {
    const auto it = board_.jobs.find(JobId(row.at.key));
    const auto done = DecodeRow<JobProgress>(row.value, why);
    if (it == board_.jobs.end() || !done) {
      Log(Event::kRowUnreadable, {{"row", row.at.key}, {"reason", why.text}});
      continue;
    }
    ApplyProgress(board_, now, it->second, *done);
  }
  loading_ = false;
  planning_ = true;
  for (const StoreRow& row : agents.rows) TakeAgentRow(row);
  for (auto& [id, vm] : board_.vms) vm.unaccounted = true;
  store_failed_ = false;
  flushed_at_ = now;
  Log(Event::kPlanningStarted,
      {{"epoch", static_cast<int64_t>(board_.epoch.value)},
       {"jobs", static_cast<int64_t>(board_.jobs.size())},
       {"vms", static_cast<int64_t>(board_.vms.size())},
       {"row_version", static_cast<int64_t>(agents.version.value)}});
  FollowAgents(agents.version, board_.epoch.value);
  Kick();
}

void Planner::StepDown(const std::string& reason) {
  if (!planning_) return;
  planning_ = false;
  Log(Event::kPlanningStopped,
      {{"epoch", static_cast<int64_t>(board_.epoch.value)},
       {"reason", reason}});
  flight_.reset();
  board_ = {};
  polls_.clear();
  deletes_.clear();
  // The next planner may know these jobs or not.
  auto accepting = std::exchange(accepting_, {});
  auto waiters = std::exchange(waiters_, {});
  const JobAnswer answer = MakeAnswer(JobVerdict::kUnknown, "planner replaced");
  for (auto& [job, fns] : accepting) {
    for (auto& fn : fns) fn(answer);
  }
  for (auto& waiter : waiters) waiter.fn(answer);
}

void Planner::Retire() {
  retiring_ = true;
  if (!planning_ || flight_) {
    if (planning_) loop_.After(Duration(5), [this] { Retire(); });
    return;
  }
  StepDown("retiring");
  journal_.Release([](JournalEnd end, const std::string& why) {
    if (end == JournalEnd::kCommitted) return;
    Log(Event::kShardReleaseFailed, {{"reason", why}});
  });
}

// Callers.

bool Planner::StoreIsDown() const {
  if (store_failed_) return true;
  return flight_ && loop_.now() - flight_->sent_at > kStoreSlow;
}

void Planner::Handle(const JobCall& call, AnswerFn fn) {
  if (!planning_) {
    JobAnswer answer = MakeAnswer(JobVerdict::kUnknown, "not planning");
    if (owner_) {
      answer.owner_epoch = owner_->epoch;
      answer.owner_address = ToString(owner_->address);
    }
    return fn(answer);
  }
  switch (call.verb) {
    case JobVerb::kSubmit:
      return Submit(call, std::move(fn));
    case JobVerb::kCancel:
      return Cancel(call, std::move(fn));
    case JobVerb::kRead:
      return Read(call, fn);
    case JobVerb::kCount: {
      JobAnswer answer = MakeAnswer(JobVerdict::kOk);
      answer.pending_jobs = CountPending(board_, call.queue);
      return fn(answer);
    }
  }
}

void Planner::Submit(const JobCall& call, AnswerFn fn) {
  const auto it = board_.jobs.find(call.spec.id);
  if (it != board_.jobs.end()) {
    if (it->second.accepted) return fn(MakeAnswer(JobVerdict::kOk, "known"));
    accepting_[call.spec.id].push_back(std::move(fn));
    return;
  }
  JobReason why;
  if (!CheckJob(call.spec, why)) {
    return fn(MakeAnswer(JobVerdict::kRejected, why.text));
  }
  if (StoreIsDown()) {
    JobAnswer answer =
        MakeAnswer(JobVerdict::kUnavailable, "the store is away");
    answer.store_away = true;
    answer.owner_epoch = board_.epoch;
    return fn(answer);
  }
  JobRecord record;
  record.spec = call.spec;
  record.terms = call.terms;
  record.accepted_at_ms =
      board_.unix_offset_ms + loop_.now().time_since_epoch().count();
  AddJob(board_, loop_.now(), record);
  accepting_[call.spec.id].push_back(std::move(fn));
  Flush();
}

void Planner::Cancel(const JobCall& call, AnswerFn fn) {
  const auto it = board_.jobs.find(call.job);
  if (it == board_.jobs.end()) {
    return fn(MakeAnswer(JobVerdict::kUnknownJob));
  }
  if (IsFinal(it->second.recorded)) return fn(MakeAnswer(JobVerdict::kOk));
  CancelJob(board_, loop_.now(), it->second);
  Log(Event::kJobCancelled,
      {{"job", call.job.value},
       {"request", call.request.value},
       {"epoch", static_cast<int64_t>(board_.epoch.value)}});
  waiters_.push_back({board_.change, std::move(fn)});
  Kick();
}

void Planner::Read(const JobCall& call, const AnswerFn& fn) {
  const auto it = board_.jobs.find(call.job);
  if (it == board_.jobs.end() || !it->second.accepted) {
    return fn(MakeAnswer(JobVerdict::kUnknownJob));
  }
  JobAnswer answer = MakeAnswer(JobVerdict::kOk);
  answer.state = VisibleState(it->second);
  fn(answer);
}

void Planner::SetQueues(const std::map<QueueId, QueueTerms>& queues) {
  queues_ = queues;
  if (!planning_) return;
  sched::SetQueues(board_, queues);
  Kick();
}

// Agents.

void Planner::TakeAgentRow(const StoreRow& row) {
  const VmId id(row.at.key);
  if (row.deleted) return;
  JobReason why;
  const auto agent = DecodeRow<AgentRow>(row.value, why);
  const auto address =
      agent ? ParseAddress(agent->address) : std::optional<Address>();
  if (!address) {
    Log(Event::kRowUnreadable, {{"row", row.at.key}, {"reason", why.text}});
    return;
  }
  VmEntity& vm = board_.vms[id];
  const bool is_new = vm.id.empty();
  vm.id = id;
  vm.agent = *address;
  vm.data_centre = agent->data_centre;
  vm.row_version = row.version;
  if (!is_new) return;
  Log(Event::kVmListed, {{"vm", id.value}, {"agent", agent->address}});
  polls_[id] = ++poll_count_;
  Poll(id);
}

void Planner::FollowAgents(RowVersion after, uint64_t epoch) {
  if (!planning_ || board_.epoch.value != epoch) return;
  store_.changes(table::kAgents, after, kFeedWait,
                 [this, after, epoch](FeedEnd end, const StoreRows& changed) {
                   if (!planning_ || board_.epoch.value != epoch) return;
                   if (end == FeedEnd::kOk) {
                     for (const StoreRow& row : changed.rows) {
                       if (row.at.partition == kShard) TakeAgentRow(row);
                     }
                     return FollowAgents(changed.version, epoch);
                   }
                   if (end == FeedEnd::kFailed) {
                     loop_.After(kFeedRetry, [this, after, epoch] {
                       FollowAgents(after, epoch);
                     });
                     return;
                   }
                   ReadAll(store_, table::kAgents, kShard,
                           [this, after, epoch](std::optional<StoreRows> rows,
                                                const PlatformReason&) {
                             if (!planning_ || board_.epoch.value != epoch)
                               return;
                             if (!rows) {
                               loop_.After(kFeedRetry, [this, after, epoch] {
                                 FollowAgents(after, epoch);
                               });
                               return;
                             }
                             for (const StoreRow& row : rows->rows)
                               TakeAgentRow(row);
                             FollowAgents(rows->version, epoch);
                           });
                 });
}

SyncRequest Planner::MakeRequest(VmEntity& vm) const {
  SyncRequest request;
  request.epoch = board_.epoch;
  request.planner = settings_.id.value;
  request.planner_address = ToString(settings_.peer);
  request.life = vm.present_life;
  request.worker = vm.worker.id;
  request.fencing_base = FencingBase(board_, vm);
  if (vm.present_life != vm.life) return request;
  request.seen_version = vm.synced ? vm.seen_version : 0;
  request.seen_end = vm.seen_end;
  request.ends_recorded = vm.ends_recorded;
  if (loop_.now() - proof_at_ < kProofLife) {
    request.stamp = vm.stamp;
    request.grant_ms = kLeaseGrant.count();
  }
  return request;
}

void Planner::Poll(const VmId& id) {
  const auto it = board_.vms.find(id);
  if (!planning_ || it == board_.vms.end()) return;
  VmEntity& vm = it->second;
  SyncRequest request = MakeRequest(vm);
  request.wait_ms = vm.synced ? kPollWait.count() : 0;
  const uint64_t poll = polls_[id];
  const Duration timeout = Duration(request.wait_ms) + kAgentTimeout;
  const Address agent = vm.agent;
  links_.Send<SyncReport>(
      agent, path::kSync, request, timeout,
      [this, id, poll, agent](std::optional<SyncReport> report,
                              const WireReason&) {
        const auto current = polls_.find(id);
        if (current == polls_.end() || current->second != poll) return;
        if (report) TakeAnswer(id, *report);
        // A link that carried no answer in time may be silently dead.
        if (!report) links_.Drop(agent);
        const bool settled = report && report->settled;
        loop_.After(settled ? kPollGap : kPollRetry, [this, id, poll] {
          const auto still = polls_.find(id);
          if (still != polls_.end() && still->second == poll) Poll(id);
        });
      });
}

void Planner::TakeAnswer(const VmId& id, const SyncReport& report) {
  const auto it = board_.vms.find(id);
  if (!planning_ || it == board_.vms.end()) return;
  if (report.epoch > board_.epoch) {
    Log(Event::kEpochPassed,
        {{"vm", id.value},
         {"epoch", static_cast<int64_t>(board_.epoch.value)},
         {"newer", static_cast<int64_t>(report.epoch.value)}});
    // Agents obey the newer planner; without the store this is how a replaced
    // one learns of it.
    TakeOwnerHint(report.epoch, report.planner_address);
    return StepDown("an agent obeys a newer planner");
  }
  Decisions log;
  TakeReport(board_, loop_.now(), it->second, report, log);
  LogDecisions(log);
  Kick();
}

void Planner::SendOrders() {
  for (auto& [id, vm] : board_.vms) {
    if (vm.batch_in_flight || !HasOrders(vm)) continue;
    SyncRequest request = MakeRequest(vm);
    TakeOrders(board_, vm, request);
    vm.batch_in_flight = true;
    const uint64_t batch = request.batch;
    const AgentLife life = vm.life;
    const uint64_t epoch = board_.epoch.value;
    const Address agent = vm.agent;
    links_.Send<SyncReport>(
        agent, path::kSync, request, kAgentTimeout,
        [this, id = id, batch, life, epoch, agent](
            std::optional<SyncReport> report, const WireReason& why) {
          const auto it = board_.vms.find(id);
          if (!planning_ || board_.epoch.value != epoch) return;
          if (it == board_.vms.end() || it->second.life != life) return;
          it->second.batch_in_flight = false;
          if (!report) {
            Log(Event::kOrdersUnanswered,
                {{"vm", id.value},
                 {"batch", static_cast<int64_t>(batch)},
                 {"reason", why.text}});
            TakeOrderFailure(it->second, batch);
            links_.Drop(agent);
            return;
          }
          TakeAnswer(id, *report);
        });
  }
}

void Planner::ForgetLostVms() {
  const MonotonicTime now = loop_.now();
  for (auto it = board_.vms.begin(); it != board_.vms.end();) {
    VmEntity& vm = it->second;
    const MonotonicTime heard = std::max(vm.heard_at, board_.took_over_at);
    if (vm.synced || now - heard < kForgetVm) {
      ++it;
      continue;
    }
    Log(Event::kVmForgotten,
        {{"vm", vm.id.value}, {"silent_ms", (now - heard).count()}});
    deletes_.push_back({table::kAgents, kShard, vm.id.value});
    links_.Drop(vm.agent);
    polls_.erase(vm.id);
    it = board_.vms.erase(it);
  }
}

// Work.

void Planner::Kick() {
  if (kicked_) return;
  kicked_ = true;
  loop_.After(kPlanDelay, [this] {
    kicked_ = false;
    Run();
  });
}

void Planner::Run() {
  if (!planning_) return;
  const MonotonicTime now = loop_.now();
  Decisions log;
  StartDueOccurrences(board_, now);
  TakeBack(board_, now, log);
  PlaceTasks(board_, now, log);
  PaceFillers(board_, now, log);
  LogDecisions(log);
  SendOrders();
  Flush();
}

void Planner::Tick() {
  if (!planning_) return;
  const MonotonicTime now = loop_.now();
  Decisions log;
  ExpireVms(board_, now, log);
  LogDecisions(log);
  ForgetLostVms();
  while (!board_.ended.empty()) {
    const auto it = board_.jobs.find(board_.ended.front());
    if (it != board_.jobs.end()) {
      const Duration age = now - it->second.ended_at;
      if (age < settings_.keep_ended + kKeepMargin) break;
      if (deletes_.size() >= kDeletesPerCommit) break;
      deletes_.push_back({table::kJobs, kShard, it->first.value});
      deletes_.push_back({table::kProgress, kShard, it->first.value});
      ForgetJob(board_, it->first);
    }
    board_.ended.pop_front();
  }
  Run();
}

void Planner::Flush() {
  if (!planning_ || flight_) return;
  const MonotonicTime now = loop_.now();
  const Duration since = now - flushed_at_;
  if (store_failed_ && since < kCommitRetry) return;
  const bool urgent =
      !accepting_.empty() || !waiters_.empty() ||
      std::any_of(board_.dirty.begin(), board_.dirty.end(),
                  [&](const auto& id) {
                    const auto it = board_.jobs.find(id);
                    return it != board_.jobs.end() &&
                           it->second.state != it->second.recorded;
                  });
  const bool ends_due = !board_.dirty.empty() && since >= kGroupEnds;
  if (!urgent && !ends_due && since < kHeartbeat) return;

  Flight flight;
  StoreTransaction rows;
  size_t bytes = 0;
  const auto put = [&](const char* name, const std::string& key,
                       std::string value) {
    bytes += value.size();
    rows.puts.push_back({{name, kShard, key}, std::move(value)});
  };
  const auto full = [&] {
    return rows.puts.size() + rows.deletes.size() >= kRowsPerCommit ||
           bytes >= kBytesPerCommit;
  };
  for (const auto& [id, fns] : accepting_) {
    if (full()) break;
    put(table::kJobs, id.value, EncodeRow(board_.jobs.at(id).record));
    flight.accepted.push_back(id);
  }
  flight.change = board_.change;
  flight.all_changes = true;
  for (const JobId& id : board_.dirty) {
    const auto it = board_.jobs.find(id);
    if (it == board_.jobs.end()) continue;
    if (full()) {
      flight.all_changes = false;
      break;
    }
    put(table::kProgress, id.value, EncodeRow(ProgressOf(it->second)));
    flight.states.emplace_back(id, it->second.state);
  }
  for (const auto& [id, state] : flight.states) board_.dirty.erase(id);
  flight.deletes = std::exchange(deletes_, {});
  rows.deletes = flight.deletes;
  flight.rows = std::move(rows);
  flight.sent_at = now;
  flushed_at_ = now;
  flight_ = std::move(flight);
  SendFlight();
}

void Planner::SendFlight() {
  const MonotonicTime sent_at = loop_.now();
  const uint64_t epoch = board_.epoch.value;
  journal_.Commit(flight_->rows, [this, epoch, sent_at](
                                     JournalEnd end, const std::string& why) {
    if (!planning_ || board_.epoch.value != epoch) return;
    switch (end) {
      case JournalEnd::kCommitted:
        proof_at_ = sent_at;
        return TakeCommitted();
      case JournalEnd::kReplaced:
        return StepDown("replaced: " + why);
      case JournalEnd::kNotDone:
        if (!flight_->unsure) return TakeCommitFailure(why);
        break;
      case JournalEnd::kUnsure:
        flight_->unsure = true;
        break;
    }
    // An earlier call may still take effect, so the rows must stay the same.
    if (!store_failed_) Log(Event::kStoreLost, {{"reason", why}});
    store_failed_ = true;
    loop_.After(kCommitRetry, [this, epoch] {
      if (planning_ && board_.epoch.value == epoch && flight_) SendFlight();
    });
  });
}

void Planner::TakeCommitted() {
  if (store_failed_) Log(Event::kStoreRegained, {});
  store_failed_ = false;
  const Flight flight = std::move(*flight_);
  flight_.reset();
  const MonotonicTime now = loop_.now();
  for (const auto& [id, state] : flight.states) {
    const auto it = board_.jobs.find(id);
    if (it == board_.jobs.end() || it->second.recorded == state) continue;
    it->second.recorded = state;
    Log(Event::kJobEnded, {{"job", id.value},
                           {"state", std::string(ToString(state))},
                           {"age_ms", (now - it->second.accepted_at).count()},
                           {"objective_ms", it->second.objective.count()}});
  }
  if (flight.all_changes) TakeRecorded(board_, flight.change);
  std::vector<AnswerFn> fns;
  for (const JobId& id : flight.accepted) {
    const auto it = board_.jobs.find(id);
    if (it == board_.jobs.end()) continue;
    it->second.accepted = true;
    Log(Event::kJobAccepted,
        {{"job", id.value},
         {"queue", it->second.record.spec.queue.value},
         {"priority", it->second.terms.priority},
         {"steps", DescribeSteps(it->second.record.spec)},
         {"objective_ms", it->second.objective.count()},
         {"waited_ms", (now - it->second.accepted_at).count()}});
    auto node = accepting_.extract(id);
    if (node.empty()) continue;
    for (auto& fn : node.mapped()) fns.push_back(std::move(fn));
  }
  std::erase_if(waiters_, [&](Waiter& waiter) {
    if (waiter.change > board_.recorded_change) return false;
    fns.push_back(std::move(waiter.fn));
    return true;
  });
  const JobAnswer ok = MakeAnswer(JobVerdict::kOk);
  for (auto& fn : fns) fn(ok);
  Kick();
}

void Planner::TakeCommitFailure(const std::string& why) {
  if (!store_failed_) Log(Event::kStoreLost, {{"reason", why}});
  store_failed_ = true;
  const Flight flight = std::move(*flight_);
  flight_.reset();
  for (const auto& [id, state] : flight.states) board_.dirty.insert(id);
  deletes_.insert(deletes_.end(), flight.deletes.begin(), flight.deletes.end());
  std::vector<AnswerFn> fns;
  for (const JobId& id : flight.accepted) {
    auto node = accepting_.extract(id);
    if (node.empty()) continue;
    for (auto& fn : node.mapped()) fns.push_back(std::move(fn));
    ForgetJob(board_, id);
  }
  JobAnswer answer =
      MakeAnswer(JobVerdict::kUnavailable, "the store is away: " + why);
  answer.store_away = true;
  answer.owner_epoch = board_.epoch;
  for (auto& fn : fns) fn(answer);
}

void Planner::LogDecisions(const Decisions& log) {
  for (const Decision& it : log) {
    const auto event = [&] {
      switch (it.kind) {
        case Decision::Kind::kPlaced:
          return Event::kRunPlaced;
        case Decision::Kind::kEnded:
          return Event::kRunEnded;
        case Decision::Kind::kJobEnded:
          return Event::kJobEnded;
        case Decision::Kind::kVmSynced:
          return Event::kVmSynced;
        case Decision::Kind::kVmLost:
          return Event::kVmLost;
        case Decision::Kind::kVmSetAside:
          return Event::kVmSetAside;
        case Decision::Kind::kTakenBack:
          return Event::kRunTakenBack;
        case Decision::Kind::kPaced:
          return Event::kFillersPaced;
        case Decision::Kind::kAdopted:
          return Event::kRunAdopted;
      }
      return Event::kRunPlaced;
    }();
    const bool about_task = !it.task.job.empty();
    if (about_task) {
      Log(event, {{"task", ToString(it.task)},
                  {"run", static_cast<int64_t>(it.run.value)},
                  {"vm", it.vm.value},
                  {"outcome", it.outcome},
                  {"reason", it.reason},
                  {"age_ms", it.age_ms},
                  {"epoch", static_cast<int64_t>(board_.epoch.value)}});
    } else {
      Log(event, {{"vm", it.vm.value},
                  {"outcome", it.outcome},
                  {"reason", it.reason},
                  {"age_ms", it.age_ms}});
    }
    metrics_.CountTaskEvent(it.kind == Decision::Kind::kEnded
                                ? "end_" + it.outcome
                                : std::string(EventName(event)));
  }
}

void Planner::UpdateMetrics() {
  const auto set = [&](const char* name, auto value) {
    metrics_.SetGauge(name, static_cast<double>(value));
  };
  set("planning", planning_ ? 1 : 0);
  set("epoch", board_.epoch.value);
  set("jobs", board_.jobs.size());
  set("vms", board_.vms.size());
  set("starts", board_.starts);
  set("proof_age_ms", planning_ ? (loop_.now() - proof_at_).count() : -1);
  set("store_failed", store_failed_ ? 1 : 0);
}

}  // namespace almondtally::sched
