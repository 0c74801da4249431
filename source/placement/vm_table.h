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

/// Resources that this entry has assigned on a VM and that the VM's
/// announcements may not include yet.
struct Reservation {
  Resources claimed;
  /// When the VM answered the start message; empty until then.
  std::optional<MonotonicTime> answered_at;
};

/// One VM, as last announced to this entry.
struct VmRecord {
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
  /// Jobs with a failed task since the last success or quarantine, each once.
  std::vector<JobId> failing_jobs;
  int quarantines = 0;
  MonotonicTime quarantined_until{};
  std::map<WorkerRun, Reservation> reservations;
};

using VmTable = std::map<VmId, VmRecord>;

/// Change that an announcement brought about.
enum class AnnounceEffect : uint8_t { kNone, kJoined, kRestarted, kLeaving };

/// Updates a VM from an announcement of its target.
AnnounceEffect ApplyAnnounce(VmTable& vms, const Announcement& announce,
                             const Address& address, MonotonicTime now);

/// @return the VM's free resources, less this entry's own reservations.
Resources FreeResources(const VmRecord& vm);

/// @return true if the VM has been silent for longer than `limit`.
bool IsSilent(const VmRecord& vm, MonotonicTime now, Duration limit);

/// Records that a task failed or succeeded on a VM. A VM on which tasks of
/// several jobs fail in a row is quarantined, each time for longer. Failures of
/// a single job do not count more than once, since the job may be at fault.
/// @return true if the VM has just been quarantined.
bool RecordTaskOutcome(VmRecord& vm, const JobId& job, bool failed,
                       MonotonicTime now);

/// Number of tasks of one job on each VM, rack and data centre.
struct JobSpread {
  std::map<VmId, int> on_vm;
  std::map<RackId, int> on_rack;
  std::map<DataCentreId, int> in_data_centre;
};

/// Requirements of one task to be placed.
struct PlacementRequest {
  Resources each;
  bool exclusive = true;
  /// VMs on which this task failed or which refused it.
  std::vector<VmId> avoided_vms;
};

/// The VM chosen for a task and the reason.
struct PlacementChoice {
  VmId vm;
  std::string reason;
};

/// Why there is no placement.
enum class NoPlacement : uint8_t {
  /// No known VM is large enough, even when empty.
  kInfeasible,
  /// Some VMs are large enough, but none has room at present.
  kNoRoom,
};

/// Chooses the feasible VM with the best score. Executors of a service are
/// spread over VMs, racks and data centres. Batch tasks are packed onto the
/// fullest VM that has measured CPU to spare.
/// @param why set to the reason if no VM is chosen.
std::optional<PlacementChoice> ChooseVm(const VmTable& vms,
                                        const Config& config,
                                        const PlacementRequest& request,
                                        const JobSpread& spread,
                                        MonotonicTime now, NoPlacement& why);

}  // namespace almondtally
