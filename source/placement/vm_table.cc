#include "placement/vm_table.h"

#include <algorithm>
#include <cmath>

#include "state/lease.h"

namespace almondtally {
namespace {

constexpr Duration kReservationSettleTime{300};
constexpr size_t kFailingJobsToQuarantine = 3;
constexpr Duration kFirstQuarantine{30'000};
constexpr int kMaxQuarantineDoublings = 6;

/// Weights of the terms of a score; a lower score is better.
constexpr double kSameVmWeight = 4.0;
constexpr double kSameRackWeight = 2.0;
constexpr double kSameDataCentreWeight = 1.0;
constexpr double kMeasuredWeight = 1.5;
constexpr double kPackingWeight = 1.0;

double Fraction(int64_t used, int64_t capacity) {
  if (capacity <= 0) return used > 0 ? 1.0 : 0.0;
  return static_cast<double>(used) / static_cast<double>(capacity);
}

/// Utilisation, from 0 to 1, of the VM's scarcer resource (CPU or memory) once
/// `each` is added.
double UtilisationAfter(const VmRecord& vm, const Resources& each) {
  const Resources left = FreeResources(vm) - each;
  const double cpu = 1.0 - Fraction(left.cpu.value, vm.capacity.cpu.value);
  const double memory =
      1.0 - Fraction(left.memory.value, vm.capacity.memory.value);
  return std::max(cpu, memory);
}

template <typename Key>
double CountOf(const std::map<Key, int>& counts, const Key& key) {
  const auto it = counts.find(key);
  return it == counts.end() ? 0.0 : it->second;
}

double Score(const VmRecord& vm, const PlacementRequest& request,
             const JobSpread& spread) {
  const double measured = Fraction(vm.used.cpu.value + request.each.cpu.value,
                                   vm.capacity.cpu.value);
  if (!request.exclusive) {
    return kSameVmWeight * CountOf(spread.on_vm, vm.vm) +
           kSameRackWeight * CountOf(spread.on_rack, vm.rack) +
           kSameDataCentreWeight *
               CountOf(spread.in_data_centre, vm.data_centre) +
           measured;
  }
  // Load may exceed the claims, so measured CPU use above half the capacity
  // counts against a VM. Among equals the fuller one is preferred, which keeps
  // room for large tasks elsewhere.
  return kMeasuredWeight * std::max(0.0, measured - 0.5) -
         kPackingWeight * UtilisationAfter(vm, request.each);
}

bool AcceptsTasks(const VmRecord& vm, MonotonicTime now) {
  return vm.ready && !vm.leaving && now >= vm.quarantined_until &&
         !IsSilent(vm, now, kVmSilenceTimeout);
}

bool IsSchedulable(const VmRecord& vm, const Config& config) {
  return !IsDraining(config, vm.vm) &&
         vm.generation == CurrentGeneration(config, vm.vm);
}

}  // namespace

AnnounceEffect ApplyAnnounce(VmTable& vms, const Announcement& announce,
                             const Address& address, MonotonicTime now) {
  auto [it, is_new] = vms.try_emplace(announce.vm);
  VmRecord& vm = it->second;
  const bool restarted = !is_new && vm.incarnation != announce.incarnation;
  // Announcements may arrive out of order; an older one is ignored.
  if (!is_new && !restarted && announce.now_ms < vm.as_of) {
    return AnnounceEffect::kNone;
  }
  const bool began_leaving = announce.leaving && !vm.leaving;
  vm.vm = announce.vm;
  vm.data_centre = announce.data_centre;
  vm.rack = announce.rack;
  vm.address = address;
  vm.incarnation = announce.incarnation;
  vm.generation = announce.generation;
  vm.as_of = announce.now_ms;
  vm.ready = announce.ready;
  vm.leaving = announce.leaving;
  vm.capacity = announce.capacity;
  vm.committed = announce.committed;
  vm.used = announce.used;
  vm.config = announce.config;
  vm.last_heard = now;
  std::erase_if(vm.reservations, [&](const auto& it) {
    const auto& answered = it.second.answered_at;
    return answered && now - *answered >= kReservationSettleTime;
  });
  if (is_new) return AnnounceEffect::kJoined;
  if (restarted) return AnnounceEffect::kRestarted;
  return began_leaving ? AnnounceEffect::kLeaving : AnnounceEffect::kNone;
}

Resources FreeResources(const VmRecord& vm) {
  Resources free = vm.capacity - vm.committed;
  for (const auto& [run, reservation] : vm.reservations) {
    free -= reservation.claimed;
  }
  return free;
}

bool IsSilent(const VmRecord& vm, MonotonicTime now, Duration limit) {
  return now - vm.last_heard > limit;
}

bool RecordTaskOutcome(VmRecord& vm, const JobId& job, bool failed,
                       MonotonicTime now) {
  if (!failed) {
    vm.failing_jobs.clear();
    vm.quarantines = 0;
    return false;
  }
  auto& jobs = vm.failing_jobs;
  if (std::find(jobs.begin(), jobs.end(), job) == jobs.end()) {
    jobs.push_back(job);
  }
  if (jobs.size() < kFailingJobsToQuarantine) return false;
  jobs.clear();
  const int doublings = std::min(vm.quarantines, kMaxQuarantineDoublings);
  vm.quarantined_until = now + kFirstQuarantine * (1 << doublings);
  ++vm.quarantines;
  return true;
}

std::optional<PlacementChoice> ChooseVm(const VmTable& vms,
                                        const Config& config,
                                        const PlacementRequest& request,
                                        const JobSpread& spread,
                                        MonotonicTime now, NoPlacement& why) {
  why = NoPlacement::kInfeasible;
  const VmRecord* best = nullptr;
  double best_score = 0;
  size_t candidates = 0;
  for (const auto& [id, vm] : vms) {
    if (!Fits(request.each, vm.capacity)) continue;
    why = NoPlacement::kNoRoom;
    if (!AcceptsTasks(vm, now)) continue;
    if (!Fits(request.each, FreeResources(vm))) continue;
    const bool avoided =
        std::find(request.avoided_vms.begin(), request.avoided_vms.end(), id) !=
        request.avoided_vms.end();
    if (avoided) continue;
    ++candidates;
    const double score = Score(vm, request, spread);
    if (best != nullptr && score >= best_score) continue;
    // The configuration lookup is expensive, so it is done last.
    if (!IsSchedulable(vm, config)) continue;
    best = &vm;
    best_score = score;
  }
  if (best == nullptr) return std::nullopt;
  const auto hundredths = static_cast<int64_t>(std::lround(best_score * 100));
  return PlacementChoice{best->vm, "score " + std::to_string(hundredths) +
                                       " best of " +
                                       std::to_string(candidates) + " VMs"};
}

}  // namespace almondtally
