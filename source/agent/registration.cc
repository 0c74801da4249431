#include "agent/registration.h"

#include <algorithm>
#include <utility>

#include "agent/former_lease.h"

namespace almondtally::sched {
namespace {

/// An agent that no planner has granted a lease for this long checks whether
/// its row is still in the store and readable.
constexpr Duration kPlannerSilence{3'000};
constexpr Duration kRowCheckInterval{2'000};
constexpr Duration kStoreRetryDelay{300};

bool HasWorker(const RunTable& table) {
  return !table.worker.id.empty() && !table.worker.draining;
}

/// @return true if the leases that the worker may have taken are known.
bool AreLeasesKnown(const RunTable& table) {
  return table.clock_known && table.former_lease_end_ms == 0;
}

/// @return true if the row must be written for what it says of leases.
bool IsRowOutdated(const Registration& registration, const RunTable& table) {
  if (!AreLeasesKnown(table)) return false;
  if (!table.has_former_lease) return registration.former_lease_ms != 0;
  return registration.recorded_born_ms != table.worker_born_ms;
}

std::optional<AgentRow> FindRow(const StoreRows& rows, const StoreKey& key) {
  JobReason why;
  for (const StoreRow& row : rows.rows) {
    if (row.at.key == key.key) return DecodeAgentRow(row.value, why);
  }
  return std::nullopt;
}

bool IsListed(const StoreRows& rows, const StoreKey& key) {
  return std::any_of(rows.rows.begin(), rows.rows.end(),
                     [&](const StoreRow& it) { return it.at.key == key.key; });
}

}  // namespace

void BeginRegistration(RunTable& table) { table.awaits_registration = true; }

RegistrationStep NextRegistrationStep(const Registration& registration,
                                      const RunTable& table,
                                      MonotonicTime now) {
  if (registration.call_in_flight || now < registration.next_step_at) {
    return RegistrationStep::kNone;
  }
  // A planner that takes over waits for each listed VM. One without a worker
  // has nothing to report.
  const bool may_write = HasWorker(table);
  if (!registration.row_read) {
    return may_write ? RegistrationStep::kReadRow : RegistrationStep::kNone;
  }
  if (may_write &&
      (!registration.row_written || IsRowOutdated(registration, table))) {
    return RegistrationStep::kWriteRow;
  }
  if (!registration.row_written) return RegistrationStep::kNone;
  if (registration.head_pending && table.former_lease_end_ms == 0) {
    return RegistrationStep::kReadHead;
  }
  const bool is_forgotten = now - table.last_grant_at >= kPlannerSilence &&
                            now >= registration.next_check_at;
  return is_forgotten ? RegistrationStep::kReadRow : RegistrationStep::kNone;
}

void FinishRowRead(Registration& registration, RunTable& table,
                   MonotonicTime now, const std::optional<StoreRows>& rows,
                   const StoreKey& key) {
  registration.call_in_flight = false;
  registration.next_check_at = now + kRowCheckInterval;
  if (!rows) {
    if (!registration.row_read) {
      registration.next_step_at = now + kStoreRetryDelay;
    }
    return;
  }
  const auto row = FindRow(*rows, key);
  if (registration.row_read) {
    registration.row_written = row.has_value();
    return;
  }
  registration.row_read = true;
  registration.head_pending = true;
  if (row) registration.former_lease_ms = row->former_lease_ms;
  if (IsListed(*rows, key)) detail::AssumeFormerAgent(table, now);
}

int64_t BeginRowWrite(Registration& registration, const RunTable& table) {
  registration.call_in_flight = true;
  registration.recorded_born_ms.reset();
  if (!AreLeasesKnown(table)) return registration.former_lease_ms;
  if (!table.has_former_lease) return 0;
  registration.recorded_born_ms = table.worker_born_ms;
  registration.head_pending = true;
  return detail::LongestFormerLease(table).count();
}

void FinishRowWrite(Registration& registration, MonotonicTime now,
                    int64_t former_lease_ms, bool committed) {
  registration.call_in_flight = false;
  registration.row_written = committed;
  if (!committed) {
    registration.next_step_at = now + kStoreRetryDelay;
    registration.recorded_born_ms.reset();
    return;
  }
  registration.next_check_at = now + kPlannerSilence;
  registration.former_lease_ms = former_lease_ms;
}

void FinishHeadRead(Registration& registration, RunTable& table,
                    MonotonicTime now, const std::optional<StoreRows>& rows) {
  registration.call_in_flight = false;
  if (!rows) {
    registration.next_step_at = now + kStoreRetryDelay;
    return;
  }
  registration.head_pending = false;
  if (const auto head = FindShardHead(*rows)) {
    FollowPlanner(table, head->epoch, head->planner, head->address);
  }
  if (std::exchange(table.awaits_registration, false)) ++table.version;
  if (table.has_former_lease &&
      registration.recorded_born_ms == table.worker_born_ms) {
    table.former_lease_recorded = true;
    ++table.version;
  }
}

}  // namespace almondtally::sched
