#include "base/clock.h"

#include <cassert>

namespace almondtally {

MonotonicTime Now(const Clock& clock) {
  if (clock.paused) return clock.paused_at;
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return MonotonicTime(std::chrono::duration_cast<Duration>(now));
}

void Pause(Clock& clock) {
  clock.paused_at = Now(clock);
  clock.paused = true;
}

void Advance(Clock& clock, Duration by) {
  assert(clock.paused);
  clock.paused_at += by;
}

int64_t WallClockMillis() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<Duration>(now).count();
}

}  // namespace almondtally
