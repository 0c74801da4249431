#include "target/announcer.h"

#include <doctest/doctest.h>

#include <optional>
#include <vector>

#include "peer/messages.h"
#include "target/task_runner.h"

namespace almondtally {
namespace {

/// The time after its start at which an entry begins to place tasks.
constexpr Duration kEntryWarmUp{3'000};
constexpr Duration kTick{50};
constexpr Duration kPoll{250};
const std::vector<Address> kEntries = {{"10.0.0.1", 1}, {"10.0.0.2", 1}};

struct Sent {
  Address to;
  /// Since the start of the target.
  Duration at;
  bool ready;
};

/// A target whose entries listen from `entries_listen_at` on and have read
/// their configuration from `entries_know_at` on.
class LoneTarget {
 public:
  LoneTarget(Duration entries_listen_at, Duration entries_know_at)
      : entries_listen_at_(entries_listen_at),
        entries_know_at_(entries_know_at) {
    Pause(loop_.clock_for_tests());
    TargetSettings settings;
    settings.vm = VmId("vm-000");
    settings.entries = kEntries;
    Worker worker;
    worker.list = [](const Worker::StateFn& fn) {
      WorkerState state;
      state.capacity = {MilliCpu(4'000), Mebibytes(8'000), Accelerators(0)};
      fn(state, {});
    };
    context_.emplace(loop_, settings, worker);
    context_->links.SetTransport(
        [this](const Address& to, const char* /*path*/,
               const std::string& bytes, Duration /*timeout*/,
               const PeerLinks::BytesCallback& fn) { Answer(to, bytes, fn); });
  }

  /// Does what the process does on its timers, for `length`.
  void Run(Duration length) {
    for (Duration end = at_ + length; at_ < end;) {
      at_ += kTick;
      Advance(loop_.clock_for_tests(), kTick);
      if (at_ % kPoll == Duration(0)) PollWorker(*context_);
      AdvanceTasks(*context_);
      AnnounceIfDue(*context_);
    }
  }

  /// @return when `to` first had an announcement that the target is ready.
  std::optional<Duration> ReadyAt(const Address& to) const {
    for (const Sent& it : sent_) {
      if (it.to == to && it.ready && it.at >= entries_listen_at_) return it.at;
    }
    return std::nullopt;
  }

  int CountSent(const Address& to, Duration from) const {
    int count = 0;
    for (const Sent& it : sent_) count += it.to == to && it.at >= from ? 1 : 0;
    return count;
  }

 private:
  void Answer(const Address& to, const std::string& bytes,
              const PeerLinks::BytesCallback& fn) {
    WireReason why;
    const auto announce = DecodeMessage<Announcement>(bytes, why);
    REQUIRE(announce);
    sent_.push_back({to, at_, announce->ready});
    if (at_ < entries_listen_at_) return fn(std::nullopt, {});
    AnnounceAnswer answer;
    answer.entry = EntryId(to.host);
    if (at_ >= entries_know_at_) answer.proof = {{Generation(1), 0}};
    fn(EncodeMessage(answer), {});
  }

  const Duration entries_listen_at_;
  const Duration entries_know_at_;
  Duration at_{0};
  EventLoop loop_;
  std::optional<TargetContext> context_;
  std::vector<Sent> sent_;
};

/// Every entry knows that the target is ready `limit` after the entries could
/// answer it.
void CheckReadyWithin(Duration limit, Duration listen, Duration know) {
  // The time between announcements is random.
  for (int round = 0; round < 20; ++round) {
    LoneTarget target(listen, know);
    target.Run(know + kEntryWarmUp * 2);
    for (const Address& entry : kEntries) {
      const auto ready = target.ReadyAt(entry);
      REQUIRE(ready);
      CHECK(*ready <= know + limit);
    }
  }
}

TEST_CASE("a target announces at once that it has become ready") {
  CheckReadyWithin(Duration(400), Duration(0), Duration(0));
}

TEST_CASE(
    "entries know before their warm-up ends that a target is ready that "
    "started before them") {
  CheckReadyWithin(kEntryWarmUp / 2, Duration(300), Duration(300));
}

TEST_CASE("a target that was answered without a proof asks again soon") {
  CheckReadyWithin(kEntryWarmUp / 2, Duration(0), Duration(300));
}

TEST_CASE("a target that is ready announces itself at the usual interval") {
  LoneTarget target(Duration(0), Duration(0));
  target.Run(Duration(26'000));
  for (const Address& entry : kEntries) {
    const int count = target.CountSent(entry, Duration(2'000));
    CHECK(count >= 9);
    CHECK(count <= 12);
  }
}

}  // namespace
}  // namespace almondtally
