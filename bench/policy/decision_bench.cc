// Cost of one routing and one placement decision against the number of VMs.

#include <benchmark/benchmark.h>

#include "placement/vm_table.h"
#include "routing/target_view.h"

namespace almondtally {
namespace {

const MonotonicTime kNow{Duration(1'000'000)};

void RouteOne(benchmark::State& state) {
  ServiceTargets targets;
  for (int64_t i = 0; i < state.range(0); ++i) {
    TargetLoad target;
    target.vm = VmId("vm-" + std::to_string(i));
    target.data_centre = DataCentreId("dc-" + std::to_string(i % 4));
    target.limit = 8;
    target.announced = i % 8;
    targets.push_back(target);
  }
  Random random(1);
  std::string why;
  for (auto _ : state) {
    benchmark::DoNotOptimize(ChooseTarget(targets, DataCentreId("dc-0"), {},
                                          RoutingParams(), kNow, random, why));
  }
}
BENCHMARK(RouteOne)->Arg(10)->Arg(100)->Arg(1'100);

void PlaceOne(benchmark::State& state) {
  VmTable vms;
  for (int64_t i = 0; i < state.range(0); ++i) {
    VmRecord& vm = vms[VmId("vm-" + std::to_string(i))];
    vm.vm = VmId("vm-" + std::to_string(i));
    vm.rack = RackId("rack-" + std::to_string(i / 3));
    vm.data_centre = DataCentreId("dc-" + std::to_string(i % 4));
    vm.ready = true;
    vm.generation = Generation(1);
    vm.capacity = {MilliCpu(30'000), Mebibytes(125'000), Accelerators(0)};
    vm.committed.cpu = MilliCpu(1'000 * (i % 30));
    vm.used = vm.committed;
    vm.last_heard = kNow;
  }
  const Config config;
  PlacementRequest request;
  request.each.cpu = MilliCpu(1'000);
  NoPlacement why = NoPlacement::kNoRoom;
  for (auto _ : state) {
    benchmark::DoNotOptimize(ChooseVm(vms, config, request, {}, kNow, why));
  }
}
BENCHMARK(PlaceOne)->Arg(10)->Arg(100)->Arg(1'100);

}  // namespace
}  // namespace almondtally

BENCHMARK_MAIN();
