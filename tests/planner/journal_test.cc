#include "planner/journal.h"

#include <doctest/doctest.h>

#include "planner/memory_store.h"

namespace almondtally::sched {
namespace {

Head HeadOf(const std::string& planner, uint64_t epoch) {
  Head head;
  head.planner = planner;
  head.epoch = PlannerEpoch(epoch);
  return head;
}

JournalEnd Claim(Journal& journal, const Head& head) {
  JournalEnd out = JournalEnd::kUnsure;
  journal.Read([](bool) {});
  journal.Claim(head, [&](JournalEnd end, const std::string&) { out = end; });
  return out;
}

JournalEnd Commit(Journal& journal, const std::string& key,
                  const std::string& value = "v") {
  JournalEnd out = JournalEnd::kUnsure;
  StoreTransaction rows;
  rows.puts.push_back({{"jobs", journal.partition(), key}, value});
  journal.Commit(rows, [&](JournalEnd end, const std::string&) { out = end; });
  return out;
}

TEST_CASE("one of two claims of the same head wins") {
  MemoryStore memory;
  const Store store = memory.Make();
  Journal a(store, "s");
  Journal b(store, "s");
  a.Read([](bool) {});
  b.Read([](bool) {});
  JournalEnd ends[2] = {};
  a.Claim(HeadOf("a", 1), [&](JournalEnd end, const auto&) { ends[0] = end; });
  b.Claim(HeadOf("b", 1), [&](JournalEnd end, const auto&) { ends[1] = end; });
  CHECK(ends[0] == JournalEnd::kCommitted);
  CHECK(ends[1] == JournalEnd::kReplaced);
}

TEST_CASE("a replaced owner commits nothing, not even late") {
  MemoryStore memory;
  const Store store = memory.Make();
  Journal a(store, "s");
  CHECK(Claim(a, HeadOf("a", 1)) == JournalEnd::kCommitted);
  CHECK(Commit(a, "one") == JournalEnd::kCommitted);
  memory.hold_commits = true;
  CHECK(Commit(a, "late") == JournalEnd::kUnsure);
  memory.hold_commits = false;
  Journal b(store, "s");
  CHECK(Claim(b, HeadOf("b", 2)) == JournalEnd::kCommitted);
  memory.ApplyLate();
  CHECK(memory.rows.count({"jobs", "s", "late"}) == 0);
  CHECK(Commit(a, "two") == JournalEnd::kReplaced);
  CHECK(Commit(b, "two") == JournalEnd::kCommitted);
}

TEST_CASE("a commit without an answer is settled by sending it again") {
  MemoryStore memory;
  const Store store = memory.Make();
  Journal a(store, "s");
  Claim(a, HeadOf("a", 1));
  memory.next_error = PlatformError::kUnknown;
  CHECK(Commit(a, "job") == JournalEnd::kUnsure);
  memory.next_error = PlatformError::kNone;
  CHECK(Commit(a, "job") == JournalEnd::kCommitted);
  CHECK(Commit(a, "next") == JournalEnd::kCommitted);
}

TEST_CASE("a held commit does not overwrite a later one") {
  MemoryStore memory;
  const Store store = memory.Make();
  Journal a(store, "s");
  Claim(a, HeadOf("a", 1));
  memory.hold_commits = true;
  CHECK(Commit(a, "job", "old") == JournalEnd::kUnsure);
  memory.hold_commits = false;
  CHECK(Commit(a, "job", "old") == JournalEnd::kCommitted);
  CHECK(Commit(a, "job", "new") == JournalEnd::kCommitted);
  memory.ApplyLate();
  CHECK(memory.rows.at({"jobs", "s", "job"}).value == "new");
}

TEST_CASE("a refused commit is told from one that may have happened") {
  MemoryStore memory;
  const Store store = memory.Make();
  Journal a(store, "s");
  Claim(a, HeadOf("a", 1));
  memory.next_error = PlatformError::kRefused;
  CHECK(Commit(a, "job") == JournalEnd::kNotDone);
  memory.next_error = PlatformError::kUnreachable;
  CHECK(Commit(a, "job") == JournalEnd::kNotDone);
}

}  // namespace
}  // namespace almondtally::sched
