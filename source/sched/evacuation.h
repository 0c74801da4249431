#pragma once

#include <set>

#include "base/clock.h"
#include "base/ids.h"

/// Data centres that operators have evacuated: no more tasks start there, and
/// what runs there runs on.
namespace almondtally::sched {

/// The operators' requests as read from the store.
struct EvacuationReading {
  /// Version of the store that the reading shows.
  RowVersion version;
  /// When the call that returned the reading was sent: every request that the
  /// store had acknowledged by then is part of it. Zero before the first one.
  MonotonicTime read_at{};
  std::set<DataCentreId> data_centres;
};

/// What a planner knows of the requests.
struct Evacuations {
  EvacuationReading reading;
  /// With an older reading, or none, nothing starts; 0 for no limit.
  Duration max_age{};
};

/// Replaces a reading, unless the other one shows an older state of the store.
/// @return true if other data centres are evacuated now.
bool AdoptReading(EvacuationReading& known, const EvacuationReading& other);

/// @return true if tasks must not start in the data centre.
bool IsEvacuated(const Evacuations& evacuations, const DataCentreId& id);

/// @return true if the reading is too old to start anything by it.
bool IsOutdated(const Evacuations& evacuations, MonotonicTime now);

/// What an agent has been told about the data centre of its VM.
struct EvacuationNotice {
  bool evacuated = false;
  /// Version of the store that shows it; 0 if no planner has told.
  RowVersion as_of;
};

/// Replaces a notice, unless the other one is older: a planner that was
/// replaced, or whose reading lags behind, takes nothing back.
/// @return true if the data centre is evacuated now and was not before, or the
/// other way round.
bool AdoptNotice(EvacuationNotice& known, const EvacuationNotice& other);

}  // namespace almondtally::sched
