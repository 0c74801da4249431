#include "platform/evacuation_rows.h"

#include <doctest/doctest.h>

#include <utility>
#include <vector>

#include "platform/config_feed.h"

namespace almondtally::platform {
namespace {

using sched::EvacuationReading;

const DataCentreId kNorth{"north"};
const DataCentreId kSouth{"south"};

StoreRow Row(const std::string& key, uint64_t version,
             const std::string& value = "{}") {
  return {{"op", "", key}, value, RowVersion(version), false};
}

StoreRow Removed(const std::string& key, uint64_t version) {
  StoreRow row = Row(key, version, "");
  row.deleted = true;
  return row;
}

StoreRows Rows(uint64_t version, std::vector<StoreRow> rows) {
  return {std::move(rows), RowVersion(version), false};
}

MonotonicTime At(int64_t ms) { return MonotonicTime(Duration(ms)); }

TEST_CASE("a data centre is evacuated while its row exists") {
  EvacuationReading reading;
  ApplyEvacuationRows(reading, Rows(3, {Row("config", 1), Row("wave/1", 2)}),
                      true, At(10));
  CHECK(reading.data_centres.empty());
  CHECK(reading.read_at == At(10));
  ApplyEvacuationRows(reading, Rows(5, {Row("evacuate/north", 5, "not json")}),
                      false, At(20));
  CHECK(reading.data_centres == std::set{kNorth});
  CHECK(reading.version == RowVersion(5));
  // Removed and put back in one answer.
  ApplyEvacuationRows(
      reading,
      Rows(8, {Removed("evacuate/north", 6), Row("evacuate/north", 8)}), false,
      At(30));
  CHECK(reading.data_centres == std::set{kNorth});
  ApplyEvacuationRows(reading, Rows(9, {Removed("evacuate/north", 9)}), false,
                      At(40));
  CHECK(reading.data_centres.empty());
  CHECK(reading.read_at == At(40));
}

TEST_CASE("the newest version of an evacuation row wins") {
  EvacuationReading reading;
  ApplyEvacuationRows(reading, Rows(9, {Row("evacuate/north", 4)}), true,
                      At(10));
  ApplyEvacuationRows(reading, Rows(7, {Removed("evacuate/north", 7)}), false,
                      At(20));
  CHECK(reading.data_centres == std::set{kNorth});
  ApplyEvacuationRows(reading, Rows(6, {}), true, At(30));
  CHECK(reading.data_centres == std::set{kNorth});
}

TEST_CASE("evacuation rows without a data centre are skipped") {
  EvacuationReading reading;
  StoreRow elsewhere = Row("evacuate/south", 4);
  elsewhere.at.partition = "part";
  ApplyEvacuationRows(reading,
                      Rows(9, {Row("evacuate/", 2), Row("evacuate", 3),
                               elsewhere, Row("evacuate/north", 5)}),
                      true, At(10));
  CHECK(reading.data_centres == std::set{kNorth});
}

/// A store whose answers the test gives.
struct ScriptedStore {
  Store::ReadFn read;
  Store::FeedFn changes;
  RowVersion after;

  Store Make() {
    Store out;
    out.read = [this](const std::string&, const std::string&,
                      const std::string&, const auto& fn) { read = fn; };
    out.changes = [this](const std::string&, RowVersion version, Duration,
                         const auto& fn) {
      changes = fn;
      after = version;
    };
    return out;
  }
  void Read(const StoreRows& rows) { std::exchange(read, nullptr)(rows, {}); }
  void Feed(FeedStatus status, const StoreRows& rows = {}) {
    std::exchange(changes, nullptr)(status, rows);
  }
};

TEST_CASE("the feed delivers requests, also after its history was lost") {
  EventLoop loop;
  Pause(loop.clock_for_tests());
  ScriptedStore script;
  const Store store = script.Make();
  EvacuationReading last;
  size_t configs = 0;
  ConfigFeed feed(
      loop, store, Duration(1'000), [&](const auto&) { ++configs; },
      [&](const EvacuationReading& it) { last = it; });
  feed.Start();
  script.Read(Rows(4, {Row("config", 2, R"({"version":7,"routes":[]})"),
                       Row("evacuate/north", 3)}));
  CHECK(configs == 1);
  CHECK(last.data_centres == std::set{kNorth});
  REQUIRE(script.after == RowVersion(4));
  script.Feed(FeedStatus::kOk, Rows(6, {Row("evacuate/south", 6)}));
  CHECK(last.data_centres == std::set{kNorth, kSouth});
  SUBCASE("a row is removed") {
    script.Feed(FeedStatus::kOk, Rows(7, {Removed("evacuate/north", 7)}));
    CHECK(last.data_centres == std::set{kSouth});
  }
  SUBCASE("a row is removed while the history is lost") {
    script.Feed(FeedStatus::kHistoryTrimmed);
    script.Read(Rows(9, {Row("config", 2, "unreadable"),
                         Row("evacuate/south", 6, "unreadable")}));
    CHECK(last.data_centres == std::set{kSouth});
    CHECK(script.after == RowVersion(9));
  }
  SUBCASE("calls fail meanwhile") {
    const MonotonicTime read_at = last.read_at;
    Advance(loop.clock_for_tests(), Duration(5'000));
    script.Feed(FeedStatus::kFailed);
    CHECK(last.read_at == read_at);
    Advance(loop.clock_for_tests(), Duration(200));
    loop.RunDueTimers();
    REQUIRE(script.read);
    std::exchange(script.read, nullptr)(std::nullopt,
                                        {PlatformError::kUnreachable, "away"});
    CHECK(last.data_centres == std::set{kNorth, kSouth});
    Advance(loop.clock_for_tests(), Duration(200));
    loop.RunDueTimers();
    script.Read(Rows(9, {Row("evacuate/north", 3)}));
    CHECK(last.data_centres == std::set{kNorth});
    CHECK(last.read_at > read_at);
  }
  CHECK(configs == 1);
}

}  // namespace
}  // namespace almondtally::platform
