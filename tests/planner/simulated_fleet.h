#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "agent/registration.h"
#include "agent/run_table.h"
#include "planner/gateway.h"
#include "planner/memory_store.h"
#include "planner/planner.h"
#include "planner/run_judge.h"

namespace almondtally::sched {

/// What a process gets from the store.
enum class StoreLink : uint8_t {
  kUp,
  /// Calls are not sent.
  kUnreachable,
  /// Calls are carried out, but their answers are lost.
  kAnswersLost,
  /// Commits are not answered, and are carried out later if their conditions
  /// then hold.
  kAppliedLate,
};

/// What becomes of the calls of an agent to the worker of its VM.
enum class WorkerLink : uint8_t {
  kUp,
  /// No connection comes about, and the worker's announcements are lost.
  kUnreachable,
  /// Calls and announcements are lost.
  kLost,
  /// Calls are carried out later, by the process that then has the worker's id,
  /// and are not answered. Announcements arrive.
  kCarriedOutLate,
};

/// What becomes of the renewal that is on its way when agent or worker restart.
enum class RenewalOnItsWay : uint8_t {
  /// The worker's present process carries it out: after a restart of the worker
  /// the next one, although it was meant for the former one.
  kCarriedOut,
  kLost,
};

/// @return the submission of a job with one step.
JobCall MakeSubmission(const std::string& id, uint32_t tasks, MilliCpu each);

/// Entries, agents and their workers, each process with an event loop of its
/// own on a paused clock. Each direction of a link between two processes can be
/// cut, and so can each process's link to the store.
class SimulatedFleet {
 public:
  /// @param max_evacuation_age see PlannerSettings.
  SimulatedFleet(size_t entries, size_t vms, PlanningFeatures features = {},
                 Duration max_evacuation_age = {});
  SimulatedFleet(const SimulatedFleet&) = delete;
  SimulatedFleet& operator=(const SimulatedFleet&) = delete;

  void Advance(Duration by);
  MonotonicTime now() const { return now_; }
  MemoryStore& memory() { return memory_; }

  static Address EntryAddress(size_t entry);
  static Address AgentAddress(size_t vm);
  static VmId VmIdOf(size_t vm);
  /// Each VM is in a data centre of its own.
  static DataCentreId DataCentreOf(size_t vm);

  /// Messages in this direction, including answers, are lost while it is cut.
  void Cut(const Address& from, const Address& to) { cut_.insert({from, to}); }
  void CutBothWays(const Address& a, const Address& b);
  void HealLinks() { cut_.clear(); }
  /// Messages to agents wait for a cut to heal for so long, as on a connection
  /// that sends again, instead of being lost at once.
  void SetMessageHoldTime(Duration time) { message_hold_time_ = time; }
  void SetStoreLink(const Address& process, StoreLink link) {
    store_links_[process] = link;
  }
  void HealStoreLinks() { store_links_.clear(); }
  /// Sets after which time commits are carried out under kAppliedLate.
  void SetLateCommitDelay(Duration delay) { late_commit_delay_ = delay; }
  /// Calls that are on their way under kCarriedOutLate are carried out whatever
  /// becomes of the link.
  void SetWorkerLink(size_t vm, WorkerLink link);
  /// Sets after which time calls are carried out that are sent from now on
  /// under kCarriedOutLate.
  void SetLateCallDelay(Duration delay) { late_call_delay_ = delay; }
  /// @return Unix time in ms; the same on all machines.
  int64_t unix_ms() const;

  Planner& planner(size_t entry) { return entries_[entry]->planner; }
  /// @return the entries whose processes plan the shard.
  std::vector<size_t> ListPlanners() const;
  /// Hands a caller's request to an entry. There is no answer if the process of
  /// the entry ends meanwhile.
  void Call(size_t entry, const JobCall& call, Duration timeout,
            Planner::AnswerFn fn);
  /// Ends the process of an entry and starts another one.
  void RestartEntry(size_t entry);
  /// Makes the process of an entry stop planning, as before a planned end.
  void ReleaseShard(size_t entry) { entries_[entry]->planner.ReleaseShard(); }
  /// A frozen process does nothing. It answers what it received meanwhile once
  /// it is thawed.
  void SetFrozen(const Address& process, bool frozen);
  /// Ends the process of an agent and starts another one; the worker goes on.
  void RestartAgent(size_t vm,
                    RenewalOnItsWay renewal = RenewalOnItsWay::kCarriedOut);
  /// Sets how fast the steady clock of a VM's worker advances, in percent of
  /// the true rate; to be set while its process is new.
  void SetClockRate(size_t vm, int percent) {
    vms_[vm].clock_rate_percent = percent;
  }
  /// Ends a worker's process with all its runs and starts another one under
  /// the same id.
  void RestartWorker(size_t vm,
                     RenewalOnItsWay renewal = RenewalOnItsWay::kCarriedOut);

  /// The worker announces that it will leave.
  void DrainWorker(size_t vm);

  /// Decides how a run ends and after which time, or, without a time, that it
  /// runs until it is stopped. Called for the first task of a gang once all its
  /// tasks run.
  using FateFn = std::function<std::pair<RunEnd, std::optional<Duration>>(
      const TaskKey&, RunNumber)>;
  void SetFate(FateFn fate) { fate_ = std::move(fate); }

  /// @return all runs that workers have started, in the order of their starts.
  const std::deque<SimulatedRun>& runs() const { return runs_; }
  size_t CountRunning(size_t vm) const;
  /// @return true if a start call is on its way that will be carried out late.
  bool HasLateStart(size_t vm) const;
  /// @return what broke the rule that a task runs on one VM at a time, and is
  /// not started again after an end as done that was acknowledged.
  std::vector<std::string> doubled() const { return FindDoubledRuns(runs_); }

 private:
  struct Entry {
    Entry(SimulatedFleet& fleet, size_t number, uint64_t process);

    EventLoop loop;
    uint64_t process;
    PeerLinks links;
    Store store;
    Planner planner;
    Gateway gateway;
    bool frozen = false;
  };

  struct PendingSync {
    SyncRequest request;
    MonotonicTime answer_by{};
    PeerLinks::BytesCallback reply;
  };

  /// A start or stop call that is not answered.
  struct UnansweredCall {
    MonotonicTime times_out_at{};
    CallResult result;
    std::variant<StartCall, StopCall> call;
  };

  struct Agent {
    EventLoop loop;
    RunTable table;
    Store store;
    Registration registration;
    std::optional<RenewCall> renewal;
    /// How the renewal ends if its answer is lost.
    std::optional<CallResult> renewal_failure;
    MonotonicTime next_renewal_at{};
    std::vector<UnansweredCall> unanswered;
    std::vector<PendingSync> pending;
    bool frozen = false;
  };

  struct Worker {
    WorkerId id;
    MonotonicTime born_at{};
    uint64_t fencing = 0;
    bool draining = false;
    MonotonicTime lease_until{};
    uint64_t last_end = 0;
    /// Indexes into `runs_`.
    std::map<TaskKey, size_t> running;
    /// Highest run of each task that was ended or stopped here; it and lower
    /// ones do not start.
    std::map<TaskKey, RunNumber> ended;
    std::vector<size_t> unacknowledged;
  };

  /// One run of all tasks of a gang.
  struct GangRun {
    /// Indexes into `runs_`.
    std::vector<size_t> members;
  };
  /// First task of the gang.
  using GangRunKey = std::pair<TaskKey, RunNumber>;

  struct LateCommit {
    MonotonicTime due_at{};
    StoreTransaction rows;
  };

  /// A message to an agent that waits for a cut to heal.
  struct HeldMessage {
    Address from;
    Address to;
    MonotonicTime expires_at{};
    /// Process of the agent that has the connection.
    AgentIncarnation life;
    std::function<void()> deliver;
  };

  using AnyWorkerCall = std::variant<StartCall, StopCall, RenewCall>;

  struct LateCall {
    MonotonicTime due_at{};
    AnyWorkerCall call;
  };

  struct Vm {
    std::unique_ptr<Agent> agent;
    Worker worker;
    WorkerLink link = WorkerLink::kUp;
    int clock_rate_percent = 100;
    /// The agent has received the announcement of the worker's process.
    bool announced = false;
    std::vector<LateCall> late_calls;
  };

  bool IsCut(const Address& from, const Address& to) const {
    return cut_.contains({from, to});
  }
  StoreLink LinkToStore(const Address& process) const;
  Store MakeStore(EventLoop& loop, const Address& process);
  void Send(size_t entry, uint64_t process, const Address& to,
            const std::string& path, const std::string& bytes, Duration timeout,
            const PeerLinks::BytesCallback& fn);
  void Deliver(const Address& to, const std::string& path,
               const std::string& bytes, const PeerLinks::BytesCallback& reply);
  /// Keeps a message to an agent that is cut off.
  void HoldMessage(const Address& from, const Address& to,
                   std::function<void()> deliver);
  void DeliverHeldMessages();
  /// @return the agent with this address; null if there is none.
  Agent* FindAgent(const Address& address);
  Entry* FindEntry(size_t entry, uint64_t process);

  void StartAgent(size_t vm);
  void Announce(size_t vm);
  void Register(size_t vm);
  void WriteAgentRow(size_t vm, const StoreKey& row);
  void HandleSync(size_t vm, const std::string& bytes,
                  const PeerLinks::BytesCallback& reply);
  void AnswerSyncs(Agent& agent);
  void StepAgent(size_t vm);
  void Renew(size_t vm);
  /// @return whether the renewal is on its way, with its answer lost.
  bool AwaitsLostRenewal(size_t vm);
  void FinishCall(Agent& agent, const StartCall& call,
                  const CallResult& result);
  void FinishCall(Agent& agent, const StopCall& call, const CallResult& result);
  template <typename CallType>
  void SendToWorker(size_t vm, const CallType& call);
  void TimeOutCalls(Agent& agent);
  /// @return how a call ends that is sent while the link is not up.
  CallResult HandToImpairedLink(size_t vm, const AnyWorkerCall& call);

  void StepWorker(size_t vm);
  void CarryOutLateCalls(size_t vm);
  CallResult CarryOut(size_t vm, const StartCall& call);
  CallResult CarryOut(size_t vm, const StopCall& call);
  CallResult CarryOut(size_t vm, const RenewCall& call);
  void EndRun(Worker& worker, size_t index, RunEnd end);
  void Acknowledge(Worker& worker, uint64_t number);
  WorkerListing List(size_t vm, uint64_t acknowledged) const;
  MonotonicTime LeaseEnd(size_t vm, int64_t lease_until_ms) const;
  const StepSpec* FindSpec(const TaskKey& task) const;
  void JoinGang(size_t index);
  void LeaveGang(size_t index);
  /// Sets the clock of a new process.
  void StartClock(EventLoop& loop) const;

  PlanningFeatures features_;
  MonotonicTime now_;
  Duration max_evacuation_age_;
  MemoryStore memory_;
  Store store_;
  Metrics metrics_;
  std::set<std::pair<Address, Address>> cut_;
  Duration message_hold_time_{};
  std::vector<HeldMessage> held_messages_;
  std::map<Address, StoreLink> store_links_;
  std::vector<std::unique_ptr<Entry>> entries_;
  /// Processes that have ended; their timers refer to them.
  std::vector<std::unique_ptr<Entry>> ended_entries_;
  std::vector<std::unique_ptr<Agent>> ended_agents_;
  std::vector<Vm> vms_;
  uint64_t last_process_ = 0;
  FateFn fate_;
  std::map<JobId, JobSpec> specs_;
  std::deque<SimulatedRun> runs_;
  std::map<GangRunKey, GangRun> gang_runs_;
  Duration late_commit_delay_{};
  std::vector<LateCommit> late_commits_;
  Duration late_call_delay_{};
};

}  // namespace almondtally::sched
