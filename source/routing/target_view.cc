#include "routing/target_view.h"

#include <algorithm>

namespace almondtally {
namespace {

constexpr int64_t kHundred = 100;
constexpr int64_t kFullPercent = 100;

/// Percentage of its limit that a target gets at `now` during slow start.
int64_t SlowStartPercent(const TargetLoad& target, const RoutingParams& params,
                         MonotonicTime now) {
  const Duration age = now - target.joined_at;
  if (age >= params.slow_start) return kFullPercent;
  constexpr int64_t kMinSlowStartPercent = 20;
  return std::max(kMinSlowStartPercent, age * kFullPercent / params.slow_start);
}

/// Estimated number of requests at the target: the announced load plus what
/// this entry has sent since, and at least its own requests in flight.
int64_t EstimatedLoad(const TargetLoad& target) {
  const int64_t since = target.in_flight - target.in_flight_at_announce;
  return std::max(target.in_flight, target.announced + since);
}

/// Expected delay: the load in percent of the target's limit, multiplied by its
/// average answer time.
int64_t Score(const TargetLoad& target, const DataCentreId& local,
              const RoutingParams& params, MonotonicTime now) {
  const int64_t limit = std::max<int64_t>(
      1, target.limit * SlowStartPercent(target, params, now) / kFullPercent);
  int64_t load = (EstimatedLoad(target) + 1) * kHundred / limit;
  if (target.data_centre != local) load += params.remote_penalty;
  const double ms = std::max(1.0, target.smoothed_latency_ms);
  return static_cast<int64_t>(static_cast<double>(load) * ms);
}

bool IsUsable(const TargetLoad& target, const std::vector<VmId>& tried,
              MonotonicTime now) {
  if (target.leaving || target.limit <= 0) return false;
  if (now < target.ejected_until) return false;
  return std::find(tried.begin(), tried.end(), target.vm) == tried.end();
}

bool HasRoom(const TargetLoad& target) {
  return EstimatedLoad(target) < target.limit;
}

using Candidates = std::vector<const TargetLoad*>;

/// Samples usable local targets with room at random. The number of attempts is
/// bounded, so that the cost does not grow with the number of targets.
Candidates SampleLocalTargets(const ServiceTargets& targets,
                              const DataCentreId& local,
                              const std::vector<VmId>& tried,
                              const RoutingParams& params, MonotonicTime now,
                              Random& random) {
  constexpr int kAttemptsPerChoice = 6;
  Candidates drawn;
  if (targets.empty()) return drawn;
  std::uniform_int_distribution<size_t> draw(0, targets.size() - 1);
  const auto wanted = static_cast<size_t>(params.choices);
  for (int i = 0; i < params.choices * kAttemptsPerChoice; ++i) {
    const TargetLoad& target = targets[draw(random)];
    const bool near = target.data_centre == local && HasRoom(target);
    if (near && IsUsable(target, tried, now)) drawn.push_back(&target);
    if (drawn.size() == wanted) break;
  }
  return drawn;
}

/// @return the usable local targets with room or, if there are none, all usable
/// targets.
Candidates ListUsableTargets(const ServiceTargets& targets,
                             const DataCentreId& local,
                             const std::vector<VmId>& tried,
                             MonotonicTime now) {
  Candidates near;
  Candidates all;
  for (const TargetLoad& target : targets) {
    if (!IsUsable(target, tried, now)) continue;
    all.push_back(&target);
    if (target.data_centre == local && HasRoom(target)) near.push_back(&target);
  }
  return near.empty() ? all : near;
}

Candidates SampleFrom(const Candidates& all, const RoutingParams& params,
                      Random& random) {
  Candidates drawn;
  std::uniform_int_distribution<size_t> draw(0, all.size() - 1);
  for (int i = 0; i < params.choices; ++i) drawn.push_back(all[draw(random)]);
  return drawn;
}

}  // namespace

void AddRetryCredit(RetryBudget& budget, const RoutingParams& params) {
  const int64_t most = (params.retry_reserve + params.retry_percent) * kHundred;
  budget.hundredths = std::min(most, budget.hundredths + params.retry_percent);
}

bool TryTakeRetry(RetryBudget& budget) {
  if (budget.hundredths < kHundred) return false;
  budget.hundredths -= kHundred;
  return true;
}

TargetLoad* FindTarget(ServiceTargets& targets, const VmId& vm) {
  const auto it = std::lower_bound(
      targets.begin(), targets.end(), vm,
      [](const TargetLoad& target, const VmId& id) { return target.vm < id; });
  return it == targets.end() || it->vm != vm ? nullptr : &*it;
}

std::optional<RouteChoice> ChooseTarget(const ServiceTargets& targets,
                                        const DataCentreId& local,
                                        const std::vector<VmId>& tried,
                                        const RoutingParams& params,
                                        MonotonicTime now, Random& random,
                                        std::string& why) {
  Candidates drawn =
      SampleLocalTargets(targets, local, tried, params, now, random);
  if (drawn.size() < static_cast<size_t>(params.choices)) {
    const Candidates all = ListUsableTargets(targets, local, tried, now);
    if (all.empty()) {
      why = targets.empty() ? "no target runs this service"
            : tried.empty() ? "no target is usable"
                            : "every usable target has refused";
      return std::nullopt;
    }
    drawn = SampleFrom(all, params, random);
  }
  const TargetLoad* best = drawn.front();
  int64_t best_score = Score(*best, local, params, now);
  for (const TargetLoad* target : drawn) {
    const int64_t score = Score(*target, local, params, now);
    if (score >= best_score) continue;
    best = target;
    best_score = score;
  }
  return RouteChoice{best->vm, "score " + std::to_string(best_score) +
                                   " least of " + std::to_string(drawn.size()) +
                                   " drawn from " +
                                   std::to_string(targets.size())};
}

void UpdateTargetLoad(ServiceTargets& targets, const Announcement& announce,
                      const ServiceLoad& load, MonotonicTime now) {
  TargetLoad* known = FindTarget(targets, announce.vm);
  if (known == nullptr) {
    const auto at = std::lower_bound(
        targets.begin(), targets.end(), announce.vm,
        [](const TargetLoad& it, const VmId& id) { return it.vm < id; });
    known = &*targets.emplace(at);
    known->vm = announce.vm;
    known->joined_at = now;
  }
  TargetLoad& target = *known;
  target.data_centre = announce.data_centre;
  target.limit = load.limit;
  target.announced = load.in_use + load.queued;
  target.in_flight_at_announce = target.in_flight;
  target.leaving = announce.leaving;
}

void RecordLatency(TargetLoad& target, Duration took) {
  constexpr double kAnswerWeight = 0.1;
  const double ms = std::max(1.0, static_cast<double>(took.count()));
  target.smoothed_latency_ms =
      target.smoothed_latency_ms == 0
          ? ms
          : target.smoothed_latency_ms +
                (ms - target.smoothed_latency_ms) * kAnswerWeight;
}

bool RecordOutcome(TargetLoad& target, bool failed, const RoutingParams& params,
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
