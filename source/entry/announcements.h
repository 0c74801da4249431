#pragma once

#include "entry/entry_context.h"
#include "wire/http_server.h"

namespace almondtally {

/// Applies a target's announcement to the VM table, routing and job board.
/// @param address address of the target.
AnnounceAnswer ProcessAnnouncement(EntryContext& context,
                                   const Announcement& announce,
                                   const Address& address);

/// Handles an announcement received over HTTP.
void HandleAnnounce(EntryContext& context, const Exchange& exchange);

/// Removes targets whose VM has stopped announcing itself. Call about once a
/// second.
void DropSilentTargets(EntryContext& context);

}  // namespace almondtally
