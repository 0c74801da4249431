#include "placement/vm_table.h"

#include <doctest/doctest.h>

namespace almondtally {
namespace {

const MonotonicTime kNow{Duration(9'000'000)};

VmRecord Vm(const std::string& name, int64_t cpu, int64_t committed) {
  VmRecord vm;
  vm.vm = VmId(name);
  vm.rack = RackId("rack-" + name);
  vm.data_centre = DataCentreId("dc");
  vm.generation = Generation(1);
  vm.ready = true;
  vm.capacity = {MilliCpu(cpu), Mebibytes(8'000), Accelerators(0)};
  vm.committed.cpu = MilliCpu(committed);
  vm.last_heard = kNow;
  return vm;
}

VmTable Table(const std::vector<VmRecord>& all) {
  VmTable vms;
  for (const VmRecord& it : all) vms[it.vm] = it;
  return vms;
}

PlacementRequest Request(int64_t cpu, bool exclusive = true) {
  PlacementRequest request;
  request.each.cpu = MilliCpu(cpu);
  request.exclusive = exclusive;
  return request;
}

std::string Choose(const VmTable& vms, const PlacementRequest& request,
                   const JobSpread& spread = {}, const Config& config = {}) {
  NoPlacement why = NoPlacement::kNoRoom;
  const auto choice = ChooseVm(vms, config, request, spread, kNow, why);
  if (choice) return choice->vm.value;
  return why == NoPlacement::kInfeasible ? "infeasible" : "no room";
}

TEST_CASE(
    "batch tasks are packed onto the fuller VM, leaving room for large tasks") {
  const VmTable vms = Table({Vm("a", 8'000, 0), Vm("b", 8'000, 3'000)});
  CHECK(Choose(vms, Request(1'000)) == "b");
  CHECK(Choose(vms, Request(6'000)) == "a");
}

TEST_CASE("measured load beyond the claims counts against a VM") {
  VmTable vms = Table({Vm("a", 8'000, 1'000), Vm("b", 8'000, 3'000)});
  vms.at(VmId("b")).used.cpu = MilliCpu(7'500);
  CHECK(Choose(vms, Request(1'000)) == "a");
}

TEST_CASE("a task too large for every VM is infeasible, not short of room") {
  const VmTable vms = Table({Vm("a", 4'000, 4'000)});
  CHECK(Choose(vms, Request(4'001)) == "infeasible");
  CHECK(Choose(vms, Request(1'000)) == "no room");
}

TEST_CASE("silent, leaving, fenced, draining and full VMs get no tasks") {
  VmTable vms = Table({Vm("a", 8'000, 0)});
  VmRecord& vm = vms.at(VmId("a"));
  vm.last_heard = kNow - Duration(60'000);
  CHECK(Choose(vms, Request(1)) == "no room");
  vm.last_heard = kNow;
  vm.leaving = true;
  CHECK(Choose(vms, Request(1)) == "no room");
  vm.leaving = false;
  Config config;
  config.objects[{ConfigKind::kFence, "a"}] = {ConfigVersion(1),
                                               R"({"generation":1})"};
  CHECK(Choose(vms, Request(1), {}, config) == "no room");
  vm.generation = Generation(2);
  CHECK(Choose(vms, Request(1), {}, config) == "a");
  config.objects[{ConfigKind::kVm, "a"}] = {ConfigVersion(2),
                                            R"({"draining":true})"};
  CHECK(Choose(vms, Request(1), {}, config) == "no room");
}

TEST_CASE("executors of a service are spread over VMs and racks") {
  const VmTable vms = Table({Vm("a", 8'000, 0), Vm("b", 8'000, 4'000)});
  JobSpread spread;
  spread.on_vm[VmId("a")] = 1;
  spread.on_rack[RackId("rack-a")] = 1;
  CHECK(Choose(vms, Request(1'000, false), spread) == "b");
}

TEST_CASE("a reservation holds resources until an announcement includes them") {
  VmTable vms = Table({Vm("a", 4'000, 0)});
  VmRecord& vm = vms.at(VmId("a"));
  const WorkerRun run{{JobId("j"), 0}, Epoch(1)};
  vm.reservations[run] = {{MilliCpu(3'000), Mebibytes(0), Accelerators(0)}, {}};
  CHECK(Choose(vms, Request(2'000)) == "no room");
  vm.reservations[run].answered_at = kNow;
  Announcement announce;
  announce.vm = VmId("a");
  announce.capacity = vm.capacity;
  ApplyAnnounce(vms, announce, {}, kNow + Duration(1'000));
  CHECK(vm.reservations.empty());
}

TEST_CASE(
    "a VM on which several jobs fail is quarantined, each time for longer") {
  VmRecord vm = Vm("a", 4'000, 0);
  const auto fail = [&](const std::string& job, MonotonicTime now) {
    return RecordTaskOutcome(vm, JobId(job), true, now);
  };
  // Repeated failures of one job count once: the job may be at fault.
  for (int i = 0; i < 10; ++i) CHECK_FALSE(fail("same", kNow));
  CHECK_FALSE(fail("b", kNow));
  CHECK(fail("c", kNow));
  const Duration first = vm.quarantined_until - kNow;
  fail("a", kNow);
  fail("b", kNow);
  CHECK(fail("c", kNow));
  CHECK(vm.quarantined_until - kNow == 2 * first);
  CHECK(Choose(Table({vm}), Request(1)) == "no room");
  CHECK_FALSE(RecordTaskOutcome(vm, JobId("d"), false, kNow));
  CHECK(vm.quarantines == 0);
}

TEST_CASE("an announcement that arrives after a newer one is ignored") {
  VmTable vms;
  Announcement announce;
  announce.vm = VmId("a");
  announce.now_ms = TargetTime(2'000);
  announce.leaving = true;
  CHECK(ApplyAnnounce(vms, announce, {}, kNow) == AnnounceEffect::kJoined);
  announce.now_ms = TargetTime(1'000);
  announce.leaving = false;
  CHECK(ApplyAnnounce(vms, announce, {}, kNow) == AnnounceEffect::kNone);
  CHECK(vms.at(VmId("a")).leaving);
  announce.incarnation = Incarnation(5);
  CHECK(ApplyAnnounce(vms, announce, {}, kNow) == AnnounceEffect::kRestarted);
}

}  // namespace
}  // namespace almondtally
