// Sequences that the fuzzer once found to break something, shrunk and named.

#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include <cstdlib>

#include "base/log.h"
#include "entry/members.h"
#include "fuzz/world.h"

namespace almondtally::testing {
namespace {

TEST_CASE("a VM lost right after its tasks were assigned runs them later") {
  World world(2, 3, 252712063938703678U);
  world.Advance(Duration(2'360));
  world.SubmitJob(3, 200, 1'500, true);
  world.Advance(Duration(50 + 159 * 110 % 8'000));
  world.LoseVm(1);
  world.SetTableFault(TableFault::kLoseAnswers);
  world.Advance(Duration(50 + 8 * 249));
  world.HealAndFinish();
  CHECK(world.violation() == "");
}

TEST_CASE("room reserved for starts that never arrived is given back") {
  World world(2, 3, 17768185761613325471U);
  world.Advance(Duration(50 + 6 * 707));
  world.LoseVm(2);
  world.LoseVm(0);
  world.LoseVm(1);
  world.SubmitJob(7, 200, 1'500, true);
  world.Advance(Duration(50 + 13 * 516));
  world.HealAndFinish();
  CHECK(world.violation() == "");
}

TEST_CASE("assignments committed during an outage are started after it") {
  World world(2, 3, 13842734772140358655U);
  world.KillTarget(0);
  world.SubmitJob(7, 200, 1'500, true);
  world.SetTableFault(TableFault::kDown);
  world.Advance(Duration(50 + 892 * 106 % 8'000));
  world.LoseVm(0);
  world.LoseVm(1);
  world.HealAndFinish();
  CHECK(world.violation() == "");
}

TEST_CASE("a dead entry stays dead while its old row is still in the table") {
  World world(2, 1, 7);
  world.Advance(Duration(5'000));
  REQUIRE(LiveEntries(world.entry(1)).size() == 2);
  world.KillEntry(0);
  world.Advance(Duration(12'000));
  for (int i = 0; i < 30; ++i) {
    world.Advance(Duration(1'000));
    CHECK(LiveEntries(world.entry(1)).size() == 1);
  }
  world.StartEntry(0);
  world.Advance(Duration(5'000));
  CHECK(LiveEntries(world.entry(1)).size() == 2);
}

}  // namespace
}  // namespace almondtally::testing

int main(int argc, char** argv) {
  const bool verbose = std::getenv("ALMONDTALLY_TEST_LOG") != nullptr;
  almondtally::InitLog("test", verbose ? almondtally::LogLevel::kInfo
                                       : almondtally::LogLevel::kOff);
  return doctest::Context(argc, argv).run();
}
