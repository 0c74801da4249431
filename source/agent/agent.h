#pragma once

#include <deque>
#include <string>

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
  /// Where planners reach this process.
  Address peer;
};

/// The process beside one VM: carries out a planner's orders at the worker,
/// keeps the leases of its runs and reports what becomes of them. All I/O of
/// the run table.
class Agent {
 public:
  /// @param store must outlive the agent, like the rest.
  Agent(Loop& loop, const Store& store, Metrics& metrics, RunWorker worker,
        AgentSettings settings);

  void Start();
  /// Answers a planner's request, later if there is nothing new yet.
  void HandleSync(const Exchange& exchange);
  /// The worker said that it is there.
  void TakeWorkerHello(const WorkerHello& hello);
  /// The worker signed off.
  void TakeWorkerLeave(const WorkerId& worker);
  const RunTable& table() const { return table_; }
  void UpdateMetrics();

 private:
  struct Waiting {
    Exchange exchange;
    SyncRequest request;
    MonotonicTime until{};
  };

  void Renew();
  void Act();
  void AnswerWaiting();
  void Answer(const Exchange& exchange, const SyncRequest& request);
  void KeepListed();
  void WriteRow();
  void Tick();
  void LogCall(const char* what, const TaskKey& task, RunNumber run,
               const CallResult& result, const WorkerCall& call);

  Loop& loop_;
  const Store& store_;
  Metrics& metrics_;
  RunWorker worker_;
  AgentSettings settings_;
  RunTable table_;
  std::deque<Waiting> waiting_;
  bool renewing_ = false;
  MonotonicTime renew_at_{};
  MonotonicTime renew_until_{};
  uint64_t renew_count_ = 0;
  bool listed_ = false;
  bool listing_ = false;
  MonotonicTime check_row_at_{};
};

}  // namespace almondtally::sched
