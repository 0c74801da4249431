#pragma once

#include "target/target_context.h"

namespace almondtally {

/// Announces this target to the entries for which that is due.
void AnnounceIfDue(TargetContext& context);

/// Makes the next announcement to every entry due soon.
void AnnounceSoon(TargetContext& context);

/// The same for one entry only: the end of a run matters to the one that looks
/// after it, and telling all would cost more than all regular announcements.
void AnnounceSoon(TargetContext& context, const EntryId& entry);

/// Puts a configuration update in force; an older one changes nothing.
void ApplyUpdate(TargetConfig& config, const VmId& vm,
                 const ConfigUpdate& update);

}  // namespace almondtally
