#pragma once

#include "entry/entry_context.h"
#include "wire/http_server.h"

namespace almondtally {

/// Takes over an announcement of a target.
/// @param address where the target is reached.
AnnounceAnswer TakeAnnouncement(EntryContext& context, const Announce& announce,
                                const Address& address);

/// Answers an announcement that came over HTTP.
void HandleAnnounce(EntryContext& context, const Exchange& exchange);

/// Drops targets that have been silent for too long. Call about once a
/// second.
void DropSilentTargets(EntryContext& context);

}  // namespace almondtally
