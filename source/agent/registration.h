#pragma once

#include <cstdint>
#include <optional>

#include "agent/run_table.h"
#include "external/store.h"
#include "sched/shard_head.h"
#include "sched/shard_state.h"

// What an agent writes to the store and reads from it, apart from the I/O.
//
// A planner that takes over reads the rows of all VMs after its claim, and
// counts on what they say of a VM that it does not hear. What outlasts the
// usual lease is therefore written to the VM's row before anything relies on
// it. The head row is read after that: a planner that claims the shard later
// finds the row, and one that had been replaced by then is not followed. An
// agent that has started again knows neither planners nor leases of its former
// process, and learns them in the same way before it starts tasks.

namespace almondtally::sched {

/// The call to the store that an agent makes next.
enum class RegistrationStep : uint8_t { kNone, kReadRow, kWriteRow, kReadHead };

struct Registration {
  /// The row was looked for since this process started.
  bool row_read = false;
  /// Version of the row in the store; 0 if there is none. A write expects it,
  /// so that one without an answer cannot take effect after a later one.
  RowVersion row_version;
  /// The row is in the store as far as known, and what it says.
  bool row_written = false;
  int64_t former_lease_ms = 0;
  bool drained = false;
  bool head_pending = false;
  /// The worker process whose leases the row in the store tells of.
  std::optional<int64_t> recorded_born_ms;
  bool call_in_flight = false;
  /// Earliest time of the next call, and of the next look whether the row is
  /// still there.
  MonotonicTime next_step_at{};
  MonotonicTime next_check_at{};
};

/// @return why something of the VM may be missing in the store, so that its row
/// cannot say that it is drained; null if nothing can.
const char* WhyNotDrained(const RunTable& table);

/// Prepares the registration of an agent that starts.
void BeginRegistration(RunTable& table, MonotonicTime now);

/// @return the step to begin now.
RegistrationStep NextRegistrationStep(const Registration& registration,
                                      const RunTable& table, MonotonicTime now);

/// @param rows empty if the store could not be read.
/// @param key of the VM's row.
void FinishRowRead(Registration& registration, RunTable& table,
                   MonotonicTime now, const std::optional<StoreRows>& rows,
                   const StoreKey& key);

/// What the VM's row has to say; the fields are those of AgentRow.
struct RowContent {
  int64_t former_lease_ms = 0;
  bool drained = false;
};

RowContent BeginRowWrite(Registration& registration, RunTable& table);

/// @param content as returned by BeginRowWrite.
void FinishRowWrite(Registration& registration, MonotonicTime now,
                    const RowContent& content, const StoreCommitResult& result);

/// @param rows of the table of head rows; empty if the store could not be read.
void FinishHeadRead(Registration& registration, RunTable& table,
                    MonotonicTime now, const std::optional<StoreRows>& rows);

}  // namespace almondtally::sched
