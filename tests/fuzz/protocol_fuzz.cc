// Stateful fuzzing of the batch protocol: random commands against the real
// entry and target code, judged by the invariants of the world after each
// event and by "all work ends once the faults are over" at the end.
//
// RC_PARAMS="seed=N max_success=M max_size=S" chooses the runs.

#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <array>
#include <cstdio>
#include <iostream>

#include "base/log.h"
#include "fuzz/world.h"

namespace almondtally::testing {
namespace {

constexpr size_t kEntries = 2;
constexpr size_t kVms = 3;

enum class Op : uint8_t {
  kAdvance,
  kSubmit,
  kCancel,
  kConfig,
  kTableFault,
  kKillEntry,
  kStartEntry,
  kFreezeEntry,
  kThawEntry,
  kKillTarget,
  kStartTarget,
  kFreezeTarget,
  kThawTarget,
  kFreezeWorker,
  kThawWorker,
  kLoseVm,
  kReplaceVm,
  kLoseRack,
  kCutLink,
  kMendLinks,
  kFailAll,
  kDuplicates,
  kEvict,
  kDrain,
};

constexpr std::array<const char*, 24> kNames = {
    "advance",     "submit",        "cancel",       "config",
    "table-fault", "kill-entry",    "start-entry",  "freeze-entry",
    "thaw-entry",  "kill-target",   "start-target", "freeze-target",
    "thaw-target", "freeze-worker", "thaw-worker",  "lose-vm",
    "replace-vm",  "lose-rack",     "cut-link",     "mend-links",
    "fail-all",    "duplicates",    "evict",        "drain"};

/// The oracle needs no state of its own: what must hold is said by the world.
struct Oracle {};

uint64_t steps = 0;
WorldTotals totals;

struct Do : rc::state::Command<Oracle, World> {
  Op op = Op::kAdvance;
  uint32_t a = 0;
  uint32_t b = 0;

  Do() {
    // Work and time are wanted more often than each kind of fault.
    constexpr int kKinds = static_cast<int>(kNames.size());
    const int drawn = *rc::gen::inRange(0, kKinds + 20);
    op = Op::kAdvance;
    if (drawn < kKinds) op = static_cast<Op>(drawn);
    if (drawn >= kKinds + 14) op = Op::kSubmit;
    a = *rc::gen::inRange<uint32_t>(0, 1'000);
    b = *rc::gen::inRange<uint32_t>(0, 1'000);
  }

  void run(const Oracle&, World& world) const override {
    ++steps;
    Apply(world);
    RC_ASSERT(world.violation() == std::string());
  }

  void show(std::ostream& out) const override {
    out << kNames[static_cast<size_t>(op)] << "(" << a << "," << b << ")";
  }

 private:
  void Apply(World& world) const {
    const size_t entry = a % kEntries;
    const size_t vm = a % kVms;
    switch (op) {
      case Op::kAdvance:
        return world.Advance(Duration(50 + (a * b) % 8'000));
      case Op::kSubmit:
        return world.SubmitJob(1 + a % 8, 200 + b * 5, 500 + (a % 4) * 500,
                               b % 5 == 0);
      case Op::kCancel:
        return world.CancelJob(a);
      case Op::kConfig:
        world.ChangeConfig(0, a % 3);
        return world.ChangeConfig(1, a % 3);
      case Op::kTableFault:
        return world.SetTableFault(static_cast<TableFault>(a % 4));
      case Op::kKillEntry:
        return world.KillEntry(entry);
      case Op::kStartEntry:
        return world.StartEntry(entry);
      case Op::kFreezeEntry:
        return world.FreezeEntry(entry);
      case Op::kThawEntry:
        return world.ThawEntry(entry);
      case Op::kKillTarget:
        return world.KillTarget(vm);
      case Op::kStartTarget:
        return world.StartTarget(vm);
      case Op::kFreezeTarget:
        return world.FreezeTarget(vm);
      case Op::kThawTarget:
        return world.ThawTarget(vm);
      case Op::kFreezeWorker:
        return world.FreezeWorker(vm);
      case Op::kThawWorker:
        return world.ThawWorker(vm);
      case Op::kLoseVm:
        return world.LoseVm(vm);
      case Op::kReplaceVm:
        return world.ReplaceVm(vm);
      case Op::kLoseRack:
        world.LoseVm(0);
        return world.LoseVm(1);
      case Op::kCutLink:
        return world.CutLink(entry, b % kVms, a % 2 == 0);
      case Op::kMendLinks:
        return world.MendLinks();
      case Op::kFailAll:
        return world.SetFailAll(vm, b % 2 == 0);
      case Op::kDuplicates:
        return world.SetDuplicates(a % 2 == 0);
      case Op::kEvict:
        return world.EvictOne(vm);
      case Op::kDrain:
        return world.DrainTarget(vm, b % 2 == 0);
    }
  }
};

bool RunFuzz() {
  return rc::check("no fault breaks an invariant or loses work", [] {
    const auto seed = *rc::gen::noShrink(rc::gen::arbitrary<uint64_t>());
    const auto commands = *rc::state::gen::commands(
        Oracle(), rc::state::gen::execOneOfWithArgs<Do>());
    World world(kEntries, kVms, seed);
    rc::state::runAll(commands, Oracle(), world);
    ++steps;
    world.HealAndFinish();
    totals += world.totals();
    RC_ASSERT(world.violation() == std::string());
  });
}

}  // namespace
}  // namespace almondtally::testing

int main() {
  almondtally::InitLog("fuzz", almondtally::LogLevel::kOff);
  const bool passed = almondtally::testing::RunFuzz();
  const auto& totals = almondtally::testing::totals;
  std::printf(
      "%llu steps, %llu runs started, %llu tasks ended, %llu fences, "
      "%llu restarts of tasks\n",
      static_cast<unsigned long long>(almondtally::testing::steps),
      static_cast<unsigned long long>(totals.runs),
      static_cast<unsigned long long>(totals.ended),
      static_cast<unsigned long long>(totals.fences),
      static_cast<unsigned long long>(totals.again));
  return passed ? 0 : 1;
}
