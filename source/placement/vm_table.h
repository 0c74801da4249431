#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "peer/messages.h"
#include "settings/setting.h"
#include "state/config.h"

namespace almondtally {

/// Room that this entry has given away on a VM and that the VM's
/// announcements may not show yet.
struct Reservation {
  Resources claimed;
  /// When the VM answered the start; empty while it has not.
  std::optional<MonotonicTime> answered_at;
};

/// One VM as one entry knows it.
struct VmRow {
  VmId vm;
  DataCentreId data_centre;
  RackId rack;
  Address address;
  Incarnation incarnation;
  Generation generation;
  TargetTime as_of;
  bool ready = false;
  bool leaving = false;
  Resources capacity;
  Resources committed;
  Resources used;
  ConfigVersion config;
  MonotonicTime last_heard{};
  /// Tasks that failed here in a row, each of another job.
  std::vector<JobId> failing_jobs;
  int quarantines = 0;
  MonotonicTime quarantined_until{};
  std::map<WorkerRun, Reservation> reservations;
};

using VmTable = std::map<VmId, VmRow>;

/// What an announcement changed.
enum class AnnounceEffect : uint8_t { kNone, kJoined, kRestarted, kLeaving };

/// Takes over an announcement.
AnnounceEffect TakeAnnounce(VmTable& vms, const Announce& announce,
                            const Address& address, MonotonicTime now);

/// @return room on the VM, after this entry's own reservations.
Resources FreeOn(const VmRow& vm);

/// @return true if the VM has been silent for longer than `limit`.
bool IsSilent(const VmRow& vm, MonotonicTime now, Duration limit);

/// Counts a task that failed on, or ended well on, a VM. A worker on which
/// tasks of several jobs fail in a row is set aside for a growing time; one
/// task that fails on several workers says nothing about them.
/// @return true if the VM has just been set aside.
bool NoteTaskOutcome(VmRow& vm, const JobId& job, bool failed,
                     MonotonicTime now);

/// Where the tasks of one job already are.
struct JobSpread {
  std::map<VmId, int> on_vm;
  std::map<RackId, int> on_rack;
  std::map<DataCentreId, int> in_data_centre;
};

/// One task that is to be placed.
struct PlacementRequest {
  Resources each;
  bool exclusive = true;
  /// VMs to avoid: those on which this task failed or was refused.
  std::vector<VmId> avoid;
};

/// A placement decision with its reason.
struct PlacementChoice {
  VmId vm;
  std::string reason;
};

/// Why there is no placement.
enum class NoPlacement : uint8_t {
  /// No VM known is large enough, even when empty.
  kInfeasible,
  /// Some could take it, but none has room now.
  kNoRoom,
};

/// Chooses a VM: feasible first, then by score. Services go where fewest of
/// their own kind are; batch goes where it fits closest among the VMs with
/// processors to spare by measurement.
/// @param why tells why there is none.
std::optional<PlacementChoice> ChooseVm(const VmTable& vms,
                                        const Config& config,
                                        const PlacementRequest& request,
                                        const JobSpread& spread,
                                        MonotonicTime now, NoPlacement& why);

}  // namespace almondtally
