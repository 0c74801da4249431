#pragma once

#include <set>
#include <vector>

#include "entry/entry_context.h"

namespace almondtally {

/// Writes this entry's membership row, which serves as its heartbeat.
void WriteOwnRow(EntryContext& context);

/// Reads the membership rows of all entries and updates `peers`.
void ReadPeers(EntryContext& context);

/// Deletes this entry's membership row, for a planned stop.
void DeleteOwnRow(EntryContext& context);

/// @return all live entries, this one included, ordered by id.
std::vector<EntryPeer> LiveEntries(const EntryContext& context);

/// @return the live entry that owns a team's jobs, by rendezvous
/// hashing (Thaler, Ravishankar, "Using name-based mappings to increase hit
/// rates", 1998). Ownership only avoids duplicate work: if two
/// entries disagree about it, row versions prevent conflicting writes.
EntryId OwnerOf(const EntryContext& context, const TeamId& team);

/// @return true if this entry owns the team and is not draining.
bool IsOwned(const EntryContext& context, const TeamId& team);

/// @return the teams of the configuration that this entry owns.
std::set<TeamId> OwnedTeams(const EntryContext& context);

}  // namespace almondtally
