#include "entry/batch_system.h"

#include <algorithm>

#include "base/log.h"
#include "entry/members.h"

namespace almondtally {
namespace {

constexpr Duration kPeerTimeout{3'000};
constexpr Duration kScanEvery{15'000};
/// A gap between ticks longer than this means that the process was paused
/// and that others may have acted meanwhile.
constexpr Duration kPauseGap{2'000};
/// Every target has announced itself by then. Placing earlier would crowd the
/// first ones.
constexpr Duration kWarmUp{3'000};
constexpr size_t kPlacementsPerTick = 200;

bool IsAmong(const std::vector<Row>& rows, const std::string& key) {
  return std::any_of(rows.begin(), rows.end(),
                     [&](const Row& row) { return row.key == key; });
}

std::string FenceText(Generation generation) {
  return nlohmann::json(FenceConfig{generation}).dump();
}

ConfigVersion VersionOfFence(const Config& config, const VmId& vm) {
  const auto it = config.objects.find({ConfigKind::kFence, vm.value});
  return it == config.objects.end() ? ConfigVersion(0) : it->second.version;
}

}  // namespace

BatchSystem::BatchSystem(EntryContext& context)
    : context_(context), started_at_(context.loop.now()) {}

void BatchSystem::Tick() {
  DetectPause();
  if (!context_.config.ready()) return;
  if (KnowsTheVms()) {
    PlacePending(context_.board, ViewOf(context_), kPlacementsPerTick);
  }
  CommitStaged();
  SendStarts();
  RetireFinished();
  ReadStale();
}

void BatchSystem::SlowTick() {
  if (!context_.config.ready()) return;
  DropForeign();
  if (context_.loop.now() >= next_scan_) ScanJobs();
  CreateServiceJobs();
  FenceSilentVms();
  ReleaseFenced(context_.board, ViewOf(context_));
  SweepReservations(context_.board, context_.vms);
  SendStops();
  LookUpUnknown();
}

bool BatchSystem::KnowsTheVms() const {
  return context_.loop.now() - started_at_ >= kWarmUp;
}

void BatchSystem::DetectPause() {
  const MonotonicTime now = context_.loop.now();
  const bool paused =
      last_tick_ != MonotonicTime{} && now - last_tick_ > kPauseGap;
  last_tick_ = now;
  if (!paused) return;
  MarkAllStale(context_.board);
  next_scan_ = now;
}

void BatchSystem::ScanJobs() {
  if (scanning_) return;
  scanning_ = true;
  next_scan_ = context_.loop.now() + kScanEvery;
  context_.table.scan("job/", [this](const auto& rows, const auto&) {
    scanning_ = false;
    if (rows) TakeJobRows(*rows);
  });
}

void BatchSystem::TakeJobRows(const std::vector<Row>& rows) {
  for (const Row& row : rows) {
    JobReason why;
    const auto job = DecodeJob(row.value, why);
    if (!job) {
      Log(Event::kBadInput, {{"row", row.key}, {"reason", why.text}});
      continue;
    }
    if (!IsOwned(context_, job->spec.team)) continue;
    const JobId id = job->spec.id;
    TakeJobRow(context_.board, *job, row.version);
    if (context_.board.jobs.at(id).chunks.empty()) LoadChunks(id);
  }
}

void BatchSystem::LoadChunks(const JobId& job) {
  if (!loading_.insert(job).second) return;
  const MonotonicTime sent = context_.loop.now();
  context_.table.scan(
      ChunkPrefix(job), [this, job, sent](const auto& rows, const auto&) {
        loading_.erase(job);
        if (!rows) return;
        for (const Row& row : *rows) {
          JobReason why;
          const auto chunk = DecodeChunk(row.value, why);
          if (chunk) {
            TakeChunkRow(context_.board, *chunk, row.version, sent);
          } else {
            Log(Event::kBadInput, {{"row", row.key}, {"reason", why.text}});
          }
        }
      });
}

void BatchSystem::Look(const JobId& job) {
  context_.table.get({JobKey(job)}, [this](const auto& rows, const auto&) {
    if (rows) TakeJobRows(*rows);
  });
}

void BatchSystem::ReadStale() {
  if (reading_stale_) return;
  const std::vector<std::string> keys = StaleKeys(context_.board);
  if (keys.empty()) return;
  reading_stale_ = true;
  const MonotonicTime sent = context_.loop.now();
  context_.table.get(keys, [this, keys, sent](const auto& rows, const auto&) {
    reading_stale_ = false;
    if (!rows) return;
    for (const Row& row : *rows) {
      JobReason why;
      if (const auto chunk = DecodeChunk(row.value, why)) {
        TakeChunkRow(context_.board, *chunk, row.version, sent);
      } else if (const auto job = DecodeJob(row.value, why)) {
        TakeJobRow(context_.board, *job, row.version);
      }
    }
    // A job whose rows are gone was retired by another entry.
    std::erase_if(context_.board.jobs, [&](const auto& it) {
      const auto& [id, job] = it;
      for (const auto& [first, chunk] : job.chunks) {
        const std::string key = ChunkKey(id, first);
        const bool asked =
            std::find(keys.begin(), keys.end(), key) != keys.end();
        if (asked && chunk.stale && !chunk.in_flight && !IsAmong(*rows, key)) {
          return true;
        }
      }
      const std::string key = JobKey(id);
      const bool asked = std::find(keys.begin(), keys.end(), key) != keys.end();
      return asked && job.stale && !IsAmong(*rows, key);
    });
  });
}

void BatchSystem::CommitStaged() {
  // One commit at a time: what is staged meanwhile goes into the next.
  if (committing_) return;
  const auto batch = TakeCommit(context_.board, context_.loop.now());
  if (!batch) return;
  committing_ = true;
  context_.table.commit(
      batch->transaction, [this, batch](const auto& done, const auto& why) {
        committing_ = false;
        TakeCommitted(context_.board, *batch, done);
        if (done) return SendStarts();
        Log(Event::kPlatformError,
            {{"call", "commit of task rows"},
             {"rows", static_cast<int64_t>(batch->chunks.size())},
             {"reason", why.text}});
      });
}

void BatchSystem::SendStarts() {
  for (const StartBatch& batch : TakeStartMessages(
           context_.board, ViewOf(context_), context_.settings.id)) {
    const VmId vm = batch.vm;
    const Incarnation asked = batch.request.incarnation;
    context_.links.Send<StartAnswer>(
        context_.vms.at(vm).address, peer_path::kStart, batch.request,
        kPeerTimeout,
        [this, vm, asked](const std::optional<StartAnswer>& answer,
                          const auto&) {
          if (!answer) return;
          for (const StartResult& result : answer->results) {
            TakeStartResult(context_.board, ViewOf(context_), vm, asked,
                            result);
            context_.metrics.CountTaskEvent(
                "start_" + nlohmann::json(result.verdict).get<std::string>());
          }
        });
  }
}

void BatchSystem::SendStops() {
  for (auto& [vm, runs] :
       RunsToStop(context_.board, context_.config.config())) {
    const auto row = context_.vms.find(vm);
    if (row == context_.vms.end()) continue;
    StopRequest request;
    request.entry = context_.settings.id;
    request.runs = runs;
    context_.links.Send<StartAnswer>(row->second.address, peer_path::kStop,
                                     request, kPeerTimeout,
                                     [](const auto&, const auto&) {});
  }
}

void BatchSystem::FenceSilentVms() {
  for (const auto& [vm, generation] :
       VmsToFence(context_.board, ViewOf(context_))) {
    if (!fencing_.insert(vm).second) continue;
    ConfigProposal proposal;
    proposal.id =
        ChangeId("fence:" + vm.value + ":" + std::to_string(generation.value));
    proposal.kind = ConfigKind::kFence;
    proposal.name = vm.value;
    proposal.value = FenceText(generation);
    // A fence must never be lowered by one proposed from older knowledge.
    proposal.expected = VersionOfFence(context_.config.config(), vm);
    context_.config.Propose(
        proposal, [this, vm = vm, generation = generation](
                      const auto& accepted, const ConfigReason& why) {
          fencing_.erase(vm);
          if (!accepted) {
            Log(Event::kPlatformError,
                {{"call", "fence"}, {"vm", vm.value}, {"reason", why.text}});
            return;
          }
          Log(Event::kFenceWritten,
              {{"vm", vm.value},
               {"generation", static_cast<int64_t>(generation.value)}});
        });
  }
}

void BatchSystem::CreateServiceJobs() {
  const auto teams = OwnedTeams(context_);
  for (JobRow& row :
       SyncServices(context_.board, context_.config.config(), teams)) {
    const JobId id = row.spec.id;
    if (!creating_.insert(id).second) continue;
    row.submitted_at_ms = WallClockMillis();
    Transaction transaction;
    transaction.checks = {{JobKey(id), RowVersion(0)}};
    transaction.puts = {{JobKey(id), Encode(row)}};
    for (const Chunk& chunk : MakeChunks(row.spec)) {
      const std::string key = ChunkKey(id, chunk.first);
      transaction.checks.push_back({key, RowVersion(0)});
      transaction.puts.push_back({key, Encode(chunk)});
    }
    context_.table.commit(transaction, [this, id](const auto&, const auto&) {
      // Whether it was written now or before, the rows tell.
      creating_.erase(id);
      Look(id);
    });
  }
}

void BatchSystem::RetireFinished() {
  for (const FinishedJob& finished : TakeFinished(context_.board)) {
    const JobId id = finished.job;
    context_.table.commit(finished.transaction,
                          [this, id](const auto& done, const auto&) {
                            if (done) {
                              context_.board.jobs.erase(id);
                              context_.absent_jobs[id] = context_.loop.now();
                              return;
                            }
                            const auto it = context_.board.jobs.find(id);
                            if (it == context_.board.jobs.end()) return;
                            it->second.finishing = false;
                            it->second.stale = true;
                            for (auto& [first, chunk] : it->second.chunks)
                              chunk.stale = true;
                          });
  }
}

void BatchSystem::LookUpUnknown() {
  if (context_.unknown_jobs.empty()) return;
  std::vector<std::string> keys;
  const std::set<JobId> asked = std::exchange(context_.unknown_jobs, {});
  keys.reserve(asked.size());
  for (const JobId& job : asked) keys.push_back(JobKey(job));
  context_.table.get(keys, [this, asked](const auto& rows, const auto&) {
    if (!rows) return;
    for (const JobId& job : asked) {
      if (!IsAmong(*rows, JobKey(job))) {
        context_.absent_jobs[job] = context_.loop.now();
      }
    }
    TakeJobRows(*rows);
  });
}

void BatchSystem::DropForeign() {
  std::erase_if(context_.board.jobs, [&](const auto& it) {
    const auto& [id, job] = it;
    if (IsOwned(context_, job.row.spec.team)) return false;
    return std::none_of(job.chunks.begin(), job.chunks.end(),
                        [](const auto& c) { return c.second.in_flight; });
  });
}

}  // namespace almondtally
