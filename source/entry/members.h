#pragma once

#include <set>
#include <vector>

#include "entry/entry_context.h"

namespace almondtally {

/// Writes this entry's row, so that others see it alive.
void WriteOwnRow(EntryContext& context);

/// Reads the rows of all entries.
void ReadPeers(EntryContext& context);

/// Removes this entry's row, for a planned stop.
void DeleteOwnRow(EntryContext& context);

/// @return all live entries, this one included, ordered by id.
std::vector<EntryPeer> LiveEntries(const EntryContext& context);

/// @return the live entry that looks after a team's jobs, by rendezvous
/// hashing (Thaler, Ravishankar, "Using name-based mappings to increase hit
/// rates", 1998). It only avoids wasted work: two entries that differ about it
/// are kept apart by the row versions.
EntryId OwnerOf(const EntryContext& context, const TeamId& team);

/// @return true if this entry looks after the team.
bool IsOwned(const EntryContext& context, const TeamId& team);

/// @return the teams of the configuration that this entry looks after.
std::set<TeamId> OwnedTeams(const EntryContext& context);

}  // namespace almondtally
