#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/log.h"
#include "planner/detail.h"
#include "planner/planner.h"

// Who plans the shard: watching its head row, taking it over, handing it on.

namespace almondtally::sched {
namespace {

/// How often processes that do not plan read the head row.
constexpr Duration kWatchEvery{400};
/// A head that has not changed for this long, over successful reads, belongs
/// to an owner that is gone: three heartbeats.
constexpr Duration kOwnerSilence{1'300};
/// How often a process tries to take over from a planner without the store.
constexpr Duration kOfferEvery{100};
/// Time between attempts to read all rows after a takeover.
constexpr Duration kLoadRetry{100};

}  // namespace

void Planner::WatchHead() {
  watch_.since = loop_.now();
  ReadHead();
  loop_.Every(kWatchEvery, [this] { ReadHead(); });
}

void Planner::ReadHead() {
  // A process that retires goes on reading: its callers need the next planner.
  if (planning_ || loading_ || watch_.reading) {
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
  ReadAll(store_, table::kJobs, journal_.partition(),
          [this, retry](std::optional<StoreRows> jobs, const PlatformReason&) {
            if (!jobs) return retry();
            auto jobs_read = std::make_shared<StoreRows>(std::move(*jobs));
            ReadAll(store_, table::kProgress, journal_.partition(),
                    [this, retry, jobs_read](std::optional<StoreRows> progress,
                                             const PlatformReason&) {
                      if (!progress) return retry();
                      auto progress_read =
                          std::make_shared<StoreRows>(std::move(*progress));
                      ReadAll(store_, table::kAgents, journal_.partition(),
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

}  // namespace almondtally::sched
