#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "entry/batch_system.h"
#include "entry/entry_context.h"
#include "target/target_context.h"

namespace almondtally::testing {

/// One process of the world. A call that was made for an earlier life of it
/// is dropped; what arrives while it is frozen waits.
struct Node {
  std::string name;
  bool alive = false;
  bool frozen = false;
  uint64_t life = 0;
  std::vector<std::function<void()>> backlog;
};

struct EntryNode : Node {
  Address address;
  std::unique_ptr<EventLoop> loop;
  std::unique_ptr<EntryContext> context;
  std::unique_ptr<BatchScheduler> batch;
  MonotonicTime next_slow{};
  ConfigVersion highest_config;
};

struct TargetNode : Node {
  Address address;
  std::unique_ptr<EventLoop> loop;
  std::unique_ptr<TargetContext> context;
  MonotonicTime next_list{};
  MonotonicTime next_renew{};
  ConfigVersion highest_config;
};

/// One run on a worker.
struct WorkerRunState {
  WorkerStart start;
  WorkerTaskState state = WorkerTaskState::kRunning;
  int64_t done_ms = 0;
  int64_t checkpointed_ms = 0;
  int64_t speed = 100;
  std::string checkpoint;
};

struct WorkerNode : Node {
  Resources capacity;
  Duration clock_offset{};
  bool fail_all = false;
  std::map<WorkerRun, WorkerRunState> runs;
};

/// What happened in a world, to see that a fuzzing run did something.
struct WorldTotals {
  uint64_t runs = 0;
  uint64_t ended = 0;
  uint64_t fences = 0;
  /// Runs of a task after its first.
  uint64_t again = 0;

  WorldTotals& operator+=(const WorldTotals& other) {
    runs += other.runs;
    ended += other.ended;
    fences += other.fences;
    again += other.again;
    return *this;
  }
};

enum class TableFault : uint8_t { kNone, kDown, kSlow, kLoseAnswers };

/// The real decision and protocol code of entries and targets, joined by a
/// network, a table and workers that live in one process under one paused
/// clock. Whatever happens, the invariants are checked after each event.
class World {
 public:
  World(size_t entries, size_t vms, uint64_t seed);

  void Advance(Duration by);

  void SubmitJob(uint32_t tasks, int64_t work_ms, int64_t cpu, bool urgent);
  void CancelJob(size_t which);
  void ChangeConfig(size_t entry, size_t which);
  void SetTableFault(TableFault fault) { fault_ = fault; }
  void KillEntry(size_t i);
  void StartEntry(size_t i);
  void FreezeEntry(size_t i) { Freeze(*entries_.at(i)); }
  void ThawEntry(size_t i) { Thaw(*entries_.at(i)); }
  void KillTarget(size_t i);
  void StartTarget(size_t i);
  void FreezeTarget(size_t i) { Freeze(*targets_.at(i)); }
  void ThawTarget(size_t i) { Thaw(*targets_.at(i)); }
  void FreezeWorker(size_t i) { Freeze(*workers_.at(i)); }
  void ThawWorker(size_t i) { Thaw(*workers_.at(i)); }
  void LoseVm(size_t i);
  void ReplaceVm(size_t i);
  void CutLink(size_t entry, size_t vm, bool towards_target);
  void MendLinks() { cuts_.clear(); }
  void SetFailAll(size_t vm, bool on) { workers_.at(vm)->fail_all = on; }
  void SetDuplicates(bool on) { duplicates_ = on; }
  void EvictOne(size_t vm);
  void DrainTarget(size_t vm, bool on);

  /// Ends all faults and lets the system work until every job has ended.
  /// @return false with `violation()` if some job never ends.
  bool HealAndFinish();

  /// @return the first broken invariant, or empty.
  const std::string& violation() const { return violation_; }
  const EntryContext& entry(size_t i) const { return *entries_.at(i)->context; }
  size_t entry_count() const { return entries_.size(); }
  size_t vm_count() const { return workers_.size(); }
  const WorldTotals& totals() const { return totals_; }

 private:
  struct StoredRow {
    RowVersion version;
    std::string value;
  };
  using Handler = std::function<std::optional<std::string>(const std::string&)>;

  void At(Duration delay, std::function<void()> fn);
  void Deliver(Node& node, uint64_t life, const std::function<void()>& fn);
  Duration Latency();
  void Freeze(Node& node);
  void Thaw(Node& node);
  void Step(Duration step);
  void RunNodes();
  void RunEntry(EntryNode& entry);
  void RunTarget(TargetNode& target);
  void RunWorkers(Duration step);
  void RunWork(WorkerNode& worker, const WorkerRun& key, WorkerRunState& run,
               Duration step);
  PeerLinks::Transport MakeTransport(Node& from, size_t index,
                                     bool from_target);
  Node* Find(const Address& address, size_t& index, bool& is_target);
  std::optional<std::string> Handle(Node& node, const std::string& path,
                                    const std::string& bytes);
  Table MakeTable(Node& from);
  void TableCall(Node& from, std::function<std::function<void()>()> effect,
                 const std::function<void(PlatformError)>& fail);
  std::optional<Committed> Apply(const Transaction& transaction);
  void CheckChunk(const std::string& key, const std::string& before,
                  const std::string& after);
  Worker MakeWorker(TargetNode& target, WorkerNode& worker);
  void WorkerCall(TargetNode& target, WorkerNode& worker,
                  std::function<std::function<void()>()> effect,
                  const std::function<void(PlatformError)>& fail);
  void StartRun(WorkerNode& worker, const WorkerStart& start, bool& refused);
  WorkerState ListRuns(const WorkerNode& worker) const;
  WorkerTime Now(const WorkerNode& worker) const;
  bool IsRunning(const WorkerNode& worker, const WorkerRunState& run) const;
  void CheckInvariants();
  void Violate(const std::string& text);
  bool AllEnded() const;

  Duration now_{1'000'000};
  Random random_;
  std::multimap<Duration, std::function<void()>> events_;
  std::vector<std::unique_ptr<EntryNode>> entries_;
  std::vector<std::unique_ptr<TargetNode>> targets_;
  std::vector<std::unique_ptr<WorkerNode>> workers_;
  std::map<std::string, StoredRow> rows_;
  std::map<std::string, int64_t> objects_;
  uint64_t table_version_ = 0;
  TableFault fault_ = TableFault::kNone;
  bool duplicates_ = false;
  /// (entry, vm, towards the target) that lose every message.
  std::map<std::tuple<size_t, size_t, bool>, bool> cuts_;
  std::vector<JobId> jobs_;
  std::map<TaskId, TaskState> ended_tasks_;
  std::string violation_;
  WorldTotals totals_;
};

}  // namespace almondtally::testing
