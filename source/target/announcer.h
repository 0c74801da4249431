#pragma once

#include "target/target_context.h"

namespace almondtally {

/// Sends an announcement to every entry for which one is due.
void AnnounceIfDue(TargetContext& context);

/// Brings forward the next announcement to every entry.
void AnnounceSoon(TargetContext& context);

/// Brings forward the next announcement to one entry. The end of a run concerns
/// only the entry that manages it; announcing it to all entries would cost more
/// than all regular announcements together.
void AnnounceSoon(TargetContext& context, const EntryId& entry);

/// Applies a configuration update; updates that are not newer are ignored.
void ApplyUpdate(TargetConfig& config, const VmId& vm,
                 const ConfigUpdate& update);

}  // namespace almondtally
