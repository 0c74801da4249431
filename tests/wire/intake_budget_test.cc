#include "wire/intake_budget.h"

#include <doctest/doctest.h>

#include <memory>
#include <vector>

namespace almondtally {
namespace {

constexpr size_t kRoom = 4 << 20;
constexpr size_t kLarge = 1'000'000;
constexpr size_t kSmall = 1'000;

/// A request that gives up what it holds when it is evicted.
struct Request {
  explicit Request(IntakeBudget& budget)
      : account(budget, [this] {
          evicted = true;
          account.Hold(0, {});
        }) {}

  bool evicted = false;
  IntakeAccount account;
};

struct Fixture {
  IntakeBudget budget{IntakeLimits{kRoom}};
  MonotonicTime now{Duration(100'000)};
  std::vector<std::unique_ptr<Request>> requests;

  Request& Add() {
    requests.push_back(std::make_unique<Request>(budget));
    return *requests.back();
  }
  /// @return true if the request was taken.
  bool Arrive(size_t bytes) {
    Request& it = Add();
    if (!it.account.Hold(bytes, now)) return false;
    it.account.BeginArrival(now);
    return true;
  }
  size_t evictions() const {
    size_t n = 0;
    for (const auto& it : requests) n += it->evicted ? 1 : 0;
    return n;
  }
};

TEST_CASE("large requests that arrive at once are refused above their share") {
  Fixture fixture;
  int taken = 0;
  for (int i = 0; i < 400; ++i) taken += fixture.Arrive(kLarge) ? 1 : 0;
  CHECK(taken == 3);
  CHECK(fixture.evictions() == 0);
  CHECK(fixture.budget.bytes() == 3 * kLarge);
}

TEST_CASE("small requests are taken while large ones hold their share") {
  Fixture fixture;
  while (fixture.Arrive(kLarge)) {
  }
  for (int i = 0; i < 1'000; ++i) CHECK(fixture.Arrive(kSmall));
  CHECK(fixture.evictions() == 0);
}

TEST_CASE("ordinary requests have room while many others wait for answers") {
  Fixture fixture;
  while (fixture.Arrive(IntakeBudget::kSmallBytes))
    fixture.requests.back()->account.EndArrival();
  constexpr size_t kRequests = kRoom / 8 / IntakeBudget::kOrdinaryBytes;
  for (size_t i = 0; i < kRequests; ++i) {
    CHECK(fixture.Arrive(IntakeBudget::kOrdinaryBytes));
    fixture.requests.back()->account.EndArrival();
  }
}

TEST_CASE("a small request takes the place of the large one that is slowest") {
  Fixture fixture;
  for (int i = 0; i < 3; ++i) CHECK(fixture.Arrive(kLarge));
  fixture.now += Duration(10);
  fixture.requests[0]->account.AddProgress(kLarge / 2, fixture.now);
  fixture.requests[2]->account.AddProgress(kLarge / 2, fixture.now);
  while (fixture.evictions() == 0) REQUIRE(fixture.Arrive(kSmall));
  CHECK(fixture.requests[1]->evicted);
  CHECK(fixture.budget.bytes() <= kRoom);
}

TEST_CASE("a large request takes the place of a stalled one only") {
  Fixture fixture;
  for (int i = 0; i < 3; ++i) CHECK(fixture.Arrive(kLarge));
  CHECK_FALSE(fixture.Arrive(kLarge));
  fixture.now += IntakeBudget::kStalledAfter;
  fixture.requests[0]->account.AddProgress(IntakeBudget::kProgressBytes,
                                           fixture.now);
  CHECK(fixture.Arrive(kLarge));
  CHECK_FALSE(fixture.requests[0]->evicted);
  CHECK(fixture.requests[1]->evicted);
}

TEST_CASE("a trickle of bytes is no progress") {
  Fixture fixture;
  for (int i = 0; i < 3; ++i) CHECK(fixture.Arrive(kLarge));
  for (int i = 0; i < 100; ++i) {
    fixture.now += Duration(20);
    for (const auto& it : fixture.requests)
      it->account.AddProgress(1, fixture.now);
  }
  CHECK(fixture.Arrive(kLarge));
  CHECK(fixture.evictions() == 1);
}

TEST_CASE("a request that is being served is never given up") {
  Fixture fixture;
  while (fixture.budget.bytes() + kSmall <= kRoom) {
    REQUIRE(fixture.Arrive(kSmall));
    fixture.requests.back()->account.EndArrival();
  }
  fixture.now += Duration(60'000);
  CHECK_FALSE(fixture.Arrive(kLarge));
  CHECK_FALSE(fixture.Arrive(kSmall));
  REQUIRE(fixture.requests[0]->account.Hold(0, fixture.now));
  CHECK(fixture.Arrive(kSmall));
  CHECK(fixture.evictions() == 0);
}

TEST_CASE("what was refused holds what it held, and an end releases all") {
  Fixture fixture;
  Request& it = fixture.Add();
  CHECK(it.account.Hold(kLarge, fixture.now));
  CHECK_FALSE(it.account.Hold(kRoom + 1, fixture.now));
  CHECK(it.account.bytes() == kLarge);
  CHECK(it.account.Hold(kSmall, fixture.now));
  CHECK(fixture.budget.bytes() == kSmall);
  fixture.requests.clear();
  CHECK(fixture.budget.bytes() == 0);
}

}  // namespace
}  // namespace almondtally
