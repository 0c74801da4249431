#pragma once

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "external/store.h"
#include "metrics/metrics.h"
#include "peer/links.h"
#include "planner/journal.h"
#include "sched/board.h"
#include "wire/loop.h"

namespace almondtally::sched {

struct PlannerSettings {
  EntryId id;
  /// Where other processes of the system reach this one.
  Address peer;
  /// How long an orphan shard is left to processes with more processor time.
  Duration take_over_delay{};
  /// How long the state of an ended job can be asked for.
  Duration keep_ended{120'000};
  /// How long a serving task may miss its tail latency beside fillers.
  Duration tail_limit = kDefaultTailLimit;
};

/// Who plans a shard.
struct Owner {
  PlannerEpoch epoch;
  Address address;
};

/// Plans one shard of jobs while it owns it, and watches its owner otherwise.
/// All I/O of planning: the decisions are those of the board.
class Planner {
 public:
  using AnswerFn = std::function<void(const JobAnswer&)>;

  /// @param store must outlive the planner, like the rest.
  Planner(Loop& loop, Links& links, const Store& store, Metrics& metrics,
          PlannerSettings settings);

  void Start();
  /// Hands the shard over to another process.
  void Retire();

  bool planning() const { return planning_; }
  /// @return who plans, as far as this process knows; empty if it does not.
  const std::optional<Owner>& owner() const { return owner_; }
  /// Takes over what another process knows of who plans.
  void TakeOwnerHint(PlannerEpoch epoch, const std::string& address);
  /// The planner of `epoch` said that it cannot reach the store: takes over
  /// if this process can.
  /// @return false if this process cannot either.
  bool OfferTakeOver(PlannerEpoch epoch);

  /// Answers a caller's request. Only while planning.
  void Handle(const JobCall& call, AnswerFn fn);
  /// Takes over terms of queues from a configuration.
  void SetQueues(const std::map<QueueId, QueueTerms>& queues);
  /// Brings the gauges up to date.
  void UpdateMetrics();

 private:
  struct Waiter {
    uint64_t change = 0;
    AnswerFn fn;
  };

  // Ownership.
  void WatchHead();
  void ReadHead();
  bool IsOrphan(MonotonicTime now) const;
  void NoteHead();
  void TakeOver();
  void LoadRows();
  void BeginPlanning(const std::vector<StoreRow>& jobs,
                     const std::vector<StoreRow>& progress,
                     const StoreRows& agents);
  void StepDown(const std::string& reason);

  // Callers.
  void Submit(const JobCall& call, AnswerFn fn);
  void Cancel(const JobCall& call, AnswerFn fn);
  void Read(const JobCall& call, const AnswerFn& fn);

  // Agents.
  void TakeAgentRow(const StoreRow& row);
  void FollowAgents(RowVersion after, uint64_t epoch);
  void Poll(const VmId& id);
  void SendOrders();
  SyncRequest MakeRequest(VmEntity& vm) const;
  void TakeAnswer(const VmId& id, const SyncReport& report);
  void ForgetLostVms();

  // Work.
  void Kick();
  void Run();
  void Tick();
  void Flush();
  void SendFlight();
  void TakeCommitted();
  void TakeCommitFailure(const std::string& why);
  void LogDecisions(const Decisions& log);
  bool StoreIsDown() const;

  Loop& loop_;
  Links& links_;
  const Store& store_;
  Metrics& metrics_;
  PlannerSettings settings_;

  Journal journal_;
  /// How long the head has been the same, by this process's own reads.
  struct Watch {
    RowVersion version;
    MonotonicTime since{};
    MonotonicTime asked_at{};
    bool reading = false;
  };
  Watch watch_;
  std::optional<Owner> owner_;
  bool store_read_failed_ = false;
  MonotonicTime offered_at_{};
  bool planning_ = false;
  bool loading_ = false;
  bool retiring_ = false;
  Board board_;
  std::map<QueueId, QueueTerms> queues_;

  bool kicked_ = false;
  /// Jobs whose records are to be written, and the callers that wait.
  std::map<JobId, std::vector<AnswerFn>> accepting_;
  std::vector<Waiter> waiters_;
  std::vector<StoreKey> deletes_;

  /// The commit in flight.
  struct Flight {
    std::vector<JobId> accepted;
    std::vector<std::pair<JobId, JobState>> states;
    uint64_t change = 0;
    bool all_changes = false;
    std::vector<StoreKey> deletes;
    StoreTransaction rows;
    MonotonicTime sent_at{};
    bool unsure = false;
  };
  std::optional<Flight> flight_;
  MonotonicTime flushed_at_{};
  MonotonicTime proof_at_{};
  bool store_failed_ = false;
  std::map<VmId, uint64_t> polls_;
  uint64_t poll_count_ = 0;
};

}  // namespace almondtally::sched
