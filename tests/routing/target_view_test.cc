#include "routing/target_view.h"

#include <doctest/doctest.h>

namespace almondtally {
namespace {

const MonotonicTime kNow{Duration(1'000'000)};
const DataCentreId kHere{"catania"};
const DataCentreId kThere{"messina"};

TargetLoad Target(const std::string& vm, const DataCentreId& where,
                  int64_t announced) {
  TargetLoad target;
  target.vm = VmId(vm);
  target.data_centre = where;
  target.limit = 8;
  target.announced = announced;
  return target;
}

ServiceTargets Targets(const std::vector<TargetLoad>& all) {
  ServiceTargets targets;
  for (const TargetLoad& it : all) targets.push_back(it);
  return targets;
}

std::map<std::string, int> Draw(const ServiceTargets& targets,
                                const std::vector<VmId>& tried = {}) {
  Random random(7);
  std::map<std::string, int> counts;
  for (int i = 0; i < 1'000; ++i) {
    std::string why;
    const auto choice =
        ChooseTarget(targets, kHere, tried, RoutingParams(), kNow, random, why);
    ++counts[choice ? choice->vm.value : why];
  }
  return counts;
}

TEST_CASE("the less loaded of two local targets gets most requests") {
  const auto counts =
      Draw(Targets({Target("a", kHere, 0), Target("b", kHere, 6)}));
  CHECK(counts.at("a") > 700);
}

TEST_CASE("remote targets are used only when the local ones are full") {
  auto counts = Draw(Targets({Target("a", kHere, 7), Target("b", kThere, 0)}));
  CHECK(counts.at("a") == 1'000);
  counts = Draw(Targets({Target("a", kHere, 8), Target("b", kThere, 0)}));
  CHECK(counts.at("b") > 700);
}

TEST_CASE("leaving, ejected and already tried targets are skipped") {
  TargetLoad leaving = Target("a", kHere, 0);
  leaving.leaving = true;
  TargetLoad ejected = Target("b", kHere, 0);
  ejected.ejected_until = kNow + Duration(1);
  const auto targets =
      Targets({leaving, ejected, Target("c", kHere, 7), Target("d", kHere, 0)});
  const auto counts = Draw(targets, {VmId("d")});
  CHECK(counts.at("c") == 1'000);
  CHECK(Draw(targets, {VmId("d"), VmId("c")}).size() == 1);
  CHECK(Draw({}).at("no target runs this service") == 1'000);
}

TEST_CASE("consecutive failures eject a target once, for a limited time") {
  TargetLoad target = Target("a", kHere, 0);
  const RoutingParams params;
  for (int i = 1; i < params.eject_after; ++i) {
    CHECK_FALSE(RecordOutcome(target, true, params, kNow));
  }
  CHECK(RecordOutcome(target, true, params, kNow));
  CHECK(target.ejected_until == kNow + params.eject_for);
  CHECK_FALSE(RecordOutcome(target, false, params, kNow));
}

TEST_CASE("retries are limited to a share of the requests") {
  RetryBudget budget;
  const RoutingParams params;
  CHECK_FALSE(TryTakeRetry(budget));
  for (int i = 0; i < 100; ++i) AddRetryCredit(budget, params);
  int retries = 0;
  while (TryTakeRetry(budget)) ++retries;
  CHECK(retries == params.retry_percent);
}

TEST_CASE("an announcement sets the load and limit of a target") {
  ServiceTargets targets;
  Announcement announce;
  announce.vm = VmId("a");
  announce.data_centre = kHere;
  UpdateTargetLoad(targets, announce, {ServiceId("s"), 8, 3, 1}, kNow);
  TargetLoad& target = *FindTarget(targets, VmId("a"));
  CHECK(target.announced == 4);
  CHECK(target.limit == 8);
  CHECK(target.joined_at == kNow);
}

}  // namespace
}  // namespace almondtally
