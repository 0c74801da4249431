#include "entry/announcements.h"

#include "base/log.h"
#include "entry/members.h"

namespace almondtally {
namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
/// A VM that has been silent for this long is removed from the table.
constexpr Duration kVmRetention{600'000};
constexpr Duration kAbsentJobRetention{60'000};

bool IsRelevantToVm(const ConfigChange& change, const VmId& vm) {
  if (change.kind == ConfigKind::kService) return true;
  return change.kind == ConfigKind::kVm && change.name == vm.value;
}

/// @return the update that brings a target at version `from` to the version of
/// this entry; empty if it is up to date.
std::vector<ConfigUpdate> MakeConfigUpdate(const ConfigLog& log, const VmId& vm,
                                           ConfigVersion from) {
  const Config& config = log.config();
  if (from >= config.version) return {};
  ConfigUpdate update;
  update.version = config.version;
  std::vector<ConfigChange> changes;
  if (const auto recent = log.ChangesAfter(from)) {
    changes = *recent;
  } else {
    update.whole = true;
    for (const auto& [key, object] : config.objects) {
      changes.push_back(
          {object.version, ChangeId(), key.kind, key.name, object.value});
    }
  }
  for (ConfigChange& change : changes) {
    if (IsRelevantToVm(change, vm)) update.changes.push_back(std::move(change));
  }
  return {update};
}

void ApplyServiceLoads(EntryContext& context, const Announcement& announce) {
  const MonotonicTime now = context.loop.now();
  for (const ServiceLoad& load : announce.services) {
    UpdateTargetLoad(context.targets[load.service], announce, load, now);
  }
  for (auto& [service, targets] : context.targets) {
    const bool still_announced = std::any_of(
        announce.services.begin(), announce.services.end(),
        [&, id = service](const auto& it) { return it.service == id; });
    if (still_announced) continue;
    std::erase_if(targets,
                  [&](const auto& it) { return it.vm == announce.vm; });
  }
}

std::vector<WorkerRun> ProcessEndedRuns(EntryContext& context,
                                        const Announcement& announce) {
  std::vector<WorkerRun> acknowledged;
  for (const EndedRun& ended : announce.ended) {
    const EndedEffect effect = ApplyEndedRun(
        context.board, MakeBoardView(context), announce.vm, ended);
    if (effect == EndedEffect::kAcknowledge) {
      acknowledged.push_back(ended.run);
    }
    if (effect != EndedEffect::kUnknownJob) continue;
    const JobId& job = ended.run.task.job;
    const auto absent = context.absent_jobs.find(job);
    const bool is_absent =
        absent != context.absent_jobs.end() &&
        context.loop.now() - absent->second < kAbsentJobRetention;
    if (is_absent) {
      acknowledged.push_back(ended.run);
    } else {
      context.unknown_jobs.insert(job);
    }
  }
  return acknowledged;
}

void LogMembershipChange(const Announcement& announce, AnnounceEffect effect) {
  const Event event = effect == AnnounceEffect::kLeaving ? Event::kTargetLeaving
                                                         : Event::kTargetJoined;
  if (effect == AnnounceEffect::kNone) return;
  Log(event,
      {{"vm", announce.vm.value},
       {"address", announce.address},
       {"data_centre", announce.data_centre.value},
       {"incarnation", static_cast<int64_t>(announce.incarnation.value)}});
}

AnnounceAnswer MakeAnswer(EntryContext& context, const Announcement& announce) {
  AnnounceAnswer answer;
  answer.entry = context.settings.id;
  for (const EntryPeer& entry : LiveEntries(context)) {
    answer.entries.push_back(ToString(entry.address));
  }
  if (const auto as_of = context.config.current_as_of()) {
    FenceProof proof;
    proof.generation = CurrentGeneration(context.config.config(), announce.vm);
    proof.read_age_ms = (context.loop.now() - *as_of).count();
    answer.proof.push_back(proof);
  }
  answer.config =
      MakeConfigUpdate(context.config, announce.vm, announce.config);
  return answer;
}

}  // namespace

AnnounceAnswer ProcessAnnouncement(EntryContext& context,
                                   const Announcement& announce,
                                   const Address& address) {
  const AnnounceEffect effect =
      ApplyAnnounce(context.vms, announce, address, context.loop.now());
  LogMembershipChange(announce, effect);
  ApplyServiceLoads(context, announce);
  for (const RunCheckpoint& it : announce.checkpoints) {
    RecordCheckpoint(context.board, announce.vm, it);
  }
  AnnounceAnswer answer = MakeAnswer(context, announce);
  answer.acknowledged = ProcessEndedRuns(context, announce);
  return answer;
}

void HandleAnnounce(EntryContext& context, const Exchange& exchange) {
  WireReason why;
  const auto announce =
      DecodeMessage<Announcement>(exchange.request().body, why);
  const auto address =
      announce ? ParseAddress(announce->address) : std::nullopt;
  if (!announce || !address || announce->vm.empty()) {
    Log(Event::kPeerGarbage, {{"path", exchange.request().path},
                              {"reason", announce ? "no address" : why.text}});
    context.metrics.CountBadInput();
    return exchange.Answer(kBadRequest, {}, "not an announcement");
  }
  const AnnounceAnswer answer =
      ProcessAnnouncement(context, *announce, *address);
  exchange.Answer(kOk, {}, EncodeMessage(answer));
}

void DropSilentTargets(EntryContext& context) {
  const MonotonicTime now = context.loop.now();
  for (auto& [service, targets] : context.targets) {
    std::erase_if(targets, [&, id = service](const auto& it) {
      const auto vm = context.vms.find(it.vm);
      const bool lost = vm == context.vms.end() ||
                        IsSilent(vm->second, now, kVmSilenceTimeout);
      if (lost) {
        Log(Event::kTargetLost, {{"vm", it.vm.value}, {"service", id.value}});
      }
      return lost;
    });
  }
  std::erase_if(context.vms, [&](const auto& it) {
    return IsSilent(it.second, now, kVmRetention);
  });
  std::erase_if(context.absent_jobs, [&](const auto& it) {
    return now - it.second > kAbsentJobRetention;
  });
}

}  // namespace almondtally
