#include "agent/agent.h"

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "base/random.h"
#include "sched/board.h"

namespace almondtally::sched {
namespace {

constexpr Duration kTick{20};
/// Pause after an answer that still held unrecorded ends: the worker answers
/// at once while there are any.
constexpr Duration kRenewPause{15};
constexpr Duration kRenewRetry{100};
/// An agent that no planner has contacted for this long looks whether its row
/// is still there.
constexpr Duration kLonely{3'000};
constexpr Duration kCheckRowEvery{2'000};
constexpr Duration kWriteRowRetry{300};
constexpr const char* kShard = "shard-0";
constexpr int kOk = 200;
constexpr int kBadRequest = 400;

}  // namespace

Agent::Agent(Loop& loop, const Store& store, Metrics& metrics, RunWorker worker,
             AgentSettings settings)
    : loop_(loop),
      store_(store),
      metrics_(metrics),
      worker_(std::move(worker)),
      settings_(std::move(settings)) {
  Random random = SeededFromSystem();
  // Shorter than 64 bits, so that every codec keeps it exact.
  constexpr int kLifeShift = 12;
  table_.life = AgentLife((random() >> kLifeShift) | 1);
  table_.started_at = loop_.now();
}

void Agent::Start() {
  WriteRow();
  loop_.Every(kTick, [this] { Tick(); });
}

void Agent::WriteRow() {
  if (listing_) return;
  listing_ = true;
  StoreTransaction rows;
  rows.puts.push_back(
      {{table::kAgents, kShard, settings_.vm.value},
       EncodeRow(AgentRow{ToString(settings_.peer), settings_.data_centre})});
  store_.commit(rows, [this](const StoreCommitted& result) {
    listing_ = false;
    if (result.error == PlatformError::kNone) {
      listed_ = true;
      check_row_at_ = loop_.now() + kLonely;
      Log(Event::kAgentListed,
          {{"vm", settings_.vm.value},
           {"row_version", static_cast<int64_t>(result.version.value)}});
      return;
    }
    Log(Event::kStoreLost, {{"reason", result.text}});
    loop_.After(kWriteRowRetry, [this] { WriteRow(); });
  });
}

void Agent::KeepListed() {
  const MonotonicTime now = loop_.now();
  if (!listed_ || listing_ || now - table_.contacted_at < kLonely) return;
  if (now < check_row_at_) return;
  check_row_at_ = now + kCheckRowEvery;
  store_.read(table::kAgents, kShard, settings_.vm.value,
              [this](std::optional<StoreRows> rows, const PlatformReason&) {
                if (!rows) return;
                const bool there =
                    std::any_of(rows->rows.begin(), rows->rows.end(),
                                [&](const StoreRow& row) {
                                  return row.at.key == settings_.vm.value;
                                });
                if (!there) WriteRow();
              });
}

void Agent::HandleSync(const Exchange& exchange) {
  WireReason why;
  const auto request = DecodeMessage<SyncRequest>(exchange.request().body, why);
  if (!request) {
    Log(Event::kPeerGarbage, {{"path", path::kSync}, {"reason", why.text}});
    metrics_.CountBadInput();
    return exchange.Answer(kBadRequest, {}, why.text);
  }
  const PlannerEpoch before = table_.epoch;
  const bool current = TakeRequest(table_, loop_.now(), *request);
  if (table_.epoch != before) {
    Log(Event::kPlannerHeard,
        {{"planner", request->planner},
         {"epoch", static_cast<int64_t>(request->epoch.value)},
         {"was", static_cast<int64_t>(before.value)}});
  }
  Act();
  if (!current || request->wait_ms == 0 || HasNews(table_, *request)) {
    Answer(exchange, *request);
  } else {
    waiting_.push_back(
        {exchange, *request, loop_.now() + Duration(request->wait_ms)});
  }
  AnswerWaiting();
}

void Agent::Answer(const Exchange& exchange, const SyncRequest& request) {
  exchange.Answer(kOk, {},
                  EncodeMessage(MakeReport(table_, loop_.now(), request)));
}

void Agent::AnswerWaiting() {
  const MonotonicTime now = loop_.now();
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    if (it->exchange.closed()) {
      it = waiting_.erase(it);
      continue;
    }
    const bool due = now >= it->until || HasNews(table_, it->request) ||
                     it->request.epoch < table_.epoch;
    if (!due) {
      ++it;
      continue;
    }
    const Waiting done = std::move(*it);
    it = waiting_.erase(it);
    Answer(done.exchange, done.request);
  }
}

void Agent::TakeWorkerHello(const WorkerHello& hello) {
  const bool was_draining = table_.worker.draining;
  const bool other = TakeHello(table_, loop_.now(), hello);
  if (other) {
    ++renew_count_;
    renewing_ = false;
    Log(Event::kWorkerHeard,
        {{"worker", hello.worker.id.value},
         {"born_ms", hello.born_ms},
         {"cpu_milli", hello.worker.capacity.cpu.value},
         {"memory_mb", hello.worker.capacity.memory.value}});
  }
  if (table_.worker.draining && !was_draining) {
    Log(Event::kWorkerDraining, {{"worker", hello.worker.id.value},
                                 {"remaining_ms", hello.worker.remaining_ms}});
  }
  Renew();
  AnswerWaiting();
}

void Agent::TakeWorkerLeave(const WorkerId& worker) {
  Log(Event::kWorkerLeft, {{"worker", worker.value}});
  if (worker != table_.worker.id) return;
  WorkerHello hello;
  hello.worker = table_.worker;
  hello.worker.draining = true;
  TakeWorkerHello(hello);
}

void Agent::Renew() {
  if (renewing_) {
    const bool waits = renew_until_ > loop_.now();
    // A renewal that waits for an end is cut short when an answer is needed.
    if (!table_.renew_now || !waits) return;
    ++renew_count_;
  }
  if (!table_.renew_now && loop_.now() < renew_at_) return;
  const auto call = TakeRenewal(table_, loop_.now());
  if (!call) return;
  renewing_ = true;
  renew_until_ = loop_.now() + call->wait;
  const uint64_t count = ++renew_count_;
  worker_.renew(
      call->call, call->recorded, call->wait,
      [this, call = *call, count](std::optional<WorkerListing> listing,
                                  const CallResult& result) {
        if (count != renew_count_) return;
        renewing_ = false;
        const bool was_responsive = table_.worker.responsive;
        const MonotonicTime now = loop_.now();
        if (listing) {
          TakeListing(table_, now, call, *listing);
          const bool unrecorded =
              table_.worker_end_seen > table_.worker_end_recorded;
          renew_at_ = unrecorded ? now + kRenewPause : now;
        } else {
          TakeRenewFailure(table_, now, call, result);
          renew_at_ = now + kRenewRetry;
        }
        if (was_responsive != table_.worker.responsive) {
          Log(Event::kWorkerSilent,
              {{"worker", call.call.worker.value},
               {"responsive", table_.worker.responsive ? "yes" : "no"},
               {"reason", result.text}});
        }
        Act();
        AnswerWaiting();
        Renew();
      });
}

void Agent::LogCall(const char* what, const TaskKey& task, RunNumber run,
                    const CallResult& result, const WorkerCall& call) {
  metrics_.CountTaskEvent(
      std::string(what) +
      (result.outcome == CallOutcome::kOk ? "_ok" : "_failed"));
  if (result.outcome == CallOutcome::kOk) return;
  Log(Event::kWorkerCallFailed,
      {{"call", what},
       {"task", ToString(task)},
       {"run", static_cast<int64_t>(run.value)},
       {"worker", call.worker.value},
       {"fencing", static_cast<int64_t>(call.fencing)},
       {"outcome", static_cast<int64_t>(result.outcome)},
       {"reason", result.text}});
}

void Agent::Act() {
  const MonotonicTime now = loop_.now();
  for (const StartCall& it : TakeStarts(table_, now)) {
    worker_.start(it.call, it.start, [this, it](const CallResult& result) {
      LogCall("start", it.start.task, it.start.run, result, it.call);
      TakeStarted(table_, loop_.now(), it, result);
      Renew();
      AnswerWaiting();
    });
  }
  for (const StopCall& it : TakeStops(table_, now)) {
    worker_.stop(it.call, it.task, it.run,
                 [this, it](const CallResult& result) {
                   LogCall("stop", it.task, it.run, result, it.call);
                   TakeStopped(table_, loop_.now(), it, result);
                   Renew();
                   AnswerWaiting();
                 });
  }
  for (const PaceCall& it : TakePaces(table_, now)) {
    worker_.pace(it.call, it.task, it.run, it.percent,
                 [this, it](const CallResult& result) {
                   LogCall("pace", it.task, it.run, result, it.call);
                   TakePaced(table_, loop_.now(), it, result);
                   AnswerWaiting();
                 });
  }
}

void Agent::Tick() {
  ExpireLeases(table_, loop_.now());
  Renew();
  Act();
  KeepListed();
  AnswerWaiting();
}

void Agent::UpdateMetrics() {
  const MonotonicTime now = loop_.now();
  const auto set = [&](const char* name, auto value) {
    metrics_.SetGauge(name, static_cast<double>(value));
  };
  set("runs", table_.runs.size());
  set("ends_unrecorded", table_.ends.size());
  set("lease_left_ms", (table_.lease_until - now).count());
  set("planner_age_ms", (now - table_.contacted_at).count());
  set("worker_responsive", table_.worker.responsive ? 1 : 0);
  set("epoch", table_.epoch.value);
}

}  // namespace almondtally::sched
