#include "base/log.h"

#include <doctest/doctest.h>

#include <fstream>
#include <sstream>

namespace almondtally {
namespace {

TEST_CASE("a log line has number, name, type and quoted fields") {
  const std::string line =
      FormatLogLine(Event::kRequestRefused,
                    {{"request", "r-1"}, {"reason", "all \"slots\"\nfull"}});
  CHECK(line ==
        "event=2002 name=request.refused type=routing request=r-1 "
        "reason=\"all \\\"slots\\\" full\"");
}

TEST_CASE("the catalogue is ordered and its numbers are unique") {
  const auto& all = EventCatalogue();
  for (size_t i = 1; i < all.size(); ++i) {
    CHECK(all[i - 1].event < all[i].event);
  }
}

TEST_CASE("docs/LOG-EVENTS.md lists every event") {
  std::ifstream in(std::string(SOURCE_ROOT) + "/docs/LOG-EVENTS.md");
  std::stringstream text;
  text << in.rdbuf();
  for (const EventInfo& info : EventCatalogue()) {
    const std::string row = "| " +
                            std::to_string(static_cast<int>(info.event)) +
                            " | " + std::string(info.name) + " |";
    CHECK_MESSAGE(text.str().find(row) != std::string::npos, row);
  }
}

}  // namespace
}  // namespace almondtally
