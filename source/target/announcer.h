#pragma once

#include "target/target_context.h"

namespace almondtally {

/// Announces this target to every entry it knows when that is due.
void AnnounceIfDue(TargetContext& context);

/// Makes the next announcement due soon, such as after a run has ended.
void AnnounceSoon(TargetContext& context);

/// Puts a configuration update in force; an older one changes nothing.
void ApplyUpdate(TargetConfig& config, const VmId& vm,
                 const ConfigUpdate& update);

}  // namespace almondtally
