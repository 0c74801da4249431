#include "sched/ownership.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/log.h"
#include "planner/detail.h"
#include "planner/planner.h"

// Shard ownership: monitoring the head row, claiming the shard, releasing it.

namespace almondtally::sched {
namespace {

/// How often processes that are not planning read the head row.
constexpr Duration kHeadReadInterval{400};
/// Minimum time between attempts to take over from a planner that cannot reach
/// the store.
constexpr Duration kTakeOverRequestInterval{100};
/// Delay between attempts to read all rows after a takeover.
constexpr Duration kLoadRetryDelay{100};
constexpr Duration kEarlierOwnerTimeout{500};
constexpr Duration kEarlierOwnerRetryDelay{100};
constexpr size_t kMaxEarlierOwners = 16;

bool IsVacant(const std::optional<ShardHead>& head) {
  return !head || head->planner.empty();
}

/// @return the owners up to `head` that may still grant leases after the next
/// claim. An owner that has released the shard had stopped planning before.
std::vector<std::string> ListEarlierOwners(
    const std::optional<ShardHead>& head) {
  if (!head) return {};
  std::vector<std::string> out = head->earlier_owners;
  if (IsVacant(head)) return out;
  std::erase(out, head->address);
  out.push_back(head->address);
  if (out.size() > kMaxEarlierOwners) return {kUnknownOwner};
  return out;
}

}  // namespace

void Planner::WatchHead() {
  head_watch_.unchanged_since = loop_.now();
  ReadHead();
  loop_.RunEvery(kHeadReadInterval, [this] { ReadHead(); });
}

void Planner::ReadHead() {
  // A process that has released the shard keeps reading the head row, since it
  // must forward its callers to the next planner.
  if (planning_ || loading_ || head_watch_.read_in_flight) {
    head_watch_.unchanged_since = loop_.now();
    return;
  }
  head_watch_.read_in_flight = true;
  head_watch_.read_sent_at = loop_.now();
  journal_.Read([this](bool ok) {
    head_watch_.read_in_flight = false;
    store_read_failed_ = !ok;
    if (ok) UpdateOwnerFromHead();
    if (planning_ || loading_ || retiring_) return;
    const MonotonicTime now = loop_.now();
    if (!ok) {
      // A failed read says nothing about the owner: restart its timeout.
      head_watch_.unchanged_since = now;
      return;
    }
    if (journal_.version() != head_watch_.version) {
      head_watch_.version = journal_.version();
      head_watch_.unchanged_since = now;
      // An orphaned shard is not left until the next regular read.
      if (IsVacant(journal_.head())) {
        loop_.RunAfter(settings_.take_over_delay + ClaimDelay(ViewOfOwner(now)),
                       [this] { ReadHead(); });
      }
    }
    const auto& head = journal_.head();
    if (head && head->epoch != head_watch_.epoch) {
      head_watch_.epoch = head->epoch;
      head_watch_.epoch_seen_at = now;
    }
    if (IsShardClaimable(now) || IsOwnerTooWeak(now)) TakeOver();
  });
}

OwnerView Planner::ViewOfOwner(MonotonicTime now) const {
  const auto& head = journal_.head();
  OwnerView view;
  view.own = settings_.cpu;
  if (head) view.owner = head->cpu;
  view.seen_for = now - head_watch_.epoch_seen_at;
  return view;
}

bool Planner::IsOwnerTooWeak(MonotonicTime now) const {
  return !IsVacant(journal_.head()) && ShouldReplaceOwner(ViewOfOwner(now));
}

bool Planner::IsShardClaimable(MonotonicTime now) const {
  const auto& head = journal_.head();
  const bool vacant = IsVacant(head);
  const bool own_earlier_claim = head && head->planner == settings_.id.value;
  const Duration read_duration = now - head_watch_.read_sent_at;
  const Duration limit = vacant || own_earlier_claim
                             ? Duration(0)
                             : kOwnerTimeout + 2 * read_duration;
  return now - head_watch_.unchanged_since >=
         limit + settings_.take_over_delay + ClaimDelay(ViewOfOwner(now));
}

void Planner::UpdateOwnerFromHead() {
  const auto& head = journal_.head();
  if (head) UpdateOwner(head->epoch, head->address);
}

void Planner::UpdateOwner(PlannerEpoch epoch, const std::string& address) {
  if (owner_ && owner_->epoch > epoch) return;
  const auto parsed = ParseAddress(address);
  if (!parsed) {
    // The owner of that epoch released the shard.
    if (owner_ && owner_->epoch <= epoch) owner_.reset();
    return;
  }
  owner_ = ShardOwner{epoch, *parsed};
}

bool Planner::RequestTakeOver(PlannerEpoch epoch) {
  if (planning_ || loading_) return true;
  if (retiring_ || store_read_failed_) return false;
  const MonotonicTime now = loop_.now();
  if (now - last_take_over_request_ < kTakeOverRequestInterval) return true;
  if (take_over_request_pending_) return true;
  last_take_over_request_ = now;
  take_over_request_pending_ = true;
  loop_.RunAfter(ClaimDelay(ViewOfOwner(now)), [this, epoch] {
    journal_.Read([this, epoch](bool ok) {
      take_over_request_pending_ = false;
      store_read_failed_ = !ok;
      if (!ok || planning_ || loading_ || retiring_) return;
      UpdateOwnerFromHead();
      const auto& head = journal_.head();
      if (head && head->epoch == epoch) TakeOver();
    });
  });
  return true;
}

void Planner::TakeOver() {
  loading_ = true;
  ShardHead new_head;
  new_head.planner = settings_.id.value;
  new_head.address = ToString(settings_.peer);
  new_head.cpu = settings_.cpu;
  const auto& head = journal_.head();
  new_head.earlier_owners = ListEarlierOwners(head);
  new_head.epoch = PlannerEpoch(head ? head->epoch.value + 1 : 1);
  const std::string from = head ? head->planner : "";
  const MonotonicTime sent_at = loop_.now();
  // Each proof of the owner changes the row, so that the claim succeeds only if
  // none was given after this version was first read.
  const bool is_watched = journal_.version() == head_watch_.version;
  claimed_version_read_at_ = is_watched ? head_watch_.unchanged_since : sent_at;
  journal_.Claim(new_head, [this, from, sent_at](JournalOutcome outcome,
                                                 const std::string& why) {
    if (outcome != JournalOutcome::kCommitted) {
      loading_ = false;
      Log(Event::kShardClaimFailed, {{"reason", why}});
      return;
    }
    claim_sent_at_ = sent_at;
    UpdateOwnerFromHead();
    Log(Event::kShardClaimed,
        {{"epoch", static_cast<int64_t>(journal_.own_head().epoch.value)},
         {"from", from}});
    LoadRows();
  });
}

void Planner::LoadRows() {
  const auto retry = [this] {
    loop_.RunAfter(kLoadRetryDelay, [this] { LoadRows(); });
  };
  ReadAllRows(
      store_, table::kJobs, journal_.partition(),
      [this, retry](std::optional<StoreRows> jobs, const PlatformReason&) {
        if (!jobs) return retry();
        auto jobs_read = std::make_shared<StoreRows>(std::move(*jobs));
        ReadAllRows(store_, table::kProgress, journal_.partition(),
                    [this, retry, jobs_read](std::optional<StoreRows> progress,
                                             const PlatformReason&) {
                      if (!progress) return retry();
                      auto progress_read =
                          std::make_shared<StoreRows>(std::move(*progress));
                      ReadAllRows(store_, table::kAgents, journal_.partition(),
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
  admission_ = {};
  board_.epoch = journal_.own_head().epoch;
  board_.last_earlier_proof_at = claimed_version_read_at_;
  board_.ownership_proven_at = claim_sent_at_;
  board_.queues = queues_;
  board_.tail_limit = settings_.tail_limit;
  board_.features = settings_.features;
  board_.evacuations = evacuations_;
  board_.unix_offset_ms =
      settings_.wall_clock() - now.time_since_epoch().count();
  JobReason why;
  for (const StoreRow& row : jobs) {
    const auto record = DecodeRow<JobRecord>(row.value, why);
    if (!record) {
      Log(Event::kRowUnreadable, {{"row", row.at.key}, {"reason", why.text}});
      continue;
    }
    JobEntity& job = AddJob(board_, now, *record);
    job.accepted = true;
    job.loaded_from_store = true;
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
  for (const StoreRow& row : agents.rows) ApplyAgentRow(row);
  for (auto& [id, vm] : board_.vms) {
    vm.awaiting_first_sync = !vm.row_drained;
    // These rows were read after the claim.
    vm.row_unproven = false;
  }
  store_failed_ = false;
  last_commit_at_ = now;
  Log(Event::kPlanningStarted,
      {{"epoch", static_cast<int64_t>(board_.epoch.value)},
       {"jobs", static_cast<int64_t>(board_.jobs.size())},
       {"vms", static_cast<int64_t>(board_.vms.size())},
       {"row_version", static_cast<int64_t>(agents.version.value)}});
  WatchAgentRows(agents.version, board_.epoch.value);
  AskEarlierOwners();
  SchedulePlanning();
}

void Planner::AskEarlierOwners() {
  const std::vector<std::string> owners = journal_.earlier_owners();
  if (owners.empty()) board_.earlier_planners_stopped_at = loop_.now();
  for (const std::string& owner : owners) {
    // No other process can have this process's address.
    if (owner == ToString(settings_.peer)) {
      HandleEarlierOwnerStopped(owner);
    } else {
      AskEarlierOwner(owner, board_.epoch.value);
    }
  }
  // Nobody who owned the shard before this claim can prove it any longer.
  const Duration proofs_left =
      std::max(Duration(0), board_.last_earlier_proof_at +
                                kOwnershipProofValidity - loop_.now());
  loop_.RunAfter(proofs_left, [this, epoch = board_.epoch.value] {
    if (!planning_ || board_.epoch.value != epoch) return;
    const std::vector<std::string> silent = journal_.earlier_owners();
    for (const std::string& owner : silent) HandleEarlierOwnerStopped(owner);
  });
}

void Planner::AskEarlierOwner(const std::string& owner, uint64_t epoch) {
  if (!planning_ || board_.epoch.value != epoch) return;
  const auto& owners = journal_.earlier_owners();
  if (std::find(owners.begin(), owners.end(), owner) == owners.end()) return;
  const auto address = ParseAddress(owner);
  if (!address) return;
  JobCall call;
  call.verb = JobVerb::kCount;
  links_.Send<JobAnswer>(
      *address, path::kJobCall, call, kEarlierOwnerTimeout,
      [this, owner, epoch, to = *address](std::optional<JobAnswer> answer,
                                          const WireReason& why) {
        if (!planning_ || board_.epoch.value != epoch) return;
        if (answer && answer->stopped) {
          return HandleEarlierOwnerStopped(owner);
        }
        if (why.code == WireError::kTimeout) links_.Drop(to);
        loop_.RunAfter(kEarlierOwnerRetryDelay,
                       [this, owner, epoch] { AskEarlierOwner(owner, epoch); });
      });
}

void Planner::HandleEarlierOwnerStopped(const std::string& owner) {
  const auto& owners = journal_.earlier_owners();
  if (std::find(owners.begin(), owners.end(), owner) == owners.end()) return;
  Log(Event::kEarlierOwnerStopped,
      {{"owner", owner}, {"epoch", static_cast<int64_t>(board_.epoch.value)}});
  journal_.RemoveEarlierOwner(owner);
  if (!journal_.earlier_owners().empty()) return;
  board_.earlier_planners_stopped_at = loop_.now();
  SchedulePlanning();
}

void Planner::StepDown(const std::string& reason) {
  if (!planning_) return;
  planning_ = false;
  Log(Event::kPlanningStopped,
      {{"epoch", static_cast<int64_t>(board_.epoch.value)},
       {"reason", reason}});
  commit_in_flight_.reset();
  board_ = {};
  admission_ = {};
  poll_generations_.clear();
  pending_deletes_.clear();
  pending_removals_.clear();
  removed_rows_.clear();
  // It is not known whether the next planner will find these jobs in the store.
  auto accepting = std::exchange(pending_submissions_, {});
  auto waiters = std::exchange(change_waiters_, {});
  auto unknown = std::exchange(absence_waiters_, {});
  const JobAnswer answer = MakeAnswer(JobVerdict::kUnknown, "planner replaced");
  for (auto& [job, fns] : accepting) {
    for (auto& fn : fns) fn(answer);
  }
  for (auto& waiter : waiters) waiter.fn(answer);
  JobAnswer no_effect = answer;
  no_effect.no_effect = true;
  for (auto& waiter : unknown) waiter.fn(no_effect);
}

void Planner::ReleaseShard() {
  retiring_ = true;
  if (!planning_ || commit_in_flight_) {
    if (planning_) loop_.RunAfter(Duration(5), [this] { ReleaseShard(); });
    return;
  }
  StepDown("retiring");
  journal_.Release([](JournalOutcome outcome, const std::string& why) {
    if (outcome == JournalOutcome::kCommitted) return;
    Log(Event::kShardReleaseFailed, {{"reason", why}});
  });
}

}  // namespace almondtally::sched
