#include "base/clock.h"

#include <doctest/doctest.h>

#include "base/random.h"
#include "base/resources.h"

namespace almondtally {
namespace {

TEST_CASE("a paused clock changes only when advanced") {
  Clock clock;
  Pause(clock);
  const MonotonicTime paused_time = Now(clock);
  CHECK(Now(clock) == paused_time);
  Advance(clock, Duration(250));
  CHECK(Now(clock) - paused_time == Duration(250));
}

TEST_CASE("the stable hash is the same in every process") {
  CHECK(StableHash("") == 0xef46db3751d8e999ULL);
}

TEST_CASE("resources fit only if every component does") {
  const Resources available{MilliCpu(4'000), Mebibytes(1'000), Accelerators(1)};
  CHECK(Fits(available, available));
  CHECK_FALSE(
      Fits({MilliCpu(4'001), Mebibytes(0), Accelerators(0)}, available));
  CHECK_FALSE(
      Fits({MilliCpu(0), Mebibytes(1'001), Accelerators(0)}, available));
  CHECK_FALSE(Fits({MilliCpu(0), Mebibytes(0), Accelerators(2)}, available));
}

}  // namespace
}  // namespace almondtally
