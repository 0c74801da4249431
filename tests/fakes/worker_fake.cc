// Test double for the worker of one VM and for the executor of its services.
// Records what it actually ran in a history file, one JSON object per line, for
// the history checker.

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

#include "external/worker.h"
#include "settings/setting.h"
#include "wire/http_client.h"
#include "wire/http_server.h"

namespace almondtally {
namespace {

using nlohmann::json;

constexpr Duration kTickInterval{20};
constexpr Duration kCheckpointInterval{500};
constexpr Duration kPlatformTimeout{2'000};

struct FakeTask {
  WorkerStart start;
  WorkerTaskState state = WorkerTaskState::kRunning;
  double progress_ms = 0;
  int64_t speed = 100;
  int64_t last_tick_ms = 0;
  int64_t checkpointed_at_ms = 0;
  std::string checkpoint;
  bool loading = false;
};

struct FakeWorker {
  EventLoop& loop;
  HttpClient http;
  Address platform;
  std::string vm;
  Resources capacity;
  uint16_t executor_port = 0;
  int64_t slots = 8;
  bool fail_all = false;
  int64_t busy = 0;
  std::FILE* history = nullptr;
  std::map<WorkerRun, FakeTask> tasks;
};

int64_t NowMs(const FakeWorker& worker) {
  return worker.loop.now().time_since_epoch().count();
}

void RecordEvent(FakeWorker& worker, json event) {
  event["vm"] = worker.vm;
  event["t"] = NowMs(worker);
  std::fprintf(worker.history, "%s\n", event.dump().c_str());
  std::fflush(worker.history);
}

void RecordRunInterval(FakeWorker& worker, const WorkerRun& run,
                       const FakeTask& task, int64_t from, int64_t to) {
  if (to <= from) return;
  RecordEvent(worker, {{"event", "ran"},
                       {"task", ToString(run.task)},
                       {"epoch", run.epoch},
                       {"exclusive", task.start.exclusive},
                       {"from", from},
                       {"to", to}});
}

void SaveCheckpoint(FakeWorker& worker, const WorkerRun& run, FakeTask& task,
                    const std::function<void()>& saved) {
  const std::string name = "ckpt/" + ToString(run.task) + "/" +
                           std::to_string(run.epoch.value) + "/" +
                           std::to_string(NowMs(worker));
  const auto progress = static_cast<int64_t>(task.progress_ms);
  HttpRequest request{
      "PUT", "/v1/objects/" + name, {}, std::to_string(progress)};
  worker.http.Start(worker.platform, request, true, kPlatformTimeout,
                    CollectResponse(1024, [&worker, run, name, saved](
                                              const auto& answer, CallStatus) {
                      const auto it = worker.tasks.find(run);
                      const bool stored = answer && answer->status == 200;
                      if (stored && it != worker.tasks.end())
                        it->second.checkpoint = name;
                      if (saved) saved();
                    }));
}

void LoadCheckpoint(FakeWorker& worker, const WorkerRun& run, FakeTask& task) {
  task.loading = true;
  HttpRequest request{"GET", "/v1/objects/" + task.checkpoint, {}, ""};
  worker.http.Start(
      worker.platform, request, true, kPlatformTimeout,
      CollectResponse(1024, [&worker, run](const auto& answer, CallStatus) {
        const auto it = worker.tasks.find(run);
        if (it == worker.tasks.end()) return;
        if (!answer || answer->status >= 500) {
          return LoadCheckpoint(worker, run, it->second);
        }
        it->second.loading = false;
        it->second.last_tick_ms = NowMs(worker);
        if (answer->status != 200) return;
        it->second.progress_ms = std::strtod(answer->body.c_str(), nullptr);
      }));
}

void TickTask(FakeWorker& worker, const WorkerRun& run, FakeTask& task) {
  const int64_t now = NowMs(worker);
  const int64_t from = std::exchange(task.last_tick_ms, now);
  const bool ended = task.state == WorkerTaskState::kFinished ||
                     task.state == WorkerTaskState::kFailed;
  if (ended || task.loading) return;
  // A task never runs past the end of its lease, even if this process was
  // paused in the meantime.
  const int64_t to = std::min(now, task.start.lease_until_ms.value);
  task.state = now < task.start.lease_until_ms.value ? WorkerTaskState::kRunning
                                                     : WorkerTaskState::kFrozen;
  if (to <= from) return;
  RecordRunInterval(worker, run, task, from, to);
  if (task.start.work_ms == 0) return;
  if (worker.fail_all) {
    task.state = WorkerTaskState::kFailed;
    return;
  }
  task.progress_ms += static_cast<double>((to - from) * task.speed) / 100.0;
  if (task.progress_ms >= static_cast<double>(task.start.work_ms)) {
    task.state = WorkerTaskState::kFinished;
    RecordEvent(worker, {{"event", "finished"},
                         {"task", ToString(run.task)},
                         {"epoch", run.epoch}});
    return;
  }
  if (now - task.checkpointed_at_ms >= kCheckpointInterval.count()) {
    task.checkpointed_at_ms = now;
    SaveCheckpoint(worker, run, task, nullptr);
  }
}

void Tick(FakeWorker& worker) {
  for (auto& [run, task] : worker.tasks) TickTask(worker, run, task);
}

Resources UsedBy(const FakeTask& task) {
  const bool running = task.state == WorkerTaskState::kRunning;
  Resources used = task.start.claimed;
  if (!running) used.cpu = MilliCpu(0);
  used.cpu.value = used.cpu.value * task.speed / 100;
  return used;
}

WorkerState BuildWorkerState(FakeWorker& worker) {
  WorkerState state;
  state.now_ms = WorkerTime(NowMs(worker));
  state.capacity = worker.capacity;
  for (const auto& [run, task] : worker.tasks) {
    WorkerTask out;
    out.task = run.task;
    out.epoch = run.epoch;
    out.generation = task.start.generation;
    out.state = task.state;
    out.exclusive = task.start.exclusive;
    out.service = task.start.service;
    out.claimed = task.start.claimed;
    out.used = UsedBy(task);
    out.checkpoint = task.checkpoint;
    out.speed = task.speed;
    out.port = task.start.service.empty() ? 0 : worker.executor_port;
    state.used += out.used;
    state.tasks.push_back(std::move(out));
  }
  return state;
}

void Start(FakeWorker& worker, const json& in, const Exchange& exchange) {
  const auto start = in.get<WorkerStart>();
  const WorkerRun run{start.task, start.epoch};
  if (worker.tasks.contains(run)) return exchange.Answer(200, {}, "{}");
  if (start.lease_until_ms.value <= NowMs(worker)) {
    return exchange.Answer(410, {}, "the lease has lapsed");
  }
  FakeTask task;
  task.start = start;
  task.checkpoint = start.checkpoint;
  task.last_tick_ms = NowMs(worker);
  task.checkpointed_at_ms = NowMs(worker);
  FakeTask& stored = worker.tasks[run] = std::move(task);
  RecordEvent(worker, {{"event", "started"},
                       {"task", ToString(run.task)},
                       {"epoch", run.epoch},
                       {"claimed", start.claimed},
                       {"checkpoint", start.checkpoint}});
  if (!stored.checkpoint.empty()) LoadCheckpoint(worker, run, stored);
  exchange.Answer(200, {}, "{}");
}

void Renew(FakeWorker& worker, const json& in) {
  const auto until = in.at("lease_until_ms").get<WorkerTime>();
  for (const auto& run : in.at("runs").get<std::vector<WorkerRun>>()) {
    const auto it = worker.tasks.find(run);
    if (it == worker.tasks.end()) continue;
    TickTask(worker, run, it->second);
    auto& lease = it->second.start.lease_until_ms;
    lease = std::max(lease, until);
  }
}

void RemoveTask(FakeWorker& worker, const WorkerRun& run) {
  const auto it = worker.tasks.find(run);
  if (it == worker.tasks.end()) return;
  RecordEvent(worker, {{"event", "ended"},
                       {"task", ToString(run.task)},
                       {"epoch", run.epoch},
                       {"claimed", it->second.start.claimed}});
  worker.tasks.erase(it);
}

void Stop(FakeWorker& worker, const json& in, const Exchange& exchange) {
  const auto run = in.at("run").get<WorkerRun>();
  const auto it = worker.tasks.find(run);
  if (it == worker.tasks.end()) {
    return exchange.Answer(200, {}, R"({"state":"failed"})");
  }
  TickTask(worker, run, it->second);
  const auto finish = [&worker, run, exchange] {
    const auto found = worker.tasks.find(run);
    WorkerStopped stopped{WorkerTaskState::kFailed, ""};
    if (found != worker.tasks.end()) {
      if (found->second.state == WorkerTaskState::kFinished) {
        stopped.state = WorkerTaskState::kFinished;
      }
      stopped.checkpoint = found->second.checkpoint;
    }
    RemoveTask(worker, run);
    exchange.Answer(200, {}, json(stopped).dump());
  };
  // Ends the lease, so that the task makes no progress while its last
  // checkpoint is written.
  it->second.start.lease_until_ms = WorkerTime(0);
  if (!in.value("checkpoint", false) || it->second.loading) return finish();
  SaveCheckpoint(worker, run, it->second, finish);
}

void ServeWorker(FakeWorker& worker, const Exchange& exchange) {
  const HttpRequest& request = exchange.request();
  if (request.path == "/v1/worker") {
    Tick(worker);
    return exchange.Answer(200, {}, json(BuildWorkerState(worker)).dump());
  }
  const json in = json::parse(request.body, nullptr, false);
  try {
    if (request.path == "/v1/worker/start") {
      return Start(worker, in, exchange);
    }
    if (request.path == "/v1/worker/stop") return Stop(worker, in, exchange);
    if (request.path == "/v1/worker/renew") Renew(worker, in);
    if (request.path == "/v1/worker/forget") {
      RemoveTask(worker, in.at("run").get<WorkerRun>());
    }
    if (request.path == "/v1/worker/throttle") {
      const auto it = worker.tasks.find(in.at("run").get<WorkerRun>());
      if (it != worker.tasks.end()) it->second.speed = in.at("speed");
    }
    if (request.path == "/control") {
      worker.fail_all = in.value("fail_all", worker.fail_all);
    }
  } catch (const json::exception& error) {
    return exchange.Answer(400, {}, error.what());
  }
  exchange.Answer(200, {}, "{}");
}

int64_t QueryNumber(const std::string& path, const std::string& name,
                    int64_t default_value) {
  const size_t at = path.find(name + "=");
  if (at == std::string::npos) return default_value;
  return std::strtoll(path.c_str() + at + name.size() + 1, nullptr, 10);
}

/// Streams `remaining` bytes as fast as the reader accepts them.
void Stream(const Exchange& exchange, int64_t remaining) {
  constexpr int64_t kChunkBytes = 16'384;
  const int64_t n = std::min(remaining, kChunkBytes);
  if (n <= 0) return exchange.End();
  exchange.OnDrained(
      [exchange, remaining, n] { Stream(exchange, remaining - n); });
  exchange.Write(std::string(static_cast<size_t>(n), 'x'));
}

void ServeExecutor(FakeWorker& worker, const Exchange& exchange) {
  const HttpRequest& request = exchange.request();
  if (worker.busy >= worker.slots) {
    return exchange.Answer(503, {}, "no slot");
  }
  ++worker.busy;
  RecordEvent(worker, {{"event", "request"},
                       {"method", request.method},
                       {"path", request.path},
                       {"body", request.body.substr(0, 200)}});
  const Duration service_time(QueryNumber(request.path, "ms", 5));
  worker.loop.RunAfter(service_time, [&worker, exchange] {
    --worker.busy;
    const HttpRequest& it = exchange.request();
    const int64_t bytes = QueryNumber(it.path, "bytes", 0);
    if (bytes > 0) {
      exchange.Begin(200, {{"content-type", "application/octet-stream"}});
      return Stream(exchange, bytes);
    }
    exchange.Answer(200, {{"content-type", "text/plain"}},
                    "done:" + it.path + ":" + it.body);
  });
}

int Main(const std::vector<std::string>& args) {
  using enum SettingKind;
  const std::vector<SettingInfo> infos = {
      {"listen", kAddress, "", true, 0, 0, "worker interface"},
      {"executor", kAddress, "", true, 0, 0, "executor of its services"},
      {"platform", kAddress, "", true, 0, 0, "object store"},
      {"vm", kName, "", true, 0, 0, "name of the VM"},
      {"cpu", kNumber, "30000", false, 1, INT64_MAX, "thousandths"},
      {"memory", kNumber, "125000", false, 1, INT64_MAX, "MiB"},
      {"slots", kNumber, "8", false, 1, 1000, "executor's slots"},
      {"history", kText, "/dev/null", false, 0, 0, "history file"}};
  SettingsReason why;
  const auto settings = Settings::Read(infos, args, why);
  if (!settings) {
    std::fprintf(stderr, "%s\n", why.text.c_str());
    return 2;
  }
  EventLoop loop;
  const Address executor = settings->AddressOf("executor");
  FakeWorker worker{loop,
                    HttpClient(loop, kPlatformTimeout),
                    settings->AddressOf("platform"),
                    settings->Text("vm"),
                    {MilliCpu(settings->Number("cpu")),
                     Mebibytes(settings->Number("memory")), Accelerators(0)},
                    executor.port,
                    settings->Number("slots"),
                    false,
                    0,
                    std::fopen(settings->Text("history").c_str(), "a"),
                    {}};
  HttpServer worker_server(loop, {}, [&](const Exchange& exchange) {
    ServeWorker(worker, exchange);
  });
  HttpServer executor_server(loop, {}, [&](const Exchange& exchange) {
    ServeExecutor(worker, exchange);
  });
  WireReason listen_why;
  if (!worker_server.Listen(settings->AddressOf("listen"), listen_why) ||
      !executor_server.Listen(executor, listen_why)) {
    std::fprintf(stderr, "%s\n", listen_why.text.c_str());
    return 1;
  }
  RecordEvent(worker, {{"event", "boot"}});
  loop.RunEvery(kTickInterval, [&] { Tick(worker); });
  loop.Run();
  return 0;
}

}  // namespace
}  // namespace almondtally

int main(int argc, char** argv) {
  return almondtally::Main({argv + 1, argv + argc});
}
