#include "entry/batch_system.h"

#include <algorithm>

#include "base/log.h"
#include "entry/members.h"

namespace almondtally {
namespace {

constexpr Duration kPeerTimeout{3'000};
constexpr Duration kScanInterval{15'000};
/// A longer gap between ticks means that the process was paused and that other
/// entries may have changed its rows meanwhile.
constexpr Duration kPauseThreshold{2'000};
/// Every target has announced itself by then. Placing tasks earlier would
/// overload the first targets to announce.
constexpr Duration kWarmUpTime{3'000};
constexpr size_t kPlacementsPerTick = 200;

bool ContainsKey(const std::vector<Row>& rows, const std::string& key) {
  return std::any_of(rows.begin(), rows.end(),
                     [&](const Row& row) { return row.key == key; });
}

std::string EncodeFence(Generation generation) {
  return nlohmann::json(FenceConfig{generation}).dump();
}

ConfigVersion FenceVersion(const Config& config, const VmId& vm) {
  const auto it = config.objects.find({ConfigKind::kFence, vm.value});
  return it == config.objects.end() ? ConfigVersion(0) : it->second.version;
}

}  // namespace

BatchScheduler::BatchScheduler(EntryContext& context)
    : context_(context), started_at_(context.loop.now()) {}

void BatchScheduler::Tick() {
  DetectPause();
  if (!context_.config.ready()) return;
  if (IsWarmedUp()) {
    PlacePending(context_.board, MakeBoardView(context_), kPlacementsPerTick);
  }
  CommitStagedChanges();
  SendStarts();
  RetireFinishedJobs();
  ReadStaleRows();
}

void BatchScheduler::SlowTick() {
  if (!context_.config.ready()) return;
  DropUnownedJobs();
  if (context_.loop.now() >= next_scan_) ScanJobs();
  CreateServiceJobs();
  FenceSilentVms();
  RequeueLostTasks(context_.board, MakeBoardView(context_));
  ReleaseUnusedReservations(context_.board, context_.vms);
  SendStops();
  LookUpUnknownJobs();
}

bool BatchScheduler::IsWarmedUp() const {
  return context_.loop.now() - started_at_ >= kWarmUpTime;
}

void BatchScheduler::DetectPause() {
  const MonotonicTime now = context_.loop.now();
  const bool paused =
      last_tick_ != MonotonicTime{} && now - last_tick_ > kPauseThreshold;
  last_tick_ = now;
  if (!paused) return;
  MarkAllStale(context_.board);
  next_scan_ = now;
}

void BatchScheduler::ScanJobs() {
  if (scanning_) return;
  scanning_ = true;
  next_scan_ = context_.loop.now() + kScanInterval;
  context_.table.scan("job/", [this](const auto& rows, const auto&) {
    scanning_ = false;
    if (rows) ApplyJobRows(*rows);
  });
}

void BatchScheduler::ApplyJobRows(const std::vector<Row>& rows) {
  for (const Row& row : rows) {
    JobReason why;
    const auto job = DecodeJobRow(row.value, why);
    if (!job) {
      Log(Event::kInputRejected, {{"row", row.key}, {"reason", why.text}});
      continue;
    }
    if (!IsOwned(context_, job->spec.team)) continue;
    const JobId id = job->spec.id;
    ApplyJobRow(context_.board, *job, row.version);
    if (context_.board.jobs.at(id).chunks.empty()) LoadChunks(id);
  }
}

void BatchScheduler::LoadChunks(const JobId& job) {
  if (!loading_chunks_.insert(job).second) return;
  const MonotonicTime sent_at = context_.loop.now();
  context_.table.scan(ChunkPrefix(job), [this, job, sent_at](const auto& rows,
                                                             const auto&) {
    loading_chunks_.erase(job);
    if (!rows) return;
    for (const Row& row : *rows) {
      JobReason why;
      const auto chunk = DecodeChunk(row.value, why);
      if (chunk) {
        ApplyChunkRow(context_.board, *chunk, row.version, sent_at);
      } else {
        Log(Event::kInputRejected, {{"row", row.key}, {"reason", why.text}});
      }
    }
  });
}

void BatchScheduler::RefreshJob(const JobId& job) {
  context_.table.get({JobKey(job)}, [this](const auto& rows, const auto&) {
    if (rows) ApplyJobRows(*rows);
  });
}

void BatchScheduler::ReadStaleRows() {
  if (reading_stale_) return;
  const std::vector<std::string> keys = StaleKeys(context_.board);
  if (keys.empty()) return;
  reading_stale_ = true;
  const MonotonicTime sent_at = context_.loop.now();
  context_.table.get(
      keys, [this, keys, sent_at](const auto& rows, const auto&) {
        reading_stale_ = false;
        if (!rows) return;
        for (const Row& row : *rows) {
          JobReason why;
          if (const auto chunk = DecodeChunk(row.value, why)) {
            ApplyChunkRow(context_.board, *chunk, row.version, sent_at);
          } else if (const auto job = DecodeJobRow(row.value, why)) {
            ApplyJobRow(context_.board, *job, row.version);
          }
        }
        // A job whose rows were deleted has been retired by another entry.
        std::erase_if(context_.board.jobs, [&](const auto& it) {
          const auto& [id, job] = it;
          for (const auto& [first, chunk] : job.chunks) {
            const std::string key = ChunkKey(id, first);
            const bool requested =
                std::find(keys.begin(), keys.end(), key) != keys.end();
            if (requested && chunk.stale && !chunk.in_flight &&
                !ContainsKey(*rows, key)) {
              return true;
            }
          }
          const std::string key = JobKey(id);
          const bool requested =
              std::find(keys.begin(), keys.end(), key) != keys.end();
          return requested && job.stale && !ContainsKey(*rows, key);
        });
      });
}

void BatchScheduler::CommitStagedChanges() {
  // One commit at a time; changes staged meanwhile go into the next commit.
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

void BatchScheduler::SendStarts() {
  for (const StartBatch& batch : CollectStartMessages(
           context_.board, MakeBoardView(context_), context_.settings.id)) {
    const VmId vm = batch.vm;
    const Incarnation requested = batch.request.incarnation;
    context_.links.Send<StartAnswer>(
        context_.vms.at(vm).address, peer_path::kStart, batch.request,
        kPeerTimeout,
        [this, vm, requested](const std::optional<StartAnswer>& answer,
                              const auto&) {
          if (!answer) return;
          for (const StartResult& result : answer->results) {
            ApplyStartResult(context_.board, MakeBoardView(context_), vm,
                             requested, result);
            context_.metrics.CountTaskEvent(
                "start_" + nlohmann::json(result.verdict).get<std::string>());
          }
        });
  }
}

void BatchScheduler::SendStops() {
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

void BatchScheduler::FenceSilentVms() {
  for (const auto& [vm, generation] :
       VmsToFence(context_.board, MakeBoardView(context_))) {
    if (!fencing_vms_.insert(vm).second) continue;
    ConfigProposal proposal;
    proposal.id =
        ChangeId("fence:" + vm.value + ":" + std::to_string(generation.value));
    proposal.kind = ConfigKind::kFence;
    proposal.name = vm.value;
    proposal.value = EncodeFence(generation);
    // The expected version keeps a proposal based on stale configuration from
    // lowering the fence.
    proposal.expected = FenceVersion(context_.config.config(), vm);
    context_.config.Propose(
        proposal, [this, vm = vm, generation = generation](
                      const auto& accepted, const ConfigReason& why) {
          fencing_vms_.erase(vm);
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

void BatchScheduler::CreateServiceJobs() {
  const auto teams = OwnedTeams(context_);
  for (JobRow& row :
       SyncServices(context_.board, context_.config.config(), teams)) {
    const JobId id = row.spec.id;
    if (!creating_jobs_.insert(id).second) continue;
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
      // Read the rows in any case: the job may have been created before.
      creating_jobs_.erase(id);
      RefreshJob(id);
    });
  }
}

void BatchScheduler::RetireFinishedJobs() {
  for (const FinishedJob& finished : CollectFinishedJobs(context_.board)) {
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

void BatchScheduler::LookUpUnknownJobs() {
  if (context_.unknown_jobs.empty()) return;
  std::vector<std::string> keys;
  const std::set<JobId> requested = std::exchange(context_.unknown_jobs, {});
  keys.reserve(requested.size());
  for (const JobId& job : requested) keys.push_back(JobKey(job));
  context_.table.get(keys, [this, requested](const auto& rows, const auto&) {
    if (!rows) return;
    for (const JobId& job : requested) {
      if (!ContainsKey(*rows, JobKey(job))) {
        context_.absent_jobs[job] = context_.loop.now();
      }
    }
    ApplyJobRows(*rows);
  });
}

void BatchScheduler::DropUnownedJobs() {
  std::erase_if(context_.board.jobs, [&](const auto& it) {
    const auto& [id, job] = it;
    if (IsOwned(context_, job.row.spec.team)) return false;
    return std::none_of(job.chunks.begin(), job.chunks.end(),
                        [](const auto& c) { return c.second.in_flight; });
  });
}

}  // namespace almondtally
