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

/// @return true if nothing of the VM can be missing in the store, and its
/// worker is to get no more tasks.
bool IsDrained(const RunTable& table) {
  return table.worker.draining && WhyNotDrained(table) == nullptr;
}

/// @return true if the row must be written for what it says.
bool IsRowOutdated(const Registration& registration, const RunTable& table) {
  if (registration.drained) return true;
  if (!AreLeasesKnown(table)) return false;
  if (!table.has_former_lease) return registration.former_lease_ms != 0;
  return registration.recorded_born_ms != table.worker_born_ms;
}

const StoreRow* FindRow(const StoreRows& rows, const std::string& key) {
  const auto it =
      std::find_if(rows.rows.begin(), rows.rows.end(),
                   [&](const StoreRow& row) { return row.at.key == key; });
  return it == rows.rows.end() ? nullptr : &*it;
}

}  // namespace

const char* WhyNotDrained(const RunTable& table) {
  if (table.complete_version == 0) return "runs not listed yet";
  if (!table.runs.empty()) return "has runs";
  if (!table.ends.empty()) return "ends not recorded";
  if (!table.late_starts.empty()) return "starts unanswered";
  if (table.earlier_starts_arrive_by) return "starts of an earlier agent";
  if (!AreLeasesKnown(table)) return "leases not known";
  if (table.has_former_lease) return "longer lease";
  return nullptr;
}

void BeginRegistration(RunTable& table, MonotonicTime now) {
  table.awaits_registration = true;
  detail::AssumeFormerAgent(table, now);
  table.leases.inherited_until = now + kMaxLeaseDuration;
  table.earlier_starts_arrive_by = now + kMaxCallDelay;
}

RegistrationStep NextRegistrationStep(const Registration& registration,
                                      const RunTable& table,
                                      MonotonicTime now) {
  if (registration.call_in_flight || now < registration.next_step_at) {
    return RegistrationStep::kNone;
  }
  // A planner that takes over waits for each listed VM. One without a worker
  // has nothing to report.
  const bool may_write = HasWorker(table);
  const bool is_drained = IsDrained(table);
  if (!registration.row_read) {
    return may_write || is_drained ? RegistrationStep::kReadRow
                                   : RegistrationStep::kNone;
  }
  if (is_drained) {
    const bool is_listed = registration.row_version != RowVersion(0);
    return is_listed && !registration.drained ? RegistrationStep::kWriteRow
                                              : RegistrationStep::kNone;
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
  const StoreRow* const row = FindRow(*rows, key.key);
  registration.row_version = row != nullptr ? row->version : RowVersion(0);
  JobReason why;
  const auto decoded = row != nullptr ? DecodeAgentRow(row->value, why)
                                      : std::optional<AgentRow>();
  if (registration.row_read) {
    registration.row_written =
        decoded && decoded->former_lease_ms == registration.former_lease_ms &&
        decoded->drained == registration.drained;
    return;
  }
  registration.row_read = true;
  if (table.awaits_registration) registration.head_pending = true;
  if (!decoded) return;
  registration.former_lease_ms = decoded->former_lease_ms;
  registration.drained = decoded->drained;
  if (decoded->drained) table.listed_as_drained = true;
}

RowContent BeginRowWrite(Registration& registration, RunTable& table) {
  registration.call_in_flight = true;
  registration.recorded_born_ms.reset();
  RowContent out;
  out.drained = IsDrained(table);
  if (out.drained) table.listed_as_drained = true;
  if (table.listed_as_drained && !out.drained) registration.head_pending = true;
  if (!AreLeasesKnown(table)) {
    out.former_lease_ms = registration.former_lease_ms;
  } else if (table.has_former_lease) {
    registration.recorded_born_ms = table.worker_born_ms;
    registration.head_pending = true;
    out.former_lease_ms = detail::LongestFormerLease(table).count();
  }
  return out;
}

void FinishRowWrite(Registration& registration, MonotonicTime now,
                    const RowContent& content,
                    const StoreCommitResult& result) {
  registration.call_in_flight = false;
  registration.row_written = result.error == PlatformError::kNone;
  if (!registration.row_written) {
    registration.row_read = false;
    registration.next_step_at = now + kStoreRetryDelay;
    registration.recorded_born_ms.reset();
    return;
  }
  registration.row_version = result.version;
  registration.next_check_at = now + kPlannerSilence;
  registration.former_lease_ms = content.former_lease_ms;
  registration.drained = content.drained;
}

void FinishHeadRead(Registration& registration, RunTable& table,
                    MonotonicTime now, const std::optional<StoreRows>& rows) {
  registration.call_in_flight = false;
  if (!rows) {
    registration.next_step_at = now + kStoreRetryDelay;
    return;
  }
  const auto head = FindShardHead(*rows);
  if (!head && FindRow(*rows, kHeadKey) != nullptr) {
    registration.next_step_at = now + kStoreRetryDelay;
    return;
  }
  registration.head_pending = false;
  const PlannerEpoch previous_epoch = table.epoch;
  if (head) {
    FollowPlanner(table, now, head->epoch, head->planner, head->address);
  }
  if (table.awaits_registration && table.epoch > previous_epoch) {
    // The worker may have answered under a lower number than calls have that
    // are still on their way.
    detail::AssumeFormerAgent(table, now);
    table.process_fencing =
        std::max(table.process_fencing, FirstFencing(table.epoch));
    registration.recorded_born_ms.reset();
  }
  if (std::exchange(table.awaits_registration, false)) ++table.version;
  const bool is_taken_back = table.listed_as_drained && !registration.drained;
  if (is_taken_back) {
    table.listed_as_drained = false;
    ++table.version;
  }
  if (table.has_former_lease &&
      registration.recorded_born_ms == table.worker_born_ms) {
    table.former_lease_recorded = true;
    ++table.version;
  }
}

}  // namespace almondtally::sched
