#pragma once

#include "entry/entry_context.h"
#include "wire/http_server.h"

namespace almondtally {

/// Answers an announcement of a target.
void HandleAnnounce(EntryContext& context, const Exchange& exchange);

/// Drops targets that have been silent for too long. Call about once a
/// second.
void DropSilentTargets(EntryContext& context);

}  // namespace almondtally
