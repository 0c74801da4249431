#include "target/task_runner.h"

#include "base/log.h"
#include "target/announcer.h"

namespace almondtally {
namespace {

/// Announces runs that have just ended to the entries that manage them.
void AnnounceEndedRuns(TargetContext& context) {
  for (auto& [key, run] : context.tasks.runs) {
    if (run.phase != RunPhase::kEnded || run.end_announced) continue;
    run.end_announced = true;
    AnnounceSoon(context, run.entry);
  }
}

/// Keeps one request queue, with the configured limits, for each service that
/// has a running executor on this VM.
void SyncServiceQueues(TargetContext& context) {
  std::map<ServiceId, ServiceQueue>& queues = context.requests.services;
  for (const auto& [key, run] : context.tasks.runs) {
    if (run.item.service.empty() || run.phase != RunPhase::kRunning) continue;
    const auto config = context.config.services.find(run.item.service);
    if (config == context.config.services.end()) continue;
    auto [it, is_new] = queues.try_emplace(run.item.service);
    ServiceQueue& queue = it->second;
    queue.declared_slots = config->second.slots;
    queue.declared_queue = config->second.queue;
    if (is_new) AnnounceSoon(context);
  }
  std::erase_if(queues, [&](const auto& it) {
    if (it.second.in_use > 0 || !it.second.waiting.empty()) return false;
    for (const auto& [key, run] : context.tasks.runs) {
      const bool here = run.phase == RunPhase::kRunning;
      if (here && run.item.service == it.first) return false;
    }
    return true;
  });
}

void ApplyPressure(TargetContext& context) {
  const PressureResponse response = RespondToPressure(
      context.pressure, context.pressure_limits, context.tasks);
  for (const ThrottleCall& call : response.throttles) {
    Log(Event::kTaskThrottled,
        {{"task", ToString(call.run.task)},
         {"speed", call.speed},
         {"used_cpu", context.tasks.used.cpu.value},
         {"capacity_cpu", context.tasks.capacity.cpu.value}});
    context.worker.throttle(call.run, call.speed,
                            [](bool, const PlatformReason&) {});
  }
  for (const WorkerRun& run : response.evictions) {
    Stop(context.tasks, run, RunOutcome::kEvicted, "memory pressure");
  }
}

void ApplyWorkerState(TargetContext& context, MonotonicTime asked_at,
                      const WorkerState& state) {
  ApplyWorkerListing(context.tasks, asked_at, context.loop.now(), state);
  AnnounceEndedRuns(context);
  SyncServiceQueues(context);
  ApplyPressure(context);
}

void LogProofChange(TargetContext& context) {
  TaskTable& tasks = context.tasks;
  const bool is_valid = IsValid(tasks.proof, context.loop.now());
  if (is_valid == tasks.proof_was_valid) return;
  tasks.proof_was_valid = is_valid;
  Log(is_valid ? Event::kProofRestored : Event::kProofExpired,
      {{"generation", static_cast<int64_t>(tasks.generation.value)},
       {"runs", static_cast<int64_t>(tasks.runs.size())}});
}

void SendStarts(TargetContext& context) {
  for (const WorkerStart& start :
       CollectStarts(context.tasks, context.loop.now())) {
    const WorkerRun run{start.task, start.epoch};
    context.worker.start(
        start, [&context, run](bool done, const PlatformReason& why) {
          ApplyStartReply(context.tasks, run, context.loop.now(), done, why);
          if (done) {
            Log(Event::kTaskStarted,
                {{"task", ToString(run.task)},
                 {"epoch", static_cast<int64_t>(run.epoch.value)}});
            return;
          }
          AnnounceSoon(context);
          Log(Event::kPlatformError,
              {{"call", "worker start"}, {"reason", why.text}});
        });
  }
}

void SendStops(TargetContext& context) {
  for (const StopCall& call : CollectStops(context.tasks, context.loop.now())) {
    const WorkerRun run = call.run;
    context.worker.stop(run, call.with_checkpoint,
                        [&context, run](const auto& stopped, const auto&) {
                          ApplyStopReply(context.tasks, run, context.loop.now(),
                                         stopped);
                          AnnounceEndedRuns(context);
                        });
  }
}

}  // namespace

void PollWorker(TargetContext& context) {
  if (context.listing_in_flight) return;
  context.listing_in_flight = true;
  const MonotonicTime asked_at = context.loop.now();
  context.worker.list([&context, asked_at](const auto& state, const auto&) {
    context.listing_in_flight = false;
    if (state) ApplyWorkerState(context, asked_at, *state);
  });
}

void AdvanceTasks(TargetContext& context) {
  context.tasks.draining = context.leaving || context.config.draining;
  LogProofChange(context);
  if (context.tasks.draining) EvictAll(context, "the VM is draining");
  SendStarts(context);
  SendStops(context);
  RunMaintenance(context.tasks, context.loop.now());
}

void RenewLeases(TargetContext& context) {
  for (const Renewal& it : Renewals(context.tasks, context.loop.now())) {
    context.worker.renew(it.runs, it.until, [](bool, const PlatformReason&) {});
  }
}

void EvictAll(TargetContext& context, const std::string& reason) {
  for (const auto& [key, run] : context.tasks.runs) {
    // Executors keep running until all open requests are answered.
    const bool busy = !run.item.exclusive && OpenRequests(context.requests) > 0;
    if (!busy) Stop(context.tasks, key, RunOutcome::kEvicted, reason);
  }
}

StartAnswer HandleStart(TargetContext& context, const StartRequest& request) {
  StartAnswer answer;
  for (const StartItem& item : request.starts) {
    StartResult result =
        AdmitRun(context.tasks, context.loop.now(), request, item);
    if (result.verdict == StartVerdict::kRefused) {
      Log(Event::kTaskRefused,
          {{"task", ToString(item.task)},
           {"epoch", static_cast<int64_t>(item.epoch.value)},
           {"reason", result.reason}});
    }
    answer.results.push_back(std::move(result));
  }
  SendStarts(context);
  return answer;
}

StartAnswer HandleStop(TargetContext& context, const StopRequest& request) {
  StartAnswer answer;
  for (const WorkerRun& run : request.runs) {
    CancelRun(context.tasks, run, context.loop.now());
    answer.results.push_back({run, StartVerdict::kEnded, ""});
  }
  SendStops(context);
  AnnounceEndedRuns(context);
  return answer;
}

}  // namespace almondtally
