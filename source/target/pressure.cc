#include "target/pressure.h"

#include <algorithm>
#include <optional>

namespace almondtally {
namespace {

constexpr int64_t kFullSpeed = 100;
constexpr int64_t kLeastSpeed = 25;

bool IsBatch(const Run& run) {
  return run.phase == RunPhase::kRunning && run.item.exclusive;
}

bool HasServices(const TaskTable& table) {
  return std::any_of(table.runs.begin(), table.runs.end(), [](const auto& it) {
    return it.second.phase == RunPhase::kRunning && !it.second.item.exclusive;
  });
}

bool IsAbove(int64_t used, int64_t capacity, int64_t percent) {
  return capacity > 0 && used * 100 > capacity * percent;
}

/// The fastest batch run, since slowing it gives back the most.
std::optional<ThrottleCall> SlowOne(const TaskTable& table) {
  const Run* best = nullptr;
  for (const auto& [key, run] : table.runs) {
    if (!IsBatch(run) || run.speed <= kLeastSpeed) continue;
    if (best == nullptr || run.used.cpu > best->used.cpu) best = &run;
  }
  if (best == nullptr) return std::nullopt;
  return ThrottleCall{best->item.run(), std::max(kLeastSpeed, best->speed / 2)};
}

/// The slowest batch run, so that none stays slow for long.
std::optional<ThrottleCall> ReleaseOne(const TaskTable& table) {
  const Run* best = nullptr;
  for (const auto& [key, run] : table.runs) {
    if (!IsBatch(run) || run.speed >= kFullSpeed) continue;
    if (best == nullptr || run.speed < best->speed) best = &run;
  }
  if (best == nullptr) return std::nullopt;
  return ThrottleCall{best->item.run(), std::min(kFullSpeed, best->speed * 2)};
}

/// The batch run furthest above its claim, else the largest.
std::optional<WorkerRun> ChooseEviction(const TaskTable& table) {
  const Run* best = nullptr;
  const auto excess = [](const Run& run) {
    return run.used.memory - run.item.claimed.memory;
  };
  for (const auto& [key, run] : table.runs) {
    if (!IsBatch(run)) continue;
    if (best == nullptr || excess(run) > excess(*best)) best = &run;
  }
  if (best == nullptr) return std::nullopt;
  return best->item.run();
}

void Count(int& rounds, bool seen) { rounds = seen ? rounds + 1 : 0; }

}  // namespace

PressureResponse RespondToPressure(PressureState& state,
                                   const PressureLimits& limits,
                                   const TaskTable& table) {
  PressureResponse out;
  const Resources& used = table.used;
  const Resources& capacity = table.capacity;
  const bool cpu_high =
      IsAbove(used.cpu.value, capacity.cpu.value, limits.cpu_high) &&
      HasServices(table);
  const bool cpu_low =
      !IsAbove(used.cpu.value, capacity.cpu.value, limits.cpu_low);
  const bool memory_high =
      IsAbove(used.memory.value, capacity.memory.value, limits.memory_high);
  Count(state.high_rounds, cpu_high);
  Count(state.low_rounds, cpu_low);
  Count(state.memory_rounds, memory_high);
  if (state.high_rounds >= limits.rounds) {
    state.high_rounds = 0;
    if (const auto call = SlowOne(table)) out.throttles.push_back(*call);
  }
  if (state.low_rounds >= limits.rounds) {
    state.low_rounds = 0;
    if (const auto call = ReleaseOne(table)) out.throttles.push_back(*call);
  }
  if (state.memory_rounds >= limits.rounds) {
    state.memory_rounds = 0;
    if (const auto run = ChooseEviction(table)) out.evictions.push_back(*run);
  }
  return out;
}

}  // namespace almondtally
