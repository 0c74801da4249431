#include "base/log.h"

#include <doctest/doctest.h>
#include <fcntl.h>
#include <unistd.h>

#include <fstream>
#include <sstream>

namespace almondtally {
namespace {

TEST_CASE("a log line has number, name, type and quoted field values") {
  const std::string line =
      FormatLogLine(Event::kRequestRefused,
                    {{"request", "r-1"}, {"reason", "all \"slots\"\nfull"}});
  CHECK(line ==
        "event=2002 name=request.refused type=routing request=r-1 "
        "reason=\"all \\\"slots\\\" full\"");
}

TEST_CASE("the event catalogue is ordered and its numbers are unique") {
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

/// Redirects standard output to a pipe.
struct PipedOutput {
  int ends[2] = {-1, -1};
  int saved = dup(STDOUT_FILENO);

  PipedOutput() {
    REQUIRE(pipe(ends) == 0);
    dup2(ends[1], STDOUT_FILENO);
  }
  ~PipedOutput() {
    dup2(saved, STDOUT_FILENO);
    for (const int fd : {ends[0], ends[1], saved}) close(fd);
  }
};

TEST_CASE(
    "a stalled reader of standard output loses lines but does not block") {
  InitLog("test", LogLevel::kInfo);
  const LogLosses before = GetLogLosses();
  constexpr int kLines = 400;
  {
    // Nothing reads the pipe, so a blocking write would hang here.
    const PipedOutput output;
    fcntl(output.ends[1], F_SETPIPE_SZ, 8'192);
    for (int i = 0; i < kLines; ++i) {
      Log(Event::kTaskPlaced, {{"text", std::string(100, 'x')}});
    }
  }
  const LogLosses after = GetLogLosses();
  CHECK(after.dropped > before.dropped);
  CHECK(after.dropped - before.dropped < kLines);
}

TEST_CASE("lines over an event's rate limit are counted as suppressed") {
  InitLog("test", LogLevel::kInfo);
  const LogLosses before = GetLogLosses();
  constexpr int kLines = 2'000;
  {
    const PipedOutput output;
    for (int i = 0; i < kLines; ++i) Log(Event::kTaskStarted, {});
  }
  // The loop may span two seconds; the limit of 500 lines applies to each.
  CHECK(GetLogLosses().suppressed - before.suppressed >= kLines - 2 * 500);
}

}  // namespace
}  // namespace almondtally
