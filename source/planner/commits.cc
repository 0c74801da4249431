#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "base/log.h"
#include "planner/detail.h"
#include "planner/planner.h"

// Commits to the store, one at a time: accepted jobs, progress, deletions.

namespace almondtally::sched {
namespace {

/// The owner commits at least this often, so that it is seen alive.
constexpr Duration kHeartbeat{400};
/// Pause before a commit that failed is sent again.
constexpr Duration kCommitRetry{100};
/// How long ends wait to be recorded together; a caller's wait ends at once.
constexpr Duration kGroupEnds{60};
/// Rows in one transaction; the store takes 100, with the head among them.
constexpr size_t kRowsPerCommit = 90;
constexpr size_t kBytesPerCommit = 700'000;

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
    rows.puts.push_back({{name, journal_.partition(), key}, std::move(value)});
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

}  // namespace almondtally::sched
