#include "target/request_table.h"

#include <doctest/doctest.h>

namespace almondtally {
namespace {

const MonotonicTime kNow{Duration(5'000'000)};
const ServiceId kService{"sorteggio"};

RequestTable Table(int64_t slots, int64_t queue) {
  RequestTable table;
  ServiceQueue& it = table.services[kService];
  it.declared_slots = slots;
  it.declared_queue = queue;
  it.adaptive.limit = slots;
  return table;
}

RequestArrival Arrival(const std::string& id, bool keyed = false) {
  return {kService, RequestId(id), keyed, Duration(1'000), kNow};
}

AdmitVerdict TryAdmit(RequestTable& table, const std::string& id,
                      bool keyed = false) {
  return AdmitRequest(table, kNow, Arrival(id, keyed)).verdict;
}

TEST_CASE("requests fill the slots, then the queue, then are refused") {
  RequestTable table = Table(1, 1);
  CHECK(TryAdmit(table, "a") == AdmitVerdict::kRun);
  CHECK(TryAdmit(table, "b") == AdmitVerdict::kWait);
  CHECK(TryAdmit(table, "c") == AdmitVerdict::kRefused);
  CHECK_FALSE(DequeueRequest(table, kNow, kService));
  FinishRequest(table, kNow, kService, RequestId("a"), RequestOutcome::kRan,
                {});
  CHECK(DequeueRequest(table, kNow, kService) == RequestId("b"));
  CHECK(OpenRequests(table) == 1);
}

TEST_CASE(
    "a withdrawn request never runs, even if the withdrawal arrives first") {
  RequestTable table = Table(1, 1);
  CHECK(Withdraw(table, kNow, RequestId("late"), kNow) ==
        WithdrawVerdict::kNeverRuns);
  CHECK(TryAdmit(table, "late") == AdmitVerdict::kRefused);
  TryAdmit(table, "a");
  TryAdmit(table, "b");
  CHECK(Withdraw(table, kNow, RequestId("b"), kNow) ==
        WithdrawVerdict::kNeverRuns);
  FinishRequest(table, kNow, kService, RequestId("a"), RequestOutcome::kRan,
                {});
  CHECK_FALSE(DequeueRequest(table, kNow, kService));
}

TEST_CASE("a withdrawal returns the state of a request that has started") {
  RequestTable table = Table(2, 0);
  TryAdmit(table, "a");
  CHECK(Withdraw(table, kNow, RequestId("a"), kNow) ==
        WithdrawVerdict::kRunning);
  FinishRequest(table, kNow, kService, RequestId("a"), RequestOutcome::kRan,
                HttpResponse{200, {}, "x"});
  CHECK(Withdraw(table, kNow, RequestId("a"), kNow) == WithdrawVerdict::kDone);
  TryAdmit(table, "b");
  FinishRequest(table, kNow, kService, RequestId("b"), RequestOutcome::kRan,
                {});
  CHECK(Withdraw(table, kNow, RequestId("b"), kNow) ==
        WithdrawVerdict::kDoneWithoutAnswer);
}

TEST_CASE("a request whose record may be dropped is unknown, never 'not run'") {
  RequestTable table = Table(2, 0);
  TryAdmit(table, "a");
  FinishRequest(table, kNow, kService, RequestId("a"), RequestOutcome::kRan,
                {});
  const MonotonicTime later = kNow + kUnkeyedRetention + Duration(1);
  RunMaintenance(table, later);
  CHECK(Withdraw(table, later, RequestId("a"), kNow) ==
        WithdrawVerdict::kUnknown);
  CHECK(AdmitRequest(table, later, Arrival("a")).verdict ==
        AdmitVerdict::kUnknown);
}

TEST_CASE("a repeated key is known until its retention time is over") {
  RequestTable table = Table(2, 0);
  TryAdmit(table, "k", true);
  FinishRequest(table, kNow, kService, RequestId("k"), RequestOutcome::kRan,
                HttpResponse{200, {}, "first"});
  MonotonicTime later = kNow + kUnkeyedRetention * 2;
  RunMaintenance(table, later);
  CHECK(AdmitRequest(table, later, Arrival("k", true)).verdict ==
        AdmitVerdict::kKnown);
  later = kNow + kKeyedRetention + Duration(1);
  RunMaintenance(table, later);
  CHECK(AdmitRequest(table, later, Arrival("k", true)).verdict ==
        AdmitVerdict::kUnknown);
}

TEST_CASE("a keyed request refused for one entry does not run for another") {
  RequestTable table = Table(1, 0);
  TryAdmit(table, "a");
  CHECK(TryAdmit(table, "k", true) == AdmitVerdict::kRefused);
  FinishRequest(table, kNow, kService, RequestId("a"), RequestOutcome::kRan,
                {});
  CHECK(TryAdmit(table, "k", true) == AdmitVerdict::kRefused);
}

TEST_CASE("queued requests past their deadline are withdrawn") {
  RequestTable table = Table(1, 4);
  TryAdmit(table, "a");
  TryAdmit(table, "b");
  CHECK(ExpireQueuedRequests(table, kNow).empty());
  const auto expired = ExpireQueuedRequests(table, kNow + Duration(1'000));
  REQUIRE(expired.size() == 1);
  CHECK(expired[0] == RequestId("b"));
  CHECK(TryAdmit(table, "b") == AdmitVerdict::kRefused);
}

TEST_CASE("a limit declared too high is lowered to the capacity of the VM") {
  constexpr int64_t kDeclared = 80;
  constexpr int64_t kBears = 8;
  AdaptiveLimit limit;
  for (int i = 0; i < 4'000; ++i) {
    const int64_t in_use = CurrentLimit(limit, kDeclared);
    const int64_t over = std::max<int64_t>(1, in_use / kBears);
    UpdateAdaptiveLimit(limit, Duration(20 * over * over), in_use, kDeclared);
  }
  CHECK(CurrentLimit(limit, kDeclared) <= 2 * kBears);
  CHECK(CurrentLimit(limit, kDeclared) >= kBears / 2);
}

TEST_CASE("a slowdown with an outside cause does not lower the limit") {
  AdaptiveLimit limit;
  for (int i = 0; i < 8'000; ++i) {
    const int64_t in_use = 1 + i % CurrentLimit(limit, 8);
    const bool noisy = i > 2'000 && i / 500 % 2 == 0;
    UpdateAdaptiveLimit(limit, Duration(noisy ? 80 : 20), in_use, 8);
    if (i > 2'000) CHECK(CurrentLimit(limit, 8) >= 4);
  }
}

TEST_CASE("time in the queue does not count as answer time") {
  RequestTable table = Table(1, 1);
  TryAdmit(table, "a");
  TryAdmit(table, "b");
  const MonotonicTime later = kNow + Duration(900);
  FinishRequest(table, later, kService, RequestId("a"), RequestOutcome::kRan,
                {});
  REQUIRE(DequeueRequest(table, later, kService) == RequestId("b"));
  FinishRequest(table, later + Duration(10), kService, RequestId("b"),
                RequestOutcome::kRan, {});
  const auto& means = table.services.at(kService).adaptive.mean_ms;
  CHECK(means.at(1) < 900);
}

TEST_CASE("a mix of short and long requests does not lower the limit") {
  AdaptiveLimit limit;
  for (int i = 0; i < 2'000; ++i) {
    const Duration took(i % 4 == 0 ? 400 : 5);
    UpdateAdaptiveLimit(limit, took, CurrentLimit(limit, 8), 8);
  }
  CHECK(CurrentLimit(limit, 8) == 8);
}

TEST_CASE("the limit never exceeds the declared slots") {
  AdaptiveLimit limit;
  for (int i = 0; i < 1'000; ++i) {
    UpdateAdaptiveLimit(limit, Duration(10), 8, 8);
  }
  CHECK(CurrentLimit(limit, 8) == 8);
  CHECK(CurrentLimit(limit, 3) == 3);
}

}  // namespace
}  // namespace almondtally
