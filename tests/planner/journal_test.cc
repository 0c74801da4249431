#include "planner/journal.h"

#include <doctest/doctest.h>

#include "planner/memory_store.h"

namespace almondtally::sched {
namespace {

ShardHead MakeHead(const std::string& planner, uint64_t epoch) {
  ShardHead head;
  head.planner = planner;
  head.epoch = PlannerEpoch(epoch);
  return head;
}

JournalOutcome Claim(Journal& journal, const ShardHead& head) {
  JournalOutcome out = JournalOutcome::kMaybeCommitted;
  journal.Read([](bool) {});
  journal.Claim(
      head, [&](JournalOutcome outcome, const std::string&) { out = outcome; });
  return out;
}

JournalOutcome Commit(Journal& journal, const std::string& key,
                      const std::string& value = "v") {
  JournalOutcome out = JournalOutcome::kMaybeCommitted;
  StoreTransaction rows;
  rows.puts.push_back({{"jobs", journal.partition(), key}, value});
  journal.Commit(
      rows, [&](JournalOutcome outcome, const std::string&) { out = outcome; });
  return out;
}

TEST_CASE("only one of two concurrent claims of a shard succeeds") {
  MemoryStore memory;
  const Store store = memory.Make();
  Journal a(store, "s");
  Journal b(store, "s");
  a.Read([](bool) {});
  b.Read([](bool) {});
  JournalOutcome outcomes[2] = {};
  a.Claim(MakeHead("a", 1),
          [&](JournalOutcome outcome, const auto&) { outcomes[0] = outcome; });
  b.Claim(MakeHead("b", 1),
          [&](JournalOutcome outcome, const auto&) { outcomes[1] = outcome; });
  CHECK(outcomes[0] == JournalOutcome::kCommitted);
  CHECK(outcomes[1] == JournalOutcome::kReplaced);
}

// Regression test: another row before the head row was taken for it, and no
// process could claim the shard.
TEST_CASE("other rows of the head table are not taken for the head row") {
  MemoryStore memory;
  const Store store = memory.Make();
  memory.Apply({{}, {{{"head", "s", "a-row-of-another-writer"}, "x"}}, {}});
  Journal a(store, "s");
  CHECK(Claim(a, MakeHead("a", 1)) == JournalOutcome::kCommitted);
  Journal b(store, "s");
  b.Read([](bool) {});
  REQUIRE(b.head());
  CHECK(b.head()->planner == "a");
}

TEST_CASE("commits of a replaced owner fail, even if they arrive late") {
  MemoryStore memory;
  const Store store = memory.Make();
  Journal a(store, "s");
  CHECK(Claim(a, MakeHead("a", 1)) == JournalOutcome::kCommitted);
  CHECK(Commit(a, "one") == JournalOutcome::kCommitted);
  memory.hold_commits = true;
  CHECK(Commit(a, "late") == JournalOutcome::kMaybeCommitted);
  memory.hold_commits = false;
  Journal b(store, "s");
  CHECK(Claim(b, MakeHead("b", 2)) == JournalOutcome::kCommitted);
  memory.ApplyHeldCommits();
  CHECK(memory.rows.count({"jobs", "s", "late"}) == 0);
  CHECK(Commit(a, "two") == JournalOutcome::kReplaced);
  CHECK(Commit(b, "two") == JournalOutcome::kCommitted);
}

TEST_CASE("resending an unanswered commit resolves its outcome") {
  MemoryStore memory;
  const Store store = memory.Make();
  Journal a(store, "s");
  Claim(a, MakeHead("a", 1));
  memory.next_error = PlatformError::kUnknown;
  CHECK(Commit(a, "job") == JournalOutcome::kMaybeCommitted);
  memory.next_error = PlatformError::kNone;
  CHECK(Commit(a, "job") == JournalOutcome::kCommitted);
  CHECK(Commit(a, "next") == JournalOutcome::kCommitted);
}

TEST_CASE("a delayed commit does not overwrite a later one") {
  MemoryStore memory;
  const Store store = memory.Make();
  Journal a(store, "s");
  Claim(a, MakeHead("a", 1));
  memory.hold_commits = true;
  CHECK(Commit(a, "job", "old") == JournalOutcome::kMaybeCommitted);
  memory.hold_commits = false;
  CHECK(Commit(a, "job", "old") == JournalOutcome::kCommitted);
  CHECK(Commit(a, "job", "new") == JournalOutcome::kCommitted);
  memory.ApplyHeldCommits();
  CHECK(memory.rows.at({"jobs", "s", "job"}).value == "new");
}

TEST_CASE(
    "a commit that expects a changed row is not taken for a replacement") {
  MemoryStore memory;
  const Store store = memory.Make();
  Journal a(store, "s");
  Claim(a, MakeHead("a", 1));
  const StoreKey changed{"agents", "s", "changed"};
  const StoreKey unchanged{"agents", "s", "unchanged"};
  memory.Apply({{}, {{changed, "1"}, {unchanged, "1"}}, {}});
  const RowVersion read_at(memory.version);
  memory.Apply({{}, {{changed, "2"}}, {}});
  StoreTransaction rows;
  rows.checks = {{changed, read_at}, {unchanged, read_at}};
  rows.deletes = {changed, unchanged};
  JournalOutcome out = JournalOutcome::kMaybeCommitted;
  a.Commit(rows, [&](JournalOutcome outcome, const auto&) { out = outcome; });
  CHECK(out == JournalOutcome::kRowsChanged);
  CHECK(a.changed_rows() == std::vector<StoreKey>{changed});
  CHECK(memory.rows.contains(changed));
  CHECK(Commit(a, "job") == JournalOutcome::kCommitted);
  Journal b(store, "s");
  CHECK(Claim(b, MakeHead("b", 2)) == JournalOutcome::kCommitted);
  a.Commit(rows, [&](JournalOutcome outcome, const auto&) { out = outcome; });
  CHECK(out == JournalOutcome::kReplaced);
}

// Regression test: a read that was answered after a claim brought the head row
// of a successor into the owner's commits. Both owned the shard under one
// epoch, and took each other's commits for their own: rows reported as stored
// were lost.
TEST_CASE(
    "a late read does not make an owner commit under its successor's name") {
  MemoryStore memory;
  const Store store = memory.Make();
  Store late_reads = store;
  std::function<void()> answer;
  late_reads.read = [&](const std::string& table, const std::string& partition,
                        const std::string& from, const auto& fn) {
    answer = [&store, table, partition, from, fn] {
      store.read(table, partition, from, fn);
    };
  };
  Journal a(late_reads, "s");
  a.Read([](bool) {});
  a.Claim(MakeHead("a", 1), [](JournalOutcome outcome, const std::string&) {
    CHECK(outcome == JournalOutcome::kCommitted);
  });
  Journal b(store, "s");
  CHECK(Claim(b, MakeHead("b", 2)) == JournalOutcome::kCommitted);
  answer();
  CHECK(Commit(a, "of-a") == JournalOutcome::kReplaced);
  CHECK(Commit(b, "of-b") == JournalOutcome::kCommitted);
  CHECK(memory.rows.contains({"jobs", "s", "of-b"}));
}

// Regression test: the answer to a commit brought an owner back that had been
// removed meanwhile.
TEST_CASE("an earlier owner that is removed during a commit stays removed") {
  MemoryStore memory;
  Store store = memory.Make();
  Journal a(store, "s");
  ShardHead head = MakeHead("a", 1);
  head.earlier_owners = {"10.0.0.1:7000"};
  CHECK(Claim(a, head) == JournalOutcome::kCommitted);
  const Store answering = store;
  std::function<void()> answer;
  store.commit = [&](const StoreTransaction& tx, const auto& fn) {
    answer = [&answering, tx, fn] { answering.commit(tx, fn); };
  };
  a.Commit({}, [](JournalOutcome, const std::string&) {});
  a.RemoveEarlierOwner("10.0.0.1:7000");
  answer();
  CHECK(a.earlier_owners().empty());
  a.Commit({}, [](JournalOutcome, const std::string&) {});
  answer();
  CHECK(a.head()->earlier_owners.empty());
}

TEST_CASE("a refused commit is reported as not committed") {
  MemoryStore memory;
  const Store store = memory.Make();
  Journal a(store, "s");
  Claim(a, MakeHead("a", 1));
  memory.next_error = PlatformError::kRefused;
  CHECK(Commit(a, "job") == JournalOutcome::kNotCommitted);
  memory.next_error = PlatformError::kUnreachable;
  CHECK(Commit(a, "job") == JournalOutcome::kNotCommitted);
}

}  // namespace
}  // namespace almondtally::sched
