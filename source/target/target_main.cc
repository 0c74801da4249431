#include <csignal>
#include <cstdio>
#include <string>
#include <vector>

#include "base/log.h"
#include "external/http_worker.h"
#include "peer/request_headers.h"
#include "platform/mains.h"
#include "settings/setting.h"
#include "target/announcer.h"
#include "target/request_server.h"
#include "target/target_context.h"
#include "target/task_runner.h"
#include "wire/http_server.h"

namespace almondtally {

namespace {

constexpr Duration kTickInterval{50};
constexpr Duration kListInterval{250};
constexpr Duration kRenewInterval{1'000};
constexpr Duration kWorkerTimeout{2'000};
/// How long a target keeps serving after it announced that it is leaving, for
/// messages that were sent before the announcement arrived.
constexpr Duration kLeaveGrace{3'000};

volatile std::sig_atomic_t stop_signal = 0;

void OnSignal(int /*signal*/) { stop_signal = 1; }

std::vector<SettingInfo> SettingDefinitions() {
  using enum SettingKind;
  return {
      {"vm", kName, "", true, 0, 0, "name of this VM"},
      {"data-centre", kName, "", true, 0, 0, "data centre of this VM"},
      {"rack", kName, "rack-0", false, 0, 0, "rack of this VM"},
      {"listen", kAddress, "", true, 0, 0,
       "address on which this process listens for entries"},
      {"advertise", kAddress, "", false, 0, 0,
       "address announced to entries, if not the listen address"},
      {"worker", kAddress, "", true, 0, 0, "address of the worker on this VM"},
      {"entries", kAddressList, "", true, 0, 0,
       "addresses of one or more entries, or of their load balancer"},
      {"announce-ms", kMillis, "2400", false, 200, 2'500,
       "time between announcements"},
      {"drain-ms", kMillis, "30000", false, 1'000, 3'600'000,
       "longest time that a planned stop waits for open work"},
      {"quiet", kFlag, "false", false, 0, 0, "log warnings and errors only"},
      {"check", kFlag, "false", false, 0, 0, "check the settings and exit"}};
}

TargetSettings FromSettings(const Settings& it) {
  TargetSettings out;
  out.vm = VmId(it.Text("vm"));
  out.data_centre = DataCentreId(it.Text("data-centre"));
  out.rack = RackId(it.Text("rack"));
  out.listen = it.AddressOf("listen");
  out.advertise =
      it.Text("advertise").empty() ? out.listen : it.AddressOf("advertise");
  out.worker = it.AddressOf("worker");
  out.entries = it.Addresses("entries");
  out.announce_every = it.Millis("announce-ms");
  out.drain_limit = it.Millis("drain-ms");
  return out;
}

template <typename Message, typename Fn>
void HandleMessage(const Exchange& exchange, Fn fn) {
  WireReason why;
  const auto message = DecodeMessage<Message>(exchange.request().body, why);
  if (!message) {
    Log(Event::kPeerGarbage,
        {{"path", exchange.request().path}, {"reason", why.text}});
    constexpr int kBadRequest = 400;
    return exchange.Answer(kBadRequest, {}, why.text);
  }
  constexpr int kOk = 200;
  exchange.Answer(kOk, {}, EncodeMessage(fn(*message)));
}

class TargetProcess {
 public:
  TargetProcess(EventLoop& loop, const TargetSettings& settings)
      : worker_http_(loop, kWorkerTimeout),
        context_(loop, settings,
                 MakeHttpWorker(worker_http_, settings.worker, kWorkerTimeout)),
        requests_(context_),
        server_(loop, Limits(),
                [this](const Exchange& exchange) { Handle(exchange); }) {}

  bool Start(WireReason& why) {
    if (!server_.Listen(context_.settings.listen, why)) return false;
    Log(Event::kProcessStarted,
        {{"listen", ToString(context_.settings.listen)},
         {"vm", context_.settings.vm.value},
         {"data_centre", context_.settings.data_centre.value}});
    EventLoop& loop = context_.loop;
    loop.RunEvery(kListInterval, [this] { PollWorker(context_); });
    loop.RunEvery(kRenewInterval, [this] { RenewLeases(context_); });
    loop.RunEvery(kTickInterval, [this] { Tick(); });
    return true;
  }

 private:
  static ServerLimits Limits() {
    ServerLimits limits;
    limits.max_body = 16 << 20;
    return limits;
  }

  void Handle(const Exchange& exchange) {
    const std::string& path = exchange.request().path;
    if (path.starts_with("/svc/")) return requests_.Handle(exchange);
    if (path == peer_path::kStart) {
      return HandleMessage<StartRequest>(exchange, [this](const auto& it) {
        return HandleStart(context_, it);
      });
    }
    if (path == peer_path::kStop) {
      return HandleMessage<StopRequest>(exchange, [this](const auto& it) {
        return HandleStop(context_, it);
      });
    }
    if (path == peer_path::kWithdraw) {
      return HandleMessage<WithdrawRequest>(exchange, [this](const auto& it) {
        return requests_.HandleWithdraw(it);
      });
    }
    if (path == "/healthz") return exchange.Answer(200, {}, "ok\n");
    if (path == "/metrics") return ServeMetrics(exchange);
    exchange.Answer(404, {}, "no such path\n");
  }

  void ServeMetrics(const Exchange& exchange) {
    const TaskTable& tasks = context_.tasks;
    const MonotonicTime now = context_.loop.now();
    const auto until = ValidUntil(tasks.proof);
    const auto set = [&](const char* name, auto value) {
      context_.metrics.SetGauge(name, static_cast<double>(value));
    };
    set("runs", tasks.runs.size());
    set("tombstones", tasks.tombstones.size());
    set("generation", tasks.generation.value);
    set("proof_left_ms", until ? (*until - now).count() : -1);
    set("config_version", context_.config.version.value);
    set("requests_open", OpenRequests(context_.requests));
    set("requests_remembered", context_.requests.records.size());
    set("peer_bytes_out", context_.links.bytes_out());
    set("peer_bytes_in", context_.links.bytes_in());
    exchange.Answer(200, {{"content-type", "text/plain; version=0.0.4"}},
                    context_.metrics.Text());
  }

  void Tick() {
    if (stop_signal != 0 && !context_.leaving) BeginLeaving();
    AdvanceTasks(context_);
    requests_.Tick();
    AnnounceIfDue(context_);
    if (context_.leaving) EndIfDrained();
  }

  void BeginLeaving() {
    context_.leaving = true;
    context_.leaving_since = context_.loop.now();
    AnnounceSoon(context_);
    Log(Event::kProcessDraining, {{"vm", context_.settings.vm.value}});
  }

  void EndIfDrained() {
    const Duration since = context_.loop.now() - context_.leaving_since;
    if (since < kLeaveGrace) return;
    const auto open = static_cast<int64_t>(server_.open_exchanges());
    const bool drained = open == 0 && IsEmpty(context_.tasks);
    if (!drained && since < context_.settings.drain_limit) return;
    Log(Event::kProcessStopped,
        {{"open", open},
         {"runs", static_cast<int64_t>(context_.tasks.runs.size())}});
    context_.loop.Stop();
  }

  HttpClient worker_http_;
  TargetContext context_;
  RequestServer requests_;
  HttpServer server_;
};

int Main(const std::vector<std::string>& args) {
  SettingsReason why;
  const auto settings = Settings::Read(SettingDefinitions(), args, why);
  if (!settings) {
    if (why.code == SettingsError::kHelpRequested) {
      std::printf(
          "almondtally-target: runs tasks and serves requests on one VM\n\n%s",
          why.text.c_str());
      return 0;
    }
    std::fprintf(stderr, "almondtally-target: %s\n", why.text.c_str());
    return 2;
  }
  InitLog("target",
          settings->Flag("quiet") ? LogLevel::kWarning : LogLevel::kInfo);
  if (settings->Flag("check")) {
    std::printf("settings are valid\n");
    return 0;
  }
  std::signal(SIGTERM, OnSignal);
  std::signal(SIGINT, OnSignal);
  EventLoop loop;
  TargetProcess process(loop, FromSettings(*settings));
  WireReason listen_why;
  if (!process.Start(listen_why)) {
    std::fprintf(stderr, "almondtally-target: %s\n", listen_why.text.c_str());
    return 1;
  }
  loop.Run();
  return 0;
}

}  // namespace
}  // namespace almondtally

int main(int argc, char** argv) {
  const std::vector<std::string> args(argv + 1, argv + argc);
  if (!args.empty() && args[0] == "agent") {
    return almondtally::platform::RunAgent({args.begin() + 1, args.end()});
  }
  return almondtally::Main(args);
}
