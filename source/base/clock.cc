#include "base/clock.h"

#include <cassert>
#include <ctime>

namespace almondtally {

MonotonicTime Now(const Clock& clock) {
  if (clock.paused) return clock.paused_at;
  // CLOCK_BOOTTIME counts suspension of the VM, which leases must not miss.
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  const auto span =
      std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec);
  return MonotonicTime(std::chrono::duration_cast<Duration>(span));
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
