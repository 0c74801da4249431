#pragma once

#include <deque>
#include <string>

#include "agent/registration.h"
#include "agent/run_table.h"
#include "external/store.h"
#include "metrics/metrics.h"
#include "settings/setting.h"
#include "wire/http_server.h"
#include "wire/loop.h"

namespace almondtally::sched {

struct AgentSettings {
  VmId vm;
  DataCentreId data_centre;
  /// Address at which planners reach this process.
  Address peer;
  /// Longest lease that the worker gives.
  Duration max_worker_lease = kDefaultMaxWorkerLease;
};

/// Manages the worker of one VM: carries out the planner's orders, renews the
/// leases of the runs and reports their progress and ends. Does all I/O for
/// `RunTable`, which holds the state and the decisions.
class Agent {
 public:
  /// All references must outlive the agent.
  Agent(EventLoop& loop, const Store& store, Metrics& metrics,
        WorkerCalls worker, AgentSettings settings);

  void Start();
  /// Handles a planner's request. If there is nothing to report, the answer is
  /// delayed for up to the wait that the request asks for.
  void HandleSync(const Exchange& exchange);
  /// Handles an announcement of the worker.
  void HandleWorkerHello(const WorkerHello& hello);
  /// Handles the message of a worker that leaves; marks it as draining.
  void HandleWorkerLeave(const WorkerId& worker);
  const RunTable& table() const { return table_; }
  void UpdateMetrics();

 private:
  /// A sync request whose answer is delayed.
  struct PendingSync {
    Exchange exchange;
    SyncRequest request;
    MonotonicTime answer_by{};
  };

  void Renew();
  void LogSettledStarts();
  void LogHeldRuns();
  void LogLapses();
  void LogDraining();
  void LogMissedTargets();
  void SendWorkerCalls();
  void AnswerPendingSyncs();
  void Answer(const Exchange& exchange, const SyncRequest& request);
  /// Begins the next call to the store, if one is needed.
  void Register();
  void ReadAgentRow();
  void WriteAgentRow();
  void ReadHead();
  StoreKey RowKey() const;
  void LogPlanner(PlannerEpoch previous_epoch) const;
  void LogWorker() const;
  void LogFormerLease() const;
  void Tick();
  void ReportCallResult(const char* what, const TaskKey& task, RunNumber run,
                        const CallResult& result, const WorkerCall& call);

  EventLoop& loop_;
  const Store& store_;
  Metrics& metrics_;
  WorkerCalls worker_;
  AgentSettings settings_;
  RunTable table_;
  std::deque<PendingSync> pending_syncs_;
  bool renewal_in_flight_ = false;
  MonotonicTime next_renewal_at_{};
  MonotonicTime renewal_wait_end_{};
  /// Number of the newest renewal; results of older ones are ignored.
  uint64_t renewal_generation_ = 0;
  /// Cases of a target missed for the allowed time beside fillers at work.
  uint64_t targets_missed_long_ = 0;
  /// How often the agent began to keep fillers paused by itself.
  uint64_t filler_holds_ = 0;
  Registration registration_;
  /// As last logged; see WhyNotDrained.
  const char* not_drained_reason_ = nullptr;
};

}  // namespace almondtally::sched
