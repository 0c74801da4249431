#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/log.h"
#include "planner/detail.h"
#include "planner/planner.h"

// Links to the agents: their list, reports and orders.

namespace almondtally::sched {
namespace {

/// How long an agent may hold back an empty answer.
constexpr Duration kPollWait{500};
/// Time beyond the wait before an agent counts as silent.
constexpr Duration kAgentTimeout{500};
constexpr Duration kPollRetry{100};
/// Pause between two polls of one agent, so that small news travel together.
constexpr Duration kPollGap{4};
/// How long the change feed of agents waits.
constexpr Duration kFeedWait{5'000};
constexpr Duration kFeedRetry{300};
/// A VM that is silent for this long is removed from the list; its agent
/// lists it again if it comes back.
constexpr Duration kForgetVm{20'000};

}  // namespace

void Planner::TakeAgentRow(const StoreRow& row) {
  const VmId id(row.at.key);
  if (row.deleted) return;
  JobReason why;
  const auto agent = DecodeRow<AgentRow>(row.value, why);
  const auto address =
      agent ? ParseAddress(agent->address) : std::optional<Address>();
  if (!address) {
    Log(Event::kRowUnreadable, {{"row", row.at.key}, {"reason", why.text}});
    return;
  }
  VmEntity& vm = board_.vms[id];
  const bool is_new = vm.id.empty();
  vm.id = id;
  vm.agent = *address;
  vm.data_centre = agent->data_centre;
  vm.row_version = row.version;
  if (!is_new) return;
  Log(Event::kVmListed, {{"vm", id.value}, {"agent", agent->address}});
  polls_[id] = ++poll_count_;
  Poll(id);
}

void Planner::FollowAgents(RowVersion after, uint64_t epoch) {
  if (!planning_ || board_.epoch.value != epoch) return;
  store_.changes(table::kAgents, after, kFeedWait,
                 [this, after, epoch](FeedEnd end, const StoreRows& changed) {
                   if (!planning_ || board_.epoch.value != epoch) return;
                   if (end == FeedEnd::kOk) {
                     for (const StoreRow& row : changed.rows) {
                       if (row.at.partition == journal_.partition())
                         TakeAgentRow(row);
                     }
                     return FollowAgents(changed.version, epoch);
                   }
                   if (end == FeedEnd::kFailed) {
                     loop_.After(kFeedRetry, [this, after, epoch] {
                       FollowAgents(after, epoch);
                     });
                     return;
                   }
                   ReadAll(store_, table::kAgents, journal_.partition(),
                           [this, after, epoch](std::optional<StoreRows> rows,
                                                const PlatformReason&) {
                             if (!planning_ || board_.epoch.value != epoch)
                               return;
                             if (!rows) {
                               loop_.After(kFeedRetry, [this, after, epoch] {
                                 FollowAgents(after, epoch);
                               });
                               return;
                             }
                             for (const StoreRow& row : rows->rows)
                               TakeAgentRow(row);
                             FollowAgents(rows->version, epoch);
                           });
                 });
}

SyncRequest Planner::MakeRequest(VmEntity& vm) const {
  SyncRequest request;
  request.epoch = board_.epoch;
  request.planner = settings_.id.value;
  request.planner_address = ToString(settings_.peer);
  request.life = vm.present_life;
  request.worker = vm.worker.id;
  request.fencing_base = FencingBase(board_, vm);
  if (vm.present_life != vm.life) return request;
  request.seen_version = vm.synced ? vm.seen_version : 0;
  request.seen_end = vm.seen_end;
  request.ends_recorded = vm.ends_recorded;
  if (loop_.now() - proof_at_ < kProofLife) {
    request.stamp = vm.stamp;
    request.grant_ms = kLeaseGrant.count();
  }
  return request;
}

void Planner::Poll(const VmId& id) {
  const auto it = board_.vms.find(id);
  if (!planning_ || it == board_.vms.end()) return;
  VmEntity& vm = it->second;
  SyncRequest request = MakeRequest(vm);
  request.wait_ms = vm.synced ? kPollWait.count() : 0;
  const uint64_t poll = polls_[id];
  const Duration timeout = Duration(request.wait_ms) + kAgentTimeout;
  const Address agent = vm.agent;
  links_.Send<SyncReport>(
      agent, path::kSync, request, timeout,
      [this, id, poll, agent](std::optional<SyncReport> report,
                              const WireReason&) {
        const auto current = polls_.find(id);
        if (current == polls_.end() || current->second != poll) return;
        if (report) TakeAnswer(id, *report);
        // A link that carried no answer in time may be silently dead.
        if (!report) links_.Drop(agent);
        const bool settled = report && report->settled;
        loop_.After(settled ? kPollGap : kPollRetry, [this, id, poll] {
          const auto still = polls_.find(id);
          if (still != polls_.end() && still->second == poll) Poll(id);
        });
      });
}

void Planner::TakeAnswer(const VmId& id, const SyncReport& report) {
  const auto it = board_.vms.find(id);
  if (!planning_ || it == board_.vms.end()) return;
  if (report.epoch > board_.epoch) {
    Log(Event::kEpochPassed,
        {{"vm", id.value},
         {"epoch", static_cast<int64_t>(board_.epoch.value)},
         {"newer", static_cast<int64_t>(report.epoch.value)}});
    // Agents obey the newer planner; without the store this is how a replaced
    // one learns of it.
    TakeOwnerHint(report.epoch, report.planner_address);
    return StepDown("an agent obeys a newer planner");
  }
  Decisions log;
  TakeReport(board_, loop_.now(), it->second, report, log);
  LogDecisions(log);
  Kick();
}

void Planner::SendOrders() {
  for (auto& [id, vm] : board_.vms) {
    if (vm.batch_in_flight || !HasOrders(vm)) continue;
    SyncRequest request = MakeRequest(vm);
    TakeOrders(board_, vm, request);
    vm.batch_in_flight = true;
    const uint64_t batch = request.batch;
    const AgentLife life = vm.life;
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
            TakeOrderFailure(it->second, batch);
            links_.Drop(agent);
            return;
          }
          TakeAnswer(id, *report);
        });
  }
}

void Planner::ForgetLostVms() {
  const MonotonicTime now = loop_.now();
  for (auto it = board_.vms.begin(); it != board_.vms.end();) {
    VmEntity& vm = it->second;
    const MonotonicTime heard = std::max(vm.heard_at, board_.took_over_at);
    if (vm.synced || now - heard < kForgetVm) {
      ++it;
      continue;
    }
    Log(Event::kVmForgotten,
        {{"vm", vm.id.value}, {"silent_ms", (now - heard).count()}});
    deletes_.push_back({table::kAgents, journal_.partition(), vm.id.value});
    links_.Drop(vm.agent);
    polls_.erase(vm.id);
    it = board_.vms.erase(it);
  }
}

}  // namespace almondtally::sched
