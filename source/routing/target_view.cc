#include "routing/target_view.h"

#include <algorithm>

namespace almondtally {
namespace {

constexpr int64_t kHundred = 100;
constexpr int64_t kFullShare = 100;

/// Percent of its size that a new target is given at `now`.
int64_t Share(const TargetLoad& target, const RoutingParams& params,
              MonotonicTime now) {
  const Duration age = now - target.joined_at;
  if (age >= params.slow_start) return kFullShare;
  constexpr int64_t kLeastShare = 20;
  return std::max(kLeastShare, age * kFullShare / params.slow_start);
}

/// Requests believed to be at the target.
int64_t BelievedLoad(const TargetLoad& target) {
  const int64_t since = target.in_flight - target.in_flight_then;
  return std::max(target.in_flight, target.announced + since);
}

/// Load in percent of the target's limit.
int64_t Score(const TargetLoad& target, const DataCentreId& local,
              const RoutingParams& params, MonotonicTime now) {
  const int64_t limit = std::max<int64_t>(
      1, target.limit * Share(target, params, now) / kFullShare);
  const int64_t load = (BelievedLoad(target) + 1) * kHundred / limit;
  return target.data_centre == local ? load : load + params.remote_penalty;
}

bool IsUsable(const TargetLoad& target, const std::vector<VmId>& tried,
              MonotonicTime now) {
  if (target.leaving || target.limit <= 0) return false;
  if (now < target.ejected_until) return false;
  return std::find(tried.begin(), tried.end(), target.vm) == tried.end();
}

std::vector<const TargetLoad*> Usable(const ServiceTargets& targets,
                                      const std::vector<VmId>& tried,
                                      MonotonicTime now) {
  std::vector<const TargetLoad*> usable;
  for (const auto& [vm, target] : targets) {
    if (IsUsable(target, tried, now)) usable.push_back(&target);
  }
  return usable;
}

/// Local targets if one of them has room, else all.
std::vector<const TargetLoad*> PreferLocal(
    std::vector<const TargetLoad*> usable, const DataCentreId& local) {
  std::vector<const TargetLoad*> near;
  for (const TargetLoad* target : usable) {
    const bool has_room = BelievedLoad(*target) < target->limit;
    if (target->data_centre == local && has_room) near.push_back(target);
  }
  return near.empty() ? usable : near;
}

}  // namespace

void NoteRequest(RetryBudget& budget, const RoutingParams& params) {
  const int64_t most = (params.retry_reserve + params.retry_percent) * kHundred;
  budget.hundredths = std::min(most, budget.hundredths + params.retry_percent);
}

bool TakeRetry(RetryBudget& budget) {
  if (budget.hundredths < kHundred) return false;
  budget.hundredths -= kHundred;
  return true;
}

std::optional<RouteChoice> ChooseTarget(const ServiceTargets& targets,
                                        const DataCentreId& local,
                                        const std::vector<VmId>& tried,
                                        const RoutingParams& params,
                                        MonotonicTime now, Random& random,
                                        std::string& why) {
  std::vector<const TargetLoad*> usable = Usable(targets, tried, now);
  if (usable.empty()) {
    why = targets.empty() ? "no target runs this service"
          : tried.empty() ? "no target is usable"
                          : "every usable target has refused";
    return std::nullopt;
  }
  usable = PreferLocal(std::move(usable), local);
  const TargetLoad* best = nullptr;
  int64_t best_score = 0;
  for (int i = 0; i < params.choices; ++i) {
    std::uniform_int_distribution<size_t> draw(0, usable.size() - 1);
    const TargetLoad* target = usable[draw(random)];
    const int64_t score = Score(*target, local, params, now);
    if (best == nullptr || score < best_score) {
      best = target;
      best_score = score;
    }
  }
  return RouteChoice{best->vm,
                     "load " + std::to_string(best_score) + "% least of " +
                         std::to_string(params.choices) + " drawn from " +
                         std::to_string(usable.size())};
}

void TakeLoad(ServiceTargets& targets, const Announce& announce,
              const ServiceLoad& load, MonotonicTime now) {
  auto [it, is_new] = targets.try_emplace(announce.vm);
  TargetLoad& target = it->second;
  if (is_new) {
    target.vm = announce.vm;
    target.joined_at = now;
  }
  target.data_centre = announce.data_centre;
  target.limit = load.limit;
  target.announced = load.in_use + load.queued;
  target.in_flight_then = target.in_flight;
  target.leaving = announce.leaving;
}

bool NoteOutcome(TargetLoad& target, bool failed, const RoutingParams& params,
                 MonotonicTime now) {
  if (!failed) {
    target.failures = 0;
    return false;
  }
  if (++target.failures < params.eject_after) return false;
  target.failures = 0;
  target.ejected_until = now + params.eject_for;
  return true;
}

}  // namespace almondtally
