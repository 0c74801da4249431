#include "state/config.h"

#include <doctest/doctest.h>

#include "state/config_log.h"
#include "state/memory_table.h"

namespace almondtally {
namespace {

ConfigProposal Team(const std::string& id, const std::string& name) {
  return {ChangeId(id), ConfigKind::kTeam, name,
          nlohmann::json(TeamConfig{}).dump(), std::nullopt};
}

TEST_CASE("only the successor of the version in force is applied") {
  Config config;
  ConfigChange change{ConfigVersion(1), ChangeId("a"), ConfigKind::kTeam, "t",
                      "{}"};
  CHECK(Apply(config, change));
  CHECK_FALSE(Apply(config, change));
  change.version = ConfigVersion(3);
  CHECK_FALSE(Apply(config, change));
  CHECK(config.version == ConfigVersion(1));
}

TEST_CASE("unknown fields and values out of range are refused by name") {
  ConfigReason why;
  CHECK_FALSE(CheckValue(ConfigKind::kTeam, "t", R"({"quotta":{}})", why));
  CHECK(why.code == ConfigError::kUnknownField);
  CHECK(why.text.find("quotta") != std::string::npos);
  CHECK_FALSE(
      CheckValue(ConfigKind::kService, "s", R"({"team":"t","slots":0})", why));
  CHECK(why.text.find("slots") != std::string::npos);
  CHECK_FALSE(CheckValue(ConfigKind::kService, "s", R"({"slots":4})", why));
  CHECK_FALSE(CheckValue(ConfigKind::kTeam, "t", "[1]", why));
  CHECK(CheckValue(ConfigKind::kTeam, "t", R"({"weight":7})", why));
}

TEST_CASE("two replicas agree, and racing operators see a conflict") {
  MemoryTable memory;
  const Table table = memory.AsTable();
  Clock clock;
  Pause(clock);
  ConfigLog a(table, clock);
  ConfigLog b(table, clock);
  a.Propose(Team("1", "x"), [](const auto& accepted, const auto&) {
    CHECK(accepted == ConfigVersion(1));
  });
  b.Poll();
  CHECK(b.config().version == ConfigVersion(1));
  ConfigProposal mine = Team("2", "x");
  mine.expected = ConfigVersion(1);
  ConfigProposal theirs = Team("3", "x");
  theirs.expected = ConfigVersion(1);
  a.Propose(mine, [](const auto& accepted, const auto&) { CHECK(accepted); });
  b.Propose(theirs, [](const auto& accepted, const ConfigReason& why) {
    CHECK_FALSE(accepted);
    CHECK(why.code == ConfigError::kConflict);
    CHECK(why.text.find("version 2") != std::string::npos);
  });
}

TEST_CASE("a lost answer is settled by the change's id") {
  MemoryTable memory;
  const Table table = memory.AsTable();
  Clock clock;
  Pause(clock);
  ConfigLog log(table, clock);
  memory.lose_next_commit_answer = true;
  int answers = 0;
  log.Propose(Team("once", "x"), [&](const auto& accepted, const auto&) {
    ++answers;
    CHECK(accepted == ConfigVersion(1));
  });
  CHECK(answers == 1);
  CHECK(log.config().version == ConfigVersion(1));
}

TEST_CASE("a replica far behind catches up by the snapshot") {
  MemoryTable memory;
  const Table table = memory.AsTable();
  Clock clock;
  Pause(clock);
  ConfigLog writer(table, clock);
  constexpr int kChanges = 1'500;
  for (int i = 0; i < kChanges; ++i) {
    writer.Propose(Team(std::to_string(i), "t" + std::to_string(i % 7)),
                   [](const auto& accepted, const auto&) { CHECK(accepted); });
  }
  ConfigLog reader(table, clock);
  reader.Poll();
  CHECK(reader.ready());
  CHECK(reader.config().version == ConfigVersion(kChanges));
  CHECK(reader.config().objects.size() == 7);
  // Old rows go with the snapshots, so the log does not grow for ever.
  CHECK(memory.rows.size() < 800);
}

TEST_CASE("a replica that cannot read is not ready and keeps its version") {
  MemoryTable memory;
  const Table table = memory.AsTable();
  Clock clock;
  Pause(clock);
  ConfigLog log(table, clock);
  memory.down = true;
  log.Poll();
  CHECK_FALSE(log.ready());
  CHECK_FALSE(log.current_as_of());
  memory.down = false;
  log.Poll();
  CHECK(log.ready());
  const auto then = log.current_as_of();
  memory.down = true;
  Advance(clock, Duration(5'000));
  log.Poll();
  CHECK(log.current_as_of() == then);
}

}  // namespace
}  // namespace almondtally
