// Stand-in for many target processes: announces them to the entries by the
// real messages, accepts what is placed on them, and reports each run as
// finished when its time is over.

#include <cstdio>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/log.h"
#include "peer/links.h"
#include "settings/setting.h"
#include "wire/http_server.h"

namespace almondtally {
namespace {

constexpr Duration kAnnounceEvery{2'000};
constexpr Duration kTick{20};
constexpr Duration kTimeout{3'000};
constexpr int kServicesPerVm = 3;

struct SimTarget {
  Announcement announce;
  std::map<WorkerRun, MonotonicTime> running;
  std::map<WorkerRun, Resources> claimed;
  MonotonicTime next_announce{};
  /// Links of their own, as each target process would have.
  std::unique_ptr<PeerLinks> links;
};

struct Fleet {
  EventLoop& loop;
  std::vector<Address> entries;
  std::vector<SimTarget> targets;
  std::map<Incarnation, size_t> by_incarnation;
  uint64_t starts = 0;
  uint64_t finished = 0;
  uint64_t refused = 0;
};

void FillIn(Fleet& fleet, size_t i, uint16_t port, const Settings& settings) {
  SimTarget& target = fleet.targets[i];
  Announcement& it = target.announce;
  it.vm = VmId("sim-" + std::to_string(i));
  it.data_centre = DataCentreId("dc-" + std::to_string(i % 4));
  it.rack = RackId("rack-" + std::to_string(i / 3));
  // One process listens for all; each target has a loopback number of its own.
  it.address = "127.1." + std::to_string(i / 250) + "." +
               std::to_string(1 + i % 250) + ":" + std::to_string(port);
  it.incarnation = Incarnation(1'000 + i);
  it.ready = true;
  it.capacity = {MilliCpu(settings.Number("cpu")), Mebibytes(250'000),
                 Accelerators(0)};
  for (int k = 0; k < kServicesPerVm; ++k) {
    ServiceLoad load;
    load.service = ServiceId(
        "service-" + std::to_string((i + static_cast<size_t>(k) * 7) % 150));
    load.limit = 8;
    it.services.push_back(load);
  }
  target.links = std::make_unique<PeerLinks>(fleet.loop);
  target.next_announce =
      fleet.loop.now() +
      Duration(static_cast<int64_t>(i) * kAnnounceEvery.count() /
               static_cast<int64_t>(fleet.targets.size()));
  fleet.by_incarnation[it.incarnation] = i;
}

void TakeAnswer(SimTarget& target, const AnnounceAnswer& answer) {
  for (const FenceProof& proof : answer.proof) {
    target.announce.generation =
        std::max(target.announce.generation, proof.generation);
  }
  for (const ConfigUpdate& update : answer.config) {
    target.announce.config = std::max(target.announce.config, update.version);
  }
  for (const WorkerRun& run : answer.acknowledged) {
    std::erase_if(target.announce.ended,
                  [&](const EndedRun& it) { return it.run == run; });
  }
}

void SendAnnounce(Fleet& fleet, SimTarget& target) {
  target.announce.now_ms =
      TargetTime(fleet.loop.now().time_since_epoch().count());
  for (const Address& entry : fleet.entries) {
    target.links->Send<AnnounceAnswer>(
        entry, peer_path::kAnnounce, target.announce, kTimeout,
        [&target](const std::optional<AnnounceAnswer>& answer,
                  const WireReason&) {
          if (answer) TakeAnswer(target, *answer);
        });
  }
}

void Tick(Fleet& fleet) {
  const MonotonicTime now = fleet.loop.now();
  for (SimTarget& target : fleet.targets) {
    bool ended = false;
    for (auto it = target.running.begin(); it != target.running.end();) {
      if (it->second > now) {
        ++it;
        continue;
      }
      EndedRun run;
      run.run = it->first;
      target.announce.ended.push_back(run);
      target.announce.committed -= target.claimed[it->first];
      target.claimed.erase(it->first);
      it = target.running.erase(it);
      ++fleet.finished;
      ended = true;
    }
    constexpr Duration kSoon{100};
    if (ended) {
      target.next_announce = std::min(target.next_announce, now + kSoon);
    }
    if (now < target.next_announce) continue;
    target.next_announce = now + kAnnounceEvery;
    SendAnnounce(fleet, target);
  }
}

StartAnswer Start(Fleet& fleet, const StartRequest& request) {
  StartAnswer answer;
  SimTarget& target = fleet.targets[fleet.by_incarnation[request.incarnation]];
  for (const StartItem& item : request.starts) {
    const WorkerRun run = item.run();
    StartResult result{run, StartVerdict::kAccepted, ""};
    const bool fits = Fits(target.announce.committed + item.claimed,
                           target.announce.capacity);
    if (!fits && !target.running.contains(run)) {
      result.verdict = StartVerdict::kRefused;
      ++fleet.refused;
    } else if (target.running
                   .try_emplace(run, fleet.loop.now() + Duration(item.work_ms))
                   .second) {
      target.announce.committed += item.claimed;
      target.claimed[run] = item.claimed;
      ++fleet.starts;
    }
    answer.results.push_back(result);
  }
  return answer;
}

void Serve(Fleet& fleet, const Exchange& exchange) {
  WireReason why;
  const std::string& path = exchange.request().path;
  if (path == "/stats") {
    size_t running = 0;
    for (const SimTarget& it : fleet.targets) running += it.running.size();
    const nlohmann::json out = {{"starts", fleet.starts},
                                {"finished", fleet.finished},
                                {"refused", fleet.refused},
                                {"running", running}};
    return exchange.Answer(200, {}, out.dump());
  }
  if (path != peer_path::kStart) return exchange.Answer(404, {}, "");
  const auto request =
      DecodeMessage<StartRequest>(exchange.request().body, why);
  if (!request || !fleet.by_incarnation.contains(request->incarnation)) {
    return exchange.Answer(400, {}, why.text);
  }
  exchange.Answer(200, {}, EncodeMessage(Start(fleet, *request)));
}

int Main(const std::vector<std::string>& args) {
  using enum SettingKind;
  const std::vector<SettingInfo> infos = {
      {"listen", kAddress, "", true, 0, 0, "port, on 0.0.0.0"},
      {"entries", kAddressList, "", true, 0, 0, "entries to announce to"},
      {"targets", kNumber, "100", false, 1, 5'000, "number of targets"},
      {"cpu", kNumber, "30000", false, 1, INT64_MAX, "thousandths, each"}};
  SettingsReason why;
  const auto settings = Settings::Read(infos, args, why);
  if (!settings) {
    std::fprintf(stderr, "%s\n", why.text.c_str());
    return 2;
  }
  EventLoop loop;
  Fleet fleet{loop, settings->Addresses("entries"), {}, {}, 0, 0, 0};
  fleet.targets.resize(static_cast<size_t>(settings->Number("targets")));
  const Address listen = settings->AddressOf("listen");
  for (size_t i = 0; i < fleet.targets.size(); ++i) {
    FillIn(fleet, i, listen.port, *settings);
  }
  HttpServer server(loop, {},
                    [&](const Exchange& exchange) { Serve(fleet, exchange); });
  WireReason listen_why;
  if (!server.Listen(listen, listen_why)) {
    std::fprintf(stderr, "%s\n", listen_why.text.c_str());
    return 1;
  }
  loop.RunEvery(kTick, [&] { Tick(fleet); });
  loop.Run();
  return 0;
}

}  // namespace
}  // namespace almondtally

int main(int argc, char** argv) {
  almondtally::InitLog("fleet", almondtally::LogLevel::kWarning);
  return almondtally::Main({argv + 1, argv + argc});
}
