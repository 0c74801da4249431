#include "state/config.h"

#include <doctest/doctest.h>

#include "state/config_log.h"
#include "state/memory_table.h"

namespace almondtally {
namespace {

ConfigProposal TeamProposal(const std::string& id, const std::string& name) {
  return {ChangeId(id), ConfigKind::kTeam, name,
          nlohmann::json(TeamConfig{}).dump(), std::nullopt};
}

TEST_CASE("only the change that follows the current version is applied") {
  Config config;
  ConfigChange change{ConfigVersion(1), ChangeId("a"), ConfigKind::kTeam, "t",
                      "{}"};
  CHECK(Apply(config, change));
  CHECK_FALSE(Apply(config, change));
  change.version = ConfigVersion(3);
  CHECK_FALSE(Apply(config, change));
  CHECK(config.version == ConfigVersion(1));
}

TEST_CASE("validation errors name the unknown or out-of-range field") {
  ConfigReason why;
  CHECK_FALSE(
      ValidateConfigValue(ConfigKind::kTeam, "t", R"({"quotta":{}})", why));
  CHECK(why.code == ConfigError::kUnknownField);
  CHECK(why.text.find("quotta") != std::string::npos);
  CHECK_FALSE(ValidateConfigValue(ConfigKind::kService, "s",
                                  R"({"team":"t","slots":0})", why));
  CHECK(why.text.find("slots") != std::string::npos);
  CHECK_FALSE(
      ValidateConfigValue(ConfigKind::kService, "s", R"({"slots":4})", why));
  CHECK_FALSE(ValidateConfigValue(ConfigKind::kTeam, "t", "[1]", why));
  CHECK(ValidateConfigValue(ConfigKind::kTeam, "t", R"({"weight":7})", why));
}

TEST_CASE(
    "replicas converge, and the later of two concurrent changes conflicts") {
  MemoryTable memory;
  const Table table = memory.AsTable();
  Clock clock;
  Pause(clock);
  ConfigLog a(table, clock);
  ConfigLog b(table, clock);
  a.Propose(TeamProposal("1", "x"), [](const auto& accepted, const auto&) {
    CHECK(accepted == ConfigVersion(1));
  });
  b.Poll();
  CHECK(b.config().version == ConfigVersion(1));
  ConfigProposal first = TeamProposal("2", "x");
  first.expected = ConfigVersion(1);
  ConfigProposal second = TeamProposal("3", "x");
  second.expected = ConfigVersion(1);
  a.Propose(first, [](const auto& accepted, const auto&) { CHECK(accepted); });
  b.Propose(second, [](const auto& accepted, const ConfigReason& why) {
    CHECK_FALSE(accepted);
    CHECK(why.code == ConfigError::kConflict);
    CHECK(why.text.find("version 2") != std::string::npos);
  });
}

TEST_CASE(
    "a retry after a lost commit response does not apply the change twice") {
  MemoryTable memory;
  const Table table = memory.AsTable();
  Clock clock;
  Pause(clock);
  ConfigLog log(table, clock);
  memory.lose_next_commit_response = true;
  int callbacks = 0;
  log.Propose(TeamProposal("once", "x"),
              [&](const auto& accepted, const auto&) {
                ++callbacks;
                CHECK(accepted == ConfigVersion(1));
              });
  CHECK(callbacks == 1);
  CHECK(log.config().version == ConfigVersion(1));
}

TEST_CASE("a replica that is far behind catches up from the snapshot") {
  MemoryTable memory;
  const Table table = memory.AsTable();
  Clock clock;
  Pause(clock);
  ConfigLog writer(table, clock);
  constexpr int kChanges = 1'500;
  for (int i = 0; i < kChanges; ++i) {
    writer.Propose(TeamProposal(std::to_string(i), "t" + std::to_string(i % 7)),
                   [](const auto& accepted, const auto&) { CHECK(accepted); });
  }
  ConfigLog reader(table, clock);
  reader.Poll();
  CHECK(reader.ready());
  CHECK(reader.config().version == ConfigVersion(kChanges));
  CHECK(reader.config().objects.size() == 7);
  // Snapshots delete old log rows, so the log does not grow without bound.
  CHECK(memory.rows.size() < 800);
}

TEST_CASE("failed reads leave a replica unready and its read time unchanged") {
  MemoryTable memory;
  const Table table = memory.AsTable();
  Clock clock;
  Pause(clock);
  ConfigLog log(table, clock);
  memory.unreachable = true;
  log.Poll();
  CHECK_FALSE(log.ready());
  CHECK_FALSE(log.current_as_of());
  memory.unreachable = false;
  log.Poll();
  CHECK(log.ready());
  const auto last_read_at = log.current_as_of();
  memory.unreachable = true;
  Advance(clock, Duration(5'000));
  log.Poll();
  CHECK(log.current_as_of() == last_read_at);
}

}  // namespace
}  // namespace almondtally
