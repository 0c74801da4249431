#include "base/clock.h"

#include <cassert>
#include <ctime>

namespace almondtally {

MonotonicTime Now(const Clock& clock) {
  if (clock.paused) return clock.paused_at;
  // CLOCK_BOOTTIME includes the time during which the VM is suspended; leases
  // keep running through a suspension.
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  const auto since_boot =
      std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec);
  return MonotonicTime(std::chrono::duration_cast<Duration>(since_boot));
}

void Pause(Clock& clock) {
  clock.paused_at = Now(clock);
  clock.paused = true;
}

void Advance(Clock& clock, Duration delta) {
  assert(clock.paused);
  clock.paused_at += delta;
}

int64_t WallClockMillis() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<Duration>(now).count();
}

}  // namespace almondtally
