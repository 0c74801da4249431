#include "fuzz/world.h"

#include <algorithm>
#include <cstdio>

#include "entry/announcements.h"
#include "entry/members.h"
#include "target/announcer.h"
#include "target/task_runner.h"

namespace almondtally::testing {
namespace {

constexpr Duration kStep{50};
constexpr Duration kTableTimeout{2'000};
constexpr Duration kWorkerTimeout{2'000};
constexpr int64_t kCheckpointEveryMs = 500;
const TeamId kTeam{"legnami"};

Address EntryAddress(size_t i) {
  return {"10.0.0." + std::to_string(i + 1), 7000};
}
Address TargetAddress(size_t i) {
  return {"10.1.0." + std::to_string(i + 1), 7001};
}

/// Puts a process's own clock at a time of its own.
void SetClock(EventLoop& loop, Duration at) {
  Clock& clock = loop.clock_for_tests();
  clock.paused = true;
  clock.paused_at = MonotonicTime(at);
}

/// Two processes' clocks have nothing in common but their speed.
Duration OffsetOf(const std::string& name) {
  return Duration(static_cast<int64_t>(StableHash(name) % 10'000'000));
}

}  // namespace

World::World(size_t entries, size_t vms, uint64_t seed) : random_(seed) {
  const TeamConfig team{
      {MilliCpu(1'000'000), Mebibytes(1'000'000), Accelerators(0)}, 100, true};
  Config config;
  const ConfigChange change{ConfigVersion(1), ChangeId("first"),
                            ConfigKind::kTeam, kTeam.value,
                            nlohmann::json(team).dump()};
  rows_["config/head"] = {RowVersion(++table_version_), "1"};
  rows_["config/log/000000000001"] = {RowVersion(table_version_),
                                      nlohmann::json(change).dump()};
  for (size_t i = 0; i < entries; ++i) {
    entries_.push_back(std::make_unique<EntryNode>());
    entries_[i]->name = "entry-" + std::to_string(i);
    entries_[i]->address = EntryAddress(i);
  }
  for (size_t i = 0; i < vms; ++i) {
    workers_.push_back(std::make_unique<WorkerNode>());
    targets_.push_back(std::make_unique<TargetNode>());
    workers_[i]->name = "worker-" + std::to_string(i);
    workers_[i]->capacity = {MilliCpu(4'000), Mebibytes(8'000),
                             Accelerators(0)};
    targets_[i]->name = "target-" + std::to_string(i);
    targets_[i]->address = TargetAddress(i);
  }
  for (size_t i = 0; i < entries; ++i) StartEntry(i);
  for (size_t i = 0; i < vms; ++i) ReplaceVm(i);
}

void World::Violate(const std::string& text) {
  if (!violation_.empty()) return;
  violation_ = "at " + std::to_string(now_.count()) + " ms: " + text;
}

void World::At(Duration delay, std::function<void()> fn) {
  events_.emplace(now_ + delay, std::move(fn));
}

void World::Deliver(Node& node, uint64_t life,
                    const std::function<void()>& fn) {
  if (!node.alive || node.life != life) return;
  if (node.frozen) {
    node.backlog.push_back(
        [this, &node, life, fn] { Deliver(node, life, fn); });
    return;
  }
  fn();
}

Duration World::Latency() {
  std::uniform_int_distribution<int64_t> usual(1, 12);
  std::uniform_int_distribution<int64_t> rare(0, 99);
  std::uniform_int_distribution<int64_t> slow(100, 2'500);
  return Duration(rare(random_) == 0 ? slow(random_) : usual(random_));
}

void World::Freeze(Node& node) { node.frozen = true; }

void World::Thaw(Node& node) {
  node.frozen = false;
  const auto backlog = std::exchange(node.backlog, {});
  for (const auto& fn : backlog) fn();
  CheckInvariants();
}

void World::Advance(Duration by) {
  const Duration end = now_ + by;
  while (now_ < end && violation_.empty()) Step(std::min(kStep, end - now_));
}

void World::Step(Duration step) {
  const Duration end = now_ + step;
  while (!events_.empty() && events_.begin()->first <= end) {
    auto node = events_.extract(events_.begin());
    now_ = std::max(now_, node.key());
    for (const auto& entry : entries_) {
      if (entry->alive) SetClock(*entry->loop, now_ + OffsetOf(entry->name));
    }
    for (const auto& target : targets_) {
      if (target->alive) SetClock(*target->loop, now_ + OffsetOf(target->name));
    }
    node.mapped()();
    CheckInvariants();
  }
  now_ = end;
  RunWorkers(step);
  RunNodes();
  CheckInvariants();
}

void World::RunNodes() {
  for (const auto& entry : entries_) {
    if (entry->alive && !entry->frozen) RunEntry(*entry);
  }
  for (const auto& target : targets_) {
    if (target->alive && !target->frozen) RunTarget(*target);
  }
}

void World::RunEntry(EntryNode& entry) {
  SetClock(*entry.loop, now_ + OffsetOf(entry.name));
  entry.loop->RunDueTimers();
  entry.batch->Tick();
  if (entry.loop->now() >= entry.next_slow) {
    entry.next_slow = entry.loop->now() + Duration(1'000);
    entry.context->config.Poll();
    WriteOwnRow(*entry.context);
    ReadPeers(*entry.context);
    DropSilentTargets(*entry.context);
    entry.batch->SlowTick();
  }
  const ConfigVersion version = entry.context->config.config().version;
  if (version < entry.highest_config) {
    Violate(entry.name + " went back to an older configuration");
  }
  entry.highest_config = version;
}

void World::RunTarget(TargetNode& target) {
  SetClock(*target.loop, now_ + OffsetOf(target.name));
  target.loop->RunDueTimers();
  TargetContext& context = *target.context;
  if (target.loop->now() >= target.next_list) {
    target.next_list = target.loop->now() + Duration(250);
    PollWorker(context);
  }
  if (target.loop->now() >= target.next_renew) {
    target.next_renew = target.loop->now() + Duration(1'000);
    RenewLeases(context);
  }
  AdvanceTasks(context);
  AnnounceIfDue(context);
  if (context.config.version < target.highest_config) {
    Violate(target.name + " went back to an older configuration");
  }
  target.highest_config = context.config.version;
}

void World::KillEntry(size_t i) {
  EntryNode& entry = *entries_.at(i);
  entry.alive = false;
  entry.frozen = false;
  entry.backlog.clear();
  entry.batch.reset();
  entry.context.reset();
}

void World::StartEntry(size_t i) {
  EntryNode& entry = *entries_.at(i);
  if (entry.alive) return;
  entry.alive = true;
  entry.frozen = false;
  ++entry.life;
  entry.highest_config = ConfigVersion(0);
  entry.loop = std::make_unique<EventLoop>();
  SetClock(*entry.loop, now_ + OffsetOf(entry.name));
  EntrySettings settings;
  settings.id = EntryId(entry.name);
  settings.data_centre = DataCentreId("catania");
  settings.listen = entry.address;
  settings.advertise = entry.address;
  entry.context = std::make_unique<EntryContext>(*entry.loop, settings);
  entry.context->random = Random(random_());
  entry.context->table = MakeTable(entry);
  entry.context->links.SetTransport(MakeTransport(entry, i, false));
  entry.batch = std::make_unique<BatchScheduler>(*entry.context);
  entry.next_slow = entry.loop->now();
}

void World::KillTarget(size_t i) {
  TargetNode& target = *targets_.at(i);
  target.alive = false;
  target.frozen = false;
  target.backlog.clear();
  target.context.reset();
}

void World::StartTarget(size_t i) {
  TargetNode& target = *targets_.at(i);
  if (target.alive || !workers_.at(i)->alive) return;
  target.alive = true;
  target.frozen = false;
  ++target.life;
  target.highest_config = ConfigVersion(0);
  target.loop = std::make_unique<EventLoop>();
  SetClock(*target.loop, now_ + OffsetOf(target.name));
  TargetSettings settings;
  settings.vm = VmId("vm-" + std::to_string(i));
  settings.data_centre = DataCentreId("catania");
  settings.rack = RackId("rack-" + std::to_string(i / 2));
  settings.advertise = target.address;
  for (const auto& entry : entries_) settings.entries.push_back(entry->address);
  target.context = std::make_unique<TargetContext>(
      *target.loop, settings, MakeWorker(target, *workers_.at(i)));
  constexpr uint64_t kMask = (uint64_t{1} << 62) - 1;
  target.context->tasks.incarnation = Incarnation(random_() & kMask);
  target.context->random = Random(random_());
  target.context->links.SetTransport(MakeTransport(target, i, true));
  target.next_list = target.loop->now();
  target.next_renew = target.loop->now();
}

void World::LoseVm(size_t i) {
  KillTarget(i);
  WorkerNode& worker = *workers_.at(i);
  worker.alive = false;
  worker.frozen = false;
  worker.backlog.clear();
  worker.runs.clear();
}

void World::ReplaceVm(size_t i) {
  WorkerNode& worker = *workers_.at(i);
  if (!worker.alive) {
    worker.alive = true;
    ++worker.life;
    worker.clock_offset = Duration(static_cast<int64_t>(random_() % 1'000'000));
  }
  StartTarget(i);
}

void World::CutLink(size_t entry, size_t vm, bool towards_target) {
  cuts_[{entry, vm, towards_target}] = true;
}

Node* World::Find(const Address& address, size_t& index, bool& is_target) {
  for (index = 0; index < entries_.size(); ++index) {
    is_target = false;
    if (entries_[index]->address == address) return entries_[index].get();
  }
  for (index = 0; index < targets_.size(); ++index) {
    is_target = true;
    if (targets_[index]->address == address) return targets_[index].get();
  }
  return nullptr;
}

std::optional<std::string> World::Handle(Node& node, const std::string& path,
                                         const std::string& bytes) {
  WireReason why;
  if (path == peer_path::kAnnounce) {
    auto& entry = static_cast<EntryNode&>(node);
    const auto announce = DecodeMessage<Announcement>(bytes, why);
    const auto address = ParseAddress(announce->address);
    return EncodeMessage(
        ProcessAnnouncement(*entry.context, *announce, *address));
  }
  if (path == peer_path::kJobHint) {
    auto& entry = static_cast<EntryNode&>(node);
    const auto hint = DecodeMessage<JobHint>(bytes, why);
    entry.batch->RefreshJob(hint->job);
    return EncodeMessage(*hint);
  }
  auto& target = static_cast<TargetNode&>(node);
  if (path == peer_path::kStart) {
    const auto start = DecodeMessage<StartRequest>(bytes, why);
    return EncodeMessage(HandleStart(*target.context, *start));
  }
  if (path == peer_path::kStop) {
    const auto stop = DecodeMessage<StopRequest>(bytes, why);
    return EncodeMessage(HandleStop(*target.context, *stop));
  }
  return std::nullopt;
}

PeerLinks::Transport World::MakeTransport(Node& from, size_t index,
                                          bool from_target) {
  const uint64_t life = from.life;
  return [this, &from, life, index, from_target](
             const Address& to, const char* path, const std::string& bytes,
             Duration timeout, const PeerLinks::BytesCallback& fn) {
    size_t to_index = 0;
    bool to_target = false;
    Node* node = Find(to, to_index, to_target);
    if (node == nullptr) return;
    const size_t entry = from_target ? to_index : index;
    const size_t vm = from_target ? index : to_index;
    const bool between = from_target != to_target;
    const auto is_cut = [this, entry, vm, between](bool towards_target) {
      return between && cuts_.contains({entry, vm, towards_target});
    };
    auto done = std::make_shared<bool>(false);
    const auto finish = [this, &from, life, done,
                         fn](const std::optional<std::string>& answer) {
      Deliver(from, life, [done, fn, answer] {
        if (std::exchange(*done, true)) return;
        fn(answer,
           answer ? WireReason{} : WireReason{WireError::kLinkLost, "lost"});
      });
    };
    At(timeout, [finish] { finish(std::nullopt); });
    const uint64_t to_life = node->life;
    const std::string path_text = path;
    const auto arrive = [=, this] {
      if (is_cut(to_target)) return;
      Deliver(*node, to_life, [=, this] {
        const auto answer = Handle(*node, path_text, bytes);
        At(Latency(), [=] {
          if (!is_cut(!to_target)) finish(answer);
        });
      });
    };
    At(Latency(), arrive);
    if (!duplicates_) return;
    std::uniform_int_distribution<int64_t> late(0, 30'000);
    At(Duration(late(random_)), arrive);
  };
}

void World::TableCall(Node& from, std::function<std::function<void()>()> effect,
                      const std::function<void(PlatformError)>& fail) {
  const uint64_t life = from.life;
  auto done = std::make_shared<bool>(false);
  const auto finish = [this, &from, life, done](std::function<void()> fn) {
    Deliver(from, life, [done, fn = std::move(fn)] {
      if (!std::exchange(*done, true)) fn();
    });
  };
  if (fault_ == TableFault::kDown) {
    At(Latency(), [finish, fail] {
      finish([fail] { fail(PlatformError::kUnreachable); });
    });
    return;
  }
  At(kTableTimeout,
     [finish, fail] { finish([fail] { fail(PlatformError::kUnknown); }); });
  Duration delay = Latency();
  if (fault_ == TableFault::kSlow) {
    std::uniform_int_distribution<int64_t> slow(0, 6'000);
    delay += Duration(slow(random_));
  }
  const bool lose = fault_ == TableFault::kLoseAnswers;
  At(delay, [this, effect = std::move(effect), finish, lose] {
    auto answer = effect();
    if (lose) return;
    At(Latency(), [finish, answer = std::move(answer)] { finish(answer); });
  });
}

Table World::MakeTable(Node& from) {
  Table table;
  table.commit = [this, &from](const Transaction& transaction,
                               const CommitFn& fn) {
    TableCall(
        from,
        [this, transaction, fn]() -> std::function<void()> {
          const auto done = Apply(transaction);
          return [fn, done] {
            fn(done, done ? PlatformReason{}
                          : PlatformReason{PlatformError::kConflict, ""});
          };
        },
        [fn](PlatformError ec) {
          fn(std::nullopt, {ec, "table fault"});
        });
  };
  const auto read = [this, &from](
                        const std::function<std::vector<Row>()>& select,
                        const RowsFn& fn) {
    TableCall(
        from,
        [select, fn]() -> std::function<void()> {
          return [fn, rows = select()] { fn(rows, {}); };
        },
        [fn](PlatformError ec) {
          fn(std::nullopt, {ec, "table fault"});
        });
  };
  table.get = [this, read](const std::vector<std::string>& keys,
                           const RowsFn& fn) {
    read(
        [this, keys] {
          std::vector<Row> rows;
          for (const std::string& key : keys) {
            const auto it = rows_.find(key);
            if (it == rows_.end()) continue;
            rows.push_back({key, it->second.version, it->second.value});
          }
          return rows;
        },
        fn);
  };
  table.scan = [this, read](const std::string& prefix, const RowsFn& fn) {
    read(
        [this, prefix] {
          std::vector<Row> rows;
          for (auto it = rows_.lower_bound(prefix);
               it != rows_.end() && it->first.starts_with(prefix); ++it) {
            rows.push_back({it->first, it->second.version, it->second.value});
          }
          return rows;
        },
        fn);
  };
  return table;
}

std::optional<Committed> World::Apply(const Transaction& transaction) {
  for (const RowCheck& check : transaction.checks) {
    const auto it = rows_.find(check.key);
    const RowVersion version =
        it == rows_.end() ? RowVersion(0) : it->second.version;
    if (version != check.version) return std::nullopt;
  }
  const RowVersion version(++table_version_);
  for (const RowPut& put : transaction.puts) {
    if (put.key.starts_with("chunk/")) {
      CheckChunk(put.key, rows_[put.key].value, put.value);
    }
    const bool is_fence = put.key.starts_with("config/log/") &&
                          put.value.find("\"fence\"") != std::string::npos;
    if (is_fence) ++totals_.fences;
    rows_[put.key] = {version, put.value};
  }
  for (const std::string& key : transaction.deletes) rows_.erase(key);
  return Committed{version};
}

void World::CheckChunk(const std::string& key, const std::string& before,
                       const std::string& after) {
  JobReason why;
  const auto now = DecodeChunk(after, why);
  if (!now) return Violate("unreadable chunk " + key + ": " + why.text);
  const auto then = DecodeChunk(before, why);
  for (size_t i = 0; i < now->tasks.size(); ++i) {
    const TaskId id{now->job, now->first + static_cast<uint32_t>(i)};
    const TaskRecord& task = now->tasks[i];
    if (IsTerminal(task.state) && ended_tasks_.emplace(id, task.state).second) {
      ++totals_.ended;
    }
    if (!then || i >= then->tasks.size()) continue;
    const TaskRecord& old = then->tasks[i];
    if (task.epoch < old.epoch) Violate("epoch fell: " + ToString(id));
    if (IsTerminal(old.state) && old.state != task.state) {
      Violate("ended twice: " + ToString(id));
    }
    const bool same_epoch = task.epoch == old.epoch &&
                            old.state == TaskState::kAssigned &&
                            task.state == TaskState::kAssigned;
    if (same_epoch && task.vm != old.vm) {
      Violate("one epoch on two VMs: " + ToString(id));
    }
  }
}

void World::WorkerCall(TargetNode& target, WorkerNode& worker,
                       std::function<std::function<void()>()> effect,
                       const std::function<void(PlatformError)>& fail) {
  const uint64_t life = target.life;
  const uint64_t worker_life = worker.life;
  auto done = std::make_shared<bool>(false);
  const auto finish = [this, &target, life, done](std::function<void()> fn) {
    Deliver(target, life, [done, fn = std::move(fn)] {
      if (!std::exchange(*done, true)) fn();
    });
  };
  At(kWorkerTimeout,
     [finish, fail] { finish([fail] { fail(PlatformError::kUnknown); }); });
  At(Duration(1), [this, &worker, worker_life, finish,
                   effect = std::move(effect)] {
    Deliver(worker, worker_life, [this, finish, effect] {
      auto answer = effect();
      // One answer in a hundred is lost after the call took effect.
      std::uniform_int_distribution<int> draw(0, 99);
      if (draw(random_) == 0) return;
      At(Duration(1), [finish, answer = std::move(answer)] { finish(answer); });
    });
  });
}

Worker World::MakeWorker(TargetNode& target, WorkerNode& worker) {
  Worker out;
  out.list = [this, &target, &worker](const Worker::StateFn& fn) {
    WorkerCall(
        target, worker,
        [this, &worker, fn]() -> std::function<void()> {
          return [fn, state = ListRuns(worker)] { fn(state, {}); };
        },
        [fn](PlatformError ec) {
          fn(std::nullopt, {ec, "lost"});
        });
  };
  out.start = [this, &target, &worker](const WorkerStart& start,
                                       const Worker::DoneFn& fn) {
    WorkerCall(
        target, worker,
        [this, &worker, start, fn]() -> std::function<void()> {
          bool refused = false;
          StartRun(worker, start, refused);
          return [fn, refused] {
            fn(!refused, refused ? PlatformReason{PlatformError::kRefused, ""}
                                 : PlatformReason{});
          };
        },
        [fn](PlatformError ec) {
          fn(false, {ec, "lost"});
        });
  };
  out.renew = [this, &target, &worker](const std::vector<WorkerRun>& runs,
                                       WorkerTime until,
                                       const Worker::DoneFn& fn) {
    WorkerCall(
        target, worker,
        [&worker, runs, until, fn]() -> std::function<void()> {
          for (const WorkerRun& run : runs) {
            const auto it = worker.runs.find(run);
            if (it == worker.runs.end()) continue;
            auto& lease = it->second.start.lease_until_ms;
            lease = std::max(lease, until);
          }
          return [fn] { fn(true, {}); };
        },
        [fn](PlatformError ec) {
          fn(false, {ec, "lost"});
        });
  };
  out.stop = [this, &target, &worker](const WorkerRun& run, bool keep,
                                      const Worker::StoppedFn& fn) {
    WorkerCall(
        target, worker,
        [this, &worker, run, keep, fn]() -> std::function<void()> {
          WorkerStopped stopped{WorkerTaskState::kFailed, ""};
          const auto it = worker.runs.find(run);
          if (it != worker.runs.end()) {
            WorkerRunState& state = it->second;
            if (state.state == WorkerTaskState::kFinished) {
              stopped.state = WorkerTaskState::kFinished;
            }
            if (keep) {
              state.checkpoint = ToString(run.task) + "@" +
                                 std::to_string(run.epoch.value) + "@" +
                                 std::to_string(now_.count());
              objects_[state.checkpoint] = state.done_ms;
            }
            stopped.checkpoint = state.checkpoint;
            worker.runs.erase(it);
          }
          return [fn, stopped] { fn(stopped, {}); };
        },
        [fn](PlatformError ec) {
          fn(std::nullopt, {ec, "lost"});
        });
  };
  out.throttle = [&worker](const WorkerRun& run, int64_t speed,
                           const Worker::DoneFn& fn) {
    const auto it = worker.runs.find(run);
    if (it != worker.runs.end()) it->second.speed = speed;
    fn(true, {});
  };
  out.forget = [&worker](const WorkerRun& run) { worker.runs.erase(run); };
  return out;
}

WorkerTime World::Now(const WorkerNode& worker) const {
  return WorkerTime((now_ + worker.clock_offset).count());
}

void World::StartRun(WorkerNode& worker, const WorkerStart& start,
                     bool& refused) {
  const WorkerRun key{start.task, start.epoch};
  refused = false;
  if (worker.runs.contains(key)) return;
  if (start.lease_until_ms <= Now(worker)) {
    refused = true;
    return;
  }
  ++totals_.runs;
  if (start.epoch.value > 1) ++totals_.again;
  WorkerRunState run;
  run.start = start;
  run.checkpoint = start.checkpoint;
  if (!start.checkpoint.empty()) run.done_ms = objects_[start.checkpoint];
  worker.runs[key] = std::move(run);
}

WorkerState World::ListRuns(const WorkerNode& worker) const {
  WorkerState state;
  state.now_ms = Now(worker);
  state.capacity = worker.capacity;
  for (const auto& [key, run] : worker.runs) {
    WorkerTask task;
    task.task = key.task;
    task.epoch = key.epoch;
    task.generation = run.start.generation;
    task.state = run.state;
    task.exclusive = run.start.exclusive;
    task.claimed = run.start.claimed;
    task.used = run.start.claimed;
    task.checkpoint = run.checkpoint;
    task.speed = run.speed;
    state.used += task.used;
    state.tasks.push_back(std::move(task));
  }
  return state;
}

bool World::IsRunning(const WorkerNode& worker,
                      const WorkerRunState& run) const {
  const bool over = run.state == WorkerTaskState::kFinished ||
                    run.state == WorkerTaskState::kFailed;
  return worker.alive && !worker.frozen && !over &&
         Now(worker) < run.start.lease_until_ms;
}

void World::RunWorkers(Duration step) {
  for (const auto& worker : workers_) {
    for (auto& [key, run] : worker->runs) RunWork(*worker, key, run, step);
  }
}

void World::RunWork(WorkerNode& worker, const WorkerRun& key,
                    WorkerRunState& run, Duration step) {
  if (!IsRunning(worker, run)) return;
  if (worker.fail_all) {
    run.state = WorkerTaskState::kFailed;
    return;
  }
  run.done_ms += step.count() * run.speed / 100;
  if (run.done_ms >= run.start.work_ms) {
    run.state = WorkerTaskState::kFinished;
    return;
  }
  if (run.done_ms - run.checkpointed_ms < kCheckpointEveryMs) return;
  run.checkpointed_ms = run.done_ms;
  run.checkpoint = ToString(key.task) + "@" + std::to_string(key.epoch.value) +
                   "@" + std::to_string(now_.count());
  objects_[run.checkpoint] = run.done_ms;
}

void World::CheckInvariants() {
  std::map<TaskId, std::string> running_on;
  for (const auto& worker : workers_) {
    Resources claimed;
    for (const auto& [key, run] : worker->runs) {
      const bool over = run.state == WorkerTaskState::kFinished ||
                        run.state == WorkerTaskState::kFailed;
      if (!over) claimed += run.start.claimed;
      if (!IsRunning(*worker, run)) continue;
      const auto [it, is_first] =
          running_on.try_emplace(key.task, worker->name);
      if (!is_first) {
        Violate("task " + ToString(key.task) + " runs on " + it->second +
                " and on " + worker->name + " (epoch " +
                std::to_string(key.epoch.value) + ")");
      }
    }
    if (!Fits(claimed, worker->capacity)) {
      Violate(worker->name + " is committed beyond its capacity");
    }
  }
}

void World::SubmitJob(uint32_t tasks, int64_t work_ms, int64_t cpu,
                      bool urgent) {
  JobSpec spec;
  spec.id = JobId("job-" + std::to_string(jobs_.size()));
  spec.team = kTeam;
  spec.count = tasks;
  spec.work_ms = work_ms;
  spec.each.cpu = MilliCpu(cpu);
  spec.urgent = urgent;
  Transaction transaction;
  transaction.puts = {{JobKey(spec.id), Encode(JobRow{spec, false, 0})}};
  for (const Chunk& chunk : MakeChunks(spec)) {
    transaction.puts.push_back({ChunkKey(spec.id, chunk.first), Encode(chunk)});
  }
  Apply(transaction);
  jobs_.push_back(spec.id);
  for (const auto& entry : entries_) {
    if (entry->alive && !entry->frozen) entry->batch->RefreshJob(spec.id);
  }
}

void World::CancelJob(size_t which) {
  if (jobs_.empty()) return;
  const JobId job = jobs_[which % jobs_.size()];
  const auto it = rows_.find(JobKey(job));
  if (it == rows_.end()) return;
  JobReason why;
  auto row = DecodeJobRow(it->second.value, why);
  row->cancelled = true;
  Transaction transaction;
  transaction.puts = {{JobKey(job), Encode(*row)}};
  Apply(transaction);
}

void World::ChangeConfig(size_t entry, size_t which) {
  EntryNode& node = *entries_.at(entry);
  if (!node.alive || node.frozen) return;
  ConfigProposal proposal;
  proposal.id = ChangeId(RandomName(random_, "change-"));
  proposal.kind = ConfigKind::kTeam;
  proposal.name = "team-" + std::to_string(which);
  proposal.value = nlohmann::json(TeamConfig{}).dump();
  const EntryNode* raw = &node;
  const uint64_t life = node.life;
  node.context->config.Propose(
      proposal,
      [this, raw, life, id = proposal.id](const auto& accepted, const auto&) {
        if (!accepted || raw->life != life) return;
        char key[32];
        std::snprintf(key, sizeof key, "config/log/%012llu",
                      static_cast<unsigned long long>(accepted->value));
        const auto row = rows_.find(key);
        const bool kept = row != rows_.end() &&
                          row->second.value.find(id.value) != std::string::npos;
        if (!kept) Violate("an accepted change is not in the log");
      });
}

void World::EvictOne(size_t vm) {
  TargetNode& target = *targets_.at(vm);
  if (!target.alive || target.frozen) return;
  for (const auto& [key, run] : target.context->tasks.runs) {
    if (run.phase != RunPhase::kRunning) continue;
    Stop(target.context->tasks, key, RunOutcome::kEvicted, "test");
    return;
  }
}

void World::DrainTarget(size_t vm, bool on) {
  TargetNode& target = *targets_.at(vm);
  if (target.alive) target.context->leaving = on;
}

bool World::AllEnded() const {
  for (const JobId& job : jobs_) {
    if (rows_.contains(JobKey(job))) return false;
  }
  return std::all_of(workers_.begin(), workers_.end(),
                     [](const auto& it) { return it->runs.empty(); });
}

bool World::HealAndFinish() {
  fault_ = TableFault::kNone;
  duplicates_ = false;
  MendLinks();
  for (size_t i = 0; i < entries_.size(); ++i) {
    Thaw(*entries_[i]);
    StartEntry(i);
  }
  for (size_t i = 0; i < workers_.size(); ++i) {
    workers_[i]->fail_all = false;
    Thaw(*workers_[i]);
    Thaw(*targets_[i]);
    ReplaceVm(i);
    DrainTarget(i, false);
  }
  constexpr int kMostSeconds = 300;
  for (int i = 0; i < kMostSeconds && violation_.empty(); ++i) {
    Advance(Duration(1'000));
    if (AllEnded()) break;
  }
  if (!violation_.empty()) return false;
  if (!AllEnded()) {
    std::string left;
    for (const auto& [key, row] : rows_) {
      if (key.starts_with("job/") || key.starts_with("chunk/")) {
        left += "\n  " + key + " " + row.value;
      }
    }
    for (const auto& worker : workers_) {
      for (const auto& [key, run] : worker->runs) {
        left += "\n  " + worker->name + " holds " + ToString(key.task);
      }
    }
    Violate("work is left after the faults are over:" + left);
    return false;
  }
  return true;
}

}  // namespace almondtally::testing
