#include "target/announcer.h"

#include <algorithm>

#include "base/log.h"

namespace almondtally {
namespace {

constexpr Duration kAnnounceTimeout{3'000};
constexpr Duration kSoonDelay{100};
/// Time between announcements until the target is ready. Entries that start
/// with their targets place nothing for 3 s; by then they must know every VM
/// that takes work, because executors are not moved to VMs that come later.
constexpr Duration kUnreadyInterval{500};
constexpr Duration kForgetEntryAfter{30'000};

bool IsReady(const TaskTable& tasks) {
  return tasks.worker_listed && tasks.generation.value != 0;
}

Announcement MakeAnnounce(const TargetContext& context) {
  const TaskTable& tasks = context.tasks;
  Announcement out;
  out.vm = context.settings.vm;
  out.data_centre = context.settings.data_centre;
  out.rack = context.settings.rack;
  out.address = ToString(context.settings.advertise);
  out.incarnation = tasks.incarnation;
  out.now_ms = TargetTime(context.loop.now().time_since_epoch().count());
  out.generation = tasks.generation;
  out.ready = IsReady(tasks);
  out.leaving = context.leaving;
  out.config = context.config.version;
  out.capacity = tasks.capacity;
  out.committed = ReservedResources(tasks);
  out.used = tasks.used;
  out.services = CollectServiceLoads(context.requests);
  out.ended = EndedRuns(tasks);
  return out;
}

void LogProofEffect(ProofEffect effect, const TaskTable& tasks) {
  if (effect != ProofEffect::kFenced) return;
  Log(Event::kFenceObserved,
      {{"generation", static_cast<int64_t>(tasks.pending_generation.value)}});
}

void AddEntries(TargetContext& context,
                const std::vector<std::string>& addresses) {
  for (const std::string& text : addresses) {
    const auto address = ParseAddress(text);
    if (!address) continue;
    const auto [it, is_new] = context.entries.try_emplace(*address);
    if (!is_new) continue;
    it->second.last_answer = context.loop.now();
  }
}

void ApplyAnswer(TargetContext& context, MonotonicTime asked_at,
                 const AnnounceAnswer& answer) {
  for (const ConfigUpdate& update : answer.config) {
    const ConfigVersion before = context.config.version;
    ApplyUpdate(context.config, context.settings.vm, update);
    if (context.config.version == before) continue;
    Log(Event::kConfigApplied,
        {{"version", static_cast<int64_t>(context.config.version.value)}});
  }
  for (const FenceProof& proof : answer.proof) {
    LogProofEffect(ApplyFenceProof(context.tasks, asked_at, proof),
                   context.tasks);
  }
  for (const WorkerRun& run : answer.acknowledged) {
    if (Acknowledge(context.tasks, run, context.loop.now())) {
      context.worker.forget(run);
    }
  }
  AddEntries(context, answer.entries);
}

void AnnounceTo(TargetContext& context, const Address& entry) {
  EntryContact& contact = context.entries.at(entry);
  contact.in_flight = true;
  const MonotonicTime asked_at = context.loop.now();
  Announcement announce = MakeAnnounce(context);
  announce.checkpoints =
      CollectCheckpoints(context.tasks, contact.id, asked_at);
  context.links.Send<AnnounceAnswer>(
      entry, peer_path::kAnnounce, announce, kAnnounceTimeout,
      [&context, entry, asked_at](const std::optional<AnnounceAnswer>& answer,
                                  const WireReason& why) {
        const auto it = context.entries.find(entry);
        if (it == context.entries.end()) return;
        it->second.in_flight = false;
        if (answer) {
          it->second.last_answer = context.loop.now();
          it->second.id = answer->entry;
          ApplyAnswer(context, asked_at, *answer);
          return;
        }
        if (why.code == WireError::kDecode) {
          Log(Event::kPeerGarbage,
              {{"peer", ToString(entry)}, {"reason", why.text}});
          context.links.Drop(entry);
        }
      });
}

void ForgetSilentEntries(TargetContext& context) {
  const MonotonicTime now = context.loop.now();
  std::erase_if(context.entries, [&](const auto& it) {
    const EntryContact& contact = it.second;
    if (contact.is_seed || contact.in_flight) return false;
    return now - contact.last_answer > kForgetEntryAfter;
  });
}

void ScheduleSoon(const TargetContext& context, EntryContact& contact) {
  contact.next_announce =
      std::min(contact.next_announce, context.loop.now() + kSoonDelay);
}

}  // namespace

void AnnounceIfDue(TargetContext& context) {
  const MonotonicTime now = context.loop.now();
  ForgetSilentEntries(context);
  const bool ready = IsReady(context.tasks);
  if (ready && !context.was_ready) AnnounceSoon(context);
  context.was_ready = ready;
  const Duration every =
      ready ? context.settings.announce_every
            : std::min(context.settings.announce_every, kUnreadyInterval);
  // Jitter keeps the targets from announcing at the same moment.
  const auto tenth = every.count() / 10;
  std::uniform_int_distribution<int64_t> jitter(-tenth, tenth);
  std::vector<Address> due;
  for (auto& [address, contact] : context.entries) {
    if (contact.in_flight || now < contact.next_announce) continue;
    contact.next_announce = now + every + Duration(jitter(context.random));
    due.push_back(address);
  }
  for (const Address& address : due) AnnounceTo(context, address);
}

void AnnounceSoon(TargetContext& context) {
  for (auto& [address, contact] : context.entries)
    ScheduleSoon(context, contact);
}

void AnnounceSoon(TargetContext& context, const EntryId& entry) {
  for (auto& [address, contact] : context.entries) {
    if (contact.id == entry) ScheduleSoon(context, contact);
  }
}

void ApplyUpdate(TargetConfig& config, const VmId& vm,
                 const ConfigUpdate& update) {
  if (update.version <= config.version) return;
  config.version = update.version;
  if (update.whole) {
    config.services.clear();
    config.draining = false;
  }
  for (const ConfigChange& change : update.changes) {
    Config one;
    one.objects[{change.kind, change.name}] = {change.version, change.value};
    if (change.kind == ConfigKind::kService) {
      const ServiceId service(change.name);
      const auto value = FindService(one, service);
      if (value) {
        config.services[service] = *value;
      } else {
        config.services.erase(service);
      }
    }
    if (change.kind == ConfigKind::kVm && change.name == vm.value) {
      config.draining = IsDraining(one, vm);
    }
  }
}

}  // namespace almondtally
