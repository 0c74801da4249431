#pragma once

#include <chrono>
#include <cstdint>

namespace almondtally {

using Duration = std::chrono::milliseconds;

/// Marks times of the monotonic clock of one process.
struct MonotonicTag {
  using rep = int64_t;
  using period = std::milli;
  using duration = Duration;
  using time_point = std::chrono::time_point<MonotonicTag, Duration>;
  // The standard gives this name.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool is_steady = true;
};

/// A reading of this process's monotonic clock. Readings of two processes
/// must not be compared.
using MonotonicTime = MonotonicTag::time_point;

/// The clock of one runtime. Tests pause it and advance it by hand.
struct Clock {
  bool paused = false;
  MonotonicTime paused_at{};
};

/// @return the present time of `clock`, in milliseconds.
MonotonicTime Now(const Clock& clock);

/// Stops `clock` at its present time.
void Pause(Clock& clock);

/// Moves a paused clock forward.
void Advance(Clock& clock, Duration by);

/// @return milliseconds since the Unix epoch; for records that people read,
/// never for leases.
int64_t WallClockMillis();

}  // namespace almondtally
