#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/log.h"
#include "planner/detail.h"
#include "planner/planner.h"
#include "sched/ownership.h"

// Communication with agents: agent rows in the store, reports and orders.

namespace almondtally::sched {
namespace {

/// How long an agent may hold a poll open when it has nothing to report.
constexpr Duration kLongPollWait{500};
/// Time beyond the long-poll wait after which a request to an agent times out.
constexpr Duration kAgentTimeout{500};
constexpr Duration kPollRetryDelay{100};
/// Pause between two polls of one agent, so that small changes are reported
/// together.
constexpr Duration kPollPause{4};
/// Wait of one request to the change feed of agent rows.
constexpr Duration kFeedWait{5'000};
constexpr Duration kFeedRetryDelay{300};
/// The row of a VM that has been silent for this long is deleted; its agent
/// writes the row again if it comes back.
constexpr Duration kSilentVmTimeout{20'000};
/// The same for a VM whose leases from this planner have expired. The next
/// planner waits for all VMs that are listed before it places stored jobs.
constexpr Duration kLostVmTimeout{8'000};
/// The same for a VM whose worker has left and that has no runs.
constexpr Duration kLeftVmTimeout{1'000};

bool HasNoLease(const ShardState& board, const VmEntity& vm,
                bool earlier_leases_ended) {
  return vm.lease_ends_at != MonotonicTime{} && HaveLeasesEnded(board, vm) &&
         earlier_leases_ended;
}

/// @return true if no task can be on the VM: its row says so, or its agent
/// follows this planner, and its worker starts nothing more.
bool HasLeft(const VmEntity& vm) {
  if (!vm.synced) return vm.row_drained;
  return vm.worker.draining && vm.runs.empty() && vm.uncommitted_ends.empty();
}

/// @return how long the VM may be silent before it is no longer listed.
Duration SilenceAllowed(const ShardState& board, const VmEntity& vm,
                        bool earlier_leases_ended) {
  if (HasLeft(vm)) return kLeftVmTimeout;
  if (vm.synced) return Duration::max();
  if (vm.awaiting_first_sync && !earlier_leases_ended) return Duration::max();
  return HasNoLease(board, vm, earlier_leases_ended) ? kLostVmTimeout
                                                     : kSilentVmTimeout;
}

/// Notes a longer lease that the row of a VM tells of. It was granted before
/// the row was written.
void NoteRecordedLease(VmEntity& vm, MonotonicTime now, Duration former_lease) {
  if (former_lease == Duration(0)) return;
  vm.recorded_lease_ends_at = now + former_lease + kLeaseExpiryMargin;
  if (!vm.synced) return;
  vm.lease_ends_at = std::max(vm.lease_ends_at, vm.recorded_lease_ends_at);
}

}  // namespace

void Planner::ApplyAgentRow(const StoreRow& row) {
  const VmId id(row.at.key);
  if (row.deleted) return;
  JobReason why;
  const auto agent = DecodeAgentRow(row.value, why);
  if (id.empty()) why.Set(JobError::kBadRow, "the key names no VM");
  if (!agent || id.empty()) {
    Log(Event::kRowUnreadable, {{"row", row.at.key}, {"reason", why.text}});
    return;
  }
  // An older version may still be read until the removal is committed.
  const auto removed = removed_rows_.find(id);
  if (removed != removed_rows_.end() && row.version <= removed->second) return;
  pending_removals_.erase(id);
  VmEntity& vm = board_.vms[id];
  if (row.version < vm.row_version) return;
  const bool is_new = vm.id.empty();
  if (row.version > vm.row_version) {
    NoteRecordedLease(vm, loop_.now(), Duration(agent->former_lease_ms));
  }
  vm.id = id;
  vm.agent = *ParseAddress(agent->address);
  vm.data_centre = agent->data_centre;
  vm.row_version = row.version;
  vm.row_drained = agent->drained;
  if (vm.row_drained) vm.awaiting_first_sync = false;
  if (!is_new) return;
  vm.listed_at = loop_.now();
  vm.row_unproven = true;
  Log(Event::kVmListed, {{"vm", id.value},
                         {"agent", agent->address},
                         {"former_lease_ms", agent->former_lease_ms},
                         {"drained", agent->drained ? "yes" : "no"}});
  poll_generations_[id] = ++last_poll_generation_;
  Poll(id);
}

void Planner::WatchAgentRows(RowVersion after, uint64_t epoch) {
  if (!planning_ || board_.epoch.value != epoch) return;
  store_.changes(
      table::kAgents, after, kFeedWait,
      [this, after, epoch](FeedStatus end, const StoreRows& changed) {
        if (!planning_ || board_.epoch.value != epoch) return;
        if (end == FeedStatus::kOk) {
          for (const StoreRow& row : changed.rows) {
            if (row.at.partition == journal_.partition()) ApplyAgentRow(row);
          }
          return WatchAgentRows(changed.version, epoch);
        }
        if (end == FeedStatus::kFailed) {
          loop_.RunAfter(kFeedRetryDelay, [this, after, epoch] {
            WatchAgentRows(after, epoch);
          });
          return;
        }
        ReadAllRows(store_, table::kAgents, journal_.partition(),
                    [this, after, epoch](std::optional<StoreRows> rows,
                                         const PlatformReason&) {
                      if (!planning_ || board_.epoch.value != epoch) return;
                      if (!rows) {
                        loop_.RunAfter(kFeedRetryDelay, [this, after, epoch] {
                          WatchAgentRows(after, epoch);
                        });
                        return;
                      }
                      for (const StoreRow& row : rows->rows) ApplyAgentRow(row);
                      WatchAgentRows(rows->version, epoch);
                    });
      });
}

SyncRequest Planner::MakeRequest(VmEntity& vm) const {
  SyncRequest request;
  request.epoch = board_.epoch;
  request.planner = settings_.id.value;
  request.planner_address = ToString(settings_.peer);
  request.life = vm.reporting_incarnation;
  request.worker = vm.worker.id;
  request.fencing_base = FencingBase(board_, vm);
  request.tail_limit_ms = board_.tail_limit.count();
  request.evacuated = IsEvacuated(board_.evacuations, vm.data_centre);
  request.evacuated_as_of = board_.evacuations.reading.version.value;
  if (vm.reporting_incarnation != vm.life) return request;
  request.seen_version = vm.synced ? vm.seen_version : 0;
  request.seen_end = vm.seen_end;
  request.ends_recorded = vm.ends_recorded;
  request.stamp = vm.stamp;
  if (!vm.row_unproven &&
      loop_.now() - board_.ownership_proven_at < kOwnershipProofValidity) {
    request.grant_ms = kLeaseGrantDuration.count();
  }
  return request;
}

void Planner::Poll(const VmId& id) {
  const auto it = board_.vms.find(id);
  if (!planning_ || it == board_.vms.end()) return;
  VmEntity& vm = it->second;
  SyncRequest request = MakeRequest(vm);
  request.wait_ms = vm.synced ? kLongPollWait.count() : 0;
  const uint64_t generation = poll_generations_[id];
  const Duration timeout = Duration(request.wait_ms) + kAgentTimeout;
  const Address agent = vm.agent;
  links_.Send<SyncReport>(
      agent, path::kSync, request, timeout,
      [this, id, generation, agent](std::optional<SyncReport> report,
                                    const WireReason&) {
        const auto current = poll_generations_.find(id);
        if (current == poll_generations_.end() || current->second != generation)
          return;
        if (report) HandleReport(id, *report);
        // The connection may be dead without having been closed.
        if (!report) links_.Drop(agent);
        const bool settled = report && report->settled;
        loop_.RunAfter(settled ? kPollPause : kPollRetryDelay, [this, id,
                                                                generation] {
          const auto still = poll_generations_.find(id);
          if (still != poll_generations_.end() && still->second == generation)
            Poll(id);
        });
      });
}

void Planner::HandleReport(const VmId& id, const SyncReport& report) {
  const auto it = board_.vms.find(id);
  if (!planning_ || it == board_.vms.end()) return;
  if (report.epoch > board_.epoch) {
    Log(Event::kEpochPassed,
        {{"vm", id.value},
         {"epoch", static_cast<int64_t>(board_.epoch.value)},
         {"newer", static_cast<int64_t>(report.epoch.value)}});
    // Agents follow the planner with the newest epoch. A replaced planner that
    // cannot reach the store learns of its replacement only here.
    UpdateOwner(report.epoch, report.planner_address);
    return StepDown("an agent reported a newer planner");
  }
  Decisions log;
  ApplyReport(board_, loop_.now(), it->second, report, log);
  LogDecisions(log);
  SchedulePlanning();
}

void Planner::SendOrders() {
  for (auto& [id, vm] : board_.vms) {
    if (vm.batch_in_flight || !HasUnsentOrders(vm)) continue;
    SyncRequest request = MakeRequest(vm);
    CollectOrders(board_, vm, request);
    vm.batch_in_flight = true;
    const uint64_t batch = request.batch;
    const AgentIncarnation life = vm.life;
    const uint64_t epoch = board_.epoch.value;
    const Address agent = vm.agent;
    links_.Send<SyncReport>(
        agent, path::kSync, request, kAgentTimeout,
        [this, id = id, batch, life, epoch, agent](
            std::optional<SyncReport> report, const WireReason& why) {
          const auto it = board_.vms.find(id);
          if (!planning_ || board_.epoch.value != epoch) return;
          if (it == board_.vms.end() || it->second.life != life) return;
          it->second.batch_in_flight = false;
          if (!report) {
            Log(Event::kOrdersUnanswered,
                {{"vm", id.value},
                 {"batch", static_cast<int64_t>(batch)},
                 {"reason", why.text}});
            MarkOrdersUnsent(it->second, batch);
            links_.Drop(agent);
            return;
          }
          HandleReport(id, *report);
        });
  }
}

StoreKey Planner::AgentRowKey(const VmId& vm) const {
  return {table::kAgents, journal_.partition(), vm.value};
}

void Planner::RemoveSilentVms() {
  const MonotonicTime now = loop_.now();
  const bool earlier_leases_ended =
      IsOwnershipProvenSince(board_, EndOfEarlierLeases(board_));
  for (auto it = board_.vms.begin(); it != board_.vms.end();) {
    VmEntity& vm = it->second;
    const MonotonicTime last_heard_at =
        std::max(vm.last_report_at, vm.listed_at);
    if (now - last_heard_at <
        SilenceAllowed(board_, vm, earlier_leases_ended)) {
      ++it;
      continue;
    }
    Log(Event::kVmForgotten,
        {{"vm", vm.id.value}, {"silent_ms", (now - last_heard_at).count()}});
    pending_removals_[vm.id] = vm.row_version;
    removed_rows_[vm.id] = vm.row_version;
    links_.Drop(vm.agent);
    poll_generations_.erase(vm.id);
    it = board_.vms.erase(it);
  }
}

}  // namespace almondtally::sched
