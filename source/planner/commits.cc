#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "base/log.h"
#include "planner/detail.h"
#include "planner/planner.h"
#include "sched/ownership.h"

// Commits to the store, one at a time: accepted jobs, progress, deletions.

namespace almondtally::sched {
namespace {

/// The owner commits at least this often, so that other processes see that it
/// is alive.
constexpr Duration kHeartbeatInterval{400};
/// Delay before a failed commit is retried.
constexpr Duration kCommitRetryDelay{100};
/// Progress is collected for this long and recorded in one commit. Changes that
/// a caller waits for are committed at once.
constexpr Duration kProgressBatchDelay{60};
/// Maximum entries of one transaction. The store accepts 100, including two for
/// the head row.
constexpr size_t kEntriesPerCommit = 90;
constexpr size_t kBytesPerCommit = 700'000;

/// @return a summary of the steps, such as "8x3500m,4000MB,2200ms,filler".
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

size_t CountEntries(const StoreTransaction& rows) {
  return rows.checks.size() + rows.puts.size() + rows.deletes.size();
}

bool HasUnprovenRows(const ShardState& board) {
  return std::any_of(board.vms.begin(), board.vms.end(),
                     [](const auto& it) { return it.second.row_unproven; });
}

}  // namespace

void Planner::CommitPending() {
  if (!planning_ || commit_in_flight_) return;
  const MonotonicTime now = loop_.now();
  const Duration since_last_commit = now - last_commit_at_;
  if (store_failed_ && since_last_commit < kCommitRetryDelay) return;
  const bool rejects = std::any_of(
      absence_waiters_.begin(), absence_waiters_.end(),
      [](const auto& it) { return it.call.verb == JobVerb::kSubmit; });
  const bool urgent =
      !pending_submissions_.empty() || !change_waiters_.empty() || rejects ||
      AwaitsProof(board_, now) ||
      std::any_of(board_.dirty.begin(), board_.dirty.end(),
                  [&](const auto& id) {
                    const auto it = board_.jobs.find(id);
                    return it != board_.jobs.end() &&
                           it->second.state != it->second.recorded;
                  });
  const bool progress_due = (!board_.dirty.empty() || HasUnprovenRows(board_) ||
                             !absence_waiters_.empty()) &&
                            since_last_commit >= kProgressBatchDelay;
  if (!urgent && !progress_due && since_last_commit < kHeartbeatInterval)
    return;

  InFlightCommit commit;
  StoreTransaction rows;
  size_t bytes = 0;
  const auto put = [&](const char* name, const std::string& key,
                       std::string value) {
    bytes += value.size();
    rows.puts.push_back({{name, journal_.partition(), key}, std::move(value)});
  };
  const auto full = [&] {
    return CountEntries(rows) >= kEntriesPerCommit || bytes >= kBytesPerCommit;
  };
  for (const auto& [id, fns] : pending_submissions_) {
    if (full()) break;
    put(table::kJobs, id.value, EncodeRow(board_.jobs.at(id).record));
    commit.accepted.push_back(id);
  }
  commit.change = board_.change;
  commit.all_changes = true;
  for (const JobId& id : board_.dirty) {
    const auto it = board_.jobs.find(id);
    if (it == board_.jobs.end()) continue;
    if (full()) {
      commit.all_changes = false;
      break;
    }
    put(table::kProgress, id.value, EncodeRow(MakeProgressRow(it->second)));
    commit.states.emplace_back(id, it->second.state);
  }
  for (const auto& [id, state] : commit.states) board_.dirty.erase(id);
  while (!pending_deletes_.empty() && !full()) {
    commit.deletes.push_back(pending_deletes_.front());
    pending_deletes_.pop_front();
    rows.deletes.push_back(commit.deletes.back());
  }
  while (!pending_removals_.empty() && !full()) {
    const auto node = pending_removals_.extract(pending_removals_.begin());
    const StoreKey at = AgentRowKey(node.key());
    rows.checks.push_back({at, node.mapped()});
    rows.deletes.push_back(at);
    commit.removals.emplace(node.key(), node.mapped());
  }
  commit.rows = std::move(rows);
  commit.sent_at = now;
  last_commit_at_ = now;
  commit_in_flight_ = std::move(commit);
  SendCommit();
}

void Planner::SendCommit() {
  const MonotonicTime sent_at = loop_.now();
  const uint64_t epoch = board_.epoch.value;
  journal_.Commit(
      commit_in_flight_->rows,
      [this, epoch, sent_at](JournalOutcome outcome, const std::string& why) {
        if (!planning_ || board_.epoch.value != epoch) return;
        switch (outcome) {
          case JournalOutcome::kCommitted:
            // An earlier attempt may have changed the head row, from which the
            // next planner counts; see claimed_version_read_at_.
            board_.ownership_proven_at = commit_in_flight_->outcome_unknown
                                             ? commit_in_flight_->sent_at
                                             : sent_at;
            return HandleCommitSuccess();
          case JournalOutcome::kReplaced:
            return StepDown("replaced: " + why);
          case JournalOutcome::kRowsChanged:
            // Shows the ownership, but does not change the head row.
            return RetryWithoutRemovals();
          case JournalOutcome::kNotCommitted:
            if (!commit_in_flight_->outcome_unknown)
              return HandleCommitFailure(why);
            break;
          case JournalOutcome::kMaybeCommitted:
            commit_in_flight_->outcome_unknown = true;
            break;
        }
        // An earlier attempt may still take effect, so the same rows are sent
        // again.
        if (!store_failed_) Log(Event::kStoreLost, {{"reason", why}});
        store_failed_ = true;
        loop_.RunAfter(kCommitRetryDelay, [this, epoch] {
          if (planning_ && board_.epoch.value == epoch && commit_in_flight_)
            SendCommit();
        });
      });
}

void Planner::HandleCommitSuccess() {
  if (store_failed_) Log(Event::kStoreRegained, {});
  store_failed_ = false;
  const InFlightCommit commit = std::move(*commit_in_flight_);
  commit_in_flight_.reset();
  const MonotonicTime now = loop_.now();
  // Any later claim follows this commit, and reads the rows after that.
  for (auto& [id, vm] : board_.vms) {
    if (vm.listed_at < board_.ownership_proven_at) vm.row_unproven = false;
  }
  for (const auto& [id, state] : commit.states) {
    const auto it = board_.jobs.find(id);
    if (it == board_.jobs.end() || it->second.recorded == state) continue;
    it->second.recorded = state;
    Log(Event::kJobEnded, {{"job", id.value},
                           {"state", std::string(ToString(state))},
                           {"age_ms", (now - it->second.accepted_at).count()},
                           {"objective_ms", it->second.objective.count()}});
  }
  if (commit.all_changes) MarkChangesRecorded(board_, commit.change);
  std::vector<AnswerFn> fns;
  for (const JobId& id : commit.accepted) {
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
    auto node = pending_submissions_.extract(id);
    if (node.empty()) continue;
    for (auto& fn : node.mapped()) fns.push_back(std::move(fn));
  }
  std::erase_if(change_waiters_, [&](ChangeWaiter& waiter) {
    if (waiter.change > board_.recorded_change) return false;
    fns.push_back(std::move(waiter.fn));
    return true;
  });
  const JobAnswer ok = MakeAnswer(JobVerdict::kOk);
  for (auto& fn : fns) fn(ok);
  AnswerProvenAbsences();
  SchedulePlanning();
}

void Planner::RetryWithoutRemovals() {
  InFlightCommit& commit = *commit_in_flight_;
  const auto& changed = journal_.changed_rows();
  for (const auto& [vm, version] : commit.removals) {
    const StoreKey at = AgentRowKey(vm);
    std::erase(commit.rows.deletes, at);
    const bool is_changed =
        std::find(changed.begin(), changed.end(), at) != changed.end();
    if (!is_changed) pending_removals_.emplace(vm, version);
  }
  commit.removals.clear();
  commit.rows.checks.clear();
  commit.outcome_unknown = false;
  SendCommit();
}

void Planner::HandleCommitFailure(const std::string& why) {
  if (!store_failed_) Log(Event::kStoreLost, {{"reason", why}});
  store_failed_ = true;
  const InFlightCommit commit = std::move(*commit_in_flight_);
  commit_in_flight_.reset();
  for (const auto& [id, state] : commit.states) board_.dirty.insert(id);
  pending_deletes_.insert(pending_deletes_.begin(), commit.deletes.begin(),
                          commit.deletes.end());
  pending_removals_.insert(commit.removals.begin(), commit.removals.end());
  std::vector<AnswerFn> fns;
  for (const JobId& id : commit.accepted) {
    auto node = pending_submissions_.extract(id);
    if (node.empty()) continue;
    for (auto& fn : node.mapped()) fns.push_back(std::move(fn));
    RemoveJob(board_, id);
  }
  JobAnswer answer =
      MakeAnswer(JobVerdict::kUnavailable, "the store is away: " + why);
  answer.store_away = true;
  answer.owner_epoch = board_.epoch;
  for (auto& fn : fns) fn(answer);
}

}  // namespace almondtally::sched
