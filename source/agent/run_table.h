#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "sched/messages.h"
#include "sched/worker.h"

namespace almondtally::sched {

/// One run on this VM.
struct AgentRun {
  StartOrder order;
  RunPhase phase = RunPhase::kStarting;
  /// False for a run found at the worker whose size no planner has told yet.
  bool sized = true;
  bool call_in_flight = false;
  /// A start went unanswered under `call_fencing`; it may still take effect.
  bool unsure = false;
  uint64_t call_fencing = 0;
  /// When the worker confirmed the start.
  MonotonicTime confirmed_at{};
  bool stop_wanted = false;
  MonotonicTime next_stop_at{};
  int64_t pace_wanted = 100;
  int64_t pace = 100;
  MonotonicTime next_pace_at{};
  std::string checkpoint;
  int64_t percent = 0;
  int64_t measure = -1;
  /// Report version of its last change, and when measures last changed it.
  uint64_t version = 0;
  MonotonicTime measured_at{};
};

/// An end that the planner has not recorded yet.
struct AgentEnd {
  EndReport report;
  /// The worker's number of it; 0 if the agent concluded the end by itself.
  uint64_t worker_number = 0;
};

/// What the worker says about itself.
struct WorkerHello {
  WorkerReport worker;
  /// Unix time of the worker's start; 0 if not said.
  int64_t born_ms = 0;
};

/// The runs of one VM. Plain data: the functions below change it and return
/// what is to be done; nothing here does any I/O.
struct RunTable {
  AgentLife life;
  PlannerEpoch epoch;
  std::string planner;
  std::string planner_address;
  uint64_t version = 1;
  uint64_t batch = 0;
  MonotonicTime contacted_at{};
  MonotonicTime started_at{};
  /// The worker was listed in this life, or any lease of a former life of
  /// this process has run out.
  bool settled = false;

  WorkerReport worker;
  int64_t worker_born_ms = 0;
  /// A pair of readings: the worker's clock showed at least `clock_ms` at
  /// `clock_at`.
  bool clock_known = false;
  int64_t clock_ms = 0;
  MonotonicTime clock_at{};

  uint64_t fencing = 0;
  /// Until when the planner lets the runs go on.
  MonotonicTime lease_until{};
  /// The latest such time that the worker may have been told, and what calls
  /// in flight may tell it.
  MonotonicTime lease_told_until{};
  std::multiset<MonotonicTime> leases_in_flight;

  std::map<TaskKey, AgentRun> runs;
  std::deque<AgentEnd> ends;
  uint64_t last_end = 0;
  uint64_t worker_end_seen = 0;
  uint64_t worker_end_recorded = 0;
  /// An answer is needed at once, since a call went unanswered.
  bool renew_now = false;
};

/// Takes over what the worker said about itself.
/// @return true if this is another life of the worker than before.
bool TakeHello(RunTable& table, MonotonicTime now, const WorkerHello& hello);

/// Takes over a planner's request: leases, orders and recorded ends.
/// @return false if the planner was replaced by a newer one.
bool TakeRequest(RunTable& table, MonotonicTime now,
                 const SyncRequest& request);

/// @return true if a report would hold anything the planner has not seen.
bool HasNews(const RunTable& table, const SyncRequest& request);

/// @return what is new since the request's `seen_version` and `seen_end`.
SyncReport MakeReport(const RunTable& table, MonotonicTime now,
                      const SyncRequest& request);

/// A call to the worker that is to be made now.
struct StartCall {
  WorkerCall call;
  WorkerStart start;
  /// The end of the lease that it carries, on our clock.
  MonotonicTime lease_until{};
};
struct StopCall {
  WorkerCall call;
  TaskKey task;
  RunNumber run;
};
struct PaceCall {
  WorkerCall call;
  TaskKey task;
  RunNumber run;
  int64_t percent = 100;
};

/// @return starts to be called now, marked as being called.
std::vector<StartCall> TakeStarts(RunTable& table, MonotonicTime now);
void TakeStarted(RunTable& table, MonotonicTime now, const StartCall& call,
                 const CallResult& result);

std::vector<StopCall> TakeStops(RunTable& table, MonotonicTime now);
void TakeStopped(RunTable& table, MonotonicTime now, const StopCall& call,
                 const CallResult& result);

std::vector<PaceCall> TakePaces(RunTable& table, MonotonicTime now);
void TakePaced(RunTable& table, MonotonicTime now, const PaceCall& call,
               const CallResult& result);

/// A renewal of all leases.
struct RenewCall {
  WorkerCall call;
  uint64_t recorded = 0;
  Duration wait{};
  MonotonicTime sent_at{};
  /// The end of the lease that it carries, on our clock.
  MonotonicTime lease_until{};
};

/// @return the next renewal, or empty if no worker is known.
std::optional<RenewCall> TakeRenewal(RunTable& table, MonotonicTime now);
/// Takes over the worker's lists.
void TakeListing(RunTable& table, MonotonicTime now, const RenewCall& call,
                 const WorkerListing& listing);
void TakeRenewFailure(RunTable& table, MonotonicTime now, const RenewCall& call,
                      const CallResult& result);

/// Concludes that runs ended because the worker cannot have renewed leases.
void ExpireLeases(RunTable& table, MonotonicTime now);

}  // namespace almondtally::sched
