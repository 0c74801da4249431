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
#include "planner/succession.h"
#include "sched/admission.h"
#include "sched/shard_state.h"
#include "wire/loop.h"

namespace almondtally::sched {

struct PlannerSettings {
  EntryId id;
  /// Address at which other processes of the system reach this one.
  Address peer;
  /// Extra delay before claiming a shard without an owner, so that processes
  /// with more processor time claim it first.
  Duration take_over_delay{};
  /// Processor time of this process; 0 if not known.
  MilliCpu cpu;
  /// How long the state of an ended job can be queried.
  Duration ended_job_retention{120'000};
  /// How long a serving task may exceed its tail latency target while fillers
  /// run on the same VM.
  Duration tail_limit = kDefaultTailLimit;
  PlanningFeatures features;
  /// @return Unix time in ms. Tests replace it.
  std::function<int64_t()> wall_clock = WallClockMillis;
  /// Longest age of a reading of the evacuation requests by which tasks start;
  /// 0 if there are no such requests.
  Duration max_evacuation_age{};
};

/// The process that plans a shard.
struct ShardOwner {
  PlannerEpoch epoch;
  Address address;
};

/// Plans one shard of jobs while this process owns it, and monitors the current
/// owner otherwise. Does all planner I/O; scheduling decisions are made by the
/// functions that operate on `ShardState`.
class Planner {
 public:
  using AnswerFn = std::function<void(const JobAnswer&)>;

  /// All references must outlive the planner.
  Planner(EventLoop& loop, PeerLinks& links, const Store& store,
          Metrics& metrics, PlannerSettings settings);

  void Start();
  /// Stops planning and releases the shard so that another process can claim
  /// it at once. Returns immediately; a commit in flight is awaited first.
  void ReleaseShard();

  bool planning() const { return planning_; }
  /// @return the last known owner of the shard; empty if none is known.
  const std::optional<ShardOwner>& owner() const { return owner_; }
  /// Updates the known owner unless `epoch` is older than the current one. An
  /// empty address means that the owner of that epoch released the shard.
  void UpdateOwner(PlannerEpoch epoch, const std::string& address);
  /// Called when the planner of `epoch` reported that it cannot reach the
  /// store: claims the shard if this process can reach the store.
  /// @return false if this process is shutting down or cannot reach the store
  /// either.
  bool RequestTakeOver(PlannerEpoch epoch);

  /// Handles a caller's request. Unless this process is planning, the answer
  /// only names the known owner.
  void Handle(const JobCall& call, AnswerFn fn);
  /// Applies the queue terms of a new configuration.
  void SetQueues(const std::map<QueueId, QueueTerms>& queues);
  /// Applies a reading of the requests to evacuate data centres.
  void SetEvacuations(const EvacuationReading& reading);
  void UpdateMetrics();

 private:
  /// A caller that is answered once progress change `change` is in the store.
  struct ChangeWaiter {
    uint64_t change = 0;
    AnswerFn fn;
  };

  /// A request about a job that this planner does not know. It is decided once
  /// a commit that was sent after its arrival has succeeded.
  struct AbsenceWaiter {
    JobCall call;
    MonotonicTime arrived_at{};
    AnswerFn fn;
    /// Sent if the job is still not known then.
    JobAnswer answer;
  };

  // Ownership.
  void WatchHead();
  void ReadHead();
  bool IsShardClaimable(MonotonicTime now) const;
  bool IsOwnerTooWeak(MonotonicTime now) const;
  OwnerView ViewOfOwner(MonotonicTime now) const;
  void UpdateOwnerFromHead();
  void TakeOver();
  void LoadRows();
  /// Asks the earlier owners whether they have stopped planning. The leases
  /// that they have granted then end sooner than those of an owner that is
  /// silent.
  void AskEarlierOwners();
  void AskEarlierOwner(const std::string& owner, uint64_t epoch);
  void HandleEarlierOwnerStopped(const std::string& owner);
  void BeginPlanning(const std::vector<StoreRow>& jobs,
                     const std::vector<StoreRow>& progress,
                     const StoreRows& agents);
  void StepDown(const std::string& reason);

  // Callers' requests.
  void Submit(const JobCall& call, AnswerFn fn);
  /// @return the answer to the caller of a job that is rejected because it
  /// surely ends too late; empty if it is accepted.
  /// Sets the record's time to that of the caller's first attempt.
  std::optional<JobAnswer> RejectLateJob(JobRecord& record);
  void LogAdmission(const JobSpec& spec, const AdmissionDecision& decision);
  void Cancel(const JobCall& call, AnswerFn fn);
  void Read(const JobCall& call, AnswerFn fn);
  /// Handles a request about a job that this planner does not know. A successor
  /// may have accepted the job, so that the answer waits for a proof that there
  /// was none when the request arrived.
  /// @param answer sent if there was none.
  void HandleUnknownJob(const JobCall& call, const JobAnswer& answer,
                        AnswerFn fn);
  /// Answers the requests about unknown jobs that arrived before the last proof
  /// of ownership was sent.
  void AnswerProvenAbsences();
  /// Answers the requests about unknown jobs that have waited too long for a
  /// proof.
  void RefuseUnprovenAbsences();

  // Agents.
  void ApplyAgentRow(const StoreRow& row);
  void WatchAgentRows(RowVersion after, uint64_t epoch);
  void Poll(const VmId& id);
  void SendOrders();
  SyncRequest MakeRequest(VmEntity& vm) const;
  void HandleReport(const VmId& id, const SyncReport& report);
  void RemoveSilentVms();
  StoreKey AgentRowKey(const VmId& vm) const;

  // Planning and commits.
  void SchedulePlanning();
  void RunPlanningPass();
  void LogOutdatedEvacuations();
  void Tick();
  void CommitPending();
  void SendCommit();
  void HandleCommitSuccess();
  void HandleCommitFailure(const std::string& why);
  /// Sends the commit in flight again without the removals of VMs' rows, since
  /// agents have written some of them again.
  void RetryWithoutRemovals();
  void LogDecisions(const Decisions& log);
  bool StoreIsDown() const;

  EventLoop& loop_;
  PeerLinks& links_;
  const Store& store_;
  Metrics& metrics_;
  PlannerSettings settings_;

  Journal journal_;
  /// How long the head row has been unchanged in this process's own reads.
  struct HeadWatch {
    RowVersion version;
    MonotonicTime unchanged_since{};
    PlannerEpoch epoch;
    MonotonicTime epoch_seen_at{};
    MonotonicTime read_sent_at{};
    bool read_in_flight = false;
  };
  HeadWatch head_watch_;
  std::optional<ShardOwner> owner_;
  bool store_read_failed_ = false;
  MonotonicTime last_take_over_request_{};
  bool take_over_request_pending_ = false;
  bool planning_ = false;
  bool loading_ = false;
  bool retiring_ = false;
  ShardState board_;
  AdmissionState admission_;
  std::map<QueueId, QueueTerms> queues_;
  Evacuations evacuations_;
  bool evacuations_outdated_ = false;

  bool planning_scheduled_ = false;
  Duration last_pass_duration_{};
  /// Submitted jobs whose records are not stored yet, with the callers that
  /// wait for the outcome.
  std::map<JobId, std::vector<AnswerFn>> pending_submissions_;
  std::vector<ChangeWaiter> change_waiters_;
  /// In the order of their arrival.
  std::vector<AbsenceWaiter> absence_waiters_;
  /// Rows of ended jobs, each job's own row before its progress: a job without
  /// progress would run again.
  std::deque<StoreKey> pending_deletes_;
  /// VMs whose rows are to be removed, with the version that the removal
  /// expects.
  std::map<VmId, RowVersion> pending_removals_;
  /// The latest version of each VM's row that this planner has decided to
  /// remove.
  std::map<VmId, RowVersion> removed_rows_;

  /// A commit that has been sent and whose outcome is not known yet.
  struct InFlightCommit {
    std::vector<JobId> accepted;
    std::vector<std::pair<JobId, JobState>> states;
    uint64_t change = 0;
    bool all_changes = false;
    std::vector<StoreKey> deletes;
    std::map<VmId, RowVersion> removals;
    StoreTransaction rows;
    MonotonicTime sent_at{};
    /// An earlier attempt may have committed these rows.
    bool outcome_unknown = false;
  };
  std::optional<InFlightCommit> commit_in_flight_;
  MonotonicTime last_commit_at_{};
  /// When the claim of the present ownership was sent.
  MonotonicTime claim_sent_at_{};
  /// When the version of the head row was first read that the claim expects.
  MonotonicTime claimed_version_read_at_{};
  bool store_failed_ = false;
  /// Generation of the poll loop of each VM; answers and timers of an older
  /// generation are ignored.
  std::map<VmId, uint64_t> poll_generations_;
  uint64_t last_poll_generation_ = 0;
};

}  // namespace almondtally::sched
