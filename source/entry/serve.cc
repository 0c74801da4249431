#include "entry/serve.h"

#include <csignal>
#include <cstdio>

#include "base/log.h"
#include "entry/admin_api.h"
#include "entry/announcements.h"
#include "entry/batch_system.h"
#include "entry/entry_context.h"
#include "entry/members.h"
#include "entry/request_router.h"
#include "settings/setting.h"
#include "wire/http_server.h"

namespace almondtally {
namespace {

constexpr Duration kTickInterval{50};
constexpr Duration kSlowTickInterval{1'000};
constexpr Duration kOwnRowInterval{2'000};
/// Time for the load balancer to notice that /readyz reports not ready.
constexpr Duration kMinDrainTime{3'000};

volatile std::sig_atomic_t stop_signal = 0;

void OnSignal(int /*signal*/) { stop_signal = 1; }

std::vector<SettingInfo> SettingInfos() {
  using enum SettingKind;
  return {
      {"id", kName, "", true, 0, 0, "unique name of this entry"},
      {"data-centre", kName, "", true, 0, 0, "data centre of this VM"},
      {"listen", kAddress, "", true, 0, 0,
       "where callers, operators and targets reach this process"},
      {"advertise", kAddress, "", false, 0, 0,
       "address announced to other processes; default is the listen address"},
      {"platform", kAddress, "", true, 0, 0, "the platform's table service"},
      {"max-body", kNumber, "1048576", false, 1'024, 8 << 20,
       "largest request body in bytes"},
      {"max-requests", kNumber, "2000", false, 1, 100'000,
       "requests at once before callers are refused"},
      {"drain-ms", kMillis, "30000", false, 1'000, 3'600'000,
       "maximum drain time of a planned stop"},
      {"quiet", kFlag, "false", false, 0, 0, "log warnings and errors only"},
      {"check", kFlag, "false", false, 0, 0, "check the settings and exit"}};
}

EntrySettings FromSettings(const Settings& settings) {
  EntrySettings out;
  out.id = EntryId(settings.Text("id"));
  out.data_centre = DataCentreId(settings.Text("data-centre"));
  out.listen = settings.AddressOf("listen");
  out.advertise = settings.Text("advertise").empty()
                      ? out.listen
                      : settings.AddressOf("advertise");
  out.platform = settings.AddressOf("platform");
  out.max_body = static_cast<size_t>(settings.Number("max-body"));
  out.max_requests = settings.Number("max-requests");
  out.drain_limit = settings.Millis("drain-ms");
  return out;
}

ServerLimits MakeServerLimits(const EntrySettings& settings) {
  ServerLimits limits;
  // The server's limit is higher, so that callers get the router's refusal.
  limits.max_body = settings.max_body * 4;
  return limits;
}

class EntryProcess {
 public:
  EntryProcess(EventLoop& loop, const EntrySettings& settings)
      : context_(loop, settings),
        batch_(context_),
        router_(context_),
        admin_(context_, batch_, router_),
        server_(loop, MakeServerLimits(settings),
                [this](const Exchange& exchange) { Handle(exchange); }) {}

  bool Start(WireReason& why) {
    if (!server_.Listen(context_.settings.listen, why)) return false;
    Log(Event::kProcessStarted,
        {{"listen", ToString(context_.settings.listen)},
         {"entry", context_.settings.id.value},
         {"data_centre", context_.settings.data_centre.value}});
    context_.config.OnApplied([this] {
      const ConfigVersion version = context_.config.config().version;
      Log(Event::kConfigApplied,
          {{"version", static_cast<int64_t>(version.value)}});
    });
    context_.config.Poll();
    WriteOwnRow(context_);
    EventLoop& loop = context_.loop;
    loop.RunEvery(kTickInterval, [this] { Tick(); });
    loop.RunEvery(kSlowTickInterval, [this] { SlowTick(); });
    loop.RunEvery(kOwnRowInterval, [this] {
      if (!context_.draining) WriteOwnRow(context_);
    });
    return true;
  }

 private:
  void Handle(const Exchange& exchange) {
    const std::string& path = exchange.request().path;
    if (path.starts_with("/svc/")) return router_.Handle(exchange);
    if (path == peer_path::kAnnounce) {
      return HandleAnnounce(context_, exchange);
    }
    if (path == peer_path::kJobHint) return HandleJobHint(exchange);
    if (path.starts_with("/admin/v1/")) return admin_.Handle(exchange);
    if (path == "/metrics") return ServeMetrics(exchange);
    if (path == "/healthz") return exchange.Answer(200, {}, "ok\n");
    if (path == "/readyz") return ServeReady(exchange);
    exchange.Answer(404, {{"x-almondtally-outcome", "not_run"}},
                    "{\"outcome\":\"not_run\",\"reason\":\"no such path\"}\n");
  }

  void HandleJobHint(const Exchange& exchange) {
    WireReason why;
    const auto hint = DecodeMessage<JobHint>(exchange.request().body, why);
    if (!hint) {
      Log(Event::kPeerGarbage, {{"reason", why.text}});
      context_.metrics.CountBadInput();
      return exchange.Answer(400, {}, why.text);
    }
    batch_.RefreshJob(hint->job);
    exchange.Answer(200, {}, EncodeMessage(*hint));
  }

  void ServeReady(const Exchange& exchange) {
    if (context_.draining) return exchange.Answer(503, {}, "draining\n");
    if (!context_.config.ready()) {
      return exchange.Answer(503, {}, "configuration not known\n");
    }
    exchange.Answer(200, {}, "ready\n");
  }

  void ServeMetrics(const Exchange& exchange) {
    UpdateGauges();
    exchange.Answer(200, {{"content-type", "text/plain; version=0.0.4"}},
                    context_.metrics.Text());
  }

  void UpdateGauges() {
    Metrics& metrics = context_.metrics;
    const TableCounters& table = context_.table_counters;
    const auto as_of = context_.config.current_as_of();
    const auto set = [&](const char* name, auto value) {
      metrics.SetGauge(name, static_cast<double>(value));
    };
    set("requests_open", router_.open());
    set("targets", context_.vms.size());
    set("jobs", context_.board.jobs.size());
    set("config_version", context_.config.config().version.value);
    set("config_age_ms", as_of ? (context_.loop.now() - *as_of).count() : -1);
    set("table_transactions", table.transactions);
    set("table_rows_written", table.rows_written);
    set("table_rows_read", table.rows_read);
    set("table_failures", table.failures);
    set("peer_bytes_out", context_.links.bytes_out());
    set("peer_bytes_in", context_.links.bytes_in());
  }

  void Tick() {
    if (stop_signal != 0 && !context_.draining) BeginDraining();
    batch_.Tick();
    if (context_.draining) StopIfDrained();
  }

  void SlowTick() {
    context_.config.Poll();
    ReadPeers(context_);
    DropSilentTargets(context_);
    batch_.SlowTick();
  }

  void BeginDraining() {
    context_.draining = true;
    context_.draining_since = context_.loop.now();
    DeleteOwnRow(context_);
    Log(Event::kProcessDraining, {{"entry", context_.settings.id.value}});
  }

  void StopIfDrained() {
    const Duration since = context_.loop.now() - context_.draining_since;
    if (since < kMinDrainTime) return;
    const bool drained = router_.open() == 0;
    if (!drained && since < context_.settings.drain_limit) return;
    server_.Shutdown();
    Log(Event::kProcessStopped, {{"open", router_.open()}});
    context_.loop.Stop();
  }

  EntryContext context_;
  BatchScheduler batch_;
  RequestRouter router_;
  AdminApi admin_;
  HttpServer server_;
};

}  // namespace

int Serve(const std::vector<std::string>& args) {
  SettingsReason why;
  const auto settings = Settings::Read(SettingInfos(), args, why);
  if (!settings) {
    if (why.code == SettingsError::kHelpRequested) {
      std::printf("almondtally serve: an entry process\n\n%s",
                  why.text.c_str());
      return 0;
    }
    std::fprintf(stderr, "almondtally serve: %s\n", why.text.c_str());
    return 2;
  }
  InitLog("entry",
          settings->Flag("quiet") ? LogLevel::kWarning : LogLevel::kInfo);
  if (settings->Flag("check")) {
    std::printf("settings are valid\n");
    return 0;
  }
  std::signal(SIGTERM, OnSignal);
  std::signal(SIGINT, OnSignal);
  EventLoop loop;
  EntryProcess process(loop, FromSettings(*settings));
  WireReason listen_why;
  if (!process.Start(listen_why)) {
    std::fprintf(stderr, "almondtally serve: %s\n", listen_why.text.c_str());
    return 1;
  }
  loop.Run();
  return 0;
}

}  // namespace almondtally
