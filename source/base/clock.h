#pragma once

#include <chrono>
#include <cstdint>

namespace almondtally {

using Duration = std::chrono::milliseconds;

/// The std::chrono clock type of `MonotonicTime`.
struct MonotonicClock {
  using rep = int64_t;
  using period = std::milli;
  using duration = Duration;
  using time_point = std::chrono::time_point<MonotonicClock, Duration>;
  // The C++ standard requires this name of a clock type.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool is_steady = true;
};

/// A time point of this process's monotonic clock. Time points of different
/// processes must not be compared.
using MonotonicTime = MonotonicClock::time_point;

/// The clock of one event loop. Tests pause it and advance it explicitly.
struct Clock {
  bool paused = false;
  MonotonicTime paused_at{};
};

/// @return the current time of `clock`, in milliseconds.
MonotonicTime Now(const Clock& clock);

/// Stops `clock` at its current time.
void Pause(Clock& clock);

/// Moves a paused clock forward by `delta`.
void Advance(Clock& clock, Duration delta);

/// @return milliseconds since the Unix epoch. Use it only for records that are
/// read by people, never for leases.
int64_t WallClockMillis();

}  // namespace almondtally
