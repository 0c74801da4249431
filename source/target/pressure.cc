#include "target/pressure.h"

#include <algorithm>
#include <optional>

namespace almondtally {
namespace {

constexpr int64_t kFullSpeed = 100;
constexpr int64_t kMinSpeed = 25;

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

/// Halves the speed of the batch run that uses the most CPU, since that frees
/// the most.
std::optional<ThrottleCall> ThrottleOne(const TaskTable& table) {
  const Run* best = nullptr;
  for (const auto& [key, run] : table.runs) {
    if (!IsBatch(run) || run.speed <= kMinSpeed) continue;
    if (best == nullptr || run.used.cpu > best->used.cpu) best = &run;
  }
  if (best == nullptr) return std::nullopt;
  return ThrottleCall{best->item.run(), std::max(kMinSpeed, best->speed / 2)};
}

/// Doubles the speed of the slowest batch run, so that none stays slow for
/// long.
std::optional<ThrottleCall> SpeedUpOne(const TaskTable& table) {
  const Run* best = nullptr;
  for (const auto& [key, run] : table.runs) {
    if (!IsBatch(run) || run.speed >= kFullSpeed) continue;
    if (best == nullptr || run.speed < best->speed) best = &run;
  }
  if (best == nullptr) return std::nullopt;
  return ThrottleCall{best->item.run(), std::min(kFullSpeed, best->speed * 2)};
}

/// @return the batch run whose memory use most exceeds its claim; if none does,
/// the one that is least below it.
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

void UpdateStreak(int& rounds, bool seen) { rounds = seen ? rounds + 1 : 0; }

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
  UpdateStreak(state.cpu_high_rounds, cpu_high);
  UpdateStreak(state.cpu_low_rounds, cpu_low);
  UpdateStreak(state.memory_high_rounds, memory_high);
  if (state.cpu_high_rounds >= limits.rounds) {
    state.cpu_high_rounds = 0;
    if (const auto call = ThrottleOne(table)) out.throttles.push_back(*call);
  }
  if (state.cpu_low_rounds >= limits.rounds) {
    state.cpu_low_rounds = 0;
    if (const auto call = SpeedUpOne(table)) out.throttles.push_back(*call);
  }
  if (state.memory_high_rounds >= limits.rounds) {
    state.memory_high_rounds = 0;
    if (const auto run = ChooseEviction(table)) out.evictions.push_back(*run);
  }
  return out;
}

}  // namespace almondtally
