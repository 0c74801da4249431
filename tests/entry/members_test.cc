#include "entry/members.h"

#include <doctest/doctest.h>

#include "state/memory_table.h"

namespace almondtally {
namespace {

constexpr const char* kValidRow =
    R"({"address":"10.0.0.2:8080","data_centre":"a","config":1})";

// Regression test: one odd row ended each entry that read the list.
TEST_CASE("odd rows beside those of entries do not disturb the others") {
  EventLoop loop;
  EntrySettings settings;
  settings.id = EntryId("own");
  EntryContext context(loop, settings);
  std::vector<Row> rows;
  for (const std::string& value :
       {std::string(R"({"address":7})"), std::string(R"({"address":1e300})"),
        std::string(R"({"address":["10.0.0.3:1"]})"),
        std::string(R"({"address":"10.0.0.3:70000"})"),
        std::string(R"({"address":"10.0.0.3:-1"})"), std::string("[]"),
        std::string("7"), std::string("{"), std::string("\xff\xfe"),
        std::string(1'000'000, '['),
        R"({"address":)" + std::string(100'000, '[') +
            std::string(100'000, ']') + "}"}) {
    rows.push_back(
        {"entry/odd" + std::to_string(rows.size()), RowVersion(1), value});
  }
  rows.push_back({"entry/z", RowVersion(1), kValidRow});
  context.table.scan = [&](const std::string&, const auto& fn) {
    fn(rows, {});
  };
  ReadPeers(context);
  REQUIRE(context.peers.size() == 1);
  CHECK(context.peers.begin()->first == EntryId("z"));
}

}  // namespace
}  // namespace almondtally
